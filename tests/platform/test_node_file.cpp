#include <map>
#include <string>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/node_file.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const std::string good = R"(nodeName = "front-1"
zone = "z"
ip = "10.1.0.24"
internalPorts = [7600,7615]
unknown = { a = 1 }
[listen]
front = "10.1.0.24:8606"
readinessAddr = "10.1.0.24:8605"
[bounds]
graceS = 8
revokeMs = 5000
configMs = 2000
versionMs = 8000
leaseMs = 3000
retryBudgetRatio = 0.2
budgetSlack = 56
quotaOver = 0.1
quotaSlack = 190000
quotaWindowS = 8
requireFencing = true
[platform]
addr = "10.200.1.7:8601"
ttlMinMs = 1000
)";

struct Change
{
    std::string line; ///< Replaced.
    std::string by;
    std::string named; ///< Stands in the error.
};

std::ostream &operator<<(std::ostream &out, const Change &change)
{
    return out << change.line << " -> " << change.by;
}

const std::vector<Change> changes{
    {"nodeName = \"front-1\"", "", "nodeName"},
    {"nodeName = \"front-1\"", "nodeName = 7", "test.toml:1: nodeName"},
    {"revokeMs = 5000", "revokeMs = 0", "bounds.revokeMs"},
    {"revokeMs = 5000", "revokeMs = \"5 s\"", "bounds.revokeMs"},
    {"front = \"10.1.0.24:8606\"", "front = \"10.1.0.24\"", "listen.front"},
    {"internalPorts = [7600,7615]", "internalPorts = []", "internalPorts"},
    {"quotaSlack = 190000", "quotaSlack = -1", "bounds.quotaSlack"},
    {"[platform]", "[platform", "test.toml:"},
    {"requireFencing = true", "requireFencing = \"true\"", "bounds.requireFencing"},
    {"requireFencing = true", "exposeShare = \"0.1\"", "bounds.exposeShare"},
    {"requireFencing = true", "exposeShare = -1", "bounds.exposeShare"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(NodeFileTest)

BOOST_AUTO_TEST_CASE(boundsAreReadInTheirUnits)
{
    Reason reason;
    const auto settings = parseNodeFile(good, "test.toml", reason);
    BOOST_REQUIRE_MESSAGE(settings.has_value(), reason.text);
    BOOST_TEST(settings->hostName == "front-1");
    BOOST_TEST((settings->shutdownTimeout == 8s));
    BOOST_TEST((settings->keyProofWindow == 5s));
    BOOST_TEST(settings->peers.port == 7600);
    BOOST_TEST(settings->retryRatio == 0.2);
    BOOST_TEST(settings->enginesCheckFencing);
}

BOOST_AUTO_TEST_CASE(requestsWaitForTokensOnlyUnderTheContractThatAllowsIt)
{
    // Guards against callers of other deployments that are answered late, and against a start that fails on a list of another form.
    for (const auto &[line, expected] : std::map<std::string, bool>{{"", false},
                                                                    {"contracts = [\"canary\"]\n", false},
                                                                    {"contracts = \"pressure\"\n", false},
                                                                    {"contracts = [3, \"canary\", \"pressure\"]\n", true}}) {
        Reason reason;
        const auto settings = parseNodeFile(line + good, "test.toml", reason);
        BOOST_REQUIRE_MESSAGE(settings.has_value(), reason.text);
        BOOST_TEST(settings->requestsWaitForTokens == expected, line);
        BOOST_TEST(settings->adaptsToEngines == expected, line);
    }
}

// Guards against a host of unknown size that takes itself for one without memory, and a known size that is not read.
BOOST_AUTO_TEST_CASE(theMemoryOfTheHostIsOptional)
{
    Reason reason;
    const auto unknown = parseNodeFile(good, "test.toml", reason);
    BOOST_REQUIRE_MESSAGE(unknown.has_value(), reason.text);
    BOOST_TEST(unknown->memoryMegabytes == 0);
    const auto known = parseNodeFile(good + "[limits]\nmemoryMb = 120\n", "test.toml", reason);
    BOOST_REQUIRE_MESSAGE(known.has_value(), reason.text);
    BOOST_TEST(known->memoryMegabytes == 120);
}

// Guards against hosts that take in bodies without a bound, and are killed for their memory with the requests of others, whatever the contracts say.
BOOST_AUTO_TEST_CASE(theMemoryForCallersIsBoundedWhereverItIsKnown)
{
    for (const std::string line : {"", "contracts = [\"canary\"]\n", "contracts = [3, \"canary\", \"pressure\"]\n"}) {
        Reason reason;
        const auto settings = parseNodeFile(line + good + "[limits]\nmemoryMb = 110\n", "test.toml", reason);
        BOOST_REQUIRE_MESSAGE(settings.has_value(), reason.text);
        BOOST_TEST(settings->callerBufferBytes() > 0U, line);
        BOOST_TEST(settings->callerBufferBytes() < 55'000'000U, line);
    }
}

BOOST_DATA_TEST_CASE(aWrongFieldIsNamedWithItsPlaceAndRange, boost::unit_test::data::make(changes), change)
{
    std::string text = good;
    text.replace(text.find(change.line), change.line.size(), change.by);
    Reason reason;
    BOOST_TEST(!parseNodeFile(text, "test.toml", reason).has_value());
    BOOST_TEST_CONTEXT(reason.text)
    {
        BOOST_TEST((reason.text.find(change.named) != std::string::npos));
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "tests/system/correction_system.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace Lovageloft
{

namespace
{

constexpr int okStatus = 200;
/// Silence of a target after which its answer counts as lost.
constexpr std::string_view settings = "[routing]\nengine_timeout = 1500\n";
constexpr std::chrono::seconds callerSilence{5};

} // namespace

CorrectionSystem::CorrectionSystem(std::size_t engines)
    : SystemFixture({.engines = engines, .services = services, .engineArguments = {"--token-delay-us", "3000"}, .moreSettings = std::string(settings)})
{
    // A bucket begins empty; a first call that passes tells that it has filled.
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST_REQUIRE(waitFor(patience, [&] { return call(i, post("/archive/pages", "{}")).status == okStatus; }));
    }
}

Correction CorrectionSystem::makeCorrection(std::string key)
{
    Correction correction;
    correction.key = std::move(key);
    correction.body = R"({"table":"4.2","value":17})";
    return correction;
}

CallerAnswer CorrectionSystem::lodge(Correction &correction, std::size_t host) const
{
    const std::string fields = "Idempotency-Key: " + correction.key + "\r\n";
    CallerAnswer answer = call(host, post("/archive/corrections/7", correction.body, deskKey, fields), callerSilence);
    ++correction.tries;
    correction.lastWasNotRun = answer.body.find(R"("run":"not_run")") != std::string::npos;
    if (answer.status == okStatus) {
        correction.answers.push_back(answer.body);
    }
    return answer;
}

std::int64_t CorrectionSystem::executions(const Correction &correction)
{
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < services; ++i) {
        sum += std::max<std::int64_t>(0, numberIn(record(service(i)), correction.key));
    }
    return sum;
}

void CorrectionSystem::check(const Correction &correction)
{
    const std::int64_t ran = executions(correction);
    BOOST_TEST(ran <= 1, correction.key << " ran " << ran << " times");
    BOOST_TEST((correction.answers.empty() || ran == 1), correction.key << " was answered without having run");
    for (const std::string &answer : correction.answers) {
        BOOST_TEST(answer == correction.answers.front());
    }
    // The last try asks about all earlier ones too.
    BOOST_TEST(!(correction.lastWasNotRun && ran > 0), correction.key << " ran and its caller was told that it did not");
}

void CorrectionSystem::planServiceFault(std::string_view json)
{
    for (std::size_t i = 0; i < services; ++i) {
        planFault(service(i), json);
    }
}

} // namespace Lovageloft

#include <filesystem>
#include <set>

#include <boost/test/unit_test.hpp>

#include "tests/core/source_text.h"

using namespace Lovageloft;

namespace
{

/// The events that the sources of the gateway write: all texts between writeLog( and the first brace.
std::set<std::string> writtenEvents()
{
    std::set<std::string> events;
    for (const char *folder : {"core", "gateway", "platform", "main"}) {
        for (const auto &file : std::filesystem::directory_iterator(folder)) {
            if (file.path().extension() != ".cpp") {
                continue;
            }
            for (const std::string &head : matchesIn(readAll(file.path()), R"((?:writeLog|writeRecord)\(([^{;]*)[{;])")) {
                events.merge(matchesIn(head, R"re("([a-z_]+)")re"));
            }
        }
    }
    return events;
}

std::set<std::string> documentedEvents()
{
    return matchesIn(readAll("docs/LOGS.md"), R"(\n\| `([a-z_]+)` \|)");
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogEventsTest)

BOOST_AUTO_TEST_CASE(thePageOfEventsAndTheCodeNameTheSameOnes)
{
    // An engineer on call finds a line whose event no page explains, or waits for one that no program writes.
    const auto written = writtenEvents();
    const auto documented = documentedEvents();
    BOOST_TEST(written.size() > 20U);
    for (const std::string &event : written) {
        BOOST_TEST(documented.contains(event), event << " is missing in docs/LOGS.md");
    }
    for (const std::string &event : documented) {
        BOOST_TEST(written.contains(event), event << " stands in docs/LOGS.md and nowhere in the code");
    }
}

BOOST_AUTO_TEST_SUITE_END()

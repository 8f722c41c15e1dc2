#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include <boost/test/unit_test.hpp>

namespace
{

std::string readAll(const std::filesystem::path &path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// The events that the sources of the gateway write: all texts between writeLog( and the first brace.
std::set<std::string> writtenEvents()
{
    std::set<std::string> events;
    const std::regex call(R"((?:writeLog|push)\(([^{;]*)[{;])");
    const std::regex text(R"re("([a-z_]+)")re");
    for (const char *folder : {"core", "gateway", "platform", "main"}) {
        for (const auto &file : std::filesystem::directory_iterator(folder)) {
            if (file.path().extension() != ".cpp") {
                continue;
            }
            const std::string source = readAll(file.path());
            for (std::sregex_iterator found(source.begin(), source.end(), call), end; found != end; ++found) {
                const std::string head = (*found)[1];
                for (std::sregex_iterator event(head.begin(), head.end(), text); event != end; ++event) {
                    events.insert((*event)[1]);
                }
            }
        }
    }
    return events;
}

std::set<std::string> documentedEvents()
{
    std::set<std::string> events;
    const std::string page = readAll("docs/LOGS.md");
    const std::regex row(R"(\n\| `([a-z_]+)` \|)");
    for (std::sregex_iterator found(page.begin(), page.end(), row), end; found != end; ++found) {
        events.insert((*found)[1]);
    }
    return events;
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

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/core/source_text.h"

using namespace Lovageloft;

namespace
{

namespace Files = std::filesystem;

std::vector<Files::path> sourcesIn(const std::string &folder)
{
    std::vector<Files::path> found;
    for (const auto &file : Files::directory_iterator(folder)) {
        const std::string extension = file.path().extension();
        if (extension == ".cpp" || extension == ".h") {
            found.push_back(file.path());
        }
    }
    return found;
}

/// What each folder may include besides itself.
const std::map<std::string, std::set<std::string>> mayInclude{
    {"core", {}},
    {"estimation", {"core"}},
    {"partitioning", {"core"}},
    {"quota", {"core"}},
    {"overload", {"core"}},
    {"memory", {"core"}},
    {"decision", {"core", "estimation", "partitioning"}},
    {"suspicion", {"core", "decision"}},
    {"coordination", {"core"}},
    {"drivers", {"core", "coordination", "decision"}},
    {"gateway", {"core", "coordination", "decision", "drivers", "estimation", "memory", "quota"}},
    {"platform", {"core", "coordination", "decision", "drivers", "gateway"}},
    {"servers", {"core", "coordination", "decision", "drivers", "memory"}},
    {"main", {"core", "coordination", "decision", "drivers", "gateway", "memory", "platform", "servers"}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(LayersTest)

BOOST_AUTO_TEST_CASE(foldersIncludeDownwardOnly)
{
    // A decision that reaches up for a socket can't be tested without one, and can't be embedded by others without all the rest.
    const std::string include = R"re(#include "([a-z]+)/)re";
    for (const auto &[folder, allowed] : mayInclude) {
        for (const Files::path &source : sourcesIn(folder)) {
            for (const std::string &included : matchesIn(readAll(source), include)) {
                BOOST_TEST((included == folder || allowed.contains(included)), source.string() << " includes " << included);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyTheAdapterNamesThePlatformsWire)
{
    // A field's or a path's name that stands in two folders is changed in one of them only when the platform changes.
    const std::string wireName = R"re("(Lovageloft-[A-Za-z-]+|/v1/[a-z/-]+)")re";
    std::set<std::string> names;
    for (const Files::path &source : sourcesIn("platform")) {
        names.merge(matchesIn(readAll(source), wireName));
    }
    BOOST_TEST(names.size() > 15U);
    for (const char *folder : {"core", "decision", "coordination", "drivers", "gateway", "main"}) {
        for (const Files::path &source : sourcesIn(folder)) {
            for (const std::string &name : matchesIn(readAll(source), wireName)) {
                BOOST_TEST(!names.contains(name), source.string() << " names " << name);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(noSourceFileIsLongerThanSixHundredLines)
{
    for (const auto &[folder, allowed] : mayInclude) {
        for (const Files::path &source : sourcesIn(folder)) {
            const std::string text = readAll(source);
            const auto lines = std::count(text.begin(), text.end(), '\n');
            const bool isGenerated = source.string().find(".capnp.") != std::string::npos;
            BOOST_TEST((lines <= 600 || isGenerated), source.string() << " has " << lines << " lines");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

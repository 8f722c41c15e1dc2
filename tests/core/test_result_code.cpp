#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "core/result_code.h"
#include "core/settings.h"

using namespace Lovageloft;

namespace
{

std::string readFile(const std::string &path)
{
    const std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResultCodeTest)

BOOST_AUTO_TEST_CASE(theTableIsSortedAndFound)
{
    int last = -1;
    for (const ResultCodeInfo &info : resultCodeTable()) {
        BOOST_TEST(static_cast<int>(info.code) > last);
        last = static_cast<int>(info.code);
        BOOST_TEST(resultCodeInfo(info.code).name == info.name);
    }
}

BOOST_AUTO_TEST_CASE(theDocsHoldEachCode)
{
    const std::string page = readFile("docs/RESULT-CODES.md");
    for (const ResultCodeInfo &info : resultCodeTable()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | " << info.httpStatus << " | " << info.meaning << " |";
        BOOST_TEST(page.find(row.str()) != std::string::npos, "missing in docs/RESULT-CODES.md: " << row.str());
    }
}

BOOST_AUTO_TEST_CASE(theDocsHoldEachSetting)
{
    const std::string page = readFile("docs/SETTINGS.md");
    for (const SettingSpec &spec : settingSpecs()) {
        const std::string row = "| `" + std::string(spec.section) + "." + std::string(spec.key) + "` | ";
        BOOST_TEST(page.find(row) != std::string::npos, "missing in docs/SETTINGS.md: " << row);
        BOOST_TEST(page.find(std::string(spec.meaning)) != std::string::npos, "meaning missing in docs/SETTINGS.md: " << spec.meaning);
    }
}

BOOST_AUTO_TEST_SUITE_END()

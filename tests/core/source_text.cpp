#include "tests/core/source_text.h"

#include <fstream>
#include <iterator>
#include <regex>

namespace Lovageloft
{

std::string readAll(const std::filesystem::path &path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::set<std::string> matchesIn(const std::string &text, const std::string &pattern)
{
    std::set<std::string> found;
    const std::regex compiled(pattern);
    for (std::sregex_iterator match(text.begin(), text.end(), compiled), end; match != end; ++match) {
        found.insert((*match)[1]);
    }
    return found;
}

} // namespace Lovageloft

#pragma once

#include <filesystem>
#include <set>
#include <string>

/// For tests that hold pages and sources to each other. Paths are of the project's folder, where the tests run.
namespace Lovageloft
{

/// A file's text; empty if it can't be read.
std::string readAll(const std::filesystem::path &path);

/// What the first group of `pattern` matches in a text.
std::set<std::string> matchesIn(const std::string &text, const std::string &pattern);

} // namespace Lovageloft

#pragma once

#include <string>
#include <string_view>

namespace Lovageloft
{

/// An operator call's JSON answer as text for people: a field a line, and each list of objects as a table with aligned
/// columns. What is not a JSON object is returned as it is.
std::string formatAnswer(std::string_view json);

} // namespace Lovageloft

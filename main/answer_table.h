#pragma once

#include <string>
#include <string_view>

namespace Lovageloft
{

/// Formats the JSON response to an operator call as text: one line per field, and a table with aligned columns for each list of objects. A text that
/// is no JSON object is returned unchanged.
std::string formatAnswer(std::string_view json);

} // namespace Lovageloft

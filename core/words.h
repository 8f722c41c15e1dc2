#pragma once

#include <string_view>

namespace Lovageloft
{

/// Removes the first word, and the space after it, from the text and returns it. A text without spaces is one word.
std::string_view consumeWord(std::string_view &text);

} // namespace Lovageloft

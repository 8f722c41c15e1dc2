#include "core/words.h"

#include <algorithm>

namespace Lovageloft
{

std::string_view consumeWord(std::string_view &text)
{
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

} // namespace Lovageloft

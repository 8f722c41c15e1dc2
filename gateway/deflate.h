#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageloft
{

/// Compresses the bytes to zlib format at the fastest level.
std::string deflated(std::string_view bytes);

/// Decompresses zlib data. Returns nothing if the data is invalid or decompresses to nothing, or if the result would exceed
/// `maxBytes`.
std::optional<std::string> inflated(std::string_view bytes, std::size_t maxBytes);

} // namespace Lovageloft

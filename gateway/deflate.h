#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Lovageloft
{

/// The bytes in zlib's format, at its fastest level.
std::string deflated(std::string_view bytes);

/// What was deflated; nothing if the bytes can't be read or would grow beyond `limit`.
std::optional<std::string> inflated(std::string_view bytes, std::size_t limit);

} // namespace Lovageloft

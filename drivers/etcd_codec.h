#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Encodings of etcd v3's JSON mapping: bytes as base64, key prefixes as ranges.
namespace Lovageloft
{

/// Encodes bytes as base64 without line breaks.
std::string encodeBase64(std::string_view bytes);

/// Decodes a base64 text; returns nothing if it is invalid.
std::optional<std::string> decodeBase64(std::string_view text);

/// The `range_end` for all keys with a prefix: the first key after them. If there is none, as for an empty prefix, a zero byte, which means
/// "to the last key".
std::string prefixRangeEnd(std::string_view prefix);

} // namespace Lovageloft

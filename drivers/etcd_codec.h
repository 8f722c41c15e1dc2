#pragma once

#include <optional>
#include <string>
#include <string_view>

/// The encodings of etcd v3's JSON mapping: bytes as base64, ranges of keys by their end.
namespace Lovageloft
{

/// Bytes as base64 without line breaks.
std::string encodeBase64(std::string_view bytes);

/// The bytes of a base64 text; nothing if it isn't one.
std::optional<std::string> decodeBase64(std::string_view text);

/// The first key after all keys that begin with `prefix`, as `range_end` wants it. A prefix that has no such
/// key, an empty one among them, gives the single zero byte that stands for "to the last key".
std::string prefixRangeEnd(std::string_view prefix);

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <string>

namespace Lovageloft
{

/// Digest of what makes a request the same one when it comes again: method, host, path, caller and body.
enum class RequestFingerprint : std::uint64_t
{
};

/// As it stands in logs and keys: 16 hexadecimal digits.
std::string fingerprintText(RequestFingerprint request);

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <string>

namespace Lovageloft
{

/// Hash that identifies a request when it is repeated: of the HTTP method, the Host header, the path, the caller's key and the body.
enum class RequestFingerprint : std::uint64_t
{
};

/// The fingerprint as written in logs and keys: 16 hexadecimal digits.
std::string fingerprintText(RequestFingerprint request);

} // namespace Lovageloft

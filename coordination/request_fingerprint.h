#pragma once

#include <cstdint>
#include <string>

namespace Lovageloft
{

/// Hash that identifies a request when it is repeated: of method, host, path, caller and body.
enum class RequestFingerprint : std::uint64_t
{
};

/// The fingerprint as written in logs and keys: 16 hexadecimal digits.
std::string fingerprintText(RequestFingerprint request);

} // namespace Lovageloft

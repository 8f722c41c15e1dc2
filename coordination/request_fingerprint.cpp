#include "coordination/request_fingerprint.h"

#include "core/digest.h"

namespace Lovageloft
{

std::string fingerprintText(RequestFingerprint request)
{
    return hexText(static_cast<std::uint64_t>(request));
}

} // namespace Lovageloft

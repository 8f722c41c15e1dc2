#include "coordination/request_fingerprint.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace Lovageloft
{

std::string fingerprintText(RequestFingerprint request)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, static_cast<std::uint64_t>(request));
    return text.data();
}

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <string>

namespace Lovageloft
{

/// Hash of what requests can have in common and may crash targets: either method, Host header, path, caller's key and body together, which are the
/// same when a request is repeated, or one part of the prompt.
enum class RequestFeature : std::uint64_t
{
};

/// The feature as written in logs and keys: 16 hexadecimal digits.
std::string featureText(RequestFeature feature);

} // namespace Lovageloft

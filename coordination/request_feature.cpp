#include "coordination/request_feature.h"

#include "core/digest.h"

namespace Lovageloft
{

std::string featureText(RequestFeature feature)
{
    return hexText(static_cast<std::uint64_t>(feature));
}

} // namespace Lovageloft

#include "decision/placement.h"

namespace Lovageloft
{

PlacementPolicy PlacementPolicy::withAnnouncements()
{
    PlacementPolicy policy;
    policy.laterWinnerMargin = 0.25;
    policy.nonWinnerMargin = 0.5;
    return policy;
}

} // namespace Lovageloft

#include "gateway/engine_urgency.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr int lowest = 9;
constexpr int ofHighestPriority = 4; ///< Leaves room above for what operators set apart.

/// Steps by which a request that comes late is less urgent. Two put it behind the next lower priority that still comes in time; with four,
/// five in a thousand fewer were served.
constexpr int lateSteps = 2;

} // namespace

/// Made for an overload of some seconds, when engines are lost while many callers come. Served in the order of arrival, all answers come
/// late; what is late anyway loses nothing by waiting longer, while its place serves another caller in time. In the heaviest days nine
/// in a thousand more of the worth was served, with an error of three.
int engineUrgency(int priority, bool isExpectedLate)
{
    return std::clamp(ofHighestPriority + priority + (isExpectedLate ? lateSteps : 0), 0, lowest);
}

} // namespace Lovageloft

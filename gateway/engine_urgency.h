#pragma once

namespace Lovageloft
{

/// The urgency of a request for an engine's queue: 4 to 9 for priorities from 0, 9 being the least urgent; 0 to 3 are reserved for
/// operators. `priority` is that of the route or team, 0 being the highest. `isExpectedLate`: the first token is expected after the route's latency target.
int engineUrgency(int priority, bool isExpectedLate);

} // namespace Lovageloft

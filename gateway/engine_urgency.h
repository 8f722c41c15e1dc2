#pragma once

namespace Lovageloft
{

/// The priority of a request for an engine's queue, from 0 for the most urgent to 9. `priority` is that of the route or team, 0 being the
/// highest. `isExpectedLate`: the first token is expected after the route's latency target.
int engineUrgency(int priority, bool isExpectedLate);

} // namespace Lovageloft

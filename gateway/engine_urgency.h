#pragma once

namespace Lovageloft
{

/// How urgent a request is to an engine, from 0 for the most urgent to 9. `priority` is its route's or team's, 0 for the highest;
/// `isExpectedLate` whether its first token is expected after the route's latency target.
int engineUrgency(int priority, bool isExpectedLate);

} // namespace Lovageloft

#pragma once

#include "core/metrics.h"

namespace Lovageloft
{

class Gateway;

/// Updates the gauges to the current state of a gateway, and the counters of log lines. For use on the event loop only.
void updateGauges(Metrics &metrics, const Gateway &gateway);

} // namespace Lovageloft

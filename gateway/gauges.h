#pragma once

#include "core/metrics.h"

namespace Lovageloft
{

class Gateway;

/// Brings the gauges up to what a gateway holds now, and the counters of its log. For the event loop only.
void updateGauges(Metrics &metrics, const Gateway &gateway);

} // namespace Lovageloft

#pragma once

#include <array>
#include <span>

#include "overload/demand_digest.h"

namespace Lovageloft
{

using ClassSeconds = std::array<double, priorityClassCount>;

/// The max-min fair share: the largest amount of which every demand may have at most that much without the sum exceeding the capacity. The capacity if
/// the demands don't reach it. Demands and capacity are in the same unit and not negative.
double maxMinShare(std::span<const double> demands, double capacity);

/// Divides capacity among priority classes: each gets a tenth of it, or its whole demand if that is less, and the rest goes to the highest class with
/// unmet demand.
ClassSeconds sharesByPriority(const ClassSeconds &demands, double capacity);

} // namespace Lovageloft

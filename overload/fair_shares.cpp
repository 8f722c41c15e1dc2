#include "overload/fair_shares.h"

#include <algorithm>
#include <vector>

namespace Lovageloft
{

namespace
{

constexpr double guaranteedPart = 0.1; ///< Of the capacity, for each priority class with requests.

} // namespace

double maxMinShare(std::span<const double> demands, double capacity)
{
    std::vector<double> ascending(demands.begin(), demands.end());
    std::sort(ascending.begin(), ascending.end());
    double left = capacity;
    std::size_t count = ascending.size();
    for (const double demand : ascending) {
        const double equalShare = left / static_cast<double>(count);
        if (demand > equalShare) {
            return equalShare;
        }
        left -= demand;
        --count;
    }
    return capacity;
}

ClassSeconds sharesByPriority(const ClassSeconds &demands, double capacity)
{
    ClassSeconds shares{};
    double left = capacity;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        shares[i] = std::min(demands[i], guaranteedPart * capacity);
        left -= shares[i];
    }
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        const double more = std::min(demands[i] - shares[i], left);
        shares[i] += more;
        left -= more;
    }
    return shares;
}

} // namespace Lovageloft

#include "coordination/broadcast_plan.h"

#include <cmath>
#include <map>
#include <utility>

namespace Lovageloft
{

namespace
{

void shuffle(std::vector<std::size_t> &numbers, Random &random)
{
    for (std::size_t i = numbers.size(); i > 1; --i) {
        std::swap(numbers[i - 1], numbers[randomBelow(random, i)]);
    }
}

/// Chooses the forwarders among these receivers at random and distributes the others evenly.
void addBranches(std::vector<BroadcastBranch> &branches, std::vector<std::size_t> &receivers, std::size_t forwarders, Random &random)
{
    shuffle(receivers, random);
    const std::size_t first = branches.size();
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        if (i < forwarders) {
            branches.push_back({receivers[i], {}});
        } else {
            branches[first + i % forwarders].receivers.push_back(receivers[i]);
        }
    }
}

} // namespace

std::vector<BroadcastBranch> planBroadcast(std::span<const std::size_t> dataCentres, Random &random)
{
    std::map<std::size_t, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < dataCentres.size(); ++i) {
        groups[dataCentres[i]].push_back(i);
    }
    std::vector<BroadcastBranch> branches;
    for (auto &[dataCentre, receivers] : groups) {
        // With this many forwarders in each of g groups of n receivers, the sender and each forwarder send about sqrt(g * n) datagrams.
        const double forwarderCount = std::sqrt(static_cast<double>(receivers.size()) / static_cast<double>(groups.size()));
        const bool isDirect = dataCentres.size() <= maxDirectReceivers;
        addBranches(branches, receivers, isDirect ? receivers.size() : static_cast<std::size_t>(std::ceil(forwarderCount)), random);
    }
    return branches;
}

} // namespace Lovageloft

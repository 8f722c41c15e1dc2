#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/random.h"

namespace Lovageloft
{

/// One datagram of a broadcast: the receiver that it is sent to, and those to which that one passes it on.
struct BroadcastBranch
{
    std::size_t forwarder = 0; ///< Number of a receiver.
    std::vector<std::size_t> receivers; ///< Numbers of others in the forwarder's data centre; empty if nothing is to be passed on.
};

/// Up to this many receivers the sender reaches each of them itself.
inline constexpr std::size_t mostDirectReceivers = 16;

/// Who sends what to reach all receivers within two hops; `dataCentres` has for each of them the number of its data centre.
///
/// Beyond mostDirectReceivers nobody sends more than about the root of their number: sent to each of 300 hosts by one of them, the changes of
/// a hundred engines fill a link of 20 Mbit/s for seconds. What goes to another data centre is passed on within it, so that few copies cross.
/// The forwarders are drawn anew for each broadcast: a dead one costs its receivers one datagram and not all.
std::vector<BroadcastBranch> planBroadcast(std::span<const std::size_t> dataCentres, Random &random);

} // namespace Lovageloft

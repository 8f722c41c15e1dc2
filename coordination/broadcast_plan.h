#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/random.h"

namespace Lovageloft
{

/// One datagram of a broadcast: the receiver to which it is sent, and the receivers to which that one forwards it.
struct BroadcastBranch
{
    std::size_t forwarder = 0; ///< Index of a receiver.
    std::vector<std::size_t> receivers; ///< Indices of others in the forwarder's data centre; empty if nothing is to be forwarded.
};

/// Up to this many receivers, the sender sends to each of them directly.
inline constexpr std::size_t maxDirectReceivers = 16;

/// Plans which host sends to which, so that a broadcast reaches all receivers within two hops. `dataCentres[i]` is the index of the data
/// centre of receiver i.
///
/// With N receivers, N above maxDirectReceivers, no host sends many more than sqrt(N) datagrams: if one host sent the changes of a
/// hundred engines to each of 300 hosts, it would fill a link of 20 Mbit/s for seconds. Datagrams for another data centre are forwarded within
/// it, so that few copies cross. The forwarders are chosen at random for each broadcast, so that a dead one costs its receivers one datagram
/// and not all.
std::vector<BroadcastBranch> planBroadcast(std::span<const std::size_t> dataCentres, Random &random);

} // namespace Lovageloft

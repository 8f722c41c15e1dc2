#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decision/cache_view.h"

/// Weighted rendezvous hashing: all hosts with the same list of engines select the same ones for a key, without messages and
/// also right after a restart. An engine that is added or removed moves only the keys that it wins.
namespace Lovageloft
{

/// One engine of the hash.
struct RendezvousNode
{
    EngineIndex engine = 0;
    std::uint64_t id = 0; ///< rendezvousId() of its name; the same on every host, while the index may differ.
    float inverseWeight = 1; ///< 1 / configured weight of the engine; must not depend on what one host has measured.
};

/// Returns the hash of the name of an engine or host, or of a key; the same on every host.
std::uint64_t rendezvousId(std::string_view name);

/// Writes the engines that win `key`, best first, and returns their number: the smaller of both sizes, 16 at most.
std::size_t rendezvousWinners(std::uint64_t key, std::span<const RendezvousNode> nodes, std::span<EngineIndex> winners);

/// Rendezvous hashing over names, for example of hosts: a key has the same winners wherever the list of names is the same.
class RendezvousNames
{
public:
    RendezvousNames() = default;
    explicit RendezvousNames(std::vector<std::string> names);

    bool isEmpty() const;

    /// Returns up to `count` names that win `key`, best first; 16 at most.
    std::vector<std::string> winners(std::string_view key, std::size_t count) const;

private:
    std::vector<std::string> names_;
    std::vector<RendezvousNode> nodes_; ///< In the same order as the names.
};

} // namespace Lovageloft

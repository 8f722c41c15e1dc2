#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "decision/cache_view.h"

/// Weighted rendezvous hashing: every host that lists the same engines picks the same ones for a key, without a message and
/// also right after a restart, and an engine that comes or goes moves only the keys that it wins.
namespace Lovageloft
{

/// One engine that takes part.
struct RendezvousNode
{
    EngineIndex engine = 0;
    std::uint64_t id = 0; ///< rendezvousId of its name, the same on every host while the index may differ.
    float inverseWeight = 1; ///< 1 / the engine's configured weight; what one host alone has measured must not go in.
};

std::uint64_t rendezvousId(std::string_view engineName);

/// Writes the engines that win `key`, the first winner first, and returns how many: the lesser of both sizes.
std::size_t rendezvousWinners(std::uint64_t key, std::span<const RendezvousNode> nodes, std::span<EngineIndex> winners);

/// Names, of hosts for one, among which each key has the same winners wherever the same names are known.
class RendezvousNames
{
public:
    RendezvousNames() = default;
    explicit RendezvousNames(std::vector<std::string> names);

    bool isEmpty() const;

    /// Up to `count` names, the first winner first; 16 at most.
    std::vector<std::string> winners(std::string_view key, std::size_t count) const;

private:
    std::vector<std::string> names_;
    std::vector<RendezvousNode> nodes_; ///< Of the same order.
};

} // namespace Lovageloft

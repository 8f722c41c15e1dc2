#include "decision/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace Lovageloft
{

namespace
{

constexpr std::size_t maxWinners = 16;

/// Finalizer of MurmurHash3: mixes well and takes only two multiplications, which matters for 1,000 engines.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

/// Returns an exponential variate whose rate is the weight: the probability that a node has the minimum is proportional to its weight.
float weightedDraw(std::uint64_t key, const RendezvousNode &node)
{
    constexpr float scale = 1.0F / (1U << 24U);
    const auto bits = static_cast<float>(mix(key ^ node.id) >> 40U);
    return -std::log((bits + 0.5F) * scale) * node.inverseWeight;
}

} // namespace

std::uint64_t rendezvousId(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::size_t rendezvousWinners(std::uint64_t key, std::span<const RendezvousNode> nodes, std::span<EngineIndex> winners)
{
    std::array<std::pair<float, const RendezvousNode *>, maxWinners> best{};
    const std::size_t wanted = std::min({winners.size(), nodes.size(), maxWinners});
    if (wanted == 0) {
        return 0;
    }
    std::size_t count = 0;
    for (const RendezvousNode &node : nodes) {
        const float draw = weightedDraw(key, node);
        if (count == wanted && draw >= best[count - 1].first) {
            continue;
        }
        std::size_t position = count < wanted ? count++ : count - 1;
        for (; position > 0 && best[position - 1].first > draw; --position) {
            best[position] = best[position - 1];
        }
        best[position] = {draw, &node};
    }
    for (std::size_t i = 0; i < count; ++i) {
        winners[i] = best[i].second->engine;
    }
    return count;
}

RendezvousNames::RendezvousNames(std::vector<std::string> names)
    : names_(std::move(names))
{
    nodes_.reserve(names_.size());
    for (const std::string &name : names_) {
        nodes_.push_back({static_cast<EngineIndex>(nodes_.size()), rendezvousId(name)});
    }
}

bool RendezvousNames::isEmpty() const
{
    return names_.empty();
}

std::vector<std::string> RendezvousNames::winners(std::string_view key, std::size_t count) const
{
    std::array<EngineIndex, maxWinners> indexes{};
    const std::size_t found = rendezvousWinners(rendezvousId(key), nodes_, std::span(indexes).first(std::min(count, maxWinners)));
    std::vector<std::string> winners;
    winners.reserve(found);
    for (const EngineIndex index : std::span(indexes).first(found)) {
        winners.push_back(names_[index]);
    }
    return winners;
}

} // namespace Lovageloft

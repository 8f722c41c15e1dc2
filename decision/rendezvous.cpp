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

constexpr std::size_t winnersLimit = 16;

/// The finalizer of MurmurHash3: it mixes well and costs two multiplications, which matters for 1,000 engines.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

/// An exponential variate whose rate is the weight: the least of several falls to each in proportion to its weight.
float drawOf(std::uint64_t key, const RendezvousNode &node)
{
    constexpr float scale = 1.0F / (1U << 24U);
    const auto bits = static_cast<float>(mix(key ^ node.id) >> 40U);
    return -std::log((bits + 0.5F) * scale) * node.inverseWeight;
}

} // namespace

std::uint64_t rendezvousId(std::string_view engineName)
{
    return XXH3_64bits(engineName.data(), engineName.size());
}

std::size_t rendezvousWinners(std::uint64_t key, std::span<const RendezvousNode> nodes, std::span<EngineIndex> winners)
{
    std::array<std::pair<float, const RendezvousNode *>, winnersLimit> best{};
    const std::size_t wanted = std::min({winners.size(), nodes.size(), winnersLimit});
    if (wanted == 0) {
        return 0;
    }
    std::size_t count = 0;
    for (const RendezvousNode &node : nodes) {
        const float draw = drawOf(key, node);
        if (count == wanted && draw >= best[count - 1].first) {
            continue;
        }
        std::size_t place = count < wanted ? count++ : count - 1;
        for (; place > 0 && best[place - 1].first > draw; --place) {
            best[place] = best[place - 1];
        }
        best[place] = {draw, &node};
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
    std::array<EngineIndex, winnersLimit> places{};
    const std::size_t found = rendezvousWinners(rendezvousId(key), nodes_, std::span(places).first(std::min(count, winnersLimit)));
    std::vector<std::string> winners;
    winners.reserve(found);
    for (const EngineIndex place : std::span(places).first(found)) {
        winners.push_back(names_[place]);
    }
    return winners;
}

} // namespace Lovageloft

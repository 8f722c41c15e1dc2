#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"

namespace Lovageloft
{

/// A model that an engine serves and the version of its weights.
struct ServedModel
{
    std::string name;
    std::int64_t version = 0;
};

inline bool operator==(const ServedModel &left, const ServedModel &right)
{
    return left.name == right.name && left.version == right.version;
}

inline bool operator==(const HostAddress &left, const HostAddress &right)
{
    return left.host == right.host && left.port == right.port;
}

/// One target as it registered itself in the store.
struct Target
{
    std::string id;
    std::string service;
    HostAddress address;
    std::string dataCentre;
    std::int64_t slots = 1; ///< Requests that it works on at once.
    bool isLeaving = false; ///< It announced its shutdown and takes no new work.
    std::int64_t incarnation = 0; ///< Its start in Unix milliseconds; another one under the same id knows nothing of before.
    std::vector<ServedModel> models;

    bool operator==(const Target &) const = default;
};

/// All registered targets by their id.
using TargetMap = std::map<std::string, Target, std::less<>>;

/// The weights that an operator named for a model.
struct PublishedWeights
{
    std::string model;
    std::int64_t version = 0;
    TimePoint publishedAt; ///< When this host heard of them; in TargetDirectory when they were named, as far as is known.
    bool wereFoundAtStartup = false; ///< It read them when it started: they may have been named long before.
    Duration silence{}; ///< For how long before it heard the host was cut off or stood still: they may have been named any time in it.
};

/// Whether weights count as named when they were heard of. A shorter silence is within what is left after `olderWeightsGracePeriod`.
inline bool isPublicationTimeKnown(const PublishedWeights &weights)
{
    constexpr Duration shortSilence = std::chrono::milliseconds(500);
    return !weights.wereFoundAtStartup && weights.silence <= shortSilence;
}

/// The name of weights in keys of the store.
inline std::string weightsKeyName(const PublishedWeights &weights)
{
    return weights.model + '/' + std::to_string(weights.version);
}

/// How long after new weights were named they count as young: what a host that finds them at its start takes for their age if it can't be
/// told better. Half of the deadline is what a round over all engines takes.
constexpr Duration recentWeightsPeriod(Duration deadline)
{
    return deadline / 2;
}

/// How long after new weights were named older ones may be used, given the time by which no request may begin on them. What is sent
/// last is expected to begin at once; the rest is for waits that can't be foreseen. See PlacementPolicy::firstTokenSafetyFactor for longer ones.
constexpr Duration olderWeightsGracePeriod(Duration deadline)
{
    constexpr int parts = 17;
    constexpr int whole = 20;
    return deadline * parts / whole;
}

} // namespace Lovageloft

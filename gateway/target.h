#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"

namespace Lovageloft
{

/// A model that an engine serves, with the version of its weights.
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

/// A target as described by its own entry in the store.
struct Target
{
    std::string id;
    std::string service;
    HostAddress address;
    std::string dataCentre;
    std::string softwareVersion; ///< Empty if its entry states none.
    std::int64_t slots = 1; ///< Maximum number of concurrent requests.
    bool isLeaving = false; ///< It announced its shutdown and accepts no new requests.
    bool isUnlisted = false; ///< Its entry has gone in an outage of the store, and it is kept for a grace period.
    std::int64_t incarnation = 0; ///< Start time in Unix milliseconds. Another incarnation under the same id has no state of the previous one.
    std::vector<ServedModel> models;

    bool operator==(const Target &) const = default;
};

/// All registered targets by id.
using TargetMap = std::map<std::string, Target, std::less<>>;

/// A weights version that an operator published for a model.
struct PublishedWeights
{
    std::string model;
    std::int64_t version = 0;
    TimePoint publishedAt; ///< Publication time. Until TargetDirectory corrects it, the time when this host first saw them.
    bool wereFoundAtStartup = false; ///< This host read them at startup: they may have been published long before.
    Duration silence{}; ///< For how long before this host saw them it could not have noticed a change, being cut off or stalled: they may be that much older.
};

/// Whether `publishedAt` can be taken as the publication time. A silence of up to 500 ms is ignored: it is less than the 15 % of the
/// deadline that remain after `olderWeightsGracePeriod`, if the deadline is at least 3.4 s.
inline bool isPublicationTimeKnown(const PublishedWeights &weights)
{
    constexpr Duration shortSilence = std::chrono::milliseconds(500);
    return !weights.wereFoundAtStartup && weights.silence <= shortSilence;
}

/// Name of the weights in store keys: "MODEL/VERSION".
inline std::string weightsKeyName(const PublishedWeights &weights)
{
    return weights.model + '/' + std::to_string(weights.version);
}

/// How long weights count as recent after their publication. Half of the deadline, the time that updating all engines usually takes. A
/// host that finds weights at startup assumes this age until another host reports the actual one.
constexpr Duration recentWeightsPeriod(Duration deadline)
{
    return deadline / 2;
}

/// How long after the publication of new weights requests may still be sent to engines with older ones. `deadline` is the time after which
/// no request may begin on older weights. The last requests sent are expected to begin at once; the remaining 15 % of the deadline covers
/// unforeseen waits. For longer waits that can be predicted, see PlacementPolicy::firstTokenSafetyFactor.
constexpr Duration olderWeightsGracePeriod(Duration deadline)
{
    constexpr int parts = 17;
    constexpr int whole = 20;
    return deadline * parts / whole;
}

} // namespace Lovageloft

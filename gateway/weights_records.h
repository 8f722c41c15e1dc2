#pragma once

#include <set>
#include <string>

#include "coordination/store.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Keeps a key in the store for `recentPeriod` after weights were published, so that a starting host can tell recent weights from old ones.
///
/// Without it, if all hosts lost power at once, none would know how long ago the weights found at startup were published, and engines with
/// older weights would be used beyond the deadline. The store provides no timestamps, but its leases expire.
class WeightsRecords
{
public:
    /// `prefix`: key prefix; `recentPeriod`: how long after the publication a key stays.
    WeightsRecords(Store &store, std::string prefix, Duration recentPeriod);

    /// Writes the key of weights unless it has been written, less than 1 s of `recentPeriod` is left, or this host found them at startup.
    /// Makes up to two calls to the store.
    /// After a failure, calls within the next half second do nothing.
    void record(const PublishedWeights &weights, TimePoint now);

private:
    bool write(const PublishedWeights &weights, Duration remaining);

    Store &store_;
    std::string prefix_;
    Duration recentPeriod_;
    std::set<std::string> recorded_;
    TimePoint nextAttempt_;
};

} // namespace Lovageloft

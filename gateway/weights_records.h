#pragma once

#include <set>
#include <string>

#include "coordination/store.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Keeps a key in the store for some seconds after weights were named, so that a host that starts can tell young names from old ones.
///
/// What goes wrong without it: all hosts lose power at once, none is left that knows how long ago the weights were named that they find
/// when they start, and engines with older weights are used beyond the deadline. The store tells no time, but its leases end.
class WeightsRecords
{
public:
    /// `prefix`: of the keys; `youth`: how long after the naming a key stays.
    WeightsRecords(Store &store, std::string prefix, Duration youth);

    /// Writes the key of weights that this host heard being named, unless that is done or too late. One or two calls to the store; after a
    /// failure the next try comes half a second later.
    void keep(const PublishedWeights &weights, TimePoint now);

private:
    bool write(const PublishedWeights &weights, Duration left);

    Store &store_;
    std::string prefix_;
    Duration youth_;
    std::set<std::string> kept_;
    TimePoint nextTry_;
};

} // namespace Lovageloft

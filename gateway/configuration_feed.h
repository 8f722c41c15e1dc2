#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include "core/clock.h"
#include "gateway/rollout_messages.h"
#include "gateway/routing_table.h"
#include "gateway/store_records.h"

namespace Lovageloft
{

/// Receives the operators' entries from all duties that read them and passes on each newer configuration and every entry of published
/// weights. Thread-safe; revisions never decrease.
class ConfigurationFeed
{
public:
    /// Called on the thread of the duty that read the entry. They must not call the feed, whose mutex is locked meanwhile. Only
    /// `onNewerExists` may be empty. `provenAt` is a time at which the store held the configuration as the newest.
    struct Listeners
    {
        std::function<void(const std::shared_ptr<const RoutingTable> &, TimePoint provenAt)> onConfiguration;
        std::function<void(std::int64_t revision, TimePoint provenAt)> onProof;
        std::function<void(const PublishedWeights &)> onWeights;
        std::function<void(std::int64_t revision)> onNewerExists{};
        std::function<void(const std::string &service, const SeenRolloutOrder &)> onRollout = [](const std::string &, const SeenRolloutOrder &) {};
        std::function<void(const std::string &service)> onRolloutWithdrawn = [](const std::string &) {};
    };

    ConfigurationFeed(const StoreRecords &records, Listeners listeners);

    /// Circumstances in which an entry was read.
    struct ReadContext
    {
        bool isFirstRead = false; ///< The entry belongs to the first successful read of this process.
        Duration silence{}; ///< For how long before the read this host could not have noticed a change.
    };

    /// Applies an entry that the store held at `provenAt`. Keys other than the configuration, published weights and rollout orders are ignored.
    /// An entry that cannot be parsed is logged and ignored: the last valid configuration stays in force.
    void apply(const StoreEntry &entry, TimePoint provenAt, const ReadContext &context);

    /// The same for reads before which no change can have gone unnoticed.
    void apply(const StoreEntry &entry, TimePoint provenAt);

    /// Reports to `onProof` that the configuration with this revision was the newest at `provenAt`. The revision is not checked: the listener
    /// ignores other revisions than that in force.
    void confirm(std::int64_t revision, TimePoint provenAt);

    /// Reports that the store or another host has a configuration with this revision. Calls `onNewerExists` if it is newer than the one applied.
    void noteNewer(std::int64_t revision);

    /// Revision of the newest configuration applied; 0 before the first.
    std::int64_t revision() const;

private:
    void applyConfiguration(const StoreEntry &entry, TimePoint provenAt);
    void applyWeights(const StoreEntry &entry, const ReadContext &context);
    void applyRollout(const StoreEntry &entry, const ReadContext &context);

    const StoreRecords &records_;
    Listeners listeners_;
    mutable std::mutex mutex_;
    std::int64_t revision_ = 0;
};

} // namespace Lovageloft

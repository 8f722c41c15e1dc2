#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include "core/clock.h"
#include "gateway/routing_table.h"
#include "gateway/store_records.h"

namespace Lovageloft
{

/// Receives the operators' entries from all duties that read them and passes on the new ones. Thread-safe; revisions never decrease.
class ConfigurationFeed
{
public:
    /// Called on the thread of the duty that read the entry.
    struct Listeners
    {
        std::function<void(const std::shared_ptr<const RoutingTable> &, TimePoint provenAt)> onConfiguration;
        std::function<void(std::int64_t revision, TimePoint provenAt)> onProof;
        std::function<void(const PublishedWeights &)> onWeights;
        std::function<void(std::int64_t revision)> onNewerExists{};
    };

    ConfigurationFeed(const StoreRecords &records, Listeners listeners);

    /// Circumstances in which an entry was read.
    struct ReadContext
    {
        bool isFirstRead = false; ///< The entry belongs to the first successful read of this process.
        Duration silence{}; ///< How long before the read a change could not have been noticed.
    };

    /// Applies an entry that the store held at `provenAt`. Keys other than the configuration and published weights are ignored.
    void apply(const StoreEntry &entry, TimePoint provenAt, const ReadContext &context);
    void apply(const StoreEntry &entry, TimePoint provenAt);

    /// The configuration with this revision was the newest at `provenAt`.
    void confirm(std::int64_t revision, TimePoint provenAt);

    /// The store or another host has a configuration with this revision. Calls `onNewerExists` if it is newer than the one applied.
    void noteNewer(std::int64_t revision);

    /// Revision of the newest configuration applied; 0 before the first.
    std::int64_t revision() const;

private:
    void applyConfiguration(const StoreEntry &entry, TimePoint provenAt);
    void applyWeights(const StoreEntry &entry, const ReadContext &context);

    const StoreRecords &records_;
    Listeners listeners_;
    mutable std::mutex mutex_;
    std::int64_t revision_ = 0;
};

} // namespace Lovageloft

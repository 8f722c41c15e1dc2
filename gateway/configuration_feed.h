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

/// Takes what operators wrote, from whichever duty read it, and passes on what is news. Thread-safe; revisions only rise.
class ConfigurationFeed
{
public:
    /// Hear of news, on the thread of the duty that read it.
    struct Listeners
    {
        std::function<void(const std::shared_ptr<const RoutingTable> &, TimePoint provenAt)> onConfiguration;
        std::function<void(std::int64_t revision, TimePoint provenAt)> onProof;
        std::function<void(const PublishedWeights &)> onWeights;
        std::function<void(std::int64_t revision)> onNewerExists{};
    };

    ConfigurationFeed(const StoreRecords &records, Listeners listeners);

    /// How an entry came.
    struct Hearing
    {
        bool isFirst = false; ///< This process has read nothing before.
        Duration silence{}; ///< For how long before nothing would have been heard of the entry.
    };

    /// An entry that the store held at `provenAt`.
    void apply(const StoreEntry &entry, TimePoint provenAt, const Hearing &hearing);
    void apply(const StoreEntry &entry, TimePoint provenAt);

    /// The configuration in force was the newest at `provenAt`.
    void confirm(std::int64_t revision, TimePoint provenAt);

    /// The store or another host has a newer configuration than the one in force.
    void noteNewer(std::int64_t revision);

    /// Revision of the newest configuration taken; 0 before the first.
    std::int64_t revision() const;

private:
    void takeConfiguration(const StoreEntry &entry, TimePoint provenAt);
    void takeWeights(const StoreEntry &entry, const Hearing &hearing);

    const StoreRecords &records_;
    Listeners listeners_;
    mutable std::mutex mutex_;
    std::int64_t revision_ = 0;
};

} // namespace Lovageloft

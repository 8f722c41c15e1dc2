#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// Tracks how recently this host's configuration was known to be the newest.
class TableFreshness
{
public:
    /// Identifies a configuration by the operators' version number and by the store revision of its write.
    struct Table
    {
        std::int64_t version = 0;
        std::int64_t revision = 0;
    };

    /// Sets the configuration in force, which was the newest at `provenAt`. The time of proof never decreases.
    void setTable(const Table &table, TimePoint provenAt);

    /// Records that the configuration with this revision was the newest at `provenAt`. Ignored if it is not the one in force.
    void confirm(std::int64_t revision, TimePoint provenAt);

    /// Records that a configuration with this revision exists, which may not have been read yet. Returns whether none as new was known before.
    bool noteNewer(std::int64_t revision);

    /// Records that the store has no newer configuration than the one in force.
    void noteNothingNewer();

    /// Records that another host has this configuration in force. A newer version at a lower revision means that the store was restored from a copy older
    /// than what the fleet had, and that this host read its configuration from that copy. Returns whether such a loss was newly detected.
    bool notePeerTable(const Table &table);

    /// Time since the configuration in force was last known to be the newest; very large before the first proof.
    Duration age(TimePoint now) const;

    /// Whether a newer configuration is known and the last proof is at least `window` old, or the store lost a newer one.
    bool isOutdated(TimePoint now, Duration window) const;

private:
    Table table_;
    TimePoint provenAt_;
    std::int64_t newestRevision_ = 0;
    std::int64_t lostVersion_ = 0; ///< Newest version that the store lost when it was restored from an older copy; 0 if none.
};

} // namespace Lovageloft

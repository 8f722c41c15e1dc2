#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Lovageloft
{

/// What this host knows of how new its configuration is.
class TableFreshness
{
public:
    /// A configuration by the operators' number and by the position of its write.
    struct Table
    {
        std::int64_t version = 0;
        std::int64_t revision = 0;
    };

    /// The configuration in force, which was the newest at `provenAt`. Proofs only grow younger.
    void setTable(const Table &table, TimePoint provenAt);

    /// The configuration with this position was the newest.
    void confirm(std::int64_t revision, TimePoint provenAt);

    /// One with this position exists and may not have been read yet; true for news.
    bool noteNewer(std::int64_t revision);

    /// The store was read and has nothing newer than what is in force.
    void noteNothingNewer();

    /// Another host has this one in force. A later version at an earlier position tells that the store came back from a copy older than what the
    /// fleet had, and that this host has read it from there; true for news.
    bool notePeerTable(const Table &table);

    /// Time since the configuration in force was known to be the newest.
    Duration age(TimePoint now) const;

    /// Whether a newer configuration is known to exist and has been in force for longer than `window`, or was lost by the store.
    bool isOutdated(TimePoint now, Duration window) const;

private:
    Table table_;
    TimePoint provenAt_;
    std::int64_t newestRevision_ = 0;
    std::int64_t versionLost_ = 0; ///< Of a configuration that the store had before it came back from an older copy.
};

} // namespace Lovageloft

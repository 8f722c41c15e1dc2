#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// Decides when a host reads the leader key in order to acquire it. The hosts are ranked, and each waits a little longer than the one ranked
/// before it. Otherwise hundreds of hosts would read the key, acquire a lease and write at the same moment when a leader is lost or a fleet
/// starts. The first two ranks also read a key that is held, in case no host reports the loss of its holder.
class Candidacy
{
public:
    explicit Candidacy(const Random &random);

    /// Sets this host's rank, 0 for the first; nothing if it is not among the ranked hosts, which makes it read a vacant key after these, at a
    /// random time. `hosts` is the number of all hosts.
    void setRank(std::optional<std::size_t> rank, std::size_t hosts, TimePoint now);

    /// Sets the host that is reported to hold the key; empty if none does.
    void setLeader(const std::string &host, TimePoint now);

    /// Whether to read the key now; returns true once per due time.
    bool isDue(TimePoint now);

private:
    std::optional<TimePoint> nextPollTime(TimePoint from);

    Random random_;
    std::optional<std::size_t> rank_;
    std::size_t hosts_ = 0;
    std::optional<std::string> leader_; ///< Nothing until the key has been read.
    TimePoint vacantSince_;
    std::optional<TimePoint> nextPollAt_;
};

} // namespace Lovageloft

#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// When a host looks at the leader's key to take it. The hosts are ranked, and each waits a little longer than the one before it: without
/// that hundreds of hosts read the key, take a lease and write at the moment at which a leader is lost or a fleet starts.
class Candidacy
{
public:
    explicit Candidacy(const Random &random);

    /// This host's place, 0 for the first; nothing if it is not among the first. `hosts`: how many there are.
    void setRank(std::optional<std::size_t> rank, std::size_t hosts, TimePoint now);

    /// The host that holds the key, as it is told; empty if nobody does.
    void setLeader(const std::string &host, TimePoint now);

    /// Whether to look now; true once each time.
    bool isDue(TimePoint now);

private:
    std::optional<TimePoint> nextLook(TimePoint from);

    Random random_;
    std::optional<std::size_t> rank_;
    std::size_t hosts_ = 0;
    std::optional<std::string> leader_; ///< Nothing until the key was read.
    TimePoint vacantSince_;
    std::optional<TimePoint> lookAt_;
};

} // namespace Lovageloft

#include "coordination/candidacy.h"

namespace Lovageloft
{

namespace
{

/// Delay between hosts of consecutive rank: time for some calls to the store, after which the others are notified of the new leader.
constexpr Duration delayPerRank = std::chrono::milliseconds(200);

/// Hosts without a rank follow after this many ranks, at random times in a window that grows with the fleet.
constexpr std::size_t rankedHosts = 8;
constexpr Duration jitterPerHost = std::chrono::milliseconds(10);

/// Between two reads of a key that no host seems to acquire.
constexpr Duration vacantPollInterval = std::chrono::seconds(2);

/// The first two hosts also read a key that is held, so that the loss of a leader is detected even if no host reports it. From the
/// second read on, vacantPollInterval is added to the interval.
constexpr std::size_t monitoringRanks = 2;
constexpr Duration heldPollInterval = std::chrono::seconds(20);

} // namespace

Candidacy::Candidacy(const Random &random)
    : random_(random)
{
}

void Candidacy::setRank(std::optional<std::size_t> rank, std::size_t hosts, TimePoint now)
{
    hosts_ = hosts;
    if (rank_ != rank) {
        rank_ = rank;
        nextPollAt_ = nextPollTime(leader_ == std::string() ? vacantSince_ : now);
    }
}

void Candidacy::setLeader(const std::string &host, TimePoint now)
{
    if (leader_ == host) {
        return;
    }
    leader_ = host;
    vacantSince_ = now;
    nextPollAt_ = nextPollTime(now);
}

bool Candidacy::isDue(TimePoint now)
{
    if (!nextPollAt_ || now < *nextPollAt_) {
        return false;
    }
    nextPollAt_ = nextPollTime(now + vacantPollInterval);
    return true;
}

std::optional<TimePoint> Candidacy::nextPollTime(TimePoint from)
{
    if (!leader_) {
        return std::nullopt;
    }
    if (!leader_->empty()) {
        return rank_ && *rank_ < monitoringRanks ? std::optional(from + heldPollInterval) : std::nullopt;
    }
    if (rank_) {
        return from + delayPerRank * *rank_;
    }
    return from + delayPerRank * rankedHosts + jitterPerHost * randomBelow(random_, hosts_ + 1);
}

} // namespace Lovageloft

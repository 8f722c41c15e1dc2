#include "coordination/candidacy.h"

namespace Lovageloft
{

namespace
{

/// Between two hosts in rank: some calls to the store, after which the others are told of the new leader.
constexpr Duration rankPause = std::chrono::milliseconds(200);

/// Hosts that are not ranked come after this many ranks, drawn over a window that grows with the fleet.
constexpr std::size_t ranks = 8;
constexpr Duration windowPerHost = std::chrono::milliseconds(10);

/// Between two looks at a key that nobody seems to take.
constexpr Duration vacantPause = std::chrono::seconds(2);

/// The first two look at a key that is held as well: a loss that nobody told of must not last.
constexpr std::size_t watchfulRanks = 2;
constexpr Duration heldPause = std::chrono::seconds(20);

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
        lookAt_ = nextLook(leader_ == std::string() ? vacantSince_ : now);
    }
}

void Candidacy::setLeader(const std::string &host, TimePoint now)
{
    if (leader_ == host) {
        return;
    }
    leader_ = host;
    vacantSince_ = now;
    lookAt_ = nextLook(now);
}

bool Candidacy::isDue(TimePoint now)
{
    if (!lookAt_ || now < *lookAt_) {
        return false;
    }
    lookAt_ = nextLook(now + vacantPause);
    return true;
}

std::optional<TimePoint> Candidacy::nextLook(TimePoint from)
{
    if (!leader_) {
        return std::nullopt;
    }
    if (!leader_->empty()) {
        return rank_ && *rank_ < watchfulRanks ? std::optional(from + heldPause) : std::nullopt;
    }
    if (rank_) {
        return from + rankPause * *rank_;
    }
    return from + rankPause * ranks + windowPerHost * randomBelow(random_, hosts_ + 1);
}

} // namespace Lovageloft

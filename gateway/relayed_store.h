#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/circuit_breaker.h"
#include "coordination/forwarding_store.h"
#include "core/random.h"
#include "gateway/followed_prefix.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// The store as a host sees it that lets two hosts of the fleet, the relays, watch for all.
///
/// The load it is made for: hundreds of hosts before a store whose rates grow more slowly than the fleet. With relays the number of calls hardly
/// depends on the fleet's size. Nothing is believed on hearsay: a notice continues the revision that this host has reached; a proof counts from the sending
/// of the question less the age that the other host states.
///
/// A host that missed a notice or hears from no relay asks other hosts for what it lacks, and only then the store, after a delay that
/// depends on its rank and on the size of the fleet: what cuts off hundreds of hosts at once must not make them all ask at once. The
/// deputies, which are first in rank, go by the relays and the store alone, so that others always find somebody who has asked.
///
/// Watches and proofs are called by duties and block; `onNotice`, `onChangesReply`, `changesFor` and `onProofReply` come from the event
/// loop. Thread-safe.
class RelayedStore final : public ForwardingStore
{
public:
    /// What the event loop does for this object.
    struct Network
    {
        std::function<void(const ChangesNotice &)> broadcast;
        std::function<void(const std::string &host, const ProofRequest &)> ask;
        std::function<void(const std::string &host, const ChangesRequest &)> askChanges{};
    };

    using Now = std::function<TimePoint()>;

    RelayedStore(Store &store, std::string host, Now now = &BootClock::now);

    void setNetwork(Network network);

    /// All hosts, with this one, and those of them among which the relays and deputies are chosen.
    void setHosts(const std::vector<std::string> &hosts, const std::vector<std::string> &candidates);

    bool isRelay() const;

    void onNotice(const ChangesNotice &notice);
    void onChangesReply(const ChangesReply &reply);

    /// What another host asked for; nothing if this one doesn't know it.
    std::optional<ChangesReply> changesFor(const ChangesRequest &request) const;

    void onProofReply(const ProofReply &reply);

    /// On a relay: tells the others how far it has come, by which they also notice what they missed.
    void sendHeartbeat();

    StoreReply get(std::string_view key) override;
    StoreReply confirm(std::string_view key, std::int64_t revision) override;
    StoreListReply list(std::string_view prefix) override;
    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override;
    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override;
    StoreLeaseReply grantLease(Duration timeToLive) override;
    StoreLeaseReply keepAlive(std::int64_t leaseId) override;

private:
    /// A question to other hosts that waits for its answers.
    struct ChangesQuestion
    {
        std::string prefix;
        TimePoint sentAt;
    };

    /// Makes a call to the store unless it failed a moment ago, and notes whether it answered.
    template <typename Call>
    auto guarded(Call call);

    StoreListReply watchStore(std::string_view prefix, std::int64_t afterRevision, Duration timeout);
    StoreListReply takeHeard(FollowedPrefix &followed, std::unique_lock<std::mutex> &lock);
    std::span<const std::string> relays() const;
    bool isAmongRelays() const;
    bool isDeputy() const;
    bool watchesItself() const;
    bool hasRecentAnswers(const FollowedPrefix &followed, TimePoint now) const;
    Duration outageSince(TimePoint readAt) const;
    TimePoint newsAt(const FollowedPrefix &followed) const;
    bool isBehind(const FollowedPrefix &followed, TimePoint now) const;
    void noteBehind(std::string_view prefix, FollowedPrefix &followed, TimePoint now);
    void noteMissing(std::string_view prefix, FollowedPrefix &followed, std::int64_t revision, TimePoint now);
    Duration askWindow() const;
    Duration storeDelay();
    Duration longestBreak() const;
    std::vector<std::string> hostsToAsk();
    void askForChanges(std::string_view prefix, std::int64_t reached, std::unique_lock<std::mutex> &lock);
    static void noteSilence(std::string_view prefix, FollowedPrefix &followed, TimePoint now);
    void setWatched(std::string_view prefix, bool isWatched);
    void needRevision(std::string_view key, std::int64_t revision);
    std::vector<std::string> hostsWithProofs();
    std::optional<ProofReply> askForProof(const std::string &host);

    std::string host_;
    Now now_;
    mutable std::mutex mutex_;
    std::condition_variable heard_;
    Network network_;
    bool knowsHosts_ = false;
    std::vector<std::string> others_; ///< All hosts but this one.
    std::vector<std::string> ranked_; ///< The first in rank: the relays, then the deputies.
    Random random_;
    CircuitBreaker breaker_;
    TimePoint contactAt_; ///< When the store last answered a call of this host.
    std::optional<TimePoint> failingSince_; ///< While calls fail: when the store last answered before.
    TimePoint outageEnd_; ///< When the store answered again after calls had failed.
    Duration outage_{}; ///< From the answer before.
    std::map<std::string, FollowedPrefix, std::less<>> followed_;
    std::map<std::uint64_t, std::optional<ProofReply>> questions_;
    std::map<std::uint64_t, ChangesQuestion> changesQuestions_;
    std::uint64_t lastQuestion_ = 0;
};

} // namespace Lovageloft

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
#include "coordination/outage_tracker.h"
#include "core/random.h"
#include "gateway/peer_socket.h"
#include "gateway/prefix_state.h"

namespace Lovageloft
{

/// A store client for hosts of a fleet in which two hosts, the relays, watch the store and broadcast its changes to all others.
///
/// Designed for fleets of hundreds of hosts with a store whose rate limits grow more slowly than the fleet. With relays, the number of store
/// calls hardly depends on the fleet's size. Information from peers is checked: a notice is applied only if it leaves no gap after the
/// revision that this host has synced to. A proof is dated to the time at which it was requested, minus the age that the peer reports.
///
/// A host that missed a notice or hears from no relay first asks peers for the missing changes. It calls the store only after a delay that
/// depends on its rank and on the size of the fleet, so that a fault that cuts off hundreds of hosts does not make them all call the store
/// at once. The deputies, which come next in rank after the relays, do not count replies of peers as a sign of life: they go on to call the
/// store while the relays are silent, so that other hosts always find a peer that has called it.
///
/// Duties make the store calls, such as list(), watch() and confirm(), which block. The event loop calls onNotice(), onChangesReply(),
/// changesFor(), onProofReply() and sendHeartbeat(). watch() replies NotFound if changes were missed and the prefix has to be listed.
/// Thread-safe.
class RelayedStore final : public ForwardingStore
{
public:
    /// Sends messages to other hosts on the event loop.
    struct Network
    {
        std::function<void(const ChangesNotice &)> broadcast;
        std::function<void(const std::string &host, const ProofRequest &)> sendProofRequest;
        std::function<void(const std::string &host, const ChangesRequest &)> sendChangesRequest{};

        /// Broadcasts notices without entries in one datagram; if not set, each is broadcast by itself.
        std::function<void(const std::vector<ChangesNotice> &)> broadcastTogether{};
    };

    using Now = std::function<TimePoint()>;

    RelayedStore(Store &store, std::string host, Now now = &BootClock::now);

    void setNetwork(Network network);

    /// Sets where to learn of a pause of this process that ends now or ended a moment ago: an answer of the store may have waited unread for so long.
    /// Called on any thread.
    void setPauseSource(std::function<Duration()> source);

    /// `hosts` are all hosts including this one; the relays and deputies are chosen from `candidates`.
    void setHosts(const std::vector<std::string> &hosts, const std::vector<std::string> &candidates);

    /// Whether this host is one of the relays. Without candidates, each host is its own relay.
    bool isRelay() const;

    /// `delay` is for how long the notice may have waited unread after it arrived.
    void onNotice(const ChangesNotice &notice, Duration delay = {});
    void onChangesReply(const ChangesReply &reply);

    /// The changes that another host requested, or nothing if this host does not have them.
    std::optional<ChangesReply> changesFor(const ChangesRequest &request) const;

    void onProofReply(const ProofReply &reply);

    /// On a relay: broadcasts the revisions that it has synced to, of all prefixes in one datagram. From them, other hosts also detect missed notices.
    /// Each states when the store last answered this relay, and prefixes of which it has known nothing for too long are left out.
    void sendHeartbeat();

    /// Until when this host has received all changes under all prefixes that it follows, from the store or from other hosts, and has put them in force
    /// where onApplied() says so.
    TimePoint syncedUntil() const;

    /// All changes under a prefix up to this revision are in force on this host.
    void onApplied(std::string_view prefix, std::int64_t revision);

    /// On a relay: how long to wait until a call to the store is needed to show that it still answers. On the second relay this waits for the first
    /// one. Nothing on other hosts.
    std::optional<Duration> probeDelay() const;

    StoreReply get(std::string_view key) override;
    StoreReply confirm(std::string_view key, std::int64_t revision) override;
    StoreListReply list(std::string_view prefix) override;
    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override;
    StoreReply compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId) override;
    StoreLeaseReply grantLease(Duration timeToLive) override;
    StoreLeaseReply keepAlive(std::int64_t leaseId) override;

private:
    /// A request to other hosts that is waiting for replies.
    struct PendingChangesRequest
    {
        std::string prefix;
        TimePoint sentAt;
    };

    /// Calls the store if the circuit breaker is closed, and records whether the store answered. `hold` is for how long the store may hold the
    /// call before it answers.
    template <typename Call>
    auto callThroughBreaker(Call call, Duration hold = {});

    StoreListReply watchStore(std::string_view prefix, std::int64_t afterRevision, Duration timeout);
    StoreListReply consumePendingEntries(PrefixState &state, std::unique_lock<std::mutex> &lock);
    std::span<const std::string> relays() const;
    bool isAmongRelays() const;
    bool isRankedHost() const;
    bool watchesStoreDirectly() const;
    TimePoint arrivalOf(TimePoint readAt) const;
    void stamp(ChangesNotice &notice) const;
    TimePoint confirmedAt(const PrefixState &state) const;
    TimePoint lastUpdateAt(const PrefixState &state) const;
    bool isBehind(const PrefixState &state, TimePoint now) const;
    void updateBehindState(std::string_view prefix, PrefixState &state, TimePoint now);
    void recordGap(std::string_view prefix, PrefixState &state, std::int64_t revision, TimePoint now);
    Duration storeCallWindow() const;
    Duration storeCallDelay();
    Duration maxOpenDuration() const;
    std::vector<std::string> hostsToQuery();
    void queryChanges(std::string_view prefix, std::int64_t syncedRevision, std::unique_lock<std::mutex> &lock);
    static void updateRelaySilence(std::string_view prefix, PrefixState &state, TimePoint now);
    void logConfirmation(std::string_view prefix, PrefixState &state, bool isConfirmed, Duration age);
    void requireRevision(std::string_view key, std::int64_t revision);
    std::vector<std::string> proofSources();
    std::optional<ProofReply> queryProof(const std::string &host);

    std::string host_;
    std::uint64_t process_; ///< Random id of this process.
    std::function<Duration()> recentPause_ = [] { return Duration::zero(); };
    Now now_;
    mutable std::mutex mutex_;
    std::condition_variable updateArrived_;
    Network network_;
    bool knowsHosts_ = false;
    std::vector<std::string> otherHosts_; ///< All hosts except this one.
    std::vector<std::string> rankedHosts_; ///< Highest rank first: the relays, then the deputies.
    Random random_;
    CircuitBreaker breaker_;
    OutageTracker outages_; ///< Of the store, by the calls of this host.
    TimePoint storeReachedAt_; ///< Latest time at which the store is known to have reached this host: that of a call that it answered.
    TimePoint otherRelayConfirmedAt_; ///< When the store last answered the other relay, as that relay states.
    std::map<std::string, PrefixState, std::less<>> prefixes_;
    std::map<std::uint64_t, std::optional<ProofReply>> pendingProofRequests_;
    std::map<std::uint64_t, PendingChangesRequest> pendingChangesRequests_;
    std::uint64_t lastRequestId_ = 0;
};

} // namespace Lovageloft

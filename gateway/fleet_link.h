#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "decision/request_scheduler.h"
#include "gateway/crash_guard.h"
#include "gateway/host_record.h"
#include "gateway/peer_socket.h"
#include "gateway/relayed_store.h"
#include "gateway/team_budget.h"
#include "gateway/transit_estimator.h"

namespace Lovageloft
{

class Gateway;

/// Requests that compute less than one cache block are not announced to other hosts: they occupy an engine for at most 11 ms.
inline constexpr std::uint32_t minAnnouncedTokens = 1'024;

/// The messages that this host exchanges with other hosts in datagrams, and the teams' rate limits that the hosts enforce together. For use
/// on the event loop only.
class FleetLink final : private PeerEvents
{
public:
    FleetLink(Gateway &gateway, std::string hostName);

    /// Binds the UDP socket. Returns false and sets `reason` on failure.
    bool open(const HostAddress &address, Reason &reason);
    void close();

    /// The bound UDP port.
    std::uint16_t port() const;

    /// The datagrams exchanged with other hosts so far.
    const PeerTrafficCounter &traffic() const;

    /// Sets the store client whose notices, requests and replies are sent and received here. Must be called before the event loop runs.
    void setRelayedStore(RelayedStore &store);

    /// Sets the listener for engines that another host has ordered to load weights, or is about to. Must be called before the event loop runs.
    void setOrderListener(std::function<void(const std::string &targetId)> listener);

    /// Sets the hosts of the fleet including this one, and this host's share, from 0 to 1, of limits that are divided evenly.
    void setHosts(const std::map<std::string, HostRecord> &hosts, double share);

    /// Sets the rate limits of all teams.
    void setLimits(std::span<const TeamLimit> limits);

    /// Sets whether requests wait for tokens of their team's rate limit that come soon.
    void setRequestsMayWait(bool mayWait);
    bool mayRequestsWait() const;

    /// Consumes tokens of a team's rate limit. `handler` is called with the decision, immediately, within a few round trips, or when the tokens become
    /// available within `maxWait`. Returns the id for `cancelTokens`.
    std::uint64_t acquireTokens(std::string_view team, double tokens, Duration maxWait, TeamBudget::DecisionHandler handler);

    /// Returns the tokens that a request waits for, whose `handler` is then not called. Does nothing if it does not wait for reserved tokens.
    void cancelTokens(std::uint64_t id);

    /// Returns consumed tokens to the team's rate limit. `home` is the host that granted them, as the decision says.
    void refundTokens(std::string_view team, double tokens, const std::string &home);

    /// Announces that a request was sent to an engine, which saves the prompt to its cache store if `isSaved`; does nothing below
    /// `minAnnouncedTokens`.
    void announceDispatch(const SchedulerAssignment &assignment, bool isSaved);

    /// Announces that a target is about to load weights of a model: this host and all others send it no requests for that model for `duration`.
    void announceLoading(const std::string &targetId, const std::string &model, Duration duration);

    /// Announces whether a cache store answers. Does nothing if it doesn't answer this host, which has lost its links to targets.
    void announceCacheStore(const std::string &address, bool isAlive);

    /// Sets the function that records a quarantined feature for hosts that start later. Must be called before the event loop runs.
    void setQuarantineRecorder(std::function<void(RequestFeature)> recorder);

    /// A target was lost that ran a request with these features, of which the first is the whole request. Counts as a crash unless only this host's link
    /// to the target was lost. `target` is the digest in the crash reports.
    void reportTargetLoss(std::string_view targetId, std::uint64_t target, std::span<const RequestFeature> features);

    /// Calls `action` once no loss of a target with this request is being checked any more, at once if none is. A caller that repeats such a request
    /// meanwhile would have it end another target before the loss counts.
    void whenLossesChecked(RequestFeature request, std::function<void()> action);

    /// Tracks requests that crash their targets.
    CrashGuard &crashes();
    const CrashGuard &crashes() const;

    /// Asks a few hosts for the publication times that they know, for weights that this host found at startup or saw late.
    void queryWeightsAges();

    /// Asks a few hosts for the revision and version of the configuration that they use.
    void queryProofs();

    /// Asks a few hosts what targets state.
    void queryStatements();

    /// Tells all other hosts what targets have begun or ceased to state.
    void announceStatements(std::span<const StatementTable::Update> updates);

    /// Asks a home of a target for a permit.
    void requestPermit(const std::string &home, const PermitRequest &request);

    /// Tells a target's home about this host's slots, and another host about slots that it gets.
    void sendSlotReport(const std::string &home, const SlotReport &report);
    void sendSlotGrant(const std::string &host, const SlotGrant &grant);

    /// Tells a home of a stream which version began it.
    void sendStreamRecord(const std::string &home, const StreamRecord &record);

    /// Asks a host which version began a stream.
    void queryStream(const std::string &host, const StreamQuery &query);

    /// Until when this host has received all changes in the store; `now` without a store client.
    TimePoint syncedUntil(TimePoint now) const;

    /// Sends a report on a rollout to the leader.
    void sendRolloutReport(const std::string &host, const RolloutReport &report);

    /// On a relay, calls RelayedStore::sendHeartbeat() at a fixed interval. Must be called more often than that.
    void sendHeartbeat(TimePoint now);

private:
    /// Checks of losses that have not ended, and what waits for them.
    struct LossChecks
    {
        std::size_t running = 0;
        std::vector<std::function<void()>> waiting;
    };

    void onLossChecked(RequestFeature request);
    void onDispatchNotice(const DispatchNotice &notice) override;
    void onLoadingNotice(const LoadingNotice &notice) override;
    void onTokenRequest(const std::string &host, const TokenRequest &request) override;
    void onTokenReply(const TokenReply &reply) override;
    void onTokenReturn(const TokenReturn &tokens) override;
    void onPermitRequest(const std::string &host, const PermitRequest &request) override;
    void onPermitReply(const PermitReply &reply) override;
    void onSlotReport(const std::string &host, const SlotReport &report) override;
    void onSlotGrant(const std::string &host, const SlotGrant &grant) override;
    void onStatements(const std::vector<StatementTable::Update> &updates) override;
    void onStatementsQuery(const std::string &host) override;
    void onStreamRecord(const StreamRecord &record) override;
    void onStreamQuery(const std::string &host, const StreamQuery &query) override;
    void onStreamReply(const std::string &host, const StreamRecord &reply) override;
    void onRolloutReport(const std::string &host, RolloutReport &&report) override;
    void onRolloutReply(const RolloutReply &reply) override;
    void onChangesNotice(const ChangesNotice &notice) override;
    void onChangesRequest(const std::string &host, const ChangesRequest &request) override;
    void onChangesReply(const ChangesReply &reply) override;
    void onProofRequest(const std::string &host, const ProofRequest &request) override;
    void onProofReply(const ProofReply &reply) override;
    void onCacheStoreNotice(const CacheStoreNotice &notice) override;
    void onWeightsRequest(const std::string &host) override;
    void onWeightsAge(const WeightsAge &age) override;
    void onCrashReport(const std::string &host, const CrashReport &report) override;
    void onQuarantined(const std::string &host, const QuarantineNotice &notice) override;
    void onQuarantineLifted(RequestFeature feature) override;
    void onQuarantineObjection(const QuarantineObjection &objection) override;
    bool mayHaveStaleMessages() const override;
    void scheduleTokenTimeout();
    void noteSaved(const DispatchNotice &notice);
    void forSomeHosts(const std::function<void(const std::string &host)> &action);

    Gateway &gateway_;
    std::string hostName_;
    PeerSocket socket_;
    TeamBudget budget_;
    boost::asio::steady_timer tokenTimer_;
    TeamBudget::RequestSender sendTokenRequest_;
    std::function<void(RequestFeature)> recordQuarantine_ = [](RequestFeature) {};
    CrashGuard crashes_;
    std::vector<std::string> otherHosts_; ///< Names of all other hosts.
    std::size_t nextQueriedHost_ = 0; ///< Counter; modulo the size of otherHosts_ it is the next host to query.
    RelayedStore *relayedStore_ = nullptr;
    TransitEstimator transit_; ///< Of notices about the store.
    std::function<void(const std::string &targetId)> orderListener_ = [](const std::string &) {};

    std::map<RequestFeature, LossChecks> lossChecks_; ///< By the request that the lost targets had.
    TimePoint nextHeartbeat_;
};

} // namespace Lovageloft

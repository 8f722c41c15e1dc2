#pragma once

#include <map>
#include <span>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "decision/request_scheduler.h"
#include "gateway/crash_guard.h"
#include "gateway/host_record.h"
#include "gateway/peer_socket.h"
#include "gateway/relayed_store.h"
#include "gateway/team_budget.h"

namespace Lovageloft
{

class Gateway;

/// Requests that compute less than one cache block are not told to other hosts: they keep an engine busy for 11 ms at most.
inline constexpr std::uint32_t minAnnouncedTokens = 1'024;

/// This host among the others: what it tells them and hears from them in datagrams, and the teams' rates that it keeps with them. For the
/// event loop only.
class FleetLink final : private PeerEvents
{
public:
    FleetLink(Gateway &gateway, std::string hostName);

    bool open(const HostAddress &address, Reason &reason);
    void close();

    /// The port for datagrams as bound.
    std::uint16_t port() const;

    /// The store whose notices and proofs go through this host's datagrams. To be called before the event loop runs.
    void setRelayedStore(RelayedStore &store);

    /// Hears of engines that other hosts order, or are about to. To be called before the event loop runs.
    void setOrderListener(std::function<void(const std::string &targetId)> listener);

    /// The hosts that count, with this one, and this host's part of what is divided evenly.
    void setHosts(const std::map<std::string, HostRecord> &hosts, double share);

    void setLimits(std::span<const TeamLimit> limits);

    /// Takes tokens from a team's rate; `answer` is called at once or within some round trips.
    void acquireTokens(std::string_view team, double tokens, TeamBudget::DecisionHandler answer);
    void refundTokens(std::string_view team, double tokens);

    /// A long prompt was sent to an engine; short ones are not told.
    void announceDispatch(const SchedulerAssignment &assignment);

    /// A target is about to load: it is left alone, here and on all other hosts.
    void announceLoading(const std::string &targetId, Duration time);

    /// Whether a cache store answers.
    void announceCacheStore(const std::string &address, bool isAlive);

    /// Takes a request out of use on hosts that start later. To be called before the event loop runs.
    void setQuarantineRecorder(std::function<void(RequestFingerprint)> recorder);

    /// What this host knows of requests that end their targets.
    CrashGuard &crashes();
    const CrashGuard &crashes() const;

    /// Asks a few hosts how long ago the weights were named that this host found when it started.
    void queryWeightsAges();

    /// Asks a few hosts for the configuration that they have in force.
    void queryProofs();

    /// On a relay, now and then: see RelayedStore::sendHeartbeat.
    void sendHeartbeat(TimePoint now);

private:
    void onDispatchNotice(const DispatchNotice &notice) override;
    void onLoadingNotice(const LoadingNotice &notice) override;
    void onTokenRequest(const std::string &host, const TokenRequest &request) override;
    void onTokenReply(const TokenReply &reply) override;
    void onChangesNotice(const ChangesNotice &notice) override;
    void onChangesRequest(const std::string &host, const ChangesRequest &request) override;
    void onChangesReply(const ChangesReply &reply) override;
    void onProofRequest(const std::string &host, const ProofRequest &request) override;
    void onProofReply(const ProofReply &reply) override;
    void onCacheStoreNotice(const CacheStoreNotice &notice) override;
    void onWeightsQuestion(const std::string &host) override;
    void onWeightsAge(const WeightsAge &age) override;
    void onCrashReport(const std::string &host, const CrashReport &report) override;
    void onQuarantined(RequestFingerprint request) override;
    bool isBehind() const override;
    void scheduleTokenTimeout();
    void forSomeOthers(const std::function<void(const std::string &host)> &task);

    Gateway &gateway_;
    std::string hostName_;
    PeerSocket peers_;
    TeamBudget budget_;
    boost::asio::steady_timer tokenTimer_;
    TeamBudget::RequestSender sendTokenRequest_;
    std::function<void(RequestFingerprint)> recordQuarantine_ = [](RequestFingerprint) {};
    CrashGuard crashes_;
    std::vector<std::string> others_; ///< Names of the other hosts.
    std::size_t nextAsked_ = 0; ///< Of those.
    RelayedStore *relayedStore_ = nullptr;
    std::function<void(const std::string &targetId)> onOrderOfOther_ = [](const std::string &) {};
    TimePoint nextHeartbeat_;
};

} // namespace Lovageloft

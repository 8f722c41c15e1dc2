#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/metrics.h"
#include "gateway/fleet_link.h"
#include "gateway/operator_view.h"
#include "gateway/protocol.h"
#include "gateway/request_dispatch.h"
#include "gateway/request_metrics.h"
#include "gateway/routing_table.h"
#include "gateway/standstills.h"
#include "gateway/status_server.h"
#include "gateway/table_freshness.h"
#include "gateway/target_directory.h"
#include "gateway/target_pool.h"

namespace Lovageloft
{

class CallerSession;
class RoutedRequest;

/// Times and limits of a gateway, which may be set anew while it serves.
struct GatewayLimits
{
    Duration keyProofWindow = std::chrono::seconds(5); ///< Within this time a withdrawn key must have stopped working.
    Duration configurationWindow = std::chrono::seconds(2); ///< Within this time a new configuration must be in force.
    Duration weightsDeadline = std::chrono::seconds(8); ///< After this time no request may begin on older weights.
    RetryBudget::Limits retries; ///< Over all hosts.
    double quotaOver = 0; ///< Part of a team's limit by which it may be passed.
    double quotaSlack = 0; ///< Tokens on top of that.
    Duration drainNotice = std::chrono::milliseconds(2'600); ///< The balancer may send new connections that long after /ready began to fail.
    Duration drainLimit = std::chrono::seconds(7); ///< Longest time from the request to shut down to the end.
};

/// What a gateway is started with.
struct GatewayOptions
{
    HostAddress callers;
    HostAddress readiness;
    HostAddress peers; ///< Where datagrams of other hosts come.
    std::optional<HostAddress> metrics; ///< Where metrics and operators' calls are answered.
    std::string hostName;
    std::string dataCentre;
    GatewayLimits limits;
};

/// The event-driven pipeline: one thread and one event loop own all sockets of callers and targets, the scheduler, and what this
/// host believes. Other duties hand over what they learn with `post`.
class Gateway
{
public:
    Gateway(const GatewayOptions &options, const CallerProtocol &callerProtocol, const TargetProtocol &targetProtocol, Metrics &metrics);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Opens the ports; false if one is taken.
    bool open(Reason &reason);

    /// The callers' port as bound, for options that take any free one.
    std::uint16_t callerPort() const;

    /// The port for metrics and operators' calls as bound.
    std::uint16_t metricsPort() const;

    /// Serves until a shutdown has ended.
    void run();

    /// Runs `task` on the event loop. The only member that other threads may call.
    void post(std::function<void(Gateway &)> task);

    // What follows is for the event loop only: beliefs first.

    /// A new configuration, which was the newest at `provenAt`. Versions never go back.
    void setTable(std::shared_ptr<const RoutingTable> table, TimePoint provenAt);

    /// The configuration with this revision was the newest at `provenAt`.
    void confirmTable(std::int64_t revision, TimePoint provenAt);

    /// The configuration with this revision exists and may not have been read yet.
    void noteNewerTable(std::int64_t revision);

    /// Another host has this configuration in force; see TableFreshness::notePeerTable.
    void notePeerTable(std::int64_t revision, std::int64_t version);

    void setTargets(std::shared_ptr<const TargetMap> targets);
    void setPublishedWeights(const PublishedWeights &weights);

    /// Hears of the newest weights of each model whenever this host learns of some, or of when they were named. To be called before `run`.
    using WeightsListener = std::function<void(const std::vector<PublishedWeights> &)>;
    void setWeightsListener(WeightsListener listener);

    /// The weights that the store still kept as young when this host started.
    void setRecentWeights(const std::set<std::string> &names);

    /// Another host knows how long ago weights were named.
    void learnWeightsAge(const WeightsAge &age);

    /// The hosts that count, with this one, where they take datagrams, and this host's part of what is divided evenly.
    void setHosts(const std::map<std::string, HostRecord> &hosts, double share);

    /// The host that orders the engines; empty if there is none.
    void setLeader(const std::string &host);

    /// Times and limits that were set anew.
    void setLimits(const GatewayLimits &limits);

    /// The time since a standstill of this process began that ends now or ended a moment ago; else zero.
    Duration recentPause(TimePoint now) const;

    /// Begins a graceful shutdown.
    void drain();

    // For operators.

    const std::string &hostName() const
    {
        return options_.hostName;
    }

    const std::map<std::string, HostRecord> &hosts() const;

    double share() const
    {
        return share_;
    }

    const std::string &leader() const
    {
        return leader_;
    }

    bool isReady(TimePoint now) const;

    // For sessions and requests.

    boost::asio::io_context &loop();
    const CallerProtocol &callerProtocol() const;
    const TargetProtocol &targetProtocol() const;
    std::shared_ptr<const RoutingTable> table() const;
    TargetDirectory &targets();
    const TargetDirectory &targets() const;
    TargetPool &pool();
    const TargetPool &pool() const;

    RequestDispatch &dispatch();
    const RequestDispatch &dispatch() const;
    FleetLink &fleet();
    const FleetLink &fleet() const;
    CallerLimits callerLimits() const;
    bool isDraining() const;

    /// Whether no key that was withdrawn more than the allowed time ago can still be in the configuration.
    bool isKeyProofValid(TimePoint now) const;

    /// Whether the configuration can be relied on to name everything that was added more than the allowed time ago.
    bool isCurrent(TimePoint now) const;

    /// Whether a newer configuration is known to exist and has been in force for so long that the older one must not be used any more.
    bool isOutdated(TimePoint now) const;

    Duration proofAge(TimePoint now) const;

    /// The address of the cache store that an engine should use; empty if there is none that answers. Fetching 13,000 tokens takes an
    /// engine about half the time of computing them, and after new weights each prefix is computed once instead of once an engine.
    std::string_view cacheStoreFor(const Target &target) const;

    /// A cache store answers, or has stopped to: a dead one would cost each request some hundred milliseconds.
    void setCacheStoreAlive(const std::string &address, bool isAlive);

    std::shared_ptr<RoutedRequest> createRequest(const std::shared_ptr<CallerSession> &session, HttpHead &&head, std::string &&body);
    /// Whether configuration and targets are known.
    bool isConfigured() const;

    /// Begins a request once they are, or after a moment in any case.
    void beginWhenConfigured(const std::shared_ptr<RoutedRequest> &request);

    /// A target is about to load and declines requests meanwhile.
    void avoidTarget(std::string_view targetId, Duration time);

    void onTargetLoad(std::string_view engineName, const TargetLoad &load);

    /// The directory has changed.
    void refreshTargets();

    /// Writes a refusal or failure to a caller, who may be gone; returns the status.
    int refuse(CallerSession *session, const Reason &reason, RunState runState, Duration retryAfter);

    /// The same for a message that could not be read.
    void refuseMalformed(CallerSession &session, const Reason &reason);

    void onRequestEnded(const RoutedRequest &request, const EndedRequest &ended);
    void onSessionEnded(const std::shared_ptr<CallerSession> &session);

private:
    void accept();
    void tick();
    void onWeightsChanged();
    void continueDrain();
    StatusAnswer readinessAnswer(std::string_view path);
    StatusAnswer metricsAnswer(std::string_view path);
    void noteWithdrawnKeys(const RoutingTable &next) const;
    void applyTeamLimits();
    void applyRetryLimits();
    void beginWaiting();

    GatewayOptions options_;
    const CallerProtocol &callerProtocol_;
    const TargetProtocol &targetProtocol_;
    Metrics &metrics_;
    boost::asio::io_context loop_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer drainTimer_; ///< Its own: a tick that is due already would take a shared one over.
    StatusServer readiness_;
    StatusServer metricsServer_;
    OperatorView operatorView_;
    std::shared_ptr<const RoutingTable> table_;
    TableFreshness freshness_; ///< Of `table_`.
    TimePoint proofsAskedUntil_;
    TargetDirectory directory_;
    WeightsListener weightsListener_;
    TargetPool pool_;
    FleetLink fleet_;
    RequestDispatch dispatch_;
    std::vector<std::shared_ptr<RoutedRequest>> waiting_; ///< For the first configuration.
    boost::asio::steady_timer waitingTimer_;
    std::set<std::shared_ptr<CallerSession>> sessions_;
    std::set<std::string, std::less<>> aliveCacheStores_;
    std::map<std::string, HostRecord> hosts_; ///< All that count, with this one.
    double share_ = 0; ///< This host's part of what is divided evenly.
    std::string leader_;
    bool hasTargets_ = false;
    Standstills standstills_;
    TimePoint agesAskedUntil_;
    bool isAccepting_ = false;
    std::optional<TimePoint> drainStartedAt_;
    bool wasReady_ = false;
};

} // namespace Lovageloft

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/metrics.h"
#include "gateway/cache_stores.h"
#include "gateway/fleet_link.h"
#include "gateway/operator_view.h"
#include "gateway/pause_detector.h"
#include "gateway/protocol.h"
#include "gateway/relay_server.h"
#include "gateway/request_dispatch.h"
#include "gateway/request_metrics.h"
#include "gateway/rollouts.h"
#include "gateway/routing_table.h"
#include "gateway/status_server.h"
#include "gateway/stream_versions.h"
#include "gateway/table_freshness.h"
#include "gateway/target_directory.h"
#include "gateway/target_paths.h"
#include "gateway/target_pool.h"
#include "gateway/target_statements.h"
#include "gateway/version_guard.h"
#include "memory/buffer_budget.h"
#include "memory/connection_budget.h"

namespace Lovageloft
{

class CallerSession;
class RoutedRequest;

/// Times and limits of a gateway, which can be changed at run time.
struct GatewayLimits
{
    Duration keyProofWindow = std::chrono::seconds(5); ///< Time within which a withdrawn key must stop working.
    Duration configurationWindow = std::chrono::seconds(2); ///< Time within which a new configuration must be in force.
    Duration weightsDeadline = std::chrono::seconds(8); ///< Time after the publication of new weights when no request may begin on older ones any more.
    RetryBudget::Limits retries; ///< Over all hosts.
    double quotaOver = 0; ///< Fraction of a team's limit by which the limit may be exceeded.
    double quotaSlack = 0; ///< Tokens by which the limit may be exceeded in addition.
    bool requestsWaitForTokens = false; ///< A request over its team's limit waits if the limit allows it soon.
    ExposureLimits exposure; ///< Of a version that is not trusted yet, over all hosts.
    bool adaptsToEngines = false; ///< See GatewaySettings.
    Duration drainNotice = std::chrono::milliseconds(2'600); ///< Time that the balancer may send new connections after /ready has begun to fail.
    Duration drainLimit = std::chrono::seconds(7); ///< Maximum time from the start of a graceful shutdown to its end.
};

/// Parameters that a gateway is started with.
struct GatewayOptions
{
    HostAddress callers;
    HostAddress readiness;
    HostAddress peers; ///< Address for datagrams from other hosts.
    std::optional<HostAddress> metrics; ///< Address of the metrics and the operators' interface.
    std::string hostName;
    std::string dataCentre;
    std::size_t callerBufferBytes = 0; ///< Memory for slow callers and request bodies; 0 if the size of the host's memory is not known.
    ConnectionLimits connections; ///< Of callers.
    GatewayLimits limits;
};

/// The event-driven request pipeline. One thread with one event loop owns all sockets to callers and targets, the scheduler and this
/// host's view of the fleet. Duties on other threads pass what they learn with `post`.
class Gateway
{
public:
    Gateway(const GatewayOptions &options, const CallerProtocol &callerProtocol, const TargetProtocol &targetProtocol, Metrics &metrics);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Opens the ports; false with a reason if one is in use.
    bool open(Reason &reason);

    /// Port bound for callers, for options that ask for any free port.
    std::uint16_t callerPort() const;

    /// Port bound for metrics and the operators' interface.
    std::uint16_t metricsPort() const;

    /// Serves until a graceful shutdown has ended.
    void run();

    /// Runs `task` on the event loop. The only member that other threads may call.
    void post(std::function<void(Gateway &)> task);

    // All members below are for the event loop only. First, updates of this host's view of the fleet.

    /// Puts a configuration in force, which was the newest one at `provenAt`. A lower version than the current one is ignored.
    void setTable(std::shared_ptr<const RoutingTable> table, TimePoint provenAt);

    /// The configuration with this revision was still the newest one at `provenAt`.
    void confirmTable(std::int64_t revision, TimePoint provenAt);

    /// A configuration with this revision exists and may not have been read yet.
    void noteNewerTable(std::int64_t revision);

    /// Another host has this configuration in force; see TableFreshness::notePeerTable.
    void notePeerTable(std::int64_t revision, std::int64_t version);

    void setTargets(std::shared_ptr<const TargetMap> targets);
    void setPublishedWeights(const PublishedWeights &weights);

    /// Called with whether this host reaches enough of the engines to give them orders, whenever that changes. Set it before `run`.
    using ControlListener = std::function<void(bool canOrder)>;
    void setControlListener(ControlListener listener);

    /// Called with the newest weights of each model whenever this host learns of new weights or of when weights were published. Set it before
    /// `run`.
    using WeightsListener = std::function<void(const std::vector<PublishedWeights> &)>;
    void setWeightsListener(WeightsListener listener);

    /// Sets the weights that the store still listed as recently published when this host started.
    void setRecentWeights(const std::set<std::string> &names);

    /// Another host reported how long ago weights were published.
    void learnWeightsAge(const WeightsAge &age);

    /// Sets the active hosts including this one, with their addresses for datagrams, and this host's share of what is divided evenly.
    void setHosts(const std::map<std::string, HostRecord> &hosts, double share);

    /// Sets the host that orders engines to load weights; empty if there is none.
    void setLeader(const std::string &host);

    /// The software versions that may serve.
    VersionGuard &versions()
    {
        return versions_;
    }

    Rollouts &rollouts()
    {
        return rollouts_;
    }

    const Rollouts &rollouts() const
    {
        return rollouts_;
    }

    Metrics &metrics()
    {
        return metrics_;
    }

    /// Applies changed times and limits.
    void setLimits(const GatewayLimits &limits);

    /// Time since the start of a pause of this process that is ending now or ended a moment ago; zero if there was none. Thread-safe.
    Duration recentPause(TimePoint now) const;

    /// Starts a graceful shutdown.
    void drain();

    // For operators.

    const std::string &hostName() const
    {
        return options_.hostName;
    }

    const std::map<std::string, HostRecord> &hosts() const
    {
        return hosts_;
    }

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

    boost::asio::io_context &loop()
    {
        return loop_;
    }

    const CallerProtocol &callerProtocol() const
    {
        return callerProtocol_;
    }

    const TargetProtocol &targetProtocol() const
    {
        return targetProtocol_;
    }

    std::shared_ptr<const RoutingTable> table() const
    {
        return table_;
    }

    TargetDirectory &targets()
    {
        return directory_;
    }

    const TargetDirectory &targets() const
    {
        return directory_;
    }

    TargetPool &pool()
    {
        return pool_;
    }

    const TargetPool &pool() const
    {
        return pool_;
    }

    TargetPaths &paths()
    {
        return paths_;
    }

    const RelayServer &relayServer() const
    {
        return relayServer_;
    }

    const TargetPaths &paths() const
    {
        return paths_;
    }

    RequestDispatch &dispatch()
    {
        return dispatch_;
    }

    const RequestDispatch &dispatch() const
    {
        return dispatch_;
    }

    FleetLink &fleet()
    {
        return fleet_;
    }

    const FleetLink &fleet() const
    {
        return fleet_;
    }

    /// The memory that caller connections hold.
    BufferBudget &callerBuffers()
    {
        return callerBuffers_;
    }

    const BufferBudget &callerBuffers() const
    {
        return callerBuffers_;
    }

    /// The connections of callers.
    ConnectionBudget &callerConnections()
    {
        return callerConnections_;
    }

    const ConnectionBudget &callerConnections() const
    {
        return callerConnections_;
    }

    /// Closes expendable connections until the others are within their limits. Returns whether they are.
    bool makeRoomForConnections();

    /// Closes connections whose request bodies don't end until a body of this size fits. Returns whether it does.
    bool makeRoomForBody(std::size_t bytes);

    CallerLimits callerLimits() const;
    bool isDraining() const;

    /// By when callers must have their answers because this host shuts down; nothing while it doesn't.
    std::optional<TimePoint> drainDeadline() const;

    /// Whether a request that may take until `deadline` can be served although this host may be shutting down. While the balancer still sends
    /// connections every request is, as other hosts are no better choice; after that only one that is complete by drainDeadline().
    bool mayServeUntil(TimePoint deadline, TimePoint now) const;

    /// Whether the configuration is proven recent enough that no key in it was withdrawn more than `keyProofWindow` ago, even when the
    /// request reaches its target a moment later. False before the first configuration.
    bool isKeyProofValid(TimePoint now) const;

    /// Whether the configuration is proven recent enough to contain everything added more than `configurationWindow` ago. False
    /// before the first configuration.
    bool isTableProofRecent(TimePoint now) const;

    /// Whether the configuration must not be used any more, as a newer one is known to exist and has been in force for too long.
    bool isNewerTableOverdue(TimePoint now) const;

    /// Time since the configuration in force was last known to be the newest one.
    Duration proofAge(TimePoint now) const;

    /// The cache stores. Fetching 13,000 tokens takes an engine about half the time of computing them, and after a change of weights each prefix
    /// is computed once instead of once per engine.
    CacheStores &cacheStores()
    {
        return cacheStores_;
    }

    const CacheStores &cacheStores() const
    {
        return cacheStores_;
    }

    std::shared_ptr<RoutedRequest> createRequest(const std::shared_ptr<CallerSession> &session, HttpHead &&head, std::string &&body);

    /// Whether the configuration and the targets are known.
    bool isConfigured() const;

    /// Begins a request as soon as this host is configured, or after a short timeout in any case.
    void beginWhenConfigured(const std::shared_ptr<RoutedRequest> &request);

    /// Sends no requests for a model to a target for some time, as it is about to load weights and declines them meanwhile. An empty model
    /// stands for all.
    void avoidTarget(std::string_view targetId, std::string_view model, Duration time);

    /// A target has turned a request away and wants no more from this host for a time.
    void onRestAsked(std::string_view targetId, std::int64_t incarnation, Duration rest);

    void onTargetLoad(std::string_view engineName, const AnswerFacts &facts);

    TargetStatements &statements()
    {
        return statements_;
    }

    const TargetStatements &statements() const
    {
        return statements_;
    }

    StreamVersions &streams()
    {
        return streams_;
    }

    const StreamVersions &streams() const
    {
        return streams_;
    }

    /// Passes the engines in service to the scheduler, after a change of the target directory.
    void refreshTargets();

    /// Sends a refusal or error response to a caller and returns its HTTP status; 0 if a response that had begun was broken off instead. `session` is
    /// null if the caller has disconnected.
    int refuse(CallerSession *session, const Reason &reason, RunState runState, Duration retryAfter);

    /// Refuses a message that can't be parsed.
    void refuseMalformed(CallerSession &session, const Reason &reason);

    void onRequestEnded(const RoutedRequest &request, const EndedRequest &ended);
    void onSessionEnded(const std::shared_ptr<CallerSession> &session);

private:
    void accept(TcpConnection::Socket socket);
    void tick();
    void closeStalledCallers(TimePoint now);
    bool closeExpendable(const std::optional<ConnectionBudget::Expendable> &expendable);
    void onWeightsChanged();
    void onPublishedWeights();
    void addListedWeights();
    void continueDrain();
    StatusAnswer readinessAnswer(std::string_view path);
    StatusAnswer metricsAnswer(std::string_view path);
    void logWithdrawnKeys(const RoutingTable &next) const;
    Rollouts::Links rolloutLinks();
    void applyVersionLimits();
    void applyTeamLimits();
    void applyRetryLimits();
    void applyTargets();
    void beginPending();
    RelayServer::Links relayLinks();
    TargetStatements::Links statementLinks();
    StreamVersions::Links streamLinks();
    void updateControl(TimePoint now);

    GatewayOptions options_;
    const CallerProtocol &callerProtocol_;
    const TargetProtocol &targetProtocol_;
    Metrics &metrics_;
    boost::asio::io_context loop_{1};
    ConnectionAcceptor acceptor_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer drainTimer_; ///< Separate from tickTimer_, which a tick that is already due would set again.
    StatusServer readiness_;
    StatusServer metricsServer_;
    OperatorView operatorView_;
    std::shared_ptr<const RoutingTable> table_;
    TableFreshness freshness_; ///< Of `table_`.
    TimePoint queryProofsUntil_;
    TimePoint queryStatementsUntil_;
    TargetDirectory directory_;
    VersionGuard versions_;
    Rollouts rollouts_;
    WeightsListener weightsListener_;
    ControlListener controlListener_ = [](bool) {};
    bool canOrder_ = true;
    TargetPaths paths_;
    RelayServer relayServer_;
    TargetStatements statements_;
    StreamVersions streams_;
    TargetPool pool_;
    FleetLink fleet_;
    RequestDispatch dispatch_;
    std::vector<std::shared_ptr<RoutedRequest>> pendingRequests_; ///< Requests that wait for the first configuration.
    boost::asio::steady_timer configurationTimer_;
    BufferBudget callerBuffers_;
    ConnectionBudget callerConnections_;
    std::map<ConnectionBudget::ConnectionId, std::shared_ptr<CallerSession>> sessions_;
    CacheStores cacheStores_;
    std::map<std::string, HostRecord> hosts_; ///< All active hosts including this one.
    double share_ = 0; ///< This host's share of what is divided evenly.
    std::string leader_;
    std::set<std::string, std::less<>> malformedLoads_; ///< Targets whose malformed loads were logged.
    std::shared_ptr<const TargetMap> listedTargets_ = std::make_shared<TargetMap>(); ///< As in the store, without what targets and hosts have told.
    bool hasTargets_ = false;
    PauseDetector pauseDetector_;
    TimePoint queryWeightsAgesUntil_;
    bool isAccepting_ = false;
    std::optional<TimePoint> drainStartedAt_;
    bool wasReady_ = false;
};

} // namespace Lovageloft

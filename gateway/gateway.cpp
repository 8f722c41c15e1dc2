#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"
#include "core/log.h"
#include "gateway/caller_session.h"
#include "gateway/gauges.h"
#include "gateway/request_limits.h"
#include "gateway/routed_request.h"

namespace Lovageloft
{

namespace
{

/// Margin by which key proofs expire before the time that operators allow, as an accepted request has yet to reach its target.
constexpr Duration keyProofMargin = std::chrono::milliseconds(300);

/// Fraction of the allowed retries that is used, as the hosts count requests and retries in windows that are not aligned.
constexpr double retryBudgetFraction = 0.8;

/// How long requests wait for the configuration of a host that has just started. After a restart of the whole fleet all clients reconnect
/// at once, and the store responds within 20 ms. A longer wait would keep them from going to another host.
constexpr Duration maxConfigurationWait = std::chrono::milliseconds(40);

/// How long other hosts are asked when weights were published, even if this host seems to have learnt of them at once: a network partition that
/// ended while this host waited for the store can't be detected here. Datagrams may be lost, and other hosts may learn of the weights a
/// moment later.
constexpr Duration weightsAgeQueryTime = std::chrono::seconds(1);

/// How long a host that has just started asks the others which configuration they have in force: the others must become known first, and
/// datagrams may be lost.
constexpr Duration proofQueryTime = std::chrono::seconds(1);

constexpr Duration tickInterval = std::chrono::milliseconds(250);
constexpr Duration drainCheckInterval = std::chrono::milliseconds(50);

/// Time at the end of a graceful shutdown in which the last answers are written.
constexpr Duration drainAnswerMargin = std::chrono::milliseconds(300);

} // namespace

Gateway::Gateway(const GatewayOptions &options, const CallerProtocol &callerProtocol, const TargetProtocol &targetProtocol, Metrics &metrics)
    : options_(options)
    , callerProtocol_(callerProtocol)
    , targetProtocol_(targetProtocol)
    , metrics_(metrics)
    , acceptor_(loop_, CallerSession::receiveBufferBytes, [this](TcpConnection::Socket socket) { accept(std::move(socket)); })
    , tickTimer_(loop_)
    , drainTimer_(loop_)
    , readiness_(loop_, [this](std::string_view path) { return readinessAnswer(path); })
    , metricsServer_(loop_, [this](std::string_view path) { return metricsAnswer(path); })
    , operatorView_(*this)
    , directory_(options.limits.weightsDeadline)
    , versions_([this](const auto &withheld) {
        directory_.setWithheld(withheld);
        dispatch_.invalidateEngines();
    })
    , rollouts_(options.hostName, versions_, rolloutLinks())
    , paths_(loop_, options.hostName, metrics)
    , relayServer_(loop_, relayLinks(), metrics)
    , statements_(loop_, options.hostName, metrics, statementLinks())
    , streams_(loop_, options.hostName, metrics, streamLinks())
    , pool_(loop_, targetProtocol, paths_)
    , fleet_(*this, options.hostName)
    , dispatch_(loop_, [this] { refreshTargets(); })
    , configurationTimer_(loop_)
    , callerBuffers_(options.callerBufferBytes)
    , callerConnections_(options.connections)
{
    directory_.setDataCentre(options.dataCentre);
    rollouts_.setLimits(options.limits.exposure);
    directory_.setAdaptive(options.limits.adaptsToEngines);
    fleet_.setRequestsMayWait(options.limits.requestsWaitForTokens);
    dispatch_.setPermits(statements_.permits(), [this](std::span<const WantedPermits> wanted) { statements_.wantPermits(wanted); });
    paths_.setChangeListener([this] { boost::asio::post(loop_, [this] { dispatch_.retryOverLostLinks(); }); });
}

/// A leader that reaches less than half of the engines resigns.
void Gateway::updateControl(TimePoint now)
{
    std::size_t engines = 0;
    std::size_t lost = 0;
    for (const auto &[id, target] : directory_.all()) {
        if (!target.models.empty()) {
            ++engines;
            lost += paths_.isLost(id, now) ? 1 : 0;
        }
    }
    const bool canOrder = 2 * lost < engines || engines == 0;
    if (canOrder != canOrder_) {
        canOrder_ = canOrder;
        controlListener_(canOrder);
    }
}

void Gateway::setControlListener(ControlListener listener)
{
    controlListener_ = std::move(listener);
}

Gateway::~Gateway() = default;

bool Gateway::open(Reason &reason)
{
    // Both protocols between hosts use the same port number.
    if (!acceptor_.open(options_.callers, reason) || !readiness_.open(options_.readiness, reason) || !relayServer_.open(options_.peers, reason)
        || !fleet_.open({options_.peers.host, relayServer_.port()}, reason)) {
        return false;
    }
    if (options_.metrics && !metricsServer_.open(*options_.metrics, reason)) {
        return false;
    }
    isAccepting_ = true;
    tick();
    return true;
}

std::uint16_t Gateway::callerPort() const
{
    return acceptor_.port();
}

std::uint16_t Gateway::metricsPort() const
{
    return metricsServer_.port();
}

void Gateway::run()
{
    loop_.run();
}

void Gateway::post(std::function<void(Gateway &)> task)
{
    boost::asio::post(loop_, [this, task = std::move(task)] { task(*this); });
}

void Gateway::setTable(std::shared_ptr<const RoutingTable> table, TimePoint provenAt)
{
    if (table_ != nullptr && table->version < table_->version) {
        writeLog(LogLevel::Warning, "configuration_ignored", {{"version", table->version}, {"in_force", table_->version}});
        freshness_.noteNothingNewer();
        return;
    }
    const bool isNew = table_ == nullptr || table->revision != table_->revision;
    freshness_.setTable({table->version, table->revision}, provenAt);
    if (!isNew) {
        return;
    }
    logWithdrawnKeys(*table);
    if (table_ == nullptr) {
        queryProofsUntil_ = BootClock::now() + proofQueryTime;
    }
    table_ = std::move(table);
    directory_.setServices(table_->services);
    cacheStores_.setStores(table_->cacheStores);
    refreshTargets();
    applyTeamLimits();
    applyVersionLimits();
    rollouts_.setOrdersKnown();
    writeLog(LogLevel::Info,
             "configuration_in_force",
             {{"version", table_->version},
              {"revision", table_->revision},
              {"routes", static_cast<std::int64_t>(table_->routes.size())},
              {"teams", static_cast<std::int64_t>(table_->teams.size())},
              {"keys", static_cast<std::int64_t>(table_->teamOfKey.size())}});
    if (isConfigured()) {
        beginPending();
    }
}

void Gateway::logWithdrawnKeys(const RoutingTable &next) const
{
    if (table_ == nullptr) {
        return;
    }
    for (const auto &[key, team] : table_->teamOfKey) {
        if (!next.teamOfKey.contains(key)) {
            writeLog(LogLevel::Info, "key_withdrawn", {{"key", fingerprint(key)}, {"team", table_->teams[team].name}, {"configuration", next.version}});
        }
    }
}

void Gateway::confirmTable(std::int64_t revision, TimePoint provenAt)
{
    freshness_.confirm(revision, provenAt);
}

void Gateway::noteNewerTable(std::int64_t revision)
{
    if (freshness_.noteNewer(revision)) {
        writeLog(LogLevel::Info, "newer_configuration_exists", {{"revision", revision}, {"in_force", table_ != nullptr ? table_->version : 0}});
    }
}

void Gateway::notePeerTable(std::int64_t revision, std::int64_t version)
{
    if (freshness_.notePeerTable({version, revision})) {
        writeLog(LogLevel::Warning, "configuration_of_older_copy", {{"version", table_->version}, {"elsewhere", version}});
    }
}

void Gateway::setPublishedWeights(const PublishedWeights &weights)
{
    const TimePoint now = BootClock::now();
    PublishedWeights adjusted = weights;
    adjusted.silence = std::max(adjusted.silence, pauseDetector_.recentPause(now) - (now - weights.publishedAt));
    writeLog(LogLevel::Info, "weights_named", {{"model", weights.model}, {"version", weights.version}, {"silence_ms", toMillis(adjusted.silence)}});
    directory_.setPublishedWeights(adjusted);
    directory_.addListedWeights(now);
    onPublishedWeights();
}

void Gateway::onPublishedWeights()
{
    queryWeightsAgesUntil_ = BootClock::now() + weightsAgeQueryTime;
    onWeightsChanged();
}

void Gateway::onWeightsChanged()
{
    if (weightsListener_) {
        weightsListener_(directory_.newestPublished());
    }
    refreshTargets();
}

void Gateway::setWeightsListener(WeightsListener listener)
{
    weightsListener_ = std::move(listener);
}

void Gateway::setRecentWeights(const std::set<std::string> &names)
{
    writeLog(LogLevel::Info, "young_weights_known", {{"count", static_cast<std::int64_t>(names.size())}});
    directory_.setRecentWeights(names);
    refreshTargets();
}

void Gateway::learnWeightsAge(const WeightsAge &age)
{
    const TimePoint now = BootClock::now();
    if (pauseDetector_.recentPause(now) != Duration::zero()) {
        return; // The message may have been waiting unread and the real age be higher. The other hosts are asked again.
    }
    if (directory_.updatePublicationTime({age.model, age.version, now - age.age})) {
        writeLog(LogLevel::Info, "weights_age_known", {{"model", age.model}, {"version", age.version}, {"age_ms", toMillis(age.age)}});
        onWeightsChanged();
    }
}

Duration Gateway::recentPause(TimePoint now) const
{
    return pauseDetector_.recentPause(now);
}

void Gateway::setHosts(const std::map<std::string, HostRecord> &hosts, double share)
{
    hosts_ = hosts;
    share_ = share;
    fleet_.setHosts(hosts, share);
    paths_.setHosts(hosts);
    dispatch_.setHostCount(std::max<std::size_t>(hosts.size(), 1));
    std::vector<std::string> names;
    std::transform(hosts.begin(), hosts.end(), std::back_inserter(names), [](const auto &host) { return host.first; });
    rollouts_.setHosts(names);
    streams_.setHosts(names);
    applyRetryLimits();
}

void Gateway::setLeader(const std::string &host)
{
    if (leader_ != host) {
        leader_ = host;
        versions_.setLeading(host == options_.hostName);
        streams_.setLeading(host == options_.hostName);
        rollouts_.setLeader(host);
        writeLog(LogLevel::Info, "leader_known", {{"leader", host}});
    }
}

void Gateway::setLimits(const GatewayLimits &limits)
{
    options_.limits = limits;
    fleet_.setRequestsMayWait(limits.requestsWaitForTokens);
    directory_.setWeightsDeadline(options_.limits.weightsDeadline);
    directory_.setAdaptive(options_.limits.adaptsToEngines);
    applyRetryLimits();
    if (table_ != nullptr) {
        applyTeamLimits();
        applyVersionLimits();
    }
    refreshTargets();
}

/// A host that left the fleet accepts requests until its configuration is no longer proven, and they run until their timeouts. A caller resumes a
/// stream within the time that it waits for all of its attempts.
void Gateway::applyVersionLimits()
{
    constexpr Duration minStreamRetention = std::chrono::seconds(10);
    Duration longestTimeout{};
    for (const Route &route : table_->routes) {
        longestTimeout = std::max(longestTimeout, route.timeout);
    }
    rollouts_.setLimits(options_.limits.exposure);
    rollouts_.setSilentTime(options_.limits.keyProofWindow + longestTimeout);
    streams_.setRetention(std::max(minStreamRetention, 2 * longestTimeout));
}

void Gateway::applyTeamLimits()
{
    std::vector<TeamLimit> limits;
    for (const Team &team : table_->teams) {
        // Half of the tolerance by which the limit may be exceeded. The other half is for hosts that start with part of a burst or are
        // counted late.
        const double factor = 1 + options_.limits.quotaOver / 2;
        limits.push_back({team.name, team.rate * factor, team.burst * factor + options_.limits.quotaSlack / 2});
    }
    fleet_.setLimits(limits);
}

void Gateway::applyRetryLimits()
{
    const std::size_t count = std::max<std::size_t>(hosts_.size(), 1);
    dispatch_.setRetryLimits(
        {options_.limits.retries.ratio * retryBudgetFraction, options_.limits.retries.minRetries * retryBudgetFraction / static_cast<double>(count)});
}

void Gateway::drain()
{
    if (drainStartedAt_) {
        return;
    }
    drainStartedAt_ = BootClock::now();
    relayServer_.drain();
    dispatch_.limitDeadlines(*drainDeadline());
    writeLog(LogLevel::Info,
             "drain_started",
             {{"sessions", static_cast<std::int64_t>(sessions_.size())}, {"requests", static_cast<std::int64_t>(dispatch_.count())}});
    continueDrain();
}

CallerLimits Gateway::callerLimits() const
{
    return table_ != nullptr ? table_->limits : CallerLimits{};
}

bool Gateway::isDraining() const
{
    return drainStartedAt_.has_value();
}

std::optional<TimePoint> Gateway::drainDeadline() const
{
    return drainStartedAt_ ? std::optional(*drainStartedAt_ + options_.limits.drainLimit - drainAnswerMargin) : std::nullopt;
}

bool Gateway::mayServeUntil(TimePoint deadline, TimePoint now) const
{
    return !drainStartedAt_ || now < *drainStartedAt_ + options_.limits.drainNotice || deadline <= *drainDeadline();
}

bool Gateway::isKeyProofValid(TimePoint now) const
{
    return table_ != nullptr && proofAge(now) < options_.limits.keyProofWindow - keyProofMargin;
}

bool Gateway::isTableProofRecent(TimePoint now) const
{
    return table_ != nullptr && proofAge(now) < options_.limits.configurationWindow;
}

bool Gateway::isNewerTableOverdue(TimePoint now) const
{
    return freshness_.isOutdated(now, options_.limits.configurationWindow);
}

Duration Gateway::proofAge(TimePoint now) const
{
    return freshness_.age(now);
}

std::shared_ptr<RoutedRequest> Gateway::createRequest(const std::shared_ptr<CallerSession> &session, HttpHead &&head, std::string &&body)
{
    metrics_.add("lovageloft_requests_total");
    return std::make_shared<RoutedRequest>(*this, session, std::move(head), std::move(body));
}

bool Gateway::isConfigured() const
{
    return table_ != nullptr && hasTargets_;
}

void Gateway::beginWhenConfigured(const std::shared_ptr<RoutedRequest> &request)
{
    if (pendingRequests_.empty()) {
        configurationTimer_.expires_after(maxConfigurationWait);
        configurationTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                beginPending();
            }
        });
    }
    pendingRequests_.push_back(request);
}

void Gateway::beginPending()
{
    configurationTimer_.cancel();
    for (const auto &request : std::exchange(pendingRequests_, {})) {
        request->beginNow();
    }
}

int Gateway::refuse(CallerSession *session, const Reason &reason, RunState runState, Duration retryAfter)
{
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    const int status = callerProtocol_.statusOf(reason, runState);
    if (session == nullptr) {
        return status;
    }
    std::string fields;
    appendField(fields, "Content-Type", "application/json");
    if (status == tooManyRequests || status == unavailable) {
        appendField(fields, "Retry-After", callerProtocol_.retryAfter(retryAfter));
    }
    return session->sendOwnAnswer(status, fields, callerProtocol_.body(reason, runState)) ? status : 0;
}

void Gateway::refuseMalformed(CallerSession &session, const Reason &reason)
{
    writeLog(LogLevel::Info, "message_refused", {{"code", std::int64_t{static_cast<int>(reason.code)}}, {"reason", reason.text}});
    metrics_.add("lovageloft_messages_refused_total", {{"reason", resultCodeInfo(reason.code).name}});
    refuse(&session, reason, RunState::NotRun, defaultRetryAfter);
}

void Gateway::onRequestEnded(const RoutedRequest &request, const EndedRequest &ended)
{
    dispatch_.release(request.schedulerId());
    observeRequest(metrics_, ended);
}

void Gateway::tick()
{
    const TimePoint now = BootClock::now();
    pauseDetector_.tick(now);
    paths_.tick(now);
    statements_.tick(now);
    streams_.tick(now);
    updateControl(now);
    pool_.closeStale(now);
    fleet_.sendHeartbeat(now);
    fleet_.crashes().onTick(now);
    if (now < queryProofsUntil_) {
        fleet_.queryProofs();
    }
    if (now < std::max(queryProofsUntil_, queryStatementsUntil_)) {
        fleet_.queryStatements();
    }
    if (now < queryWeightsAgesUntil_ || directory_.needsPublicationTime(now)) {
        fleet_.queryWeightsAges();
    }
    versions_.tick(now, std::max(now - proofAge(now), fleet_.syncedUntil(now)));
    rollouts_.tick(now);
    dispatch_.refreshEngines(now);
    const bool ready = isReady(now);
    if (ready != wasReady_) {
        wasReady_ = ready;
        writeLog(LogLevel::Info,
                 ready ? "host_ready" : "host_not_ready",
                 {{"configuration", table_ != nullptr ? table_->version : 0},
                  {"targets", static_cast<std::int64_t>(directory_.all().size())},
                  {"proof_age_ms", static_cast<std::int64_t>(toSeconds(proofAge(now)) * 1e3)}});
    }
    closeStalledCallers(now);
    tickTimer_.expires_after(tickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

/// A graceful shutdown has two phases. While the balancer may still send connections, everything is served and responses ask callers to
/// close their connections. Then no connections are accepted and idle ones are closed. Requests in flight are completed in both phases.
void Gateway::continueDrain()
{
    const TimePoint now = BootClock::now();
    const Duration elapsed = now - *drainStartedAt_;
    pool_.closeStale(now);
    if (elapsed >= options_.limits.drainNotice) {
        acceptor_.close();
        const auto sessions = sessions_;
        for (const auto &[id, session] : sessions) {
            session->closeIfIdle();
        }
    }
    const bool isEmpty = elapsed >= options_.limits.drainNotice && sessions_.empty() && dispatch_.count() == 0 && relayServer_.count() == 0;
    if (isEmpty || elapsed >= options_.limits.drainLimit) {
        writeLog(LogLevel::Info, "drain_ended", {{"empty", isEmpty}, {"requests", static_cast<std::int64_t>(dispatch_.count())}});
        readiness_.close();
        metricsServer_.close();
        fleet_.close();
        relayServer_.close();
        loop_.stop();
        return;
    }
    drainTimer_.expires_after(drainCheckInterval);
    drainTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            continueDrain();
        }
    });
}

StatusAnswer Gateway::readinessAnswer(std::string_view path)
{
    constexpr int unavailable = 503;
    constexpr int notFound = 404;
    if (path == callerProtocol_.readyPath()) {
        return isReady(BootClock::now()) ? StatusAnswer{200, "ready\n"} : StatusAnswer{unavailable, "not ready\n"};
    }
    return {notFound, "not found\n"};
}

StatusAnswer Gateway::metricsAnswer(std::string_view path)
{
    if (path != "/metrics") {
        return operatorView_.answer(path);
    }
    updateGauges(metrics_, *this);
    return {200, metrics_.text(), "text/plain; version=0.0.4"};
}

bool Gateway::isReady(TimePoint now) const
{
    return !drainStartedAt_ && hasTargets_ && isKeyProofValid(now) && !isNewerTableOverdue(now);
}

} // namespace Lovageloft

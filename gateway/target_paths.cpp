#include "gateway/target_paths.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "core/log.h"
#include "drivers/tcp_connection.h"
#include "gateway/relayed_stream.h"

namespace Lovageloft
{

namespace
{

/// How long nothing may arrive from any target while requests wait for answers.
constexpr Duration maxSilence = std::chrono::milliseconds(200);

/// Time within which hosts that have lost their links presume so. One that does not yet would report a target as unreachable.
constexpr Duration lossDetectionTime = std::chrono::milliseconds(100);

std::string_view nameOf(ConnectResult result)
{
    static constexpr auto names = std::to_array<std::string_view>({"connected", "refused", "timed_out"});
    return names.at(static_cast<std::size_t>(result));
}

std::string_view nameOf(RelayResult result)
{
    static constexpr auto names = std::to_array<std::string_view>({"pending", "connected", "unreachable", "refused"});
    return names.at(static_cast<std::size_t>(result));
}

} // namespace

/// A direct connection that is opened only to learn whether it can be, and then closed.
class TargetPaths::Probe final : private TcpEvents
{
public:
    Probe(TargetPaths &paths, std::string targetId, const HostAddress &address)
        : paths_(paths)
        , targetId_(std::move(targetId))
        , startedAt_(BootClock::now())
        , tcp_(TcpConnection::connect(paths.loop_, address, linkConnectTimeout, *this))
    {
    }

    ~Probe() override
    {
        tcp_->close();
    }

    /// Adds a function that is called with the result.
    void addListener(std::function<void(ConnectResult)> listener)
    {
        listeners_.push_back(std::move(listener));
    }

private:
    void onConnected() override
    {
        end(ConnectResult::Connected);
    }

    void onBytes(std::string_view /*bytes*/) override
    {
    }

    void onClosed(bool /*isReset*/) override
    {
        end(connectFailure(BootClock::now() - startedAt_, linkConnectTimeout));
    }

    void end(ConnectResult result)
    {
        TargetPaths &paths = paths_;
        const auto found = paths.probes_.find(targetId_);
        if (found == paths.probes_.end()) {
            return;
        }
        const auto self = std::move(found->second);
        paths.probes_.erase(found);
        paths.onConnectResult(targetId_, result, BootClock::now());
        for (const auto &listener : listeners_) {
            listener(result);
        }
    }

    TargetPaths &paths_;
    std::string targetId_;
    TimePoint startedAt_;
    std::vector<std::function<void(ConnectResult)>> listeners_;
    std::shared_ptr<TcpConnection> tcp_;
};

/// A connection through other hosts that is opened only to learn whether it can be, and then closed.
class TargetPaths::RelayProbe final : public std::enable_shared_from_this<RelayProbe>, private TcpEvents
{
public:
    RelayProbe(TargetPaths &paths, PathAttempts attempts, std::function<void(bool isReached)> handler)
        : paths_(paths)
        , attempts_(std::move(attempts))
        , handler_(std::move(handler))
    {
    }

    ~RelayProbe() override
    {
        if (stream_ != nullptr) {
            stream_->close();
        }
    }

    void tryNext()
    {
        const auto path = paths_.planner_.nextRelayedPath(attempts_, BootClock::now());
        if (!path) {
            end(false);
            return;
        }
        relay_ = path->relay;
        stream_ = RelayedStream::connect(paths_.loop_, paths_.hostAddresses_.at(relay_), attempts_.targetId, path->timeout, *this);
    }

private:
    void onConnected() override
    {
        paths_.onRelayResult(attempts_, relay_, *stream_, BootClock::now());
        end(true);
    }

    void onBytes(std::string_view /*bytes*/) override
    {
    }

    void onClosed(bool /*isReset*/) override
    {
        paths_.onRelayResult(attempts_, relay_, *stream_, BootClock::now());
        tryNext();
    }

    void end(bool isReached)
    {
        const auto self = shared_from_this();
        paths_.relayProbes_.erase(self);
        handler_(isReached);
    }

    TargetPaths &paths_;
    PathAttempts attempts_;
    std::function<void(bool isReached)> handler_;
    std::string relay_;
    std::shared_ptr<RelayedStream> stream_;
};

TargetPaths::TargetPaths(boost::asio::io_context &loop, std::string hostName, Metrics &metrics)
    : loop_(loop)
    , hostName_(std::move(hostName))
    , metrics_(metrics)
    , planner_(Random(std::random_device{}()))
{
}

TargetPaths::~TargetPaths() = default;

void TargetPaths::setTargets(const TargetMap &targets)
{
    std::vector<MonitoredTarget> monitored;
    addresses_.clear();
    for (const auto &[id, target] : targets) {
        monitored.push_back({id, target.service, target.dataCentre});
        addresses_.emplace(id, target.address);
    }
    planner_.links().setTargets(monitored);
    logChanges();
}

void TargetPaths::setHosts(const std::map<std::string, HostRecord> &hosts)
{
    std::vector<RelayHost> others;
    std::string dataCentre;
    hostAddresses_.clear();
    for (const auto &[name, record] : hosts) {
        if (name == hostName_) {
            dataCentre = record.dataCentre;
            continue;
        }
        others.push_back({name, record.dataCentre});
        hostAddresses_.emplace(name, record.address);
    }
    planner_.setHosts(others, dataCentre);
}

void TargetPaths::setChangeListener(std::function<void()> listener)
{
    changeListener_ = std::move(listener);
}

std::optional<TargetPath> TargetPaths::nextPath(PathAttempts &attempts, const HostAddress &address, TimePoint now)
{
    const auto path = planner_.nextPath(attempts, now);
    if (!path) {
        return std::nullopt;
    }
    return TargetPath{path->relay.empty() ? address : hostAddresses_.at(path->relay), path->relay, path->timeout};
}

void TargetPaths::onConnectResult(std::string_view targetId, ConnectResult result, TimePoint now)
{
    metrics_.add("lovageloft_target_connects_total", {{"result", nameOf(result)}});
    planner_.links().onConnectResult(targetId, result, now);
    logChanges();
    if (result != ConnectResult::Connected) {
        tick(now);
    }
}

void TargetPaths::onRelayResult(PathAttempts &attempts, const std::string &relay, const RelayedStream &stream, TimePoint now)
{
    const RelayResult result = stream.result();
    metrics_.add("lovageloft_relay_connects_total", {{"direction", "out"}, {"result", nameOf(result)}});
    planner_.onRelayResult(attempts, relay, result, stream.suggestion(), now);
    logChanges();
}

std::string TargetPaths::suggestion(TimePoint now)
{
    return planner_.suggestion(now);
}

void TargetPaths::onBytes(std::string_view targetId, bool isAnswer, TimePoint now)
{
    heardAt_ = now;
    if (isAnswer) {
        planner_.links().onAnswered(targetId, now);
    }
}

void TargetPaths::onWaiting(std::string_view targetId, TimePoint sentAt, bool isOverdue, TimePoint now)
{
    if (planner_.links().isLost(targetId, now)) {
        planner_.links().onSilent(targetId);
        return;
    }
    if (isOverdue || now - std::max(heardAt_, sentAt) >= maxSilence) {
        openProbe(std::string(targetId));
    }
}

bool TargetPaths::isLost(std::string_view targetId, TimePoint now) const
{
    return planner_.links().isLost(targetId, now);
}

bool TargetPaths::mayUseEstablished(std::string_view targetId, TimePoint now) const
{
    return planner_.links().mayUseEstablished(targetId, now);
}

void TargetPaths::checkLoss(std::string_view targetId, std::function<void(bool isLinkLost)> handler)
{
    const auto address = addresses_.find(targetId);
    if (address == addresses_.end() || hostAddresses_.empty()) {
        handler(false);
        return;
    }
    const PathAttempts attempts{address->first, BootClock::now(), true, {}, 0};
    openProbe(address->first);
    probes_.at(address->first)->addListener([this, attempts, handler = std::move(handler)](ConnectResult result) {
        if (result == ConnectResult::Connected) {
            handler(false);
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, lossDetectionTime);
        timer->async_wait([this, timer, attempts, handler](const boost::system::error_code &) { askForLoss(attempts, handler); });
    });
}

void TargetPaths::askForLoss(const PathAttempts &attempts, const std::function<void(bool isLinkLost)> &handler)
{
    if (planner_.links().isPresumedLost(attempts.targetId)) {
        handler(true);
        return;
    }
    PathAttempts begun = attempts;
    begun.startedAt = BootClock::now();
    const auto probe = std::make_shared<RelayProbe>(*this, begun, handler);
    relayProbes_.insert(probe);
    probe->tryNext();
}

const LinkMonitor &TargetPaths::links() const
{
    return planner_.links();
}

void TargetPaths::tick(TimePoint now)
{
    for (const std::string &targetId : planner_.links().dueProbes(now)) {
        openProbe(targetId);
    }
}

void TargetPaths::openProbe(const std::string &targetId)
{
    const auto address = addresses_.find(targetId);
    if (address != addresses_.end() && !probes_.contains(targetId)) {
        probes_.emplace(targetId, std::make_shared<Probe>(*this, targetId, address->second));
    }
}

void TargetPaths::logChanges()
{
    const std::vector<LinkChange> changes = planner_.links().takeChanges();
    for (const LinkChange &change : changes) {
        writeLog(change.isLost ? LogLevel::Warning : LogLevel::Info,
                 change.isLost ? "links_lost" : "links_restored",
                 {{"scope", change.scope},
                  {"cause", nameOf(change.cause)},
                  {"lost", static_cast<std::int64_t>(change.lostTargets)},
                  {"targets", static_cast<std::int64_t>(change.targets)},
                  {"reached_ms", change.sinceReached ? toMillis(*change.sinceReached) : -1}});
    }
    if (!changes.empty()) {
        changeListener_();
    }
}

} // namespace Lovageloft

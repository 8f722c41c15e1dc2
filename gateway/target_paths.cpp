#include "gateway/target_paths.h"

#include <array>
#include <utility>
#include <vector>

#include "core/log.h"
#include "drivers/tcp_connection.h"

namespace Lovageloft
{

namespace
{

constexpr Duration probeTimeout = std::chrono::milliseconds(200);

std::string_view nameOf(ConnectResult result)
{
    static constexpr auto names = std::to_array<std::string_view>({"connected", "refused", "timed_out"});
    return names.at(static_cast<std::size_t>(result));
}

} // namespace

/// A connection that is opened only to learn whether it can be, and then closed.
class TargetPaths::Probe final : private TcpEvents
{
public:
    Probe(TargetPaths &paths, std::string targetId, const HostAddress &address)
        : paths_(paths)
        , targetId_(std::move(targetId))
        , startedAt_(BootClock::now())
        , tcp_(TcpConnection::connect(paths.loop_, address, probeTimeout, *this))
    {
    }

    ~Probe() override
    {
        tcp_->close();
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
        end(connectFailure(BootClock::now() - startedAt_, probeTimeout));
    }

    void end(ConnectResult result)
    {
        TargetPaths &paths = paths_;
        const std::string targetId = targetId_;
        const auto self = std::move(paths.probes_[targetId]);
        paths.probes_.erase(targetId);
        paths.onConnectResult(targetId, result, BootClock::now());
    }

    TargetPaths &paths_;
    std::string targetId_;
    TimePoint startedAt_;
    std::shared_ptr<TcpConnection> tcp_;
};

TargetPaths::TargetPaths(boost::asio::io_context &loop, Metrics &metrics)
    : loop_(loop)
    , metrics_(metrics)
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
    links_.setTargets(monitored);
    logChanges();
}

void TargetPaths::onConnectResult(std::string_view targetId, ConnectResult result, TimePoint now)
{
    metrics_.add("lovageloft_target_connects_total", {{"result", nameOf(result)}});
    links_.onConnectResult(targetId, result, now);
    logChanges();
}

void TargetPaths::onAnswered(std::string_view targetId, TimePoint now)
{
    links_.onAnswered(targetId, now);
}

void TargetPaths::tick(TimePoint now)
{
    for (const std::string &targetId : links_.dueProbes(now)) {
        openProbe(targetId);
    }
}

const LinkMonitor &TargetPaths::links() const
{
    return links_;
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
    for (const LinkChange &change : links_.takeChanges()) {
        writeLog(change.isLost ? LogLevel::Warning : LogLevel::Info,
                 change.isLost ? "links_lost" : "links_restored",
                 {{"scope", change.scope},
                  {"cause", nameOf(change.cause)},
                  {"lost", static_cast<std::int64_t>(change.lostTargets)},
                  {"targets", static_cast<std::int64_t>(change.targets)},
                  {"reached_ms", change.sinceReached ? toMillis(*change.sinceReached) : -1}});
    }
}

} // namespace Lovageloft

#include "gateway/target_pool.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// An idle connection is reused until it was idle for this many tenths of the time for which the target keeps it open.
constexpr int idempotentTenths = 7;
constexpr int nonIdempotentTenths = 5;
constexpr int tenthsPerUnit = 10;

constexpr std::size_t maxIdlePerTarget = 8;

/// A connection through another host takes no further requests after this time, so that none is on its way there when the other host shuts
/// down, and that requests go directly soon after the link is restored.
constexpr Duration maxRelayedAge = std::chrono::seconds(2);

} // namespace

TargetPool::TargetPool(boost::asio::io_context &loop, const TargetProtocol &protocol, TargetPaths &paths)
    : loop_(loop)
    , protocol_(protocol)
    , paths_(paths)
{
}

std::shared_ptr<TargetConnection> TargetPool::acquire(const Target &target, bool isIdempotent, TimePoint now)
{
    IdleConnections &idle = idle_[target.id];
    while (!idle.empty()) {
        auto connection = idle.back();
        const Duration age = now - connection->idleSince();
        if (age > connection->keepAlive() * (isIdempotent ? idempotentTenths : nonIdempotentTenths) / tenthsPerUnit) {
            break;
        }
        idle.pop_back();
        if (isOnLivePath(*connection, now) && connection->isQuiet()) {
            return connection;
        }
        connection->abort();
    }
    TargetConnection::Owner &owner = *this;
    auto connection = std::make_shared<TargetConnection>(target.id, protocol_, owner);
    connection->connect(loop_, target.address);
    return connection;
}

bool TargetPool::isOnLivePath(const TargetConnection &connection, TimePoint now) const
{
    return connection.relay().empty() ? paths_.mayUseEstablished(connection.targetId(), now) : now - connection.connectedAt() < maxRelayedAge;
}

void TargetPool::closeStale(TimePoint now)
{
    for (auto &[id, idle] : idle_) {
        std::erase_if(idle, [this, now](const auto &connection) {
            const Duration maxIdleTime = connection->keepAlive() * idempotentTenths / tenthsPerUnit;
            const bool isStale = now - connection->idleSince() > maxIdleTime || !isOnLivePath(*connection, now);
            if (isStale) {
                connection->abort();
            }
            return isStale;
        });
    }
}

void TargetPool::closeUnlisted(const TargetMap &targets)
{
    std::erase_if(idle_, [&targets](const auto &entry) {
        if (targets.contains(entry.first)) {
            return false;
        }
        for (const auto &connection : entry.second) {
            connection->abort();
        }
        return true;
    });
}

std::size_t TargetPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[id, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

std::optional<TargetPath> TargetPool::nextPath(PathAttempts &attempts, const HostAddress &address)
{
    return paths_.nextPath(attempts, address, BootClock::now());
}

void TargetPool::onConnectResult(const TargetConnection &connection, ConnectResult result)
{
    paths_.onConnectResult(connection.targetId(), result, BootClock::now());
}

void TargetPool::onRelayResult(PathAttempts &attempts, const std::string &relay, const RelayedStream &stream)
{
    paths_.onRelayResult(attempts, relay, stream, BootClock::now());
}

void TargetPool::onBytesFrom(const TargetConnection &connection, bool isAnswer)
{
    paths_.onBytes(connection.targetId(), isAnswer, BootClock::now());
}

void TargetPool::onIdle(const std::shared_ptr<TargetConnection> &connection)
{
    IdleConnections &idle = idle_[connection->targetId()];
    if (idle.size() >= maxIdlePerTarget) {
        connection->abort();
        return;
    }
    idle.push_back(connection);
}

void TargetPool::onIdleClosed(const std::shared_ptr<TargetConnection> &connection)
{
    const auto found = idle_.find(connection->targetId());
    if (found != idle_.end()) {
        std::erase(found->second, connection);
    }
}

} // namespace Lovageloft

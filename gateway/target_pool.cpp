#include "gateway/target_pool.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// Hosts and targets are about a millisecond apart; a target that hasn't accepted after this is cut off or overrun.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);

/// Parts of the time that a target keeps an idle connection, up to which it is used again.
constexpr int repeatableParts = 7;
constexpr int onceParts = 5;
constexpr int wholeParts = 10;

constexpr std::size_t idlePerTarget = 8;

} // namespace

TargetPool::TargetPool(boost::asio::io_context &loop, const TargetProtocol &protocol)
    : loop_(loop)
    , protocol_(protocol)
{
}

std::shared_ptr<TargetConnection> TargetPool::acquire(const Target &target, bool isRepeatable, TimePoint now)
{
    Idle &idle = idle_[target.id];
    while (!idle.empty()) {
        auto connection = idle.back();
        const Duration age = now - connection->idleSince();
        if (age > connection->keepAlive() * (isRepeatable ? repeatableParts : onceParts) / wholeParts) {
            break;
        }
        idle.pop_back();
        if (connection->isQuiet()) {
            return connection;
        }
        connection->abort();
    }
    TargetConnection::Owner &owner = *this;
    auto connection = std::make_shared<TargetConnection>(target.id, protocol_, owner);
    connection->connect(loop_, target.address, connectTimeout);
    return connection;
}

void TargetPool::closeStale(TimePoint now)
{
    for (auto &[id, idle] : idle_) {
        std::erase_if(idle, [now](const auto &connection) {
            const bool isStale = now - connection->idleSince() > connection->keepAlive() * repeatableParts / wholeParts;
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

void TargetPool::onIdle(const std::shared_ptr<TargetConnection> &connection)
{
    Idle &idle = idle_[connection->targetId()];
    if (idle.size() >= idlePerTarget) {
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

#include "drivers/etcd_connection_pool.h"

#include <utility>

namespace Lovageloft
{

namespace
{

/// Idle connections kept to one endpoint; about as many threads of a host call the store at once.
constexpr std::size_t idleConnectionLimit = 8;

} // namespace

EtcdConnectionPool::EtcdConnectionPool(std::vector<HostAddress> endpoints, Duration idleLimit)
    : endpoints_(std::move(endpoints))
    , idleLimit_(idleLimit)
    , idle_(endpoints_.size())
{
}

std::size_t EtcdConnectionPool::size() const
{
    return endpoints_.size();
}

std::size_t EtcdConnectionPool::preferred() const
{
    const std::lock_guard lock(mutex_);
    return preferred_;
}

std::unique_ptr<EtcdConnection> EtcdConnectionPool::take(std::size_t endpoint, Duration timeout)
{
    std::unique_ptr<EtcdConnection> connection = takeIdle(endpoint);
    return connection ? std::move(connection) : connect(endpoint, timeout);
}

std::unique_ptr<EtcdConnection> EtcdConnectionPool::connect(std::size_t endpoint, Duration timeout) const
{
    return timeout > Duration::zero() ? EtcdConnection::open(endpoints_[endpoint], timeout) : nullptr;
}

void EtcdConnectionPool::giveBack(std::size_t endpoint, std::unique_ptr<EtcdConnection> connection)
{
    const std::lock_guard lock(mutex_);
    if (connection->isReusable() && idle_[endpoint].size() < idleConnectionLimit) {
        idle_[endpoint].push_back(std::move(connection));
    }
}

void EtcdConnectionPool::reportFailure(std::size_t endpoint)
{
    Connections closed; // Outlives the lock, so that nobody waits for the closing.
    const std::lock_guard lock(mutex_);
    closed.swap(idle_[endpoint]);
    if (preferred_ == endpoint) {
        preferred_ = (endpoint + 1) % endpoints_.size();
    }
}

std::unique_ptr<EtcdConnection> EtcdConnectionPool::takeIdle(std::size_t endpoint)
{
    Connections closed;
    const std::lock_guard lock(mutex_);
    Connections &connections = idle_[endpoint];
    while (!connections.empty()) {
        std::unique_ptr<EtcdConnection> connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isReusable() && BootClock::now() - connection->lastReceived() < idleLimit_) {
            return connection;
        }
        closed.push_back(std::move(connection));
    }
    return nullptr;
}

} // namespace Lovageloft

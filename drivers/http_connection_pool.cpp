#include "drivers/http_connection_pool.h"

#include <utility>

namespace Lovageloft
{

namespace
{

/// Maximum idle connections to an endpoint: about the number of threads of a host that call the store concurrently.
constexpr std::size_t idleConnectionLimit = 8;

} // namespace

HttpConnectionPool::HttpConnectionPool(std::vector<HostAddress> endpoints, Duration idleLimit)
    : endpoints_(std::move(endpoints))
    , idleLimit_(idleLimit)
    , idle_(endpoints_.size())
{
}

std::size_t HttpConnectionPool::size() const
{
    return endpoints_.size();
}

std::size_t HttpConnectionPool::preferred() const
{
    const std::lock_guard lock(mutex_);
    return preferred_;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::take(std::size_t endpoint, Duration timeout)
{
    std::unique_ptr<HttpConnection> connection = acquireIdle(endpoint);
    return connection ? std::move(connection) : connect(endpoint, timeout);
}

std::unique_ptr<HttpConnection> HttpConnectionPool::connect(std::size_t endpoint, Duration timeout) const
{
    return timeout > Duration::zero() ? HttpConnection::open(endpoints_[endpoint], timeout) : nullptr;
}

void HttpConnectionPool::giveBack(std::size_t endpoint, std::unique_ptr<HttpConnection> connection)
{
    const std::lock_guard lock(mutex_);
    if (connection->isReusable() && idle_[endpoint].size() < idleConnectionLimit) {
        idle_[endpoint].push_back(std::move(connection));
    }
}

void HttpConnectionPool::reportFailure(std::size_t endpoint)
{
    Connections closed; // Destroyed after the lock, so that other threads do not wait while they are closed.
    const std::lock_guard lock(mutex_);
    closed.swap(idle_[endpoint]);
    if (preferred_ == endpoint) {
        preferred_ = (endpoint + 1) % endpoints_.size();
    }
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquireIdle(std::size_t endpoint)
{
    Connections closed;
    const std::lock_guard lock(mutex_);
    Connections &connections = idle_[endpoint];
    while (!connections.empty()) {
        std::unique_ptr<HttpConnection> connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isReusable() && BootClock::now() - connection->lastReceived() < idleLimit_) {
            return connection;
        }
        closed.push_back(std::move(connection));
    }
    return nullptr;
}

} // namespace Lovageloft

#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"
#include "drivers/http_connection.h"

namespace Lovageloft
{

/// Idle connections to the endpoints of a store, and the endpoint to prefer. Thread-safe.
class HttpConnectionPool
{
public:
    /// Connections that were idle for longer than `idleLimit` are closed instead of reused.
    HttpConnectionPool(std::vector<HostAddress> endpoints, Duration idleLimit);

    /// Number of endpoints.
    std::size_t size() const;

    /// The endpoint to try first.
    std::size_t preferred() const;

    /// Returns an idle connection to an endpoint, or a new one; null if it can't be reached within `timeout`.
    std::unique_ptr<HttpConnection> take(std::size_t endpoint, Duration timeout);

    /// Opens a new connection to an endpoint; null if it can't be reached within `timeout`.
    std::unique_ptr<HttpConnection> connect(std::size_t endpoint, Duration timeout) const;

    /// Returns a connection to the pool after a complete response.
    void giveBack(std::size_t endpoint, std::unique_ptr<HttpConnection> connection);

    /// Reports that a call to an endpoint failed: its idle connections are closed and the next endpoint is preferred. What breaks one connection,
    /// such as a restarted firewall, usually breaks all, and each of them would cost another timeout.
    void reportFailure(std::size_t endpoint);

private:
    using Connections = std::vector<std::unique_ptr<HttpConnection>>;

    std::unique_ptr<HttpConnection> acquireIdle(std::size_t endpoint);

    std::vector<HostAddress> endpoints_;
    Duration idleLimit_;
    mutable std::mutex mutex_;
    std::vector<Connections> idle_; // By endpoint; the one used last at the back.
    std::size_t preferred_ = 0;
};

} // namespace Lovageloft

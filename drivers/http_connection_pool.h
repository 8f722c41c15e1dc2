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

/// The endpoints of the store, the one that is preferred, and idle connections to each. Thread-safe.
class HttpConnectionPool
{
public:
    /// A connection that has been idle for longer than `idleLimit` is closed instead of used again.
    HttpConnectionPool(std::vector<HostAddress> endpoints, Duration idleLimit);

    /// Number of endpoints.
    std::size_t size() const;

    /// The endpoint to try first.
    std::size_t preferred() const;

    /// An idle connection to an endpoint or a new one; nothing if it can't be reached within `timeout`.
    std::unique_ptr<HttpConnection> take(std::size_t endpoint, Duration timeout);

    /// A new connection to an endpoint.
    std::unique_ptr<HttpConnection> connect(std::size_t endpoint, Duration timeout) const;

    /// Keeps a connection on which a whole answer came.
    void giveBack(std::size_t endpoint, std::unique_ptr<HttpConnection> connection);

    /// A call to an endpoint failed: its idle connections are closed and the next endpoint is preferred. What takes
    /// one connection to silence, a firewall that was restarted for example, takes them all; without this each of
    /// them would cost one more timeout.
    void reportFailure(std::size_t endpoint);

private:
    using Connections = std::vector<std::unique_ptr<HttpConnection>>;

    std::unique_ptr<HttpConnection> takeIdle(std::size_t endpoint);

    std::vector<HostAddress> endpoints_;
    Duration idleLimit_;
    mutable std::mutex mutex_;
    std::vector<Connections> idle_; // For each endpoint, the one used last at the back.
    std::size_t preferred_ = 0;
};

} // namespace Lovageloft

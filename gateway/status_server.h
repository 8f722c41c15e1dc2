#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/result_code.h"
#include "core/settings.h"
#include "drivers/connection_acceptor.h"
#include "drivers/tcp_connection.h"

namespace Lovageloft
{

/// Answer of a StatusServer.
struct StatusAnswer
{
    int status = 200;
    std::string body;
    std::string contentType = "text/plain; charset=utf-8";
};

/// A minimal HTTP server for the load balancer's readiness checks, for metrics and for operators, on an address of its own. It answers all
/// methods alike, so that HEAD gets a body, and has no timeouts: while too many connections are open, the oldest is closed for a new one.
class StatusServer
{
public:
    /// `path` is the request target as sent, with the query.
    using Handler = std::function<StatusAnswer(std::string_view path)>;

    StatusServer(boost::asio::io_context &loop, Handler handler);
    ~StatusServer();

    /// Binds the address and starts to accept connections. Returns false and sets `reason` on errors, as ConnectionAcceptor::open().
    bool open(const HostAddress &address, Reason &reason);
    /// Closes all connections at once; answers that are still being sent are cut off.
    void close();

    /// The bound TCP port; useful if the address has port 0. 0 if the server is not open.
    std::uint16_t port() const;

private:
    class Session;

    void accept(TcpConnection::Socket socket);
    void remove(const std::shared_ptr<Session> &session);

    ConnectionAcceptor acceptor_;
    Handler handler_;
    std::deque<std::shared_ptr<Session>> sessions_; ///< Oldest first.
};

} // namespace Lovageloft

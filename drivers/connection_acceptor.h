#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/result_code.h"
#include "core/settings.h"

namespace Lovageloft
{

/// Accepts TCP connections on an IPv4 address. While the process has no descriptor left, connections wait in the queue of the kernel.
class ConnectionAcceptor
{
public:
    /// Called on the event loop with each connection; may call close().
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// `receiveBufferBytes` is asked for each connection, also for those that wait to be accepted. What the kernel holds unread counts as memory of the
    /// host; it is twice as much at most, as the kernel doubles the figure.
    ConnectionAcceptor(boost::asio::io_context &loop, std::size_t receiveBufferBytes, Handler handler);

    /// Binds the address and starts to accept connections. Returns false and sets `reason` to ResultCode::SettingsOutOfRange if the address can't be
    /// bound, which includes that its port is in use.
    bool open(const HostAddress &address, Reason &reason);

    /// Resets the connections that wait in the queue.
    void close();

    /// The bound port; useful if the address has port 0. 0 if the acceptor is not open.
    std::uint16_t port() const;

private:
    void accept();
    void acceptLater();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retryTimer_;
    std::size_t receiveBufferBytes_;
    Handler handler_;
};

} // namespace Lovageloft

#include "drivers/connection_acceptor.h"

#include <chrono>
#include <utility>

namespace Lovageloft
{

namespace
{

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Length of the queue of connections that wait to be accepted. When many hosts restart, all clients reconnect at about the same time, and a full
/// queue delays each of them by a second.
constexpr int listenBacklog = 1'024;

constexpr std::chrono::milliseconds retryDelay{20};

} // namespace

ConnectionAcceptor::ConnectionAcceptor(boost::asio::io_context &loop, std::size_t receiveBufferBytes, Handler handler)
    : acceptor_(loop)
    , retryTimer_(loop)
    , receiveBufferBytes_(receiveBufferBytes)
    , handler_(std::move(handler))
{
}

bool ConnectionAcceptor::open(const HostAddress &address, Reason &reason)
{
    ErrorCode error;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        acceptor_.open(tcp::v4(), error);
    }
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        ErrorCode ignored;
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(receiveBufferBytes_)), ignored);
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(listenBacklog, error);
    }
    if (error) {
        reason = {ResultCode::SettingsOutOfRange, "can't listen on " + hostAddressText(address) + ": " + error.message()};
        return false;
    }
    accept();
    return true;
}

void ConnectionAcceptor::close()
{
    retryTimer_.cancel();
    ErrorCode ignored;
    acceptor_.close(ignored);
}

std::uint16_t ConnectionAcceptor::port() const
{
    ErrorCode ignored;
    return acceptor_.local_endpoint(ignored).port();
}

void ConnectionAcceptor::accept()
{
    acceptor_.async_accept([this](const ErrorCode &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (error) {
            acceptLater();
            return;
        }
        handler_(std::move(socket));
        if (acceptor_.is_open()) {
            accept();
        }
    });
}

/// Without a descriptor the next attempt would fail at once as well.
void ConnectionAcceptor::acceptLater()
{
    retryTimer_.expires_after(retryDelay);
    retryTimer_.async_wait([this](const ErrorCode &error) {
        if (!error) {
            accept();
        }
    });
}

} // namespace Lovageloft

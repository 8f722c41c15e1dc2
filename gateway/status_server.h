#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/result_code.h"
#include "core/settings.h"

namespace Lovageloft
{

struct StatusAnswer
{
    int status = 200;
    std::string body;
    std::string contentType = "text/plain; charset=utf-8";
};

/// A small HTTP server on an address of its own for information about this host: readiness for the load balancer, metrics, and the calls
/// of operators.
class StatusServer
{
public:
    using Handler = std::function<StatusAnswer(std::string_view path)>;

    StatusServer(boost::asio::io_context &loop, Handler handler);
    ~StatusServer();

    bool open(const HostAddress &address, Reason &reason);
    void close();

    /// The bound TCP port; useful if the address has port 0.
    std::uint16_t port() const;

private:
    class Session;

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
    std::set<std::shared_ptr<Session>> sessions_;
};

/// Opens a listening socket. Returns false and sets `reason` if the address can't be bound.
bool openListener(boost::asio::ip::tcp::acceptor &acceptor, const HostAddress &address, Reason &reason);

} // namespace Lovageloft

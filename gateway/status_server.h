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

/// Answers short questions about this host on an address of its own: readiness for the balancer, and metrics.
class StatusServer
{
public:
    using Answer = std::function<StatusAnswer(std::string_view path)>;

    StatusServer(boost::asio::io_context &loop, Answer answer);
    ~StatusServer();

    bool open(const HostAddress &address, Reason &reason);
    void close();

    /// The port as bound, for an address that takes any free one.
    std::uint16_t port() const;

private:
    class Session;

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    Answer answer_;
    std::set<std::shared_ptr<Session>> sessions_;
};

/// Opens a listening socket; false if the address can't be had.
bool openListener(boost::asio::ip::tcp::acceptor &acceptor, const HostAddress &address, Reason &reason);

} // namespace Lovageloft

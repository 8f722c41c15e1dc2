#include "gateway/status_server.h"

#include "drivers/http_parser.h"
#include "drivers/tcp_connection.h"

namespace Lovageloft
{

namespace
{

/// Length of the queue of connections that wait to be accepted. When many hosts restart, all clients reconnect at about the same time, and
/// a full queue delays each of them by a second.
constexpr int listenBacklog = 1'024;

/// Far more than balancers, operators and collectors of metrics use at once.
constexpr std::size_t maxSessions = 64;

constexpr std::chrono::milliseconds acceptRetryDelay{20};

/// Limits the received bytes of a connection that the kernel holds while they are not read: they count as memory of the host.
constexpr int receiveBufferBytes = 65'536;

} // namespace

class StatusServer::Session final : public std::enable_shared_from_this<Session>, private TcpEvents, private HttpEvents
{
public:
    Session(StatusServer &server, TcpConnection::Socket socket)
        : server_(server)
        , parser_(HttpMessageKind::Request, {}, *this)
        , tcp_(TcpConnection::adopt(std::move(socket), *this))
    {
    }

    void close()
    {
        tcp_->close();
    }

private:
    void onBytes(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        Reason reason;
        if (!parser_.read(bytes, reason)) {
            tcp_->close();
            server_.remove(self);
            return;
        }
        while (parser_.isComplete()) {
            answer();
            if (!parser_.startNext(reason)) {
                break;
            }
        }
    }

    void onClosed(bool /*isReset*/) override
    {
        server_.remove(shared_from_this());
    }

    void onHead(HttpHead &&head, std::optional<std::uint64_t> /*bodyBytes*/) override
    {
        path_ = head.path;
    }

    void onBody(std::string_view /*bytes*/) override
    {
    }

    void onEnd() override
    {
    }

    void answer()
    {
        const StatusAnswer answer = server_.handler_(path_);
        std::string out = "HTTP/1.1 " + std::to_string(answer.status) + ' ' + std::string(statusText(answer.status)) + "\r\n";
        appendField(out, "Content-Type", answer.contentType);
        appendField(out, "Content-Length", std::to_string(answer.body.size()));
        out.append("\r\n").append(answer.body);
        tcp_->send(out);
    }

    StatusServer &server_;
    HttpParser parser_;
    std::shared_ptr<TcpConnection> tcp_;
    std::string path_;
};

StatusServer::StatusServer(boost::asio::io_context &loop, Handler handler)
    : acceptor_(loop)
    , acceptTimer_(loop)
    , handler_(std::move(handler))
{
}

StatusServer::~StatusServer() = default;

bool StatusServer::open(const HostAddress &address, Reason &reason)
{
    if (!openListener(acceptor_, address, reason)) {
        return false;
    }
    accept();
    return true;
}

void StatusServer::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto &session : sessions_) {
        session->close();
    }
    sessions_.clear();
}

std::uint16_t StatusServer::port() const
{
    boost::system::error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
}

void StatusServer::accept()
{
    if (!acceptor_.is_open()) {
        return;
    }
    acceptor_.async_accept([this](const boost::system::error_code &error, TcpConnection::Socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            // Without a descriptor the next attempt would fail at once as well.
            acceptTimer_.expires_after(acceptRetryDelay);
            acceptTimer_.async_wait([this](const boost::system::error_code &) { accept(); });
            return;
        }
        sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
        if (sessions_.size() > maxSessions) {
            sessions_.front()->close();
            sessions_.pop_front();
        }
        accept();
    });
}

void StatusServer::remove(const std::shared_ptr<Session> &session)
{
    std::erase(sessions_, session);
}

bool openListener(boost::asio::ip::tcp::acceptor &acceptor, const HostAddress &address, Reason &reason)
{
    using boost::asio::ip::tcp;
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        acceptor.open(tcp::v4(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        boost::system::error_code ignored;
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(listenBacklog, error);
    }
    if (error) {
        reason = {ResultCode::SettingsOutOfRange, "can't listen on " + hostAddressText(address) + ": " + error.message()};
    }
    return !error;
}

} // namespace Lovageloft

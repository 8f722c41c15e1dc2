#include "gateway/status_server.h"

#include "drivers/http_parser.h"

namespace Lovageloft
{

namespace
{

/// Far more than balancers, operators and collectors of metrics use at once.
constexpr std::size_t maxSessions = 64;

constexpr std::size_t receiveBufferBytes = 16'384;

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
    : acceptor_(loop, receiveBufferBytes, [this](TcpConnection::Socket socket) { accept(std::move(socket)); })
    , handler_(std::move(handler))
{
}

StatusServer::~StatusServer() = default;

bool StatusServer::open(const HostAddress &address, Reason &reason)
{
    return acceptor_.open(address, reason);
}

void StatusServer::close()
{
    acceptor_.close();
    for (const auto &session : sessions_) {
        session->close();
    }
    sessions_.clear();
}

std::uint16_t StatusServer::port() const
{
    return acceptor_.port();
}

void StatusServer::accept(TcpConnection::Socket socket)
{
    sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
    if (sessions_.size() > maxSessions) {
        sessions_.front()->close();
        sessions_.pop_front();
    }
}

void StatusServer::remove(const std::shared_ptr<Session> &session)
{
    std::erase(sessions_, session);
}

} // namespace Lovageloft

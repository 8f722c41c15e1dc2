#include "gateway/relay_server.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http_parser.h"
#include "gateway/relayed_stream.h"
#include "gateway/status_server.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t maxSessions = 600;

/// Connections whose head has not arrived; a host sends it with the connection.
constexpr std::size_t maxWaitingSessions = 128;
constexpr std::size_t maxHeadBytes = 1'024;
constexpr std::size_t receiveBufferBytes = 65'536;

/// Unsent bytes in one direction above which reading from the other side pauses.
constexpr std::size_t maxBacklogBytes = 65'536;

constexpr Duration headTimeout = std::chrono::seconds(1);

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;

} // namespace

/// One relayed connection. It receives the events of the other host's side; `Target` receives those of the target's.
class RelayServer::Session final : public std::enable_shared_from_this<Session>, private TcpEvents, private HttpEvents
{
public:
    Session(RelayServer &server, TcpConnection::Socket socket)
        : server_(server)
        , target_(*this)
        , timer_(server.loop_)
        , parser_(HttpMessageKind::Request, {maxHeadBytes, 0}, *this)
        , host_(TcpConnection::adopt(std::move(socket), *this))
    {
        parser_.reportHeadAtOnce();
    }

    void start()
    {
        timer_.expires_after(headTimeout);
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (!error && self != nullptr && self->targetId_.empty()) {
                self->end();
            }
        });
    }

    bool isWaiting() const
    {
        return targetId_.empty();
    }

    void close()
    {
        host_->close();
        if (target_.tcp != nullptr) {
            target_.tcp->close();
        }
    }

private:
    struct Target final : TcpEvents
    {
        explicit Target(Session &owner)
            : session(owner)
        {
        }

        void onConnected() override
        {
            session.onTargetConnected();
        }

        void onBytes(std::string_view bytes) override
        {
            session.onTargetBytes(bytes);
        }

        void onClosed(bool isReset) override
        {
            session.onTargetClosed(isReset);
        }

        void onSent() override
        {
            session.host_->resumeReading();
        }

        Session &session;
        std::shared_ptr<TcpConnection> tcp;
    };

    void onBytes(std::string_view bytes) override
    {
        const auto self = shared_from_this();
        Reason reason;
        if (!parser_.read(bytes, reason) && !isEnded_) {
            refuse(statusBadRequest);
        }
    }

    void onClosed(bool /*isReset*/) override
    {
        end();
    }

    void onSent() override
    {
        if (target_.tcp != nullptr) {
            target_.tcp->resumeReading();
        }
    }

    void onHead(HttpHead &&head, std::optional<std::uint64_t> /*bodyBytes*/) override
    {
        targetId_ = head.find(relayTargetField);
        const auto address = head.path == relayPath ? server_.links_.findTarget(targetId_) : std::nullopt;
        if (!address) {
            refuse(statusNotFound);
            return;
        }
        if (server_.isDraining_ || server_.sessions_.size() > maxSessions || server_.links_.isPresumedLost(targetId_)) {
            refuse(statusUnavailable);
            return;
        }
        if (server_.links_.isOwnLinkLost(targetId_)) {
            refuse(statusBadGateway);
            return;
        }
        connectStartedAt_ = BootClock::now();
        target_.tcp = TcpConnection::connect(server_.loop_, *address, linkConnectTimeout, target_);
    }

    void onBody(std::string_view bytes) override
    {
        if (isEnded_ || !isConnected_) {
            return;
        }
        target_.tcp->send(bytes);
        if (target_.tcp->unsent() > maxBacklogBytes) {
            host_->pauseReading();
        }
    }

    void onEnd() override
    {
    }

    void onTargetConnected()
    {
        isConnected_ = true;
        server_.links_.onConnectResult(targetId_, ConnectResult::Connected);
        count("connected");
        host_->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void onTargetBytes(std::string_view bytes)
    {
        std::string chunk;
        appendChunk(chunk, bytes);
        host_->send(chunk);
        if (host_->unsent() > maxBacklogBytes) {
            target_.tcp->pauseReading();
        }
    }

    void onTargetClosed(bool isReset)
    {
        const auto self = shared_from_this();
        if (!isConnected_) {
            server_.links_.onConnectResult(targetId_, connectFailure(BootClock::now() - connectStartedAt_, linkConnectTimeout));
            refuse(server_.links_.isPresumedLost(targetId_) ? statusUnavailable : statusBadGateway);
            return;
        }
        if (isReset) {
            end();
            return;
        }
        host_->send("0\r\n\r\n");
        endAfterSending();
    }

    void refuse(int status)
    {
        count(status == statusBadGateway ? "unreachable" : "refused");
        std::string answer = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(statusText(status)) + "\r\n";
        if (const std::string suggestion = server_.links_.suggestion(); status == statusUnavailable && !suggestion.empty()) {
            appendField(answer, relaySuggestionField, suggestion);
        }
        appendField(answer, "Content-Length", "0");
        host_->send(answer.append("\r\n"));
        endAfterSending();
    }

    void endAfterSending()
    {
        isEnded_ = true;
        if (target_.tcp != nullptr) {
            target_.tcp->close();
        }
        host_->closeAfterSending();
        server_.sessions_.erase(shared_from_this());
    }

    void end()
    {
        const auto self = shared_from_this();
        isEnded_ = true;
        close();
        server_.sessions_.erase(self);
    }

    void count(std::string_view result)
    {
        server_.metrics_.add("lovageloft_relay_connects_total", {{"direction", "in"}, {"result", result}});
    }

    RelayServer &server_;
    Target target_;
    boost::asio::steady_timer timer_;
    HttpParser parser_;
    std::shared_ptr<TcpConnection> host_;
    std::string targetId_;
    TimePoint connectStartedAt_;
    bool isConnected_ = false;
    bool isEnded_ = false;
};

RelayServer::RelayServer(boost::asio::io_context &loop, Links links, Metrics &metrics)
    : loop_(loop)
    , links_(std::move(links))
    , metrics_(metrics)
    , acceptor_(loop, receiveBufferBytes, [this](TcpConnection::Socket socket) { accept(std::move(socket)); })
{
}

RelayServer::~RelayServer()
{
    close();
}

bool RelayServer::open(const HostAddress &address, Reason &reason)
{
    return acceptor_.open(address, reason);
}

std::uint16_t RelayServer::port() const
{
    return acceptor_.port();
}

void RelayServer::drain()
{
    isDraining_ = true;
}

void RelayServer::close()
{
    acceptor_.close();
    for (const auto &session : std::exchange(sessions_, {})) {
        session->close();
    }
}

std::size_t RelayServer::count() const
{
    return sessions_.size();
}

std::size_t RelayServer::countWaiting() const
{
    return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(), [](const auto &session) { return session->isWaiting(); }));
}

void RelayServer::accept(TcpConnection::Socket socket)
{
    boost::system::error_code unknown;
    const auto peer = socket.remote_endpoint(unknown).address();
    if (unknown || !links_.isHost(peer) || countWaiting() >= maxWaitingSessions) {
        return;
    }
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    session->start();
}

} // namespace Lovageloft

#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "drivers/http_parser.h"
#include "drivers/tcp_connection.h"
#include "gateway/protocol.h"

namespace Lovageloft
{

/// How far a request had come when its target was lost. The difference decides whether another target may have it.
enum class TargetLoss : std::uint8_t
{
    NotSent, ///< No byte of the request can have reached the target.
    MayHaveRun,
};

/// What one exchange with a target tells the request that it belongs to. Nothing follows the last two.
class ExchangeEvents
{
public:
    ExchangeEvents() = default;
    ExchangeEvents(const ExchangeEvents &) = delete;
    ExchangeEvents &operator=(const ExchangeEvents &) = delete;
    virtual ~ExchangeEvents() = default;

    virtual void onAnswerHead(HttpHead &&head, const AnswerFacts &facts) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onAnswerEnd() = 0;
    virtual void onTargetLost(TargetLoss loss, std::string_view why) = 0;
};

/// One HTTP connection to one target that carries one exchange after another.
///
/// What goes wrong on kept connections: a target sends a second answer to an earlier request, which would be taken for the
/// answer to the next one and give a caller what belongs to another. So an answer must bear the id of the request that
/// waits; any other is read and dropped, and the connection is not used again.
class TargetConnection final : public std::enable_shared_from_this<TargetConnection>, private TcpEvents, private HttpEvents
{
public:
    /// Hears of connections that can be used again and of idle ones that ended.
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual void onIdle(const std::shared_ptr<TargetConnection> &connection) = 0;
        virtual void onIdleClosed(const std::shared_ptr<TargetConnection> &connection) = 0;
    };

    TargetConnection(std::string targetId, const TargetProtocol &protocol, Owner &owner);

    void connect(boost::asio::io_context &loop, const HostAddress &address, Duration timeout);

    /// Sends a request once the connection stands. `requestId` is what its answer must bear.
    void sendRequest(std::string bytes, std::string requestId, bool hasAnswerBody, ExchangeEvents &events);

    /// Gives the exchange up: the connection is closed, by which most targets drop the request.
    void abort();

    void pauseReading();
    void resumeReading();

    /// Whether nothing has come since the last answer. To be asked right before an idle connection is used.
    bool isQuiet();

    const std::string &targetId() const;

    /// How long the target keeps the connection when idle.
    Duration keepAlive() const;

    TimePoint idleSince() const;

    /// Whether a request was sent on it before.
    bool hasSentRequest() const;

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onClosed(bool isReset) override;
    void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void sendPending();
    void readOn(std::string_view bytes);
    void complete();
    void lose(TargetLoss loss, std::string_view why);
    void noteKeepAlive(const HttpHead &head);

    std::string targetId_;
    const TargetProtocol &protocol_;
    Owner &owner_;
    std::shared_ptr<TcpConnection> tcp_;
    HttpParser parser_;
    ExchangeEvents *events_ = nullptr; ///< Null while idle.
    std::string pending_; ///< A request that waits for the connection to stand.
    std::string requestId_;
    std::size_t requestBytes_ = 0;
    bool isConnected_ = false;
    bool hasSentRequest_ = false;
    bool isSkipping_ = false; ///< The message being read is no answer to the request that waits.
    bool isReusable_ = true;
    Duration keepAlive_;
    TimePoint idleSince_;
};

} // namespace Lovageloft

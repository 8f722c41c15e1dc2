#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "drivers/http_parser.h"
#include "drivers/tcp_connection.h"
#include "gateway/protocol.h"
#include "gateway/target_paths.h"

namespace Lovageloft
{

/// How far a request got before the connection to its target failed. Decides whether it may be sent to another target.
enum class TargetLoss : std::uint8_t
{
    NotSent, ///< No byte of the request can have reached the target.
    MayHaveRun, ///< Part or all of the request was sent, or the answer was malformed.
};

/// Receives the events of one exchange with a target. onAnswerEnd() or onTargetLost() is the last one.
class ExchangeEvents
{
public:
    ExchangeEvents() = default;
    ExchangeEvents(const ExchangeEvents &) = delete;
    ExchangeEvents &operator=(const ExchangeEvents &) = delete;
    virtual ~ExchangeEvents() = default;

    /// The request was sent on an established connection; also called during TargetConnection::sendRequest().
    virtual void onRequestSent()
    {
    }

    /// Called once, for the final answer; those with a 1xx status are skipped.
    virtual void onAnswerHead(HttpHead &&head, const AnswerFacts &facts) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onAnswerEnd() = 0;
    /// `why` is "not connected", "reset", "closed" or "malformed answer".
    virtual void onTargetLost(TargetLoss loss, std::string_view why) = 0;
};

/// A persistent HTTP connection to a target that carries one exchange at a time.
///
/// A faulty target may send a second answer to an earlier request. If it were taken as the answer to the next request, a caller would get
/// data that belongs to another. An answer must therefore carry the id of the current request. Any other answer is discarded without
/// an event, and the connection is not reused. The exchange goes on until its own answer arrives, the connection fails or abort() is called.
class TargetConnection final : public std::enable_shared_from_this<TargetConnection>, private TcpEvents, private HttpEvents
{
public:
    /// Chooses the paths of a connection. Notified of each attempt's result, of received bytes, when a connection becomes idle and can be reused,
    /// and when an idle connection was closed.
    class Owner
    {
    public:
        virtual ~Owner() = default;
        /// The next path to try; nothing if the connection can't be established.
        virtual std::optional<TargetPath> nextPath(PathAttempts &attempts, const HostAddress &address) = 0;
        virtual void onConnectResult(const TargetConnection &connection, ConnectResult result) = 0;
        virtual void onRelayResult(PathAttempts &attempts, const std::string &relay, const RelayedStream &stream) = 0;
        /// Bytes were received on a direct connection; `isAnswer` with the head of an answer.
        virtual void onBytesFrom(const TargetConnection &connection, bool isAnswer) = 0;
        /// Called before ExchangeEvents::onAnswerEnd() of the exchange that has ended.
        virtual void onIdle(const std::shared_ptr<TargetConnection> &connection) = 0;
        virtual void onIdleClosed(const std::shared_ptr<TargetConnection> &connection) = 0;
    };

    TargetConnection(std::string targetId, const TargetProtocol &protocol, Owner &owner);

    /// Starts to connect on the paths that the owner chooses, one after the other; must be called once. If none leads to the target, the
    /// exchange fails with ExchangeEvents::onTargetLost().
    void connect(boost::asio::io_context &loop, const HostAddress &address);

    /// Sends a request as soon as the connection is established. `bytes` are its head and what of its body isn't in `body`, which is held without a copy
    /// until it is sent; null for none. Its answer must carry `requestId`. `hasAnswerBody` is false for requests,
    /// such as HEAD, whose answer has no body whatever its header says; the connection is then not reused.
    /// Must be called only on a new or idle connection. `events` must remain valid until the exchange ends or is aborted.
    void sendRequest(std::string bytes, std::shared_ptr<const std::string> body, std::string requestId, bool hasAnswerBody, ExchangeEvents &events);

    /// Aborts the exchange by closing the connection, which makes most targets cancel the request. Neither the exchange's
    /// events nor the owner is notified.
    void abort();

    void pauseReading();
    void resumeReading();

    /// Whether the connection is still open and nothing was received since the last answer. Must be checked right before an idle connection
    /// is reused.
    bool isQuiet();

    const std::string &targetId() const;

    /// Name of the host that relays this connection; empty if it is direct.
    const std::string &relay() const;

    /// When the connection was established.
    TimePoint connectedAt() const;

    /// How long the target keeps the connection open while idle: as its Keep-Alive header says, or a default.
    Duration keepAlive() const;

    /// When the last exchange ended; meaningless before the end of the first one.
    TimePoint idleSince() const;

    /// Whether a request was sent on this connection before.
    bool hasSentRequest() const;

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onClosed(bool isReset) override;
    void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void tryNextPath();
    void onPathFailed();
    void sendPendingRequest();
    void parse(std::string_view bytes);
    void finish();
    void fail(TargetLoss loss, std::string_view why);
    void updateKeepAlive(const HttpHead &head);

    PathAttempts attempts_;
    HostAddress address_; ///< Of the target.
    TargetPath path_; ///< The newest one.
    boost::asio::io_context *loop_ = nullptr;
    const TargetProtocol &protocol_;
    Owner &owner_;
    std::shared_ptr<ByteStream> stream_;
    HttpParser parser_;
    ExchangeEvents *events_ = nullptr; ///< Null while idle.
    std::string pendingRequest_; ///< Sent when the connection is established.
    std::shared_ptr<const std::string> pendingBody_; ///< Sent after `pendingRequest_`.
    std::string requestId_;
    std::size_t requestBytes_ = 0;
    bool isConnected_ = false;
    bool hasSentRequest_ = false;
    bool isDiscarding_ = false; ///< The message being read is not the final answer to the current request.
    std::size_t discardedBytes_ = 0; ///< Since the request was sent.
    bool isReusable_ = true;
    TimePoint pathStartedAt_;
    TimePoint connectedAt_;
    Duration keepAlive_;
    TimePoint idleSince_;
};

} // namespace Lovageloft

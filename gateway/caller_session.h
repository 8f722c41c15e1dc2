#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http_parser.h"
#include "drivers/tcp_connection.h"
#include "gateway/routing_table.h"
#include "memory/buffer_budget.h"
#include "memory/connection_budget.h"

namespace Lovageloft
{

class Gateway;
class RoutedRequest;

/// An HTTP connection from a caller. Reads its requests one at a time, enforces the limits on their size and arrival time, and writes the
/// answers.
class CallerSession final : public std::enable_shared_from_this<CallerSession>, private TcpEvents, private HttpEvents
{
public:
    /// Receive buffer that the kernel is asked for; larger while a large body arrives.
    static constexpr std::size_t receiveBufferBytes = 16'384;

    CallerSession(Gateway &gateway, TcpConnection::Socket socket);

    /// Starts to read. Must be called once, when a shared_ptr holds the session.
    void start();

    /// Prepares the head of an answer; it is sent with the first bytes of the body. `fields` are header lines, each ending in CRLF. Without
    /// `bodyBytes` the body is sent in chunks, or to an HTTP/1.0 caller until the connection closes. The request's method is not considered:
    /// answers to HEAD must be given no body.
    void beginAnswer(int status, std::string_view fields, std::optional<std::size_t> bodyBytes);
    /// Sends a copy of `bytes` as part of the body. Must be called between beginAnswer() and finishAnswer(). Does nothing if `bytes` is empty or
    /// the session is closed.
    void sendBody(std::string_view bytes);

    /// Completes the answer. The connection is kept open unless the caller asked to close it, the answer's framing requires closing it, or
    /// this host is shutting down and no byte of a further request has arrived.
    void finishAnswer();

    /// Sends a complete answer of this host's own in place of the one that a target owes. If a byte of that one is out, the connection is closed
    /// instead, as bytes of another answer would be taken for its body. Returns whether the answer was sent.
    bool sendOwnAnswer(int status, std::string_view fields, std::string_view body);

    /// Closes the connection without completing the answer, so that the caller can't take the part already sent for a complete one. An answer
    /// that ends with the connection is broken off by a reset.
    void abortAnswer();

    /// Bytes of the answer that the kernel has not accepted yet because the caller reads slowly.
    std::size_t unsent() const;

    /// Whether the caller reads so slowly that no more of the answer should be sent for now. Ends at the latest when nothing is unsent.
    bool isAtBufferBound() const;

    /// Counts the bytes of an incomplete answer that its request buffers instead of sending them.
    void setIncompleteBytes(std::size_t bytes);

    /// The connection's accounts in Gateway::callerBuffers() and Gateway::callerConnections().
    ConnectionBudget::ConnectionId connectionId() const
    {
        return connectionId_;
    }

    /// Resets the connection, as others need its memory or descriptor. A request that is served is cancelled.
    void closeForRoom();

    /// Resets the connection of a caller that does not read, and cancels its request. The caller can't take the part already sent for a complete
    /// answer.
    void closeStalled();

    /// Closes the connection if it is idle.
    void closeIfIdle();

    /// Whether no request is arriving or being processed, and no bytes of a further one are buffered.
    bool isIdle() const;

private:
    void onBytes(std::string_view bytes) override;
    void onClosed(bool isReset) override;
    void onSent() override;
    void onProgress() override;
    void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void parse(std::string_view bytes);
    void onParsed();
    void reserveBody(std::size_t bytes);
    void startNextRequest();
    void refuse(const Reason &reason);
    void close();
    void endAfterSending();
    void updateBuffer();
    void updateConnection();
    void setReceivesLargeBody(bool receivesLargeBody);
    void startTimer(Duration timeout);
    void onTimer();
    bool mayKeepConnection() const;

    Gateway &gateway_;
    std::optional<TcpConnection::Socket> acceptedSocket_;
    std::shared_ptr<TcpConnection> tcp_;
    HttpParser parser_; ///< Also holds, in their order, the bytes that arrive before the answer to the last request is complete.
    boost::asio::steady_timer timer_;
    CallerLimits limits_;
    HttpHead head_;
    std::string body_;
    std::string unsentHead_; ///< Sent together with the first bytes of the body, which saves a system call.
    std::shared_ptr<RoutedRequest> request_;
    bool isChunked_ = false;
    bool isEndedByClose_ = false; ///< The answer has neither a length nor chunks.
    bool isAnswering_ = false;
    bool closesAfterAnswer_ = false;
    bool isRequestComplete_ = false;
    bool isClosed_ = false;
    bool isSendingRest_ = false; ///< The last answer is complete, and the connection ends when the caller has read it.
    ConnectionBudget::ConnectionId connectionId_;
    bool receivesLargeBody_ = false;
    std::size_t bufferedBytes_ = 0; ///< Reserved for unsent bytes of answers.
    std::size_t incompleteBytes_ = 0; ///< Reserved for an answer that is not complete.
    std::size_t bufferedBodyBytes_ = 0; ///< Reserved for the body of the request.
    bool hasDeclaredBody_ = false; ///< The request states the length of its body, all of which is reserved.
    bool isBodyTooLong_ = false; ///< No memory is left for the body of the request.
};

} // namespace Lovageloft

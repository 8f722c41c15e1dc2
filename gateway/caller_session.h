#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http_parser.h"
#include "drivers/tcp_connection.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

class Gateway;
class RoutedRequest;

/// One caller's connection: reads requests one after another, keeps the limits on their size and time, and writes the answers.
class CallerSession final : public std::enable_shared_from_this<CallerSession>, private TcpEvents, private HttpEvents
{
public:
    CallerSession(Gateway &gateway, TcpConnection::Socket socket);

    void start();

    /// Begins an answer. With a length it is framed by it, otherwise by chunks, or by the connection's end for HTTP/1.0.
    /// `fields` are lines that end in CRLF.
    void beginAnswer(int status, std::string_view fields, std::optional<std::size_t> bodyBytes);
    void sendBody(std::string_view bytes);

    /// The answer is complete. The connection is kept if the caller and the state of this host allow it.
    void finishAnswer();

    /// The answer can't be completed: the connection is closed so that what was sent doesn't look whole.
    void abortAnswer();

    /// Bytes of the answer that the caller has not taken yet.
    std::size_t unsent() const;

    /// Closes the connection if no request is on it or arriving.
    void closeIfIdle();

    bool isIdle() const;

private:
    void onBytes(std::string_view bytes) override;
    void onClosed(bool isReset) override;
    void onSent() override;
    void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void parse(std::string_view bytes);
    void startNextRequest();
    void refuse(const Reason &reason);
    void close();
    void armTimer(Duration wait);
    void onTimer();
    bool keepsConnection() const;

    Gateway &gateway_;
    std::optional<TcpConnection::Socket> accepted_;
    std::shared_ptr<TcpConnection> tcp_;
    HttpParser parser_;
    boost::asio::steady_timer timer_;
    CallerLimits limits_;
    HttpHead head_;
    std::string body_;
    std::string unsentHead_; ///< Goes out with the first bytes of the body, which saves a call.
    std::shared_ptr<RoutedRequest> request_;
    std::string early_; ///< Bytes that came while a request was being answered.
    bool isChunked_ = false;
    bool isAnswering_ = false;
    bool closesAfterAnswer_ = false;
    bool isRequestComplete_ = false;
    bool isClosed_ = false;
};

} // namespace Lovageloft

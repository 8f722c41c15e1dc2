#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include "core/clock.h"
#include "core/result_code.h"
#include "core/settings.h"
#include "drivers/http_answer_collector.h"
#include "drivers/socket_wait.h"

/// One HTTP request to a target on a connection of its own.
namespace Lovageloft
{

/// A request to a target. The body must stay valid during the exchange.
struct HttpRequestHead
{
    std::string method;
    std::string path;
    std::vector<HttpField> fields;
    std::string contentType = "application/json";
    std::string_view body;
};

/// Timeouts of an exchange.
struct ExchangeTimeouts
{
    Duration connect;
    Duration silence; ///< Maximum time without a byte from the target.
};

/// The head of a target's response.
struct HttpAnswerHead
{
    int status = 0;
    std::string contentType;
    std::optional<std::size_t> contentLength; ///< Not set for a response that is chunked or ends with its connection.
};

/// Progress of an exchange; determines whether the request may have run.
enum class ExchangeStage : std::uint8_t
{
    NotSent, ///< No byte was sent: the target can't have run the request.
    Sent, ///< At least one byte was sent.
    Answering, ///< The head of the response has arrived.
};

/// A request and its response on a connection of their own.
///
/// With pooled connections, a firewall or balancer may drop an idle one silently. A request that is then sent on it gets no response, and nobody
/// knows whether it ran: callers would wait for a whole timeout, or a retry would apply a correction twice. A connection per exchange costs a round
/// trip, and a response can't belong to another request. Unacknowledged data and keep-alive probes close a dead connection within seconds.
class HttpExchange
{
public:
    HttpExchange(const HostAddress &address, const ExchangeTimeouts &timeouts);
    ~HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Opens the connection. On failure returns false with TargetUnreachable; nothing was sent then.
    bool connect(Reason &reason);

    /// Sends the complete request. After a failure the target may have received it.
    bool send(const HttpRequestHead &head, Reason &reason);

    /// Waits for the head of the response; returns nothing with TargetTimeout, TargetTruncated or TargetMalformed, or with CallerGone if `callerSocket`
    /// is closed meanwhile. -1: no caller is watched.
    std::optional<HttpAnswerHead> readHead(int callerSocket, Reason &reason);

    /// Waits for at least one byte of the response body and appends all that has arrived to `out`. Returns the number of bytes, 0 at the end of the
    /// response, and nothing with TargetTimeout, CallerGone, TargetTruncated or TargetMalformed.
    std::optional<std::size_t> read(std::string &out, int callerSocket, Reason &reason);

    /// Reads the complete response body. Also fails with TargetMalformed if it is longer than `limit` bytes, and with TargetTruncated if it is shorter
    /// than announced.
    std::optional<std::string> readAll(std::size_t limit, int callerSocket, Reason &reason);

    ExchangeStage stage() const;

private:
    bool sendBytes(std::string_view bytes, Reason &reason);
    bool waitReadable(int callerSocket, Reason &reason);
    bool receive(int callerSocket, Reason &reason);
    void setSocketOptions();

    HostAddress address_;
    ExchangeTimeouts timeouts_;
    Poco::Net::StreamSocket socket_;
    std::optional<HttpAnswerCollector> answer_; ///< Set once the request is sent.
    ExchangeStage stage_ = ExchangeStage::NotSent;
};

} // namespace Lovageloft

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/result_code.h"
#include "core/settings.h"
#include "drivers/socket_wait.h"

/// One HTTP request to a target on a connection of its own.
namespace Lovageloft
{

/// A header field.
struct HttpField
{
    std::string name;
    std::string value;
};

/// What is sent to a target. The body is only looked at and must outlive the exchange.
struct HttpRequestHead
{
    std::string method;
    std::string path;
    std::vector<HttpField> fields;
    std::string contentType = "application/json";
    std::string_view body;
};

/// How long the steps of an exchange may take.
struct ExchangeTimeouts
{
    Duration connect;
    Duration silence; ///< Longest time without a byte from the target.
};

/// The beginning of a target's answer.
struct HttpAnswerHead
{
    int status = 0;
    std::string contentType;
    std::optional<std::size_t> contentLength; ///< Nothing for a chunked answer.
};

/// How far an exchange came, for what may be said of it.
enum class ExchangeStage : std::uint8_t
{
    NotSent, ///< No byte left; the target can't have run it.
    Sent, ///< At least one byte left.
    Answering, ///< The answer's head has arrived.
};

/// A request and its answer on a connection that is opened for them and closed with them.
/// What goes wrong with pooled connections: something between the two ends loses track of an idle one, the request
/// sent on it is never answered, and nobody can tell whether it ran. A caller would see a stall of a whole timeout, or a
/// doubled correction after a retry. A connection for each exchange costs one round trip, and an answer can't belong to
/// another request. Unacknowledged data and keep-alive probes fail the connection within seconds.
class HttpExchange
{
public:
    HttpExchange(const HostAddress &address, const ExchangeTimeouts &timeouts);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// Opens the connection. TargetUnreachable if that fails; nothing has been sent then.
    bool connect(Reason &reason);

    /// Sends the request whole. After a failure the target may have it.
    bool send(const HttpRequestHead &head, Reason &reason);

    /// Waits for the head of the answer, while `callerSocket` (or -1) stays open.
    std::optional<HttpAnswerHead> readHead(int callerSocket, Reason &reason);

    /// Appends what has arrived of the answer's body to `out`, waiting for at least one byte. Returns the number of bytes
    /// appended, 0 at the end of the answer, and nothing on TargetTimeout, CallerGone, TargetTruncated or TargetMalformed.
    std::optional<std::size_t> read(std::string &out, int callerSocket, Reason &reason);

    /// Reads the whole answer; TargetMalformed if it is longer than `limit` bytes, TargetTruncated if it is shorter than announced.
    std::optional<std::string> readAll(std::size_t limit, int callerSocket, Reason &reason);

    ExchangeStage stage() const;

private:
    class Session;

    bool waitReadable(int callerSocket, Reason &reason);
    void setSocketOptions();

    HostAddress address_;
    ExchangeTimeouts timeouts_;
    std::unique_ptr<Session> session_;
    std::istream *body_ = nullptr;
    ExchangeStage stage_ = ExchangeStage::NotSent;
    std::optional<std::size_t> bytesExpected_;
};

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>

#include "core/clock.h"
#include "core/settings.h"
#include "drivers/http_answer_collector.h"

namespace Lovageloft
{

/// A complete HTTP response.
struct HttpAnswer
{
    int status = 0;
    std::string body;
    std::vector<HttpField> fields = {};
};

/// For how long a response that has begun may exceed the deadline of its call. A long response takes a while on a slow link, and would never be
/// received completely if each attempt were aborted at the deadline.
struct AnswerPacing
{
    Duration maxPause{}; ///< Maximum time between two parts of the response.
    double minBytesPerSecond = 0; ///< Each received byte extends the deadline by the inverse; 0 for a fixed deadline.
};

/// Rate below which a response of the store counts as stalled: a tenth of a link of 10 Mbit/s.
inline constexpr double minStoreBytesPerSecond = 125'000;

/// Result of reading a line of a stream.
enum class HttpLineStatus : std::uint8_t
{
    Line,
    Timeout, ///< No line yet; the stream is still open.
    Broken, ///< The stream has ended or can't be parsed any more.
};

/// An HTTP connection to an endpoint, for calls one after another. It never reconnects and never repeats a call by itself. Not thread-safe.
class HttpConnection
{
public:
    /// Opens a connection; returns null if that fails or takes longer than `timeout`.
    static std::unique_ptr<HttpConnection> open(const HostAddress &endpoint, Duration timeout);

    ~HttpConnection() = default;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a POST with a JSON body and reads the complete response until `deadline`. Returns nothing on failure: the call may have been executed
    /// then, and the connection must not be used again, as a late response would be taken for that to the next call.
    std::optional<HttpAnswer> call(const std::string &path, std::string_view body, TimePoint deadline);

    /// The same with any method. An empty `body` is not sent; `fields` are added to the head. With a pacing, `deadline` applies to the start of the
    /// response.
    std::optional<HttpAnswer> call(std::string_view method,
                                   const std::string &path,
                                   std::string_view body,
                                   TimePoint deadline,
                                   std::span<const HttpField> fields = {},
                                   const AnswerPacing &pace = {});

    /// Sends a call whose response is an endless stream of lines, and reads its head; returns false on failure.
    bool startStream(const std::string &path, std::string_view body, TimePoint deadline);

    /// Reads the next line of the stream.
    HttpLineStatus readLine(std::string &line, TimePoint deadline);

    /// Whether another call may be sent: the last response was complete, and the endpoint has not closed the connection.
    bool isReusable() const;

    /// When anything was last received from the endpoint.
    TimePoint lastReceived() const;

    /// Bytes received of the response to the last call, including its head.
    std::int64_t answerBytes() const;

private:
    class DeadlineSocket;

    HttpConnection(DeadlineSocket *implementation, std::string host);
    void sendRequest(std::string_view method, const std::string &path, std::string_view body, std::span<const HttpField> fields, const HttpLimits &limits);
    bool receive();
    bool consumeLine(std::string &line);

    Poco::Net::StreamSocket socket_;
    DeadlineSocket *implementation_; // Owned by the socket.
    std::string host_;
    std::optional<HttpAnswerCollector> answer_; // Response to the last call.
    bool isKeptAlive_ = true;
    std::int64_t bytesBefore_ = 0; // Received before the last call.
};

} // namespace Lovageloft

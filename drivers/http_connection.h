#pragma once

#include <cstddef>
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

/// Size limit in bytes for the bodies of responses that carry a status and a few fields.
inline constexpr std::size_t maxShortBodyBytes = 65'536;

/// What a call sends beside its body, and what it accepts.
struct HttpCallOptions
{
    std::size_t maxBodyBytes; ///< Size limit of the response's body. Without one, an endpoint that never stops sending would exhaust the memory of the host.
    std::span<const HttpField> fields = {}; ///< Added to the head.
    AnswerPacing pace = {}; ///< With a pacing, the deadline applies to the start of the response.
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

    /// Sends a request and reads the complete response until `deadline`. An empty `body` is not sent; any other is JSON. Returns nothing on
    /// failure: the call may have been executed then, and the connection must not be used again, as a late response would be taken for that to
    /// the next call.
    std::optional<HttpAnswer> call(std::string_view method, const std::string &path, std::string_view body, TimePoint deadline, const HttpCallOptions &options);

    /// The same for a POST with a short response.
    std::optional<HttpAnswer> call(const std::string &path, std::string_view body, TimePoint deadline);

    /// Whether the last call failed because its response was larger than allowed.
    bool isAnswerTooLarge() const;

    /// Sends a call whose response is an endless stream of lines of at most `maxLineBytes`, and reads its head; returns false on failure.
    bool startStream(const std::string &path, std::string_view body, TimePoint deadline, std::size_t maxLineBytes);

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
    std::size_t maxLineBytes_ = 0; // Of a stream.
    bool isKeptAlive_ = true;
    bool isAnswerTooLarge_ = false;
    std::int64_t bytesBefore_ = 0; // Received before the last call.
};

} // namespace Lovageloft

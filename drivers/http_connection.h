#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"
#include "drivers/http_message.h"

namespace Poco::Net
{
class HTTPResponse;
}

namespace Lovageloft
{

/// A whole HTTP answer.
struct HttpAnswer
{
    int status = 0;
    std::string body;
    std::vector<HttpField> fields = {};
};

/// How long an answer that has begun is waited for beyond a call's deadline: long ones take a thin link a while, and begun anew each
/// time they would never come whole.
struct AnswerPace
{
    Duration longestPause{}; ///< Between two pieces.
    double slowestRate = 0; ///< Bytes a second that lengthen the deadline; 0: it stands.
};

/// Bytes a second below which an answer of the store counts as stuck: a tenth of a link of 10 Mbit/s.
inline constexpr double slowestStoreRate = 125'000;

/// How reading a line of a stream ended.
enum class HttpLineStatus : std::uint8_t
{
    Line,
    Timeout, ///< None yet; the stream goes on.
    Broken, ///< The stream has ended or lost its place; of no more use.
};

/// One HTTP connection to one endpoint, for whole calls one after another. Used by one thread at a time.
/// It never connects again and never sends anything twice: whoever holds it decides that.
class HttpConnection
{
public:
    /// Connects; nothing if that fails or takes longer than `timeout`.
    static std::unique_ptr<HttpConnection> open(const HostAddress &endpoint, Duration timeout);

    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends one call and reads the whole answer until `deadline`. Nothing if any part of that fails; the call may
    /// have been performed then, and the connection must be thrown away: a late answer to this call would be taken
    /// for the answer to the next.
    std::optional<HttpAnswer> call(const std::string &path, std::string_view body, TimePoint deadline);

    /// The same with a method of the caller's choice and, unless empty, a JSON body; `fields` are added to the head. With a pace the deadline
    /// is that of the answer's begin.
    std::optional<HttpAnswer> call(std::string_view method,
                                   const std::string &path,
                                   std::string_view body,
                                   TimePoint deadline,
                                   std::span<const HttpField> fields = {},
                                   const AnswerPace &pace = {});

    /// Sends a call whose answer is an endless stream of lines, and reads the head of the answer; false if that fails.
    bool startStream(const std::string &path, std::string_view body, TimePoint deadline);

    /// Reads the next line of the stream.
    HttpLineStatus readLine(std::string &line, TimePoint deadline);

    /// Whether another call may be sent: the last answer came whole and the endpoint hasn't closed the connection.
    bool isReusable() const;

    /// When the endpoint last showed a sign of life.
    TimePoint lastReceived() const;

    /// Bytes that have come of the answer to the last call, with its head.
    std::int64_t bytesOfAnswer() const;

private:
    class Session;
    class DeadlineSocket;

    HttpConnection(std::unique_ptr<Session> session, DeadlineSocket *socket, std::string host);
    std::istream &
    exchange(std::string_view method, const std::string &path, std::string_view body, std::span<const HttpField> fields, Poco::Net::HTTPResponse &response);
    bool takeBufferedLine(std::string &line);

    std::unique_ptr<Session> session_;
    DeadlineSocket *socket_; // Owned by the session.
    std::string host_;
    std::istream *stream_ = nullptr; // Owned by the session.
    std::string buffer_; // Bytes of the stream after the last line.
    bool isKeptAlive_ = true;
    std::int64_t bytesBefore_ = 0; // Received before the last call.
};

} // namespace Lovageloft

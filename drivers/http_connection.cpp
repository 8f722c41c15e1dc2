#include "drivers/http_connection.h"

#include <algorithm>
#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace Lovageloft
{

namespace
{

/// Maximum size of a response: that of a list of some hundred values of a megabyte. Without a limit, an endpoint that never stops sending would
/// exhaust the memory of the host.
constexpr std::size_t answerLimit = std::size_t{256} * 1024 * 1024;

Poco::Timespan toTimespan(Duration duration)
{
    constexpr Duration minTimeout = std::chrono::milliseconds(1); // For Poco, 0 means no timeout.
    return {std::chrono::duration_cast<std::chrono::microseconds>(std::max(duration, minTimeout)).count()};
}

/// Waits for at least one byte and reads all that the stream's buffer contains; returns false at the end of the stream. Uses the buffer directly,
/// as the stream would catch the exception that distinguishes a timeout from the end.
bool appendAvailable(std::istream &stream, std::string &out)
{
    std::streambuf &buffer = *stream.rdbuf();
    if (buffer.sgetc() == std::char_traits<char>::eof()) {
        return false;
    }
    const std::size_t before = out.size();
    out.resize(before + static_cast<std::size_t>(buffer.in_avail()));
    buffer.sgetn(out.data() + before, static_cast<std::streamsize>(out.size() - before));
    return true;
}

} // namespace

/// A socket with a deadline. The usual timeout counts from the last byte, so that an endpoint that sends slowly could hold its caller for longer
/// than the call may take.
class HttpConnection::DeadlineSocket : public Poco::Net::StreamSocketImpl
{
public:
    int receiveBytes(void *buffer, int length, int flags) override
    {
        const Duration left = deadline_ - BootClock::now();
        if (left <= Duration::zero() || !poll(toTimespan(left), SELECT_READ)) {
            throw Poco::TimeoutException();
        }
        const int received = StreamSocketImpl::receiveBytes(buffer, length, flags);
        lastReceived_ = BootClock::now();
        receivedBytes_ += received;
        if (pace_.minBytesPerSecond > 0) {
            deadlineWithoutPauses_ += fromSeconds(received / pace_.minBytesPerSecond);
            deadline_ = std::min(deadlineWithoutPauses_, lastReceived_ + pace_.maxPause);
        }
        return received;
    }

    void setDeadline(TimePoint deadline, const AnswerPacing &pace = {})
    {
        deadline_ = deadline;
        deadlineWithoutPauses_ = deadline;
        pace_ = pace;
        setSendTimeout(toTimespan(deadline - BootClock::now()));
    }

    TimePoint lastReceived() const
    {
        return lastReceived_;
    }

    std::int64_t receivedBytes() const
    {
        return receivedBytes_;
    }

private:
    TimePoint deadline_;
    TimePoint deadlineWithoutPauses_; ///< With a pacing: the deadline if there are no long pauses.
    AnswerPacing pace_;
    TimePoint lastReceived_ = BootClock::now();
    std::int64_t receivedBytes_ = 0;
};

class HttpConnection::Session : public Poco::Net::HTTPClientSession
{
public:
    // A session that is created from a connected socket, without a host name, can't reconnect and so can't repeat a call by itself.
    explicit Session(const Poco::Net::StreamSocket &socket)
        : HTTPClientSession(socket)
    {
        setKeepAlive(true);
    }

    using HTTPSession::buffered;
};

std::unique_ptr<HttpConnection> HttpConnection::open(const HostAddress &endpoint, Duration timeout)
{
    try {
        auto *implementation = new DeadlineSocket;
        Poco::Net::StreamSocket socket(implementation);
        const Poco::Net::SocketAddress address(endpoint.host, endpoint.port);
        socket.connect(address, toTimespan(timeout));
        socket.setNoDelay(true);
        return std::unique_ptr<HttpConnection>(new HttpConnection(std::make_unique<Session>(socket), implementation, address.toString()));
    } catch (const Poco::Exception &) {
        return nullptr;
    }
}

HttpConnection::HttpConnection(std::unique_ptr<Session> session, DeadlineSocket *socket, std::string host)
    : session_(std::move(session))
    , socket_(socket)
    , host_(std::move(host))
{
}

HttpConnection::~HttpConnection() = default;

std::optional<HttpAnswer> HttpConnection::call(const std::string &path, std::string_view body, TimePoint deadline)
{
    return call(Poco::Net::HTTPRequest::HTTP_POST, path, body, deadline);
}

std::optional<HttpAnswer> HttpConnection::call(
    std::string_view method, const std::string &path, std::string_view body, TimePoint deadline, std::span<const HttpField> fields, const AnswerPacing &pace)
{
    isKeptAlive_ = false;
    bytesBefore_ = socket_->receivedBytes();
    try {
        socket_->setDeadline(deadline, pace);
        // Unsent bytes of an aborted call are discarded: otherwise the kernel would send them later, and an order of a leader whose lease has
        // expired would arrive when the link is restored.
        socket_->setLinger(true, 0);
        HttpAnswer answer;
        Poco::Net::HTTPResponse response;
        std::istream &in = exchange(method, path, body, fields, response);
        while (appendAvailable(in, answer.body)) {
            if (answer.body.size() > answerLimit) {
                return std::nullopt;
            }
        }
        if (response.hasContentLength() && static_cast<std::size_t>(response.getContentLength64()) != answer.body.size()) {
            return std::nullopt;
        }
        socket_->setLinger(false, 0);
        answer.status = response.getStatus();
        for (const auto &[name, value] : response) {
            answer.fields.push_back({name, value});
        }
        isKeptAlive_ = response.getKeepAlive();
        return answer;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

bool HttpConnection::startStream(const std::string &path, std::string_view body, TimePoint deadline)
{
    isKeptAlive_ = false;
    try {
        socket_->setDeadline(deadline);
        Poco::Net::HTTPResponse response;
        stream_ = &exchange(Poco::Net::HTTPRequest::HTTP_POST, path, body, {}, response);
        return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception &) {
        return false;
    }
}

HttpLineStatus HttpConnection::readLine(std::string &line, TimePoint deadline)
{
    constexpr int chunkEndBytes = 2;
    const std::int64_t receivedBefore = socket_->receivedBytes();
    const bool isBetweenChunks = session_->buffered() <= chunkEndBytes;
    try {
        constexpr Duration minWait = std::chrono::milliseconds(1); // So that a call without a timeout still reads what has arrived.
        socket_->setDeadline(std::max(deadline, BootClock::now() + minWait));
        while (!consumeBufferedLine(line)) {
            if (!appendAvailable(*stream_, buffer_) || buffer_.size() > answerLimit) {
                return HttpLineStatus::Broken;
            }
        }
        return HttpLineStatus::Line;
    } catch (const Poco::TimeoutException &) {
        // After a timeout within a chunk size, the rest of it would be parsed as another size.
        const bool keepsItsPlace = isBetweenChunks && socket_->receivedBytes() == receivedBefore;
        return keepsItsPlace ? HttpLineStatus::Timeout : HttpLineStatus::Broken;
    } catch (const Poco::Exception &) {
        return HttpLineStatus::Broken;
    }
}

bool HttpConnection::isReusable() const
{
    // Unexpected bytes or the end of the stream: the endpoint has closed the connection.
    return isKeptAlive_ && !socket_->poll(Poco::Timespan(0), Poco::Net::SocketImpl::SELECT_READ);
}

TimePoint HttpConnection::lastReceived() const
{
    return socket_->lastReceived();
}

std::int64_t HttpConnection::answerBytes() const
{
    return socket_->receivedBytes() - bytesBefore_;
}

std::istream &HttpConnection::exchange(
    std::string_view method, const std::string &path, std::string_view body, std::span<const HttpField> fields, Poco::Net::HTTPResponse &response)
{
    Poco::Net::HTTPRequest request(std::string(method), path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(host_);
    for (const HttpField &field : fields) {
        request.set(field.name, field.value);
    }
    if (method != Poco::Net::HTTPRequest::HTTP_GET) {
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    session_->sendRequest(request) << body << std::flush;
    return session_->receiveResponse(response);
}

bool HttpConnection::consumeBufferedLine(std::string &line)
{
    const std::size_t end = buffer_.find('\n');
    if (end == std::string::npos) {
        return false;
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    return true;
}

} // namespace Lovageloft

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

/// Longest answer taken: a list of some hundred values of a megabyte. What goes wrong without it: an endpoint
/// that never stops sending fills the memory of the host.
constexpr std::size_t answerLimit = std::size_t{256} * 1024 * 1024;

Poco::Timespan toTimespan(Duration duration)
{
    constexpr Duration shortest = std::chrono::milliseconds(1); // Poco takes 0 for no limit.
    return {std::chrono::duration_cast<std::chrono::microseconds>(std::max(duration, shortest)).count()};
}

/// Reads what the stream's buffer holds after waiting for at least one byte; false at the end of the stream.
/// Works on the buffer, since the stream itself would swallow the exception that tells a timeout from an end.
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

/// A socket that gives up at a point in time. The usual timeout counts from the last byte, so that an endpoint
/// that trickles would hold its caller for longer than the call may take.
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
        if (pace_.slowestRate > 0) {
            latest_ += fromSeconds(received / pace_.slowestRate);
            deadline_ = std::min(latest_, lastReceived_ + pace_.longestPause);
        }
        return received;
    }

    void setDeadline(TimePoint deadline, const AnswerPace &pace = {})
    {
        deadline_ = deadline;
        latest_ = deadline;
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
    TimePoint latest_; ///< With a pace: the deadline, were there no pauses.
    AnswerPace pace_;
    TimePoint lastReceived_ = BootClock::now();
    std::int64_t receivedBytes_ = 0;
};

class HttpConnection::Session : public Poco::Net::HTTPClientSession
{
public:
    // Built from a connected socket and without a host's name it has nothing to reconnect to, so it can't send a call
    // a second time by itself.
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
    std::string_view method, const std::string &path, std::string_view body, TimePoint deadline, std::span<const HttpField> fields, const AnswerPace &pace)
{
    isKeptAlive_ = false;
    bytesBefore_ = socket_->receivedBytes();
    try {
        socket_->setDeadline(deadline, pace);
        // A call that is given up takes its bytes along: the kernel would go on sending them, and an order of a leader whose lease has ended
        // since would arrive when the link heals.
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
        constexpr Duration shortestWait = std::chrono::milliseconds(1); // So that a call without patience still sees what has come.
        socket_->setDeadline(std::max(deadline, BootClock::now() + shortestWait));
        while (!takeBufferedLine(line)) {
            if (!appendAvailable(*stream_, buffer_) || buffer_.size() > answerLimit) {
                return HttpLineStatus::Broken;
            }
        }
        return HttpLineStatus::Line;
    } catch (const Poco::TimeoutException &) {
        // A timeout within the size of a chunk would make the rest of the size look like another one.
        const bool keepsItsPlace = isBetweenChunks && socket_->receivedBytes() == receivedBefore;
        return keepsItsPlace ? HttpLineStatus::Timeout : HttpLineStatus::Broken;
    } catch (const Poco::Exception &) {
        return HttpLineStatus::Broken;
    }
}

bool HttpConnection::isReusable() const
{
    // Bytes or an end that nobody asked for: the endpoint has closed the connection.
    return isKeptAlive_ && !socket_->poll(Poco::Timespan(0), Poco::Net::SocketImpl::SELECT_READ);
}

TimePoint HttpConnection::lastReceived() const
{
    return socket_->lastReceived();
}

std::int64_t HttpConnection::bytesOfAnswer() const
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

bool HttpConnection::takeBufferedLine(std::string &line)
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

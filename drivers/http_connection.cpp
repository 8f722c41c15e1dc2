#include "drivers/http_connection.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace Lovageloft
{

namespace
{

constexpr std::size_t readSize = 16'384;

Poco::Timespan toTimespan(Duration duration)
{
    constexpr Duration minTimeout = std::chrono::milliseconds(1); // For Poco, 0 means no timeout.
    return {std::chrono::duration_cast<std::chrono::microseconds>(std::max(duration, minTimeout)).count()};
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

std::unique_ptr<HttpConnection> HttpConnection::open(const HostAddress &endpoint, Duration timeout)
{
    try {
        const Poco::Net::SocketAddress address(endpoint.host, endpoint.port);
        std::unique_ptr<HttpConnection> connection(new HttpConnection(new DeadlineSocket, address.toString()));
        connection->socket_.connect(address, toTimespan(timeout));
        connection->socket_.setNoDelay(true);
        return connection;
    } catch (const Poco::Exception &) {
        return nullptr;
    }
}

HttpConnection::HttpConnection(DeadlineSocket *implementation, std::string host)
    : socket_(implementation)
    , implementation_(implementation)
    , host_(std::move(host))
{
}

std::optional<HttpAnswer> HttpConnection::call(const std::string &path, std::string_view body, TimePoint deadline)
{
    return call(Poco::Net::HTTPRequest::HTTP_POST, path, body, deadline, {.maxBodyBytes = maxShortBodyBytes});
}

std::optional<HttpAnswer>
HttpConnection::call(std::string_view method, const std::string &path, std::string_view body, TimePoint deadline, const HttpCallOptions &options)
{
    isKeptAlive_ = false;
    isAnswerTooLarge_ = false;
    bytesBefore_ = implementation_->receivedBytes();
    try {
        implementation_->setDeadline(deadline, options.pace);
        // Unsent bytes of an aborted call are discarded: otherwise the kernel would send them later, and an order of a leader whose lease has
        // expired would arrive when the link is restored.
        socket_.setLinger(true, 0);
        sendRequest(method, path, body, options.fields, {.body = options.maxBodyBytes});
        while (!answer_->isComplete()) {
            if (!receive()) {
                return std::nullopt;
            }
        }
        socket_.setLinger(false, 0);
        isKeptAlive_ = answer_->isConnectionKept();
        return HttpAnswer{answer_->head().status, std::move(answer_->body()), answer_->head().fields};
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

bool HttpConnection::isAnswerTooLarge() const
{
    return isAnswerTooLarge_;
}

bool HttpConnection::startStream(const std::string &path, std::string_view body, TimePoint deadline, std::size_t maxLineBytes)
{
    isKeptAlive_ = false;
    maxLineBytes_ = maxLineBytes;
    try {
        implementation_->setDeadline(deadline);
        sendRequest(Poco::Net::HTTPRequest::HTTP_POST, path, body, {}, {});
        while (!answer_->hasHead()) {
            if (!receive()) {
                return false;
            }
        }
        constexpr int statusOk = 200;
        return answer_->head().status == statusOk;
    } catch (const Poco::Exception &) {
        return false;
    }
}

HttpLineStatus HttpConnection::readLine(std::string &line, TimePoint deadline)
{
    try {
        constexpr Duration minWait = std::chrono::milliseconds(1); // So that a call without a timeout still reads what has arrived.
        implementation_->setDeadline(std::max(deadline, BootClock::now() + minWait));
        while (!consumeLine(line)) {
            if (answer_->isComplete() || answer_->body().size() > maxLineBytes_ || !receive()) {
                return HttpLineStatus::Broken;
            }
        }
        return HttpLineStatus::Line;
    } catch (const Poco::TimeoutException &) {
        return HttpLineStatus::Timeout;
    } catch (const Poco::Exception &) {
        return HttpLineStatus::Broken;
    }
}

bool HttpConnection::isReusable() const
{
    // Unexpected bytes or the end of the stream: the endpoint has closed the connection.
    return isKeptAlive_ && !socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

TimePoint HttpConnection::lastReceived() const
{
    return implementation_->lastReceived();
}

std::int64_t HttpConnection::answerBytes() const
{
    return implementation_->receivedBytes() - bytesBefore_;
}

/// Throws Poco::Exception if the connection fails.
void HttpConnection::sendRequest(
    std::string_view method, const std::string &path, std::string_view body, std::span<const HttpField> fields, const HttpLimits &limits)
{
    Poco::Net::HTTPRequest request(std::string(method), path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(host_);
    request.setKeepAlive(true);
    for (const HttpField &field : fields) {
        request.set(field.name, field.value);
    }
    if (method != Poco::Net::HTTPRequest::HTTP_GET) {
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    answer_.emplace(limits);
    std::ostringstream head;
    request.write(head);
    std::string text = std::move(head).str();
    text.append(body);
    std::string_view rest = text;
    while (!rest.empty()) {
        rest.remove_prefix(static_cast<std::size_t>(socket_.sendBytes(rest.data(), static_cast<int>(rest.size()))));
    }
}

/// Reads what has arrived, waiting for at least one byte. Returns false if the response can't be completed any more; throws Poco::Exception if the
/// connection fails or the deadline has passed.
bool HttpConnection::receive()
{
    std::array<char, readSize> buffer{};
    const int count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    Reason reason;
    const bool isValid = count > 0 ? answer_->read({buffer.data(), static_cast<std::size_t>(count)}, reason) : answer_->readEnd();
    isAnswerTooLarge_ = reason.code == ResultCode::BodyTooLarge;
    return isValid;
}

bool HttpConnection::consumeLine(std::string &line)
{
    std::string &body = answer_->body();
    const std::size_t end = body.find('\n');
    if (end == std::string::npos) {
        return false;
    }
    line = body.substr(0, end);
    body.erase(0, end + 1);
    return true;
}

} // namespace Lovageloft

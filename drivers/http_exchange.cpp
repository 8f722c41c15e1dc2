#include "drivers/http_exchange.h"

#include <algorithm>
#include <array>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Lovageloft
{

namespace
{

constexpr std::size_t readSize = 65'536;
/// Unacknowledged data closes the connection after this time, which is long enough for one or two retransmissions.
constexpr int unacknowledgedLimitMs = 3'000;
/// Keep-alive probes on a silent connection: the first after one second, then each second, three in total.
constexpr int probeSeconds = 1;
constexpr int probeCount = 3;

Poco::Timespan toTimespan(Duration duration)
{
    return {std::chrono::duration_cast<std::chrono::microseconds>(duration).count()};
}

} // namespace

/// Poco's session with access to the fill level of its buffer, so that all that has arrived is read at once.
class HttpExchange::Session : public Poco::Net::HTTPClientSession
{
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;

    void open(const Poco::Net::SocketAddress &address)
    {
        connect(address);
    }

    /// Whether unread bytes of the response have arrived. The line end after a chunk stays in the buffer until the next chunk and does not count:
    /// reading it would block until then, which would delay the caller's stream and hide that the caller disconnects.
    bool hasBuffered() const
    {
        constexpr int lineEnd = 2;
        return buffered() > lineEnd;
    }
};

HttpExchange::HttpExchange(const HostAddress &address, const ExchangeTimeouts &timeouts)
    : address_(address)
    , timeouts_(timeouts)
{
}

HttpExchange::~HttpExchange() = default;

bool HttpExchange::connect(Reason &reason)
{
    try {
        session_ = std::make_unique<Session>(address_.host, address_.port);
        session_->setTimeout(toTimespan(timeouts_.connect), toTimespan(timeouts_.silence), toTimespan(timeouts_.silence));
        session_->setKeepAlive(false);
        session_->open(Poco::Net::SocketAddress(address_.host, address_.port));
        setSocketOptions();
        return true;
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TargetUnreachable, "no connection: " + error.displayText()};
        return false;
    }
}

void HttpExchange::setSocketOptions()
{
    Poco::Net::StreamSocket &socket = session_->socket();
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedLimitMs);
}

bool HttpExchange::send(const HttpRequestHead &head, Reason &reason)
{
    Poco::Net::HTTPRequest request(head.method, head.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address_.host, address_.port);
    request.setContentType(head.contentType);
    request.setContentLength64(static_cast<Poco::Int64>(head.body.size()));
    for (const HttpField &field : head.fields) {
        request.set(field.name, field.value);
    }
    stage_ = ExchangeStage::Sent;
    try {
        // The head is in the stream's buffer until it is flushed.
        session_->sendRequest(request).flush();
        // Not through Poco's stream, which would send a long prompt in calls of 4 KB.
        std::string_view rest = head.body;
        while (!rest.empty()) {
            constexpr std::size_t most = 1'048'576;
            const int count = session_->socket().sendBytes(rest.data(), static_cast<int>(std::min(rest.size(), most)));
            rest.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TargetUnreachable, "the connection failed while the request was sent: " + error.displayText()};
    }
    return false;
}

bool HttpExchange::waitReadable(int callerSocket, Reason &reason)
{
    if (session_->hasBuffered()) {
        return true;
    }
    switch (waitForTarget(session_->socket().impl()->sockfd(), callerSocket, timeouts_.silence)) {
    case WaitResult::Readable:
        return true;
    case WaitResult::TimedOut:
        reason = {ResultCode::TargetTimeout, "the target was silent for too long"};
        return false;
    case WaitResult::CallerGone:
        reason = {ResultCode::CallerGone, "the caller hung up"};
        return false;
    }
    return false;
}

std::optional<HttpAnswerHead> HttpExchange::readHead(int callerSocket, Reason &reason)
{
    if (!waitReadable(callerSocket, reason)) {
        return std::nullopt;
    }
    try {
        Poco::Net::HTTPResponse response;
        body_ = &session_->receiveResponse(response);
        stage_ = ExchangeStage::Answering;
        HttpAnswerHead head{static_cast<int>(response.getStatus()), response.getContentType(), std::nullopt};
        if (response.hasContentLength()) {
            head.contentLength = static_cast<std::size_t>(response.getContentLength64());
        }
        bytesExpected_ = head.contentLength;
        return head;
    } catch (const Poco::Net::NoMessageException &) {
        reason = {ResultCode::TargetTruncated, "the target closed the connection without an answer"};
    } catch (const Poco::TimeoutException &) {
        reason = {ResultCode::TargetTimeout, "the target was silent for too long"};
    } catch (const Poco::Net::MessageException &error) {
        reason = {ResultCode::TargetMalformed, "the answer's head is malformed: " + error.displayText()};
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TargetTruncated, "the connection failed before the answer: " + error.displayText()};
    }
    return std::nullopt;
}

std::optional<std::size_t> HttpExchange::read(std::string &out, int callerSocket, Reason &reason)
{
    const std::size_t before = out.size();
    std::streambuf &buffer = *body_->rdbuf();
    do {
        if (bytesExpected_ && *bytesExpected_ == 0) {
            break;
        }
        if (buffer.in_avail() <= 0 && !waitReadable(callerSocket, reason)) {
            return std::nullopt;
        }
        try {
            if (buffer.sgetc() == std::streambuf::traits_type::eof()) {
                break;
            }
        } catch (const Poco::TimeoutException &) {
            reason = {ResultCode::TargetTimeout, "the target was silent for too long"};
            return std::nullopt;
        } catch (const std::exception &) {
            reason = {ResultCode::TargetTruncated, "the connection failed within the answer"};
            return std::nullopt;
        }
        const auto available = std::min<std::size_t>(static_cast<std::size_t>(buffer.in_avail()), readSize);
        const std::size_t end = out.size();
        out.resize(end + available);
        buffer.sgetn(out.data() + end, static_cast<std::streamsize>(available));
        if (bytesExpected_) {
            *bytesExpected_ -= std::min(available, *bytesExpected_);
        }
    } while (out.size() - before < readSize && session_->hasBuffered());
    if (out.size() == before && bytesExpected_.value_or(0) > 0) {
        reason = {ResultCode::TargetTruncated, "the answer is shorter than announced"};
        return std::nullopt;
    }
    return out.size() - before;
}

std::optional<std::string> HttpExchange::readAll(std::size_t limit, int callerSocket, Reason &reason)
{
    std::string out;
    while (true) {
        const auto count = read(out, callerSocket, reason);
        if (!count) {
            return std::nullopt;
        }
        if (*count == 0) {
            return out;
        }
        if (out.size() > limit) {
            reason = {ResultCode::TargetMalformed, "the answer is over the limit"};
            return std::nullopt;
        }
    }
}

ExchangeStage HttpExchange::stage() const
{
    return stage_;
}

} // namespace Lovageloft

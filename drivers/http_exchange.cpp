#include "drivers/http_exchange.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Lovageloft
{

namespace
{

constexpr std::size_t readSize = 16'384;
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

HttpExchange::HttpExchange(const HostAddress &address, const ExchangeTimeouts &timeouts)
    : address_(address)
    , timeouts_(timeouts)
{
}

bool HttpExchange::connect(Reason &reason)
{
    try {
        socket_.connect(Poco::Net::SocketAddress(address_.host, address_.port), toTimespan(timeouts_.connect));
        setSocketOptions();
        return true;
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TargetUnreachable, "no connection: " + error.displayText()};
        return false;
    }
}

void HttpExchange::setSocketOptions()
{
    socket_.setSendTimeout(toTimespan(timeouts_.silence));
    socket_.setReceiveTimeout(toTimespan(timeouts_.silence));
    socket_.setNoDelay(true);
    socket_.setKeepAlive(true);
    socket_.setOption(IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    socket_.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    socket_.setOption(IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedLimitMs);
}

bool HttpExchange::send(const HttpRequestHead &head, Reason &reason)
{
    Poco::Net::HTTPRequest request(head.method, head.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address_.host, address_.port);
    request.setKeepAlive(false);
    request.setContentType(head.contentType);
    request.setContentLength64(static_cast<Poco::Int64>(head.body.size()));
    for (const HttpField &field : head.fields) {
        request.set(field.name, field.value);
    }
    std::ostringstream text;
    request.write(text);
    answer_.emplace(HttpLimits{}, head.method != Poco::Net::HTTPRequest::HTTP_HEAD);
    stage_ = ExchangeStage::Sent;
    return sendBytes(text.str(), reason) && sendBytes(head.body, reason);
}

bool HttpExchange::sendBytes(std::string_view bytes, Reason &reason)
{
    try {
        while (!bytes.empty()) {
            constexpr std::size_t most = 1'048'576;
            const int count = socket_.sendBytes(bytes.data(), static_cast<int>(std::min(bytes.size(), most)));
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TargetUnreachable, "the connection failed while the request was sent: " + error.displayText()};
    }
    return false;
}

bool HttpExchange::waitReadable(int callerSocket, Reason &reason)
{
    switch (waitForTarget(socket_.impl()->sockfd(), callerSocket, timeouts_.silence)) {
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

/// Waits for bytes of the response, or for its end, and parses what has arrived.
bool HttpExchange::receive(int callerSocket, Reason &reason)
{
    if (!waitReadable(callerSocket, reason)) {
        return false;
    }
    std::array<char, readSize> buffer{};
    int count = 0;
    try {
        count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::TimeoutException &) {
        reason = {ResultCode::TargetTimeout, "the target was silent for too long"};
        return false;
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TargetTruncated, "the connection failed within the answer: " + error.displayText()};
        return false;
    }
    if (count > 0 && !answer_->read({buffer.data(), static_cast<std::size_t>(count)}, reason)) {
        reason = {ResultCode::TargetMalformed, "the answer is malformed: " + reason.text};
        return false;
    }
    if (count == 0 && !answer_->readEnd()) {
        reason = {ResultCode::TargetTruncated, "the target closed the connection before the end of its answer"};
        return false;
    }
    return true;
}

std::optional<HttpAnswerHead> HttpExchange::readHead(int callerSocket, Reason &reason)
{
    while (!answer_->hasHead()) {
        if (!receive(callerSocket, reason)) {
            return std::nullopt;
        }
    }
    stage_ = ExchangeStage::Answering;
    const HttpHead &head = answer_->head();
    return HttpAnswerHead{head.status, std::string(head.find("Content-Type")), answer_->bodyBytes()};
}

std::optional<std::size_t> HttpExchange::read(std::string &out, int callerSocket, Reason &reason)
{
    std::string &body = answer_->body();
    while (body.empty() && !answer_->isComplete()) {
        if (!receive(callerSocket, reason)) {
            return std::nullopt;
        }
    }
    const std::size_t count = body.size();
    out.append(body);
    body.clear();
    return count;
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

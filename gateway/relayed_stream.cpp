#include "gateway/relayed_stream.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusBadGateway = 502;
constexpr std::size_t maxHeadBytes = 1'024;

constexpr std::string_view lineEnd = "\r\n";

} // namespace

std::shared_ptr<RelayedStream>
RelayedStream::connect(boost::asio::io_context &loop, const HostAddress &relay, std::string_view targetId, Duration timeout, TcpEvents &events)
{
    auto stream = std::make_shared<RelayedStream>(loop, events);
    stream->request_ = "POST " + std::string(relayPath) + " HTTP/1.1\r\n";
    appendField(stream->request_, "Host", hostAddressText(relay));
    appendField(stream->request_, relayTargetField, targetId);
    appendField(stream->request_, "Transfer-Encoding", "chunked");
    stream->request_.append(lineEnd);
    stream->tcp_ = TcpConnection::connect(loop, relay, timeout, *stream);
    stream->timer_.expires_after(timeout);
    stream->timer_.async_wait([weak = std::weak_ptr(stream)](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && self->result_ == RelayResult::Pending) {
            self->fail();
        }
    });
    return stream;
}

RelayedStream::RelayedStream(boost::asio::io_context &loop, TcpEvents &events)
    : events_(&events)
    , timer_(loop)
    , parser_(HttpMessageKind::Answer, {maxHeadBytes, 0}, *this)
{
    parser_.reportHeadAtOnce();
}

RelayResult RelayedStream::result() const
{
    return result_;
}

const std::string &RelayedStream::suggestion() const
{
    return suggestion_;
}

void RelayedStream::send(std::string_view bytes)
{
    std::string chunk;
    appendChunk(chunk, bytes);
    tcp_->send(chunk);
}

void RelayedStream::sendShared(const std::shared_ptr<const std::string> &bytes)
{
    std::string head;
    appendChunkHead(head, bytes->size());
    tcp_->send(head);
    tcp_->sendShared(bytes);
    tcp_->send(lineEnd);
}

/// Without the end of the last chunk, so that a stream whose payload has left has nothing unsent.
std::size_t RelayedStream::unsent() const
{
    const std::size_t unsent = tcp_->unsent();
    return unsent - std::min(unsent, lineEnd.size());
}

void RelayedStream::pauseReading()
{
    tcp_->pauseReading();
}

void RelayedStream::resumeReading()
{
    tcp_->resumeReading();
}

void RelayedStream::close()
{
    events_ = nullptr;
    timer_.cancel();
    tcp_->close();
}

bool RelayedStream::isQuiet()
{
    return tcp_->isQuiet();
}

void RelayedStream::onConnected()
{
    tcp_->send(request_);
}

void RelayedStream::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    Reason reason;
    if (!parser_.read(bytes, reason) && events_ != nullptr) {
        fail();
    }
}

/// An end without the last chunk is a failure of the other host or of the link to it, even if the connection was closed in order.
void RelayedStream::onClosed(bool /*isReset*/)
{
    const auto self = shared_from_this();
    fail();
}

void RelayedStream::onSent()
{
    if (events_ != nullptr) {
        events_->onSent();
    }
}

void RelayedStream::onHead(HttpHead &&head, std::optional<std::uint64_t> /*bodyBytes*/)
{
    if (head.status != statusOk) {
        suggestion_ = head.find(relaySuggestionField);
        result_ = head.status == statusBadGateway ? RelayResult::TargetUnreachable : RelayResult::Refused;
        return;
    }
    result_ = RelayResult::Connected;
    timer_.cancel();
    if (events_ != nullptr) {
        events_->onConnected();
    }
}

void RelayedStream::onBody(std::string_view bytes)
{
    if (events_ != nullptr && result_ == RelayResult::Connected) {
        events_->onBytes(bytes);
    }
}

void RelayedStream::onEnd()
{
    if (events_ == nullptr) {
        return;
    }
    TcpEvents *events = events_;
    const bool isReset = result_ != RelayResult::Connected;
    close();
    events->onClosed(isReset);
}

void RelayedStream::fail()
{
    if (events_ == nullptr) {
        return;
    }
    if (result_ == RelayResult::Pending) {
        result_ = RelayResult::Refused;
    }
    TcpEvents *events = events_;
    close();
    events->onClosed(true);
}

} // namespace Lovageloft

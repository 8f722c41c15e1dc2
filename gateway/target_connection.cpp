#include "gateway/target_connection.h"

#include <charconv>

#include <boost/asio/post.hpp>

#include "gateway/relayed_stream.h"

namespace Lovageloft
{

namespace
{

/// Used for targets that don't send a Keep-Alive header. 5 s is the shortest of the usual defaults of HTTP servers.
constexpr Duration defaultKeepAlive = std::chrono::seconds(5);

constexpr int firstFinalStatus = 200;
constexpr std::size_t maxAnswerHeadBytes = 65'536;

/// Bytes of answers to other requests, or of informational ones, after which the connection is closed.
constexpr std::size_t maxDiscardedBytes = 262'144;

} // namespace

TargetConnection::TargetConnection(std::string targetId, const TargetProtocol &protocol, Owner &owner)
    : attempts_{std::move(targetId), {}, false, {}, 0}
    , protocol_(protocol)
    , owner_(owner)
    , parser_(HttpMessageKind::Answer, {maxAnswerHeadBytes, 0}, *this)
    , keepAlive_(defaultKeepAlive)
{
}

void TargetConnection::connect(boost::asio::io_context &loop, const HostAddress &address)
{
    loop_ = &loop;
    address_ = address;
    attempts_.startedAt = BootClock::now();
    tryNextPath();
}

void TargetConnection::tryNextPath()
{
    const auto path = owner_.nextPath(attempts_, address_);
    if (!path) {
        boost::asio::post(*loop_, [self = shared_from_this()] {
            if (self->events_ != nullptr) {
                self->fail(TargetLoss::NotSent, "not connected");
            }
        });
        return;
    }
    path_ = *path;
    pathStartedAt_ = BootClock::now();
    if (path_.relay.empty()) {
        stream_ = TcpConnection::connect(*loop_, path_.address, path_.timeout, *this);
    } else {
        stream_ = RelayedStream::connect(*loop_, path_.address, attempts_.targetId, path_.timeout, *this);
    }
}

void TargetConnection::onPathFailed()
{
    if (path_.relay.empty()) {
        owner_.onConnectResult(*this, connectFailure(BootClock::now() - pathStartedAt_, path_.timeout));
    } else {
        owner_.onRelayResult(attempts_, path_.relay, static_cast<const RelayedStream &>(*stream_));
    }
    if (events_ != nullptr) {
        tryNextPath();
    }
}

void TargetConnection::sendRequest(
    std::string bytes, std::shared_ptr<const std::string> body, std::string requestId, bool hasAnswerBody, ExchangeEvents &events)
{
    events_ = &events;
    requestId_ = std::move(requestId);
    requestBytes_ = bytes.size() + (body != nullptr ? body->size() : 0);
    pendingRequest_ = std::move(bytes);
    pendingBody_ = std::move(body);
    isDiscarding_ = false;
    discardedBytes_ = 0;
    if (!hasAnswerBody) {
        parser_.expectNoBody();
        isReusable_ = false;
    }
    if (isConnected_) {
        sendPendingRequest();
    }
}

void TargetConnection::abort()
{
    events_ = nullptr;
    if (stream_ != nullptr) {
        stream_->close();
    }
}

void TargetConnection::pauseReading()
{
    stream_->pauseReading();
}

void TargetConnection::resumeReading()
{
    stream_->resumeReading();
}

bool TargetConnection::isQuiet()
{
    return isConnected_ && stream_->isQuiet();
}

const std::string &TargetConnection::targetId() const
{
    return attempts_.targetId;
}

const std::string &TargetConnection::relay() const
{
    return path_.relay;
}

TimePoint TargetConnection::connectedAt() const
{
    return connectedAt_;
}

Duration TargetConnection::keepAlive() const
{
    return keepAlive_;
}

TimePoint TargetConnection::idleSince() const
{
    return idleSince_;
}

bool TargetConnection::hasSentRequest() const
{
    return hasSentRequest_;
}

void TargetConnection::onConnected()
{
    const auto self = shared_from_this();
    isConnected_ = true;
    connectedAt_ = BootClock::now();
    if (path_.relay.empty()) {
        owner_.onConnectResult(*this, ConnectResult::Connected);
    } else {
        owner_.onRelayResult(attempts_, path_.relay, static_cast<const RelayedStream &>(*stream_));
    }
    if (events_ != nullptr) {
        sendPendingRequest();
    }
}

void TargetConnection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (events_ == nullptr) {
        // Unsolicited bytes: a late or duplicate answer.
        stream_->close();
        owner_.onIdleClosed(self);
        return;
    }
    if (path_.relay.empty()) {
        owner_.onBytesFrom(*this, false);
    }
    parse(bytes);
}

void TargetConnection::onClosed(bool isReset)
{
    const auto self = shared_from_this();
    if (!isConnected_) {
        onPathFailed();
        return;
    }
    if (events_ == nullptr) {
        owner_.onIdleClosed(self);
        return;
    }
    if (!isReset && parser_.readEnd()) {
        isReusable_ = false;
        finish();
        return;
    }
    const bool isRequestUnsent = stream_->unsent() >= requestBytes_;
    fail(isRequestUnsent ? TargetLoss::NotSent : TargetLoss::MayHaveRun, isReset ? "reset" : "closed");
}

void TargetConnection::onHead(HttpHead &&head, std::optional<std::uint64_t> /*bodyBytes*/)
{
    const AnswerFacts facts = protocol_.readAnswer(head);
    isDiscarding_ = head.status < firstFinalStatus || facts.requestId != requestId_;
    if (isDiscarding_) {
        isReusable_ = isReusable_ && head.status < firstFinalStatus;
        return;
    }
    if (path_.relay.empty()) {
        owner_.onBytesFrom(*this, true);
    }
    updateKeepAlive(head);
    isReusable_ = isReusable_ && head.version == 11 && !head.hasToken("Connection", "close");
    if (events_ != nullptr) {
        events_->onAnswerHead(std::move(head), facts);
    }
}

void TargetConnection::onBody(std::string_view bytes)
{
    if (!isDiscarding_ && events_ != nullptr) {
        events_->onAnswerBody(bytes);
    }
}

void TargetConnection::onEnd()
{
}

void TargetConnection::sendPendingRequest()
{
    hasSentRequest_ = true;
    stream_->send(pendingRequest_);
    pendingRequest_.clear();
    if (const auto body = std::move(pendingBody_)) {
        stream_->sendShared(body);
    }
    events_->onRequestSent();
}

void TargetConnection::parse(std::string_view bytes)
{
    Reason reason;
    bool isValid = parser_.read(bytes, reason);
    while (isValid && events_ != nullptr && parser_.isComplete() && isDiscarding_) {
        isValid = parser_.startNext(reason);
    }
    if (events_ == nullptr) {
        return;
    }
    discardedBytes_ += isDiscarding_ ? bytes.size() : 0;
    if (!isValid || discardedBytes_ > maxDiscardedBytes) {
        fail(TargetLoss::MayHaveRun, "malformed answer");
    } else if (parser_.isComplete()) {
        finish();
    }
}

void TargetConnection::finish()
{
    ExchangeEvents *events = events_;
    events_ = nullptr;
    // If the answer arrived before the whole request was sent, the target would read the next request as the rest of this one.
    const bool isConnectionReusable = isReusable_ && parser_.bufferedBytes() == 0 && stream_->unsent() == 0;
    Reason reason;
    if (isConnectionReusable && parser_.startNext(reason)) {
        idleSince_ = BootClock::now();
        owner_.onIdle(shared_from_this());
    } else {
        stream_->close();
    }
    events->onAnswerEnd();
}

void TargetConnection::fail(TargetLoss loss, std::string_view why)
{
    ExchangeEvents *events = events_;
    abort();
    events->onTargetLost(loss, why);
}

void TargetConnection::updateKeepAlive(const HttpHead &head)
{
    const std::string_view value = head.find("Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t start = value.find(name);
    if (start == std::string_view::npos) {
        return;
    }
    int seconds = 0;
    const std::string_view digits = value.substr(start + name.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc{}) {
        keepAlive_ = std::chrono::seconds(seconds);
    }
}

} // namespace Lovageloft

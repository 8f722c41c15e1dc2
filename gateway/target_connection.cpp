#include "gateway/target_connection.h"

#include <charconv>

namespace Lovageloft
{

namespace
{

/// For targets that don't say how long they keep an idle connection: short enough for the usual defaults, of which 5 s is the least.
constexpr Duration assumedKeepAlive = std::chrono::seconds(5);

constexpr int firstFinalStatus = 200;
constexpr std::size_t answerHeadLimit = 65'536;

} // namespace

TargetConnection::TargetConnection(std::string targetId, const TargetProtocol &protocol, Owner &owner)
    : targetId_(std::move(targetId))
    , protocol_(protocol)
    , owner_(owner)
    , parser_(HttpMessageKind::Answer, {answerHeadLimit, 0}, *this)
    , keepAlive_(assumedKeepAlive)
{
}

void TargetConnection::connect(boost::asio::io_context &loop, const HostAddress &address, Duration timeout)
{
    tcp_ = TcpConnection::connect(loop, address, timeout, *this);
}

void TargetConnection::sendRequest(std::string bytes, std::string requestId, bool hasAnswerBody, ExchangeEvents &events)
{
    events_ = &events;
    requestId_ = std::move(requestId);
    requestBytes_ = bytes.size();
    pending_ = std::move(bytes);
    isSkipping_ = false;
    if (!hasAnswerBody) {
        parser_.expectNoBody();
        isReusable_ = false;
    }
    if (isConnected_) {
        sendPending();
    }
}

void TargetConnection::abort()
{
    events_ = nullptr;
    if (tcp_ != nullptr) {
        tcp_->close();
    }
}

void TargetConnection::pauseReading()
{
    tcp_->pauseReading();
}

void TargetConnection::resumeReading()
{
    tcp_->resumeReading();
}

bool TargetConnection::isQuiet()
{
    return isConnected_ && tcp_->isQuiet();
}

const std::string &TargetConnection::targetId() const
{
    return targetId_;
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
    if (events_ != nullptr) {
        sendPending();
    }
}

void TargetConnection::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (events_ == nullptr) {
        // Bytes that nobody asked for: a late or doubled answer.
        tcp_->close();
        owner_.onIdleClosed(self);
        return;
    }
    readOn(bytes);
}

void TargetConnection::onClosed(bool isReset)
{
    const auto self = shared_from_this();
    if (events_ == nullptr) {
        owner_.onIdleClosed(self);
        return;
    }
    if (!isReset && parser_.readEnd()) {
        isReusable_ = false;
        complete();
        return;
    }
    const bool isUnsent = !isConnected_ || tcp_->unsent() >= requestBytes_;
    lose(isUnsent ? TargetLoss::NotSent : TargetLoss::MayHaveRun, isConnected_ ? (isReset ? "reset" : "closed") : "not connected");
}

void TargetConnection::onHead(HttpHead &&head, std::optional<std::uint64_t> /*bodyBytes*/)
{
    const AnswerFacts facts = protocol_.readAnswer(head);
    isSkipping_ = head.status < firstFinalStatus || facts.requestId != requestId_;
    if (isSkipping_) {
        isReusable_ = isReusable_ && head.status < firstFinalStatus;
        return;
    }
    noteKeepAlive(head);
    isReusable_ = isReusable_ && head.version == 11 && !head.hasToken("Connection", "close");
    if (events_ != nullptr) {
        events_->onAnswerHead(std::move(head), facts);
    }
}

void TargetConnection::onBody(std::string_view bytes)
{
    if (!isSkipping_ && events_ != nullptr) {
        events_->onAnswerBody(bytes);
    }
}

void TargetConnection::onEnd()
{
}

void TargetConnection::sendPending()
{
    hasSentRequest_ = true;
    tcp_->send(pending_);
    pending_.clear();
}

void TargetConnection::readOn(std::string_view bytes)
{
    Reason reason;
    bool isReadable = parser_.read(bytes, reason);
    while (isReadable && events_ != nullptr && parser_.isComplete() && isSkipping_) {
        isReadable = parser_.startNext(reason);
    }
    if (events_ == nullptr) {
        return;
    }
    if (!isReadable) {
        lose(TargetLoss::MayHaveRun, "malformed answer");
    } else if (parser_.isComplete()) {
        complete();
    }
}

void TargetConnection::complete()
{
    ExchangeEvents *events = events_;
    events_ = nullptr;
    // An answer that came before the whole request was sent leaves the connection in the middle of that request.
    const bool isClean = isReusable_ && parser_.keptBytes() == 0 && tcp_->unsent() == 0;
    Reason reason;
    if (isClean && parser_.startNext(reason)) {
        idleSince_ = BootClock::now();
        owner_.onIdle(shared_from_this());
    } else {
        tcp_->close();
    }
    events->onAnswerEnd();
}

void TargetConnection::lose(TargetLoss loss, std::string_view why)
{
    ExchangeEvents *events = events_;
    abort();
    events->onTargetLost(loss, why);
}

void TargetConnection::noteKeepAlive(const HttpHead &head)
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

#include "gateway/caller_session.h"

#include <utility>

#include "gateway/gateway.h"
#include "gateway/routed_request.h"

namespace Lovageloft
{

namespace
{

/// Reading from the caller is paused once more bytes than this of pipelined requests are buffered.
constexpr std::size_t maxPipelinedBytes = 32'768;

/// What the kernel holds at most for a connection that is not read.
constexpr std::size_t maxKernelBytes = 2 * CallerSession::receiveBufferBytes;

/// While a large body arrives: what the kernel holds of it is memory that is reserved for the body and not used yet.
constexpr std::size_t bodyReceiveBufferBytes = 65'536;

/// A body must arrive within `headTimeout` after the head, plus another `headTimeout` for each whole MiB of its length, or of the maximum if it
/// has no length. Without a timeout, a slow sender would hold memory indefinitely.
constexpr std::uint64_t bodyBytesPerHeadTimeout = 1'048'576;

/// Bytes that the kernel may buffer for a caller and has not sent yet. Without a limit it takes up to some megabytes, which no budget counts.
constexpr std::size_t kernelBufferBytes = 32'768;

} // namespace

CallerSession::CallerSession(Gateway &gateway, TcpConnection::Socket socket)
    : gateway_(gateway)
    , acceptedSocket_(std::move(socket))
    , parser_(HttpMessageKind::Request, {}, *this)
    , timer_(gateway.loop())
    , limits_(gateway.callerLimits())
    , connectionId_(gateway.callerBuffers().open())
{
    gateway_.callerConnections().open(connectionId_, BootClock::now());
    parser_.setLimits({limits_.headBytes, limits_.bodyBytes});
}

void CallerSession::start()
{
    tcp_ = TcpConnection::adopt(std::move(*acceptedSocket_), *this);
    acceptedSocket_.reset();
    if (gateway_.callerBuffers().total() != 0) {
        tcp_->limitKernelBuffer(kernelBufferBytes);
    }
    startTimer(limits_.idleTimeout);
}

void CallerSession::beginAnswer(int status, std::string_view fields, std::optional<std::size_t> bodyBytes)
{
    isAnswering_ = true;
    closesAfterAnswer_ = closesAfterAnswer_ || !mayKeepConnection();
    unsentHead_ = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(statusText(status)) + "\r\n";
    unsentHead_.append(fields);
    isChunked_ = !bodyBytes && head_.version == 11; // HTTP/1.1; 10 is HTTP/1.0.
    isEndedByClose_ = !bodyBytes && !isChunked_;
    if (bodyBytes) {
        appendField(unsentHead_, "Content-Length", std::to_string(*bodyBytes));
    } else if (isChunked_) {
        appendField(unsentHead_, "Transfer-Encoding", "chunked");
    } else {
        closesAfterAnswer_ = true;
    }
    if (closesAfterAnswer_) {
        appendField(unsentHead_, "Connection", "close");
    }
    unsentHead_.append("\r\n");
}

void CallerSession::sendBody(std::string_view bytes)
{
    if (bytes.empty() || isClosed_) {
        return;
    }
    std::string out = std::exchange(unsentHead_, {});
    if (isChunked_) {
        appendChunk(out, bytes);
    } else {
        out.append(bytes);
    }
    tcp_->send(out);
    updateBuffer();
}

void CallerSession::finishAnswer()
{
    if (isClosed_) {
        return;
    }
    std::string out = std::exchange(unsentHead_, {});
    if (isChunked_) {
        out.append("0\r\n\r\n");
    }
    if (!out.empty()) {
        tcp_->send(out);
        updateBuffer();
    }
    setIncompleteBytes(0);
    gateway_.callerBuffers().release(connectionId_, BufferUse::RequestBody, std::exchange(bufferedBodyBytes_, 0), BootClock::now());
    isAnswering_ = false;
    isRequestComplete_ = false;
    request_.reset();
    // An answer that began before the shutdown has no "Connection: close" field. If the connection stayed open, the caller would send its
    // next request within a millisecond, and a request that runs for seconds would be cut off when the platform ends the process.
    const bool endsWithShutdown = gateway_.isDraining() && parser_.bufferedBytes() == 0;
    if (closesAfterAnswer_ || endsWithShutdown) {
        isClosed_ = true;
        if (unsent() == 0) {
            endAfterSending();
        } else {
            isSendingRest_ = true;
            tcp_->resumeReading(); // Else the end of a connection whose caller has gone would not be noticed.
            startTimer(TcpConnection::maxSendStall);
        }
        return;
    }
    // Posted rather than called: the buffered bytes may hold the next request, which must not be processed within the call that completed
    // this answer.
    boost::asio::post(gateway_.loop(), [self = shared_from_this()] { self->startNextRequest(); });
}

bool CallerSession::sendOwnAnswer(int status, std::string_view fields, std::string_view body)
{
    if (isAnswering_ && unsentHead_.empty()) {
        abortAnswer();
        return false;
    }
    beginAnswer(status, fields, body.size());
    sendBody(body);
    finishAnswer();
    return true;
}

void CallerSession::abortAnswer()
{
    if (isEndedByClose_ && !isClosed_) {
        closeStalled();
    } else {
        close();
    }
}

std::size_t CallerSession::unsent() const
{
    return tcp_ != nullptr ? tcp_->unsent() : 0;
}

bool CallerSession::isAtBufferBound() const
{
    return gateway_.callerBuffers().isAtBound(connectionId_);
}

void CallerSession::setIncompleteBytes(std::size_t bytes)
{
    const std::size_t before = std::exchange(incompleteBytes_, bytes);
    const TimePoint now = BootClock::now();
    if (bytes > before) {
        gateway_.callerBuffers().reserve(connectionId_, BufferUse::IncompleteResponse, bytes - before, now);
    } else {
        gateway_.callerBuffers().release(connectionId_, BufferUse::IncompleteResponse, before - bytes, now);
    }
}

void CallerSession::closeStalled()
{
    const auto self = shared_from_this();
    tcp_->reset();
    onClosed(true);
}

void CallerSession::closeForRoom()
{
    if (!isClosed_) {
        closeStalled();
    }
}

void CallerSession::closeIfIdle()
{
    if (isIdle() && (tcp_ == nullptr || tcp_->isQuiet())) {
        close();
    }
}

bool CallerSession::isIdle() const
{
    return request_ == nullptr && !isRequestComplete_ && !parser_.isWithinMessage() && parser_.bufferedBytes() == 0;
}

void CallerSession::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (isClosed_) {
        return; // The answer under way is the last one.
    }
    parse(bytes);
    if (parser_.isComplete() && parser_.bufferedBytes() > maxPipelinedBytes) {
        tcp_->pauseReading();
    }
    updateConnection();
    if (!isClosed_) {
        gateway_.makeRoomForConnections();
    }
}

/// Accounts for what the caller has sent.
void CallerSession::updateConnection()
{
    if (isClosed_) {
        return;
    }
    const bool isArriving = request_ == nullptr && parser_.isWithinMessage();
    const CallerPhase idleOrArriving = isArriving ? CallerPhase::Arriving : CallerPhase::Idle;
    gateway_.callerConnections().setPhase(connectionId_, request_ != nullptr ? CallerPhase::Served : idleOrArriving, BootClock::now());
    const std::size_t kernelBytes = tcp_->isReadingPaused() ? maxKernelBytes : 0;
    gateway_.callerConnections().setReceived(connectionId_, parser_.bufferCapacity() + kernelBytes, bufferedBodyBytes_);
}

void CallerSession::onClosed(bool /*isReset*/)
{
    const auto self = shared_from_this();
    isClosed_ = true;
    timer_.cancel();
    if (const auto request = std::exchange(request_, nullptr)) {
        request->onCallerDisconnected();
    }
    gateway_.onSessionEnded(self);
}

void CallerSession::onSent()
{
    const auto self = shared_from_this();
    updateBuffer();
    if (isSendingRest_) {
        endAfterSending();
    } else if (request_ != nullptr) {
        request_->onCallerBufferEmpty();
    }
}

void CallerSession::onProgress()
{
    updateBuffer();
    if (isSendingRest_) {
        startTimer(TcpConnection::maxSendStall);
    } else if (isIdle()) {
        // The time that the caller takes to read the answer is not idle.
        startTimer(limits_.idleTimeout);
    }
}

void CallerSession::onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes)
{
    head_ = std::move(head);
    body_.clear();
    if (equalsIgnoringCase(head_.find("Expect"), "100-continue") && bodyBytes != 0) {
        tcp_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    hasDeclaredBody_ = bodyBytes.has_value();
    const std::size_t declaredBytes = bodyBytes.value_or(0);
    isBodyTooLong_ = declaredBytes > BufferBudget::minConnectionBytes && !gateway_.makeRoomForBody(declaredBytes);
    if (!isBodyTooLong_) {
        reserveBody(declaredBytes);
        body_.reserve(declaredBytes);
        setReceivesLargeBody(declaredBytes > receiveBufferBytes || !hasDeclaredBody_);
    }
    const std::uint64_t expectedBytes = bodyBytes.value_or(limits_.bodyBytes);
    startTimer(limits_.headTimeout * static_cast<std::int64_t>(1 + expectedBytes / bodyBytesPerHeadTimeout));
}

void CallerSession::setReceivesLargeBody(bool receivesLargeBody)
{
    if (receivesLargeBody_ != receivesLargeBody) {
        receivesLargeBody_ = receivesLargeBody;
        tcp_->setReceiveBuffer(receivesLargeBody ? bodyReceiveBufferBytes : receiveBufferBytes);
    }
}

void CallerSession::onBody(std::string_view bytes)
{
    if (isBodyTooLong_) {
        return;
    }
    body_.append(bytes);
    if (body_.size() > bufferedBodyBytes_) {
        reserveBody(body_.capacity() - bufferedBodyBytes_);
    }
}

void CallerSession::reserveBody(std::size_t bytes)
{
    bufferedBodyBytes_ += bytes;
    gateway_.callerBuffers().reserve(connectionId_, BufferUse::RequestBody, bytes, BootClock::now());
}

void CallerSession::onEnd()
{
    isRequestComplete_ = true;
}

void CallerSession::parse(std::string_view bytes)
{
    const bool isPipelined = parser_.isComplete();
    if (isIdle()) {
        startTimer(limits_.headTimeout);
    }
    Reason reason;
    if (!parser_.read(bytes, reason)) {
        refuse(reason);
        return;
    }
    if (!isPipelined) {
        onParsed();
    }
}

/// Begins the request if it is complete.
void CallerSession::onParsed()
{
    const bool isGrowing = !isRequestComplete_ && body_.size() > BufferBudget::minConnectionBytes;
    if (isBodyTooLong_ || (isGrowing && !hasDeclaredBody_ && gateway_.callerBuffers().isExhausted() && !gateway_.makeRoomForBody(1))) {
        refuse({ResultCode::Overloaded, "no memory is left for the request's body"});
        return;
    }
    if (isRequestComplete_) {
        timer_.cancel();
        closesAfterAnswer_ = head_.version == 10 || head_.hasToken("Connection", "close");
        const int version = head_.version;
        const auto request = gateway_.createRequest(shared_from_this(), std::move(head_), std::move(body_));
        head_.version = version;
        request_ = request;
        request->begin();
    }
}

void CallerSession::startNextRequest()
{
    if (isClosed_) {
        return;
    }
    limits_ = gateway_.callerLimits();
    parser_.setLimits({limits_.headBytes, limits_.bodyBytes});
    setReceivesLargeBody(false);
    startTimer(parser_.bufferedBytes() > 0 ? limits_.headTimeout : limits_.idleTimeout);
    Reason reason;
    if (!parser_.startNext(reason)) {
        refuse(reason);
        return;
    }
    onParsed();
    if (!isClosed_ && parser_.bufferedBytes() <= maxPipelinedBytes) {
        tcp_->resumeReading();
    }
    updateConnection();
}

/// Answers a malformed or late request with an error status and closes the connection, as the start of the next request is unknown.
void CallerSession::refuse(const Reason &reason)
{
    closesAfterAnswer_ = true;
    head_.version = 11;
    gateway_.refuseMalformed(*this, reason);
}

void CallerSession::close()
{
    if (isClosed_) {
        return;
    }
    const auto self = shared_from_this();
    isClosed_ = true;
    timer_.cancel();
    request_.reset();
    tcp_->close();
    gateway_.onSessionEnded(self);
}

/// Ends the session when nothing is unsent.
void CallerSession::endAfterSending()
{
    timer_.cancel();
    tcp_->closeAfterSending();
    gateway_.onSessionEnded(shared_from_this());
}

/// Accounts for what the caller has read or what has been sent since the last call.
void CallerSession::updateBuffer()
{
    const std::size_t bytes = unsent();
    const TimePoint now = BootClock::now();
    if (bytes > bufferedBytes_) {
        gateway_.callerBuffers().reserve(connectionId_, BufferUse::Response, bytes - bufferedBytes_, now);
    } else {
        gateway_.callerBuffers().release(connectionId_, BufferUse::Response, bufferedBytes_ - bytes, now);
    }
    bufferedBytes_ = bytes;
}

void CallerSession::startTimer(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->onTimer();
        }
    });
}

void CallerSession::onTimer()
{
    if (isSendingRest_) {
        if (timer_.expiry() <= boost::asio::steady_timer::clock_type::now()) {
            closeStalled();
        }
        return;
    }
    if (isClosed_ || request_ != nullptr) {
        return;
    }
    // After a pause of the event loop, received bytes and the expired timer are handled in the same iteration. Reading the bytes restarts the
    // timer but can't cancel this handler, which is queued already. Without this check, a caller whose request has just begun would be
    // refused as too slow.
    if (timer_.expiry() > boost::asio::steady_timer::clock_type::now()) {
        return;
    }
    if (parser_.isWithinMessage()) {
        refuse({ResultCode::CallerTooSlow, "request did not arrive in time"});
        return;
    }
    // Bytes that are waiting in the kernel will restart the timer when they are read. Closing the connection with an unread request would
    // reset it, and the caller could not tell whether the request ran.
    if (tcp_->isQuiet()) {
        close();
    }
}

bool CallerSession::mayKeepConnection() const
{
    // A further request that has arrived already is answered as well: closed unread, its caller could not tell whether it runs.
    return !gateway_.isDraining() || parser_.bufferedBytes() > 0;
}

} // namespace Lovageloft

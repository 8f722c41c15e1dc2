#include "gateway/routed_request.h"

#include <algorithm>
#include <utility>

#include "gateway/caller_session.h"
#include "gateway/gateway.h"
#include "gateway/request_limits.h"

/// How a request ends: failures of this host's, callers that leave, complete and broken answers, and the last log line.
namespace Lovageloft
{

void RoutedRequest::fail(const Reason &reason, Duration retryAfter)
{
    if (phase_ == Phase::Done) {
        return;
    }
    if (isAnswerStarted_) {
        abortRelay(reason.text);
        return;
    }
    if (fallback_) {
        answerHead_ = std::move(fallback_->head);
        bufferedBody_ = std::move(fallback_->body);
        relayBuffered();
        return;
    }
    const auto self = shared_from_this();
    answerFailure(reason, retryAfter);
    finish(resultCodeInfo(reason.code).name, failureStatus_);
}

void RoutedRequest::limitDeadline(TimePoint deadline)
{
    if (phase_ != Phase::Done && deadline < deadline_) {
        deadline_ = deadline;
        armTimer();
    }
}

/// Sends the caller its final error response, or breaks off the response that has begun, and releases the session. A call that runs at a target
/// continues.
void RoutedRequest::answerFailure(const Reason &reason, Duration retryAfter)
{
    const RunState state = mayHaveRun_ || isRunning() ? RunState::MayHaveRun : RunState::NotRun;
    if (state == RunState::NotRun && chargedTokens_ > 0) {
        gateway_.fleet().refundTokens(intake_.teamName(), chargedTokens_, chargedBy_);
    }
    const auto session = std::move(session_);
    failureStatus_ = gateway_.refuse(session.get(), reason, state, retryAfter > Duration::zero() ? retryAfter : defaultRetryAfter);
    if (failureStatus_ == 0) {
        log_.aborted(targetId_, reason.text);
        return;
    }
    const TimePoint now = BootClock::now();
    log_.refused(reason, failureStatus_, state == RunState::MayHaveRun, now - startedAt_, gateway_.proofAge(now));
}

/// Returns the tokens of a request whose caller has left, if it has not reached a target.
void RoutedRequest::refundUnusedTokens()
{
    if (gateway_.fleet().mayRequestsWait() && !mayHaveRun_ && chargedTokens_ > 0) {
        gateway_.fleet().refundTokens(intake_.teamName(), std::exchange(chargedTokens_, 0), chargedBy_);
    }
}

void RoutedRequest::relayBuffered()
{
    if (!isAnswerStarted_) {
        startAnswer(bufferedBody_.size());
        relay(takeBuffered());
    }
    const auto session = std::move(session_);
    finish("answered", answerHead_.status);
    if (session != nullptr) {
        session->finishAnswer();
    }
}

void RoutedRequest::onCallerDisconnected()
{
    const auto self = shared_from_this();
    session_.reset();
    if (phase_ == Phase::Done) {
        return;
    }
    const bool mustComplete = intake_.route() != nullptr && intake_.route()->kind == RouteKind::NonIdempotent && isRunning();
    if (mustComplete) {
        deadline_ = BootClock::now() + orphanTimeout;
        armTimer();
        body_.reset();
        onCallerBufferEmpty(); // Nobody reads the rest; the target can complete it.
        return;
    }
    if (phase_ == Phase::Sent && gateway_.dispatch().isUndecided(schedulerId_)) {
        isOnlyAwaited_ = true;
        deadline_ = std::min(deadline_, BootClock::now() + maxUnreadTime);
        armTimer();
        return;
    }
    if (isRunning()) {
        endUnread();
        return;
    }
    gateway_.dispatch().cancelQueued(schedulerId_);
    refundUnusedTokens();
    finish("caller_gone", 0);
}

/// Takes a request whose caller has left away from its target.
void RoutedRequest::endUnread()
{
    const auto self = shared_from_this();
    closeConnection();
    endDispatch(DispatchResult::Cancelled);
    finish("caller_gone", 0);
}

void RoutedRequest::abortRelay(std::string_view why)
{
    const auto self = shared_from_this();
    const auto session = std::move(session_);
    log_.aborted(targetId_, why);
    finish("broken_off", 0);
    if (session != nullptr) {
        session->abortAnswer();
    }
}

void RoutedRequest::finish(std::string_view outcome, int status)
{
    if (phase_ == Phase::Done) {
        return;
    }
    phase_ = Phase::Done;
    gateway_.fleet().cancelTokens(tokenRequestId_);
    exposure_.withdraw();
    timer_.cancel();
    EndedRequest ended;
    if (intake_.route() != nullptr) {
        ended.kind = intake_.route()->kind;
    }
    ended.service = intake_.service();
    ended.outcome = outcome;
    ended.status = status;
    ended.sends = sends_;
    ended.duration = BootClock::now() - startedAt_;
    ended.queueTime = queueTime_;
    ended.timeToFirstByte = timeToFirstByte_;
    ended.target = targetId_;
    ended.relay = relay_;
    ended.bytes = relayedBytes_;
    log_.ended(ended);
    gateway_.onRequestEnded(*this, ended);
}

bool RoutedRequest::isQuarantined() const
{
    const TimePoint now = BootClock::now();
    return std::any_of(
        features_.begin(), features_.end(), [this, now](RequestFeature feature) { return gateway_.fleet().crashes().isQuarantined(feature, now); });
}

bool RoutedRequest::failIfQuarantined()
{
    if (!isQuarantined()) {
        return false;
    }
    fail({ResultCode::Quarantined, "targets ended when they began this request"}, quarantineRetryAfter);
    return true;
}

void RoutedRequest::endIfQuarantined()
{
    const bool mayEnd = phase_ == Phase::Queued || (phase_ == Phase::Sent && intake_.route()->isIdempotent());
    if (!mayEnd || !isQuarantined()) {
        return;
    }
    const auto self = shared_from_this();
    if (phase_ == Phase::Sent) {
        closeConnection();
        mayHaveRun_ = true;
        endDispatch(DispatchResult::Cancelled);
    } else {
        gateway_.dispatch().cancelQueued(schedulerId_);
    }
    failIfQuarantined();
}

} // namespace Lovageloft

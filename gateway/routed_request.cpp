#include "gateway/routed_request.h"

#include <algorithm>

#include <xxhash.h>

#include "gateway/caller_session.h"
#include "gateway/gateway.h"
#include "gateway/target_request.h"

namespace Lovageloft
{

namespace
{

/// Answers up to this size are kept until they are whole, so that a target that breaks off can be replaced unseen.
constexpr std::size_t heldAnswerLimit = 262'144;

/// Bytes that a slow caller may leave untaken before the target is no longer read.
constexpr std::size_t callerBacklogLimit = 262'144;

/// Targets that one request is offered to at most, however many of them decline without running it.
constexpr int mostSends = 4;

/// Silence after which work that may be repeated is tried elsewhere, in latency targets: such an answer is late already, and with
/// one more latency target it still comes while callers wait.
constexpr double stallInLatencyTargets = 1.5;
constexpr Duration shortestStall = std::chrono::milliseconds(400);

/// Between looks whether another target can take work whose target is silent.
constexpr Duration stallLook = std::chrono::milliseconds(100);

/// Less time than that is not worth another target: the answer would come after the caller has left.
constexpr Duration leastTimeForTry = std::chrono::milliseconds(60);

/// When to come back after a refusal for which nothing else is known: most causes pass or move to another host within that.
constexpr Duration usualRetryAfter = std::chrono::milliseconds(300);

/// When to come back with a request in quarantine: it will not be sent to a target for minutes.
constexpr Duration quarantineRetryAfter = std::chrono::seconds(30);

/// How long a call that must run once is left to a target after its caller has its answer or is gone. Targets stop at the
/// deadline that came with the request; beyond this one is stuck, and its connection is worth more.
constexpr Duration orphanLimit = std::chrono::seconds(10);

/// Bytes of the heads of a request and its answer, and of an event that carries one token; for what crosses between data centres.
constexpr std::size_t headBytes = 1'000;
constexpr std::size_t bytesPerToken = 55;

constexpr int statusOk = 200;
constexpr int firstErrorStatus = 500;

} // namespace

RoutedRequest::RoutedRequest(Gateway &gateway, std::shared_ptr<CallerSession> session, HttpHead &&head, std::string &&body)
    : gateway_(gateway)
    , session_(std::move(session))
    , head_(std::move(head))
    , body_(std::move(body))
    , intake_(gateway, head_)
    , log_(intake_)
    , startedAt_(BootClock::now())
    , timer_(gateway.loop())
{
}

void RoutedRequest::begin()
{
    if (gateway_.isConfigured()) {
        beginNow();
    } else {
        gateway_.beginWhenConfigured(shared_from_this());
    }
}

void RoutedRequest::beginNow()
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Done) {
        return; // The caller left while it waited.
    }
    Reason reason;
    if (!intake_.run(reason)) {
        fail(reason);
        return;
    }
    fingerprint_ = intake_.fingerprint(body_);
    if (isQuarantined()) {
        failQuarantined();
        return;
    }
    limit_ = startedAt_ + intake_.route()->timeout;
    if (intake_.caller().patience) {
        limit_ = std::min(limit_, startedAt_ + *intake_.caller().patience);
    }
    charge();
}

void RoutedRequest::charge()
{
    if (intake_.teamName().empty()) {
        admit();
        return;
    }
    const double tokens = intake_.chargedTokens();
    gateway_.fleet().takeTokens(intake_.teamName(), tokens, [self = shared_from_this(), tokens](const TokenDecision &decision) {
        if (!decision.isGranted) {
            self->log_.tokensDenied(tokens, decision);
            self->fail({ResultCode::OverRate, "team is over its rate"}, decision.retryAfter);
            return;
        }
        self->charged_ = tokens;
        if (self->phase_ == Phase::Done) {
            self->gateway_.fleet().giveBackTokens(self->intake_.teamName(), tokens);
            return;
        }
        self->admit();
    });
}

void RoutedRequest::admit()
{
    armTimer();
    enqueue();
}

void RoutedRequest::enqueue()
{
    phase_ = Phase::Queued;
    schedulerId_ = gateway_.dispatch().submit(shared_from_this(), schedulerRequest());
}

SchedulerRequest RoutedRequest::schedulerRequest() const
{
    SchedulerRequest request = intake_.schedulerRequest();
    request.bytes = headBytes + body_.size() + request.outputTokens * bytesPerToken;
    request.deadline = limit_ - leastTimeForTry;
    request.failedEngines = failedTargets_;
    request.isResume = isAnswerStarted_;
    request.reachedTarget = sends_ > 0;
    return request;
}

void RoutedRequest::onAssigned(const SchedulerAssignment &assignment)
{
    const auto self = shared_from_this();
    targetId_ = assignment.engine;
    expectedCached_ = assignment.expectedCachedTokens;
    comesLate_ = BootClock::now() + fromSeconds(assignment.expectedFirstTokenSeconds) > startedAt_ + intake_.route()->latencyTarget;
    holder_ = assignment.holder;
    Reason reason;
    if (!intake_.checkAgain(reason)) {
        endDispatch(DispatchResult::Cancelled);
        fail(reason);
        return;
    }
    if (isQuarantined()) {
        endDispatch(DispatchResult::Cancelled);
        failQuarantined();
        return;
    }
    const Target *target = gateway_.targets().find(assignment.engine);
    if (target == nullptr) {
        endDispatch(DispatchResult::Cancelled);
        tryElsewhere();
        return;
    }
    gateway_.fleet().announceDispatch(assignment);
    send(*target);
}

void RoutedRequest::onRefused(const SchedulerRefusal &refusal)
{
    fail(refusal.reason, refusal.retryAfter);
}

bool RoutedRequest::isRunning() const
{
    return phase_ == Phase::Sent || phase_ == Phase::Answering;
}

void RoutedRequest::send(const Target &target)
{
    const TimePoint now = BootClock::now();
    phase_ = Phase::Sent;
    sentAt_ = now;
    stallAt_ = now + stallTime();
    queued_ = queued_.value_or(now - startedAt_);
    ++sends_;
    ++runs_;
    isAnswerKept_ = false;
    targetStart_ = XXH3_64bits_withSeed(target.id.data(), target.id.size(), static_cast<std::uint64_t>(target.incarnation));
    std::string salt;
    CachePlan plan;
    const std::string_view lastEventId = events_.lastId().empty() ? std::string_view(intake_.caller().lastEventId) : std::string_view(events_.lastId());
    const TargetRequest request = makeTargetRequest(gateway_, intake_, {target, timeLeft(now), lastEventId, expectedCached_, holder_, comesLate_}, salt, plan);
    std::string bytes = gateway_.targetProtocol().writeHead(head_, request, body_.size());
    bytes.append(body_);
    connection_ = gateway_.pool().take(target, intake_.route()->isIdempotent(), now);
    log_.sent({target.id, sends_, now - startedAt_, request.weightsVersion, expectedCached_, request.fetchFrom, connection_->isUsed()});
    connection_->start(std::move(bytes), intake_.caller().id, head_.method != "HEAD", *this);
    armTimer();
}

void RoutedRequest::onAnswerHead(HttpHead &&head, const AnswerFacts &facts)
{
    if (facts.load) {
        gateway_.onTargetLoad(targetId_, *facts.load);
    }
    answerHead_ = std::move(head);
    isNotExecuted_ = facts.isNotExecuted || facts.isOtherTarget;
    if (isNotExecuted_) {
        notExecuted_ = facts;
        return;
    }
    hasRun_ = true;
    phase_ = Phase::Answering;
    held_.clear();
    isAnswerKept_ = !isAnswerStarted_ || answerHead_.status == statusOk;
}

void RoutedRequest::onAnswerBody(std::string_view bytes)
{
    if (!isAnswerKept_) {
        return;
    }
    if (intake_.isStream() && answerHead_.status == statusOk) {
        onEvents(events_.push(bytes));
        return;
    }
    if (isAnswerStarted_) {
        relay(bytes);
        return;
    }
    held_.append(bytes);
    if (held_.size() > heldAnswerLimit) {
        startAnswer(std::nullopt);
        relay(held_);
        held_.clear();
    }
}

void RoutedRequest::onEvents(std::string_view events)
{
    if (events.empty()) {
        return;
    }
    if (!firstByte_) {
        firstByte_ = BootClock::now() - startedAt_;
    }
    if (!isFirstEventNoted_) {
        isFirstEventNoted_ = true;
        gateway_.fleet().crashes().noteAnswered(fingerprint_);
        gateway_.dispatch().onFirstToken(schedulerId_);
    }
    if (!isAnswerStarted_) {
        startAnswer(std::nullopt);
    }
    relay(events);
}

void RoutedRequest::relay(std::string_view bytes)
{
    if (session_ == nullptr) {
        return;
    }
    relayedBytes_ += bytes.size();
    session_->sendBody(bytes);
    if (session_->unsent() > callerBacklogLimit && connection_ != nullptr) {
        connection_->pauseReading();
        isReadingPaused_ = true;
    }
}

void RoutedRequest::onCallerBufferEmpty()
{
    if (isReadingPaused_ && connection_ != nullptr) {
        isReadingPaused_ = false;
        connection_->resumeReading();
    }
}

void RoutedRequest::onAnswerEnd()
{
    const auto self = shared_from_this();
    connection_.reset();
    if (isNotExecuted_) {
        onNotExecuted();
        return;
    }
    if (!isFirstEventNoted_) {
        gateway_.fleet().crashes().noteAnswered(fingerprint_);
        gateway_.dispatch().onFirstToken(schedulerId_);
    }
    const bool isFailure = answerHead_.status >= firstErrorStatus || !isAnswerKept_;
    endDispatch(isFailure ? DispatchResult::Failed : DispatchResult::Finished);
    if (!isAnswerKept_) {
        breakOff("resumed stream was refused");
        return;
    }
    const bool isTriedElsewhere = isFailure && !isAnswerStarted_ && isRetryable();
    if (isFailure) {
        log_.failed(targetId_, answerHead_.status, isTriedElsewhere);
    }
    if (isTriedElsewhere) {
        fallback_ = HeldAnswer{std::move(answerHead_), std::move(held_)};
        held_.clear();
        tryElsewhere();
        return;
    }
    if (intake_.isStream() && answerHead_.status == statusOk && events_.hasPartial()) {
        breakOff("stream ended within an event");
        return;
    }
    relayHeld();
}

void RoutedRequest::onNotExecuted()
{
    --runs_;
    gateway_.targets().onNotExecuted(targetId_, notExecuted_, intake_.caller().model, BootClock::now());
    gateway_.dispatch().invalidateEngines();
    endDispatch(notExecuted_.isOtherTarget ? DispatchResult::Cancelled : DispatchResult::Declined);
    log_.declined(targetId_, answerHead_.status, notExecuted_.isOtherTarget);
    isNotExecuted_ = false;
    tryElsewhere();
}

void RoutedRequest::onTargetLost(TargetLoss loss, std::string_view why)
{
    const auto self = shared_from_this();
    connection_.reset();
    if (isNotExecuted_) {
        onNotExecuted();
        return;
    }
    log_.lost(targetId_, fingerprint_, why, loss == TargetLoss::NotSent, isAnswerStarted_);
    if (loss == TargetLoss::MayHaveRun && !isFirstEventNoted_) {
        gateway_.fleet().crashes().onTargetLost({fingerprint_, targetStart_}, BootClock::now());
    }
    endDispatch(DispatchResult::Failed);
    events_.dropPartial();
    held_.clear();
    if (loss == TargetLoss::NotSent) {
        --runs_;
        --sends_;
        ++unreached_;
        tryElsewhere();
        return;
    }
    hasRun_ = true;
    if (isRetryable() && !isQuarantined()) {
        tryElsewhere();
    } else if (isAnswerStarted_) {
        breakOff(why);
    } else {
        fail({ResultCode::TargetTruncated, "the target broke off"});
    }
}

void RoutedRequest::endDispatch(DispatchResult end)
{
    isFirstEventNoted_ = false;
    gateway_.dispatch().onEnded(schedulerId_, end);
}

bool RoutedRequest::isRetryable() const
{
    return intake_.route()->isIdempotent() && runs_ < intake_.route()->maxAttempts && timeLeft(BootClock::now()) > leastTimeForTry && session_ != nullptr;
}

bool RoutedRequest::isQuarantined() const
{
    return gateway_.fleet().crashes().isQuarantined(fingerprint_, BootClock::now());
}

void RoutedRequest::failQuarantined()
{
    fail({ResultCode::Quarantined, "targets ended when they began this request"}, quarantineRetryAfter);
}

void RoutedRequest::tryElsewhere()
{
    if (session_ == nullptr) {
        finish("caller_gone", 0);
        return;
    }
    failedTargets_.push_back(targetId_);
    if (sends_ + unreached_ >= mostSends || timeLeft(BootClock::now()) <= leastTimeForTry) {
        fail({ResultCode::NoTarget, "no target took the request in time"});
        return;
    }
    enqueue();
}

void RoutedRequest::startAnswer(std::optional<std::size_t> bodyBytes)
{
    isAnswerStarted_ = true;
    fallback_.reset();
    if (!firstByte_) {
        firstByte_ = BootClock::now() - startedAt_;
    }
    if (session_ == nullptr) {
        return;
    }
    std::string fields;
    for (const HttpField &field : answerHead_.fields) {
        if (isHopByHop(answerHead_, field.name) || gateway_.targetProtocol().isPrivateField(field.name)) {
            continue;
        }
        appendField(fields, field.name, field.value);
    }
    session_->beginAnswer(answerHead_.status, fields, bodyBytes);
}

void RoutedRequest::relayHeld()
{
    if (!isAnswerStarted_) {
        startAnswer(held_.size());
        relay(held_);
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
    const bool mustEnd = intake_.route() != nullptr && intake_.route()->kind == RouteKind::NonIdempotent && isRunning();
    if (mustEnd) {
        limit_ = BootClock::now() + orphanLimit;
        armTimer();
        return;
    }
    if (connection_ != nullptr) {
        connection_->abandon();
        connection_.reset();
    }
    if (isRunning()) {
        endDispatch(DispatchResult::Cancelled);
    } else {
        gateway_.dispatch().cancelQueued(schedulerId_);
    }
    finish("caller_gone", 0);
}

void RoutedRequest::armTimer()
{
    TimePoint next = limit_;
    if (phase_ == Phase::Sent && isRetryable()) {
        next = std::min(next, stallAt_);
    }
    timer_.expires_after(std::max(next - BootClock::now(), Duration::zero()));
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->onTimer();
        }
    });
}

Duration RoutedRequest::stallTime() const
{
    return std::max(shortestStall, std::chrono::duration_cast<Duration>(intake_.route()->latencyTarget * stallInLatencyTargets));
}

void RoutedRequest::onTimer()
{
    const TimePoint now = BootClock::now();
    if (phase_ == Phase::Done) {
        return;
    }
    bool isStalled = phase_ == Phase::Sent && isRetryable() && now >= stallAt_;
    if (isStalled && now < limit_ && !gateway_.dispatch().canRetryElsewhere(schedulerId_)) {
        // Broken off here, work that nobody else can take now would be lost, and its answer, though late, with it.
        isStalled = false;
        gateway_.dispatch().onStalled(schedulerId_);
        stallAt_ = now + stallLook;
    }
    if (now < limit_ && !isStalled) {
        armTimer();
        return;
    }
    const bool wasRunning = isRunning();
    if (connection_ != nullptr && (wasRunning && intake_.route()->kind == RouteKind::NonIdempotent && !isStalled)) {
        // A call that must run once is left to end; the caller gets its answer now.
        if (session_ == nullptr) {
            connection_->abandon();
            connection_.reset();
            endDispatch(DispatchResult::Failed);
            finish("abandoned", 0);
            return;
        }
        answerFailure({ResultCode::TargetTimeout, "the target has not answered in time"}, {});
        limit_ = now + orphanLimit;
        armTimer();
        return;
    }
    if (connection_ != nullptr) {
        connection_->abandon();
        connection_.reset();
    }
    if (wasRunning) {
        hasRun_ = true;
        endDispatch(DispatchResult::Failed);
    } else {
        gateway_.dispatch().cancelQueued(schedulerId_);
    }
    if (isStalled && now < limit_) {
        log_.stalled(targetId_, now - sentAt_);
        tryElsewhere();
        return;
    }
    fail(wasRunning ? Reason{ResultCode::TargetTimeout, "the target has not answered in time"}
                    : Reason{ResultCode::DeadlineWouldPass, "no target was free in time"});
}

void RoutedRequest::fail(const Reason &reason, Duration retryAfter)
{
    if (phase_ == Phase::Done) {
        return;
    }
    if (isAnswerStarted_) {
        breakOff(reason.text);
        return;
    }
    if (fallback_) {
        answerHead_ = std::move(fallback_->head);
        held_ = std::move(fallback_->body);
        relayHeld();
        return;
    }
    const auto self = shared_from_this();
    answerFailure(reason, retryAfter);
    finish(resultCodeInfo(reason.code).name, lastStatus_);
}

/// Gives the caller its final answer and lets go of it; what runs at a target goes on.
void RoutedRequest::answerFailure(const Reason &reason, Duration retryAfter)
{
    const RunState state = hasRun_ || isRunning() ? RunState::MayHaveRun : RunState::NotRun;
    if (state == RunState::NotRun && charged_ > 0) {
        gateway_.fleet().giveBackTokens(intake_.teamName(), charged_);
    }
    const auto session = std::move(session_);
    lastStatus_ = gateway_.refuse(session.get(), reason, state, retryAfter > Duration::zero() ? retryAfter : usualRetryAfter);
    const TimePoint now = BootClock::now();
    log_.refused(reason, lastStatus_, state == RunState::MayHaveRun, now - startedAt_, gateway_.proofAge(now));
}

void RoutedRequest::breakOff(std::string_view why)
{
    const auto self = shared_from_this();
    const auto session = std::move(session_);
    log_.brokenOff(targetId_, why);
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
    timer_.cancel();
    EndedRequest ended;
    if (intake_.route() != nullptr) {
        ended.kind = intake_.route()->kind;
    }
    ended.service = intake_.service();
    ended.outcome = outcome;
    ended.status = status;
    ended.sends = sends_;
    ended.time = BootClock::now() - startedAt_;
    ended.queued = queued_;
    ended.firstByte = firstByte_;
    ended.target = targetId_;
    ended.bytes = relayedBytes_;
    log_.ended(ended);
    gateway_.onRequestEnded(*this, ended);
}

Duration RoutedRequest::timeLeft(TimePoint now) const
{
    return limit_ - now;
}

} // namespace Lovageloft

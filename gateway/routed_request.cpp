#include "gateway/routed_request.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "gateway/caller_session.h"
#include "gateway/gateway.h"
#include "gateway/request_limits.h"
#include "gateway/target_request.h"

namespace Lovageloft
{

RoutedRequest::RoutedRequest(Gateway &gateway, std::shared_ptr<CallerSession> session, HttpHead &&head, std::string &&body)
    : gateway_(gateway)
    , session_(std::move(session))
    , head_(std::move(head))
    , body_(std::make_shared<const std::string>(std::move(body)))
    , bodyBytes_(body_->size())
    , intake_(gateway, head_)
    , log_(intake_)
    , exposure_(gateway, intake_)
    , binding_(gateway, intake_)
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
        return; // The caller disconnected during the wait.
    }
    Reason reason;
    if (!intake_.run(reason)) {
        fail(reason);
        return;
    }
    features_ = intake_.features(*body_);
    gateway_.fleet().whenLossesChecked(features_.front(), [self] { self->beginUnlessQuarantined(); });
}

void RoutedRequest::beginUnlessQuarantined()
{
    if (phase_ == Phase::Done || failIfQuarantined()) {
        return;
    }
    deadline_ = startedAt_ + intake_.route()->timeout;
    if (intake_.caller().timeout) {
        deadline_ = std::min(deadline_, startedAt_ + *intake_.caller().timeout);
    }
    if (intake_.isResumption()) {
        findStreamVersion();
    } else {
        charge();
    }
}

void RoutedRequest::findStreamVersion()
{
    binding_.find([self = shared_from_this()](const std::optional<StreamBinding::Refusal> &refusal) {
        if (self->phase_ == Phase::Done) {
            return; // The caller disconnected meanwhile.
        }
        if (refusal) {
            self->fail(refusal->reason, refusal->retryAfter);
        } else {
            self->charge();
        }
    });
}

void RoutedRequest::charge()
{
    if (intake_.teamName().empty()) {
        admit();
        return;
    }
    const double tokens = intake_.chargedTokens();
    // The other half of the remaining time is for the request's service.
    const Duration maxWait = std::min(timeLeft(BootClock::now()) / 2, longestReservationWait);
    const auto self = shared_from_this();
    tokenRequestId_ = gateway_.fleet().acquireTokens(
        intake_.teamName(), tokens, maxWait, [self, tokens](const TokenDecision &decision) { self->onCharged(tokens, decision); });
}

void RoutedRequest::onCharged(double tokens, const TokenDecision &decision)
{
    if (!decision.isGranted) {
        log_.tokensDenied(tokens, decision);
        fail({ResultCode::OverRate, "team is over its rate"}, decision.retryAfter);
        return;
    }
    chargedTokens_ = tokens;
    chargedBy_ = decision.home;
    if (phase_ == Phase::Done) {
        gateway_.fleet().refundTokens(intake_.teamName(), tokens, chargedBy_);
        return;
    }
    admit();
}

void RoutedRequest::admit()
{
    // Passed on with less time than it may take, a request would be cut when the process ends, perhaps after it has run.
    if (!gateway_.mayServeUntil(deadline_, BootClock::now())) {
        fail({ResultCode::Draining, "this host ends before the request must"}, drainRetryAfter);
        return;
    }
    deadline_ = std::min(deadline_, gateway_.drainDeadline().value_or(deadline_));
    exposure_.begin();
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
    request.bytes = headBytes + bodyBytes_ + request.outputTokens * bytesPerToken;
    request.deadline = deadline_ - minTimeForAttempt;
    request.failedEngines = failedTargets_;
    request.isResume = isAnswerStarted_;
    request.reachedTarget = sends_ > 0;
    request.pool = exposure_.pool();
    request.softwareVersion = binding_.version();
    return request;
}

void RoutedRequest::onAssigned(const SchedulerAssignment &assignment)
{
    const auto self = shared_from_this();
    targetId_ = assignment.engine;
    assignment_ = assignment;
    isExpectedLate_ = BootClock::now() + fromSeconds(assignment.expectedFirstTokenSeconds) > startedAt_ + intake_.route()->latencyTarget;
    Reason reason;
    if (!intake_.recheck(reason)) {
        endDispatch(DispatchResult::Cancelled);
        fail(reason);
        return;
    }
    if (isQuarantined()) {
        endDispatch(DispatchResult::Cancelled);
        failIfQuarantined();
        return;
    }
    if (exposure_.hasLapsed(BootClock::now())) {
        endDispatch(DispatchResult::Cancelled);
        exposure_.withdraw();
        enqueue();
        return;
    }
    const Target *target = gateway_.targets().find(assignment.engine);
    if (target == nullptr) {
        endDispatch(DispatchResult::Cancelled);
        retryElsewhere();
        return;
    }
    // send() comes first: once announced, this request's own parts count as saved.
    gateway_.fleet().announceDispatch(assignment, send(*target));
}

void RoutedRequest::onRefused(const SchedulerRefusal &refusal)
{
    if (exposure_.isPending()) {
        exposure_.withdraw();
        enqueue();
        return;
    }
    fail(refusal.reason, refusal.retryAfter);
}

/// Returns whether the target saves the prompt to its cache store.
bool RoutedRequest::send(const Target &target)
{
    const TimePoint now = BootClock::now();
    phase_ = Phase::Sent;
    sentAt_ = now;
    sentTo_ = target.id;
    sentIncarnation_ = target.incarnation;
    binding_.onSent(target);
    linkCheckAt_ = now + linkCheckInterval;
    stallCheckAt_ = now + intake_.route()->stallTimeout();
    queueTime_ = queueTime_.value_or(now - startedAt_);
    ++sends_;
    ++attempts_;
    isAnswerRelayed_ = false;
    isSoundNoted_ = false;
    targetIncarnationDigest_ = XXH3_64bits_withSeed(target.id.data(), target.id.size(), static_cast<std::uint64_t>(target.incarnation));
    std::string salt;
    CachePlan plan;
    const std::string_view lastEventId = events_.lastId().empty() ? std::string_view(intake_.caller().lastEventId) : std::string_view(events_.lastId());
    const TargetRequest request = makeTargetRequest(gateway_, intake_, {target, timeLeft(now), lastEventId, assignment_, isExpectedLate_}, salt, plan);
    std::string bytes = gateway_.targetProtocol().writeHead(head_, request, body_->size());
    const bool isShort = body_->size() <= maxCopiedBody;
    if (isShort) {
        bytes.append(*body_);
    }
    connection_ = gateway_.pool().acquire(target, intake_.route()->isIdempotent(), now);
    log_.sent({target,
               sends_,
               now - startedAt_,
               exposure_.isPending(),
               request.weightsVersion,
               assignment_,
               request.fetchFrom,
               connection_->hasSentRequest(),
               lastEventId,
               binding_.version().value_or("")});
    exposure_.onSent(target, assignment_, now);
    connection_->sendRequest(std::move(bytes), isShort ? nullptr : body_, intake_.caller().id, head_.method != "HEAD", *this);
    armTimer();
    return !plan.saveTo.empty();
}

void RoutedRequest::onRequestSent()
{
    gateway_.dispatch().onSent(schedulerId_);
}

void RoutedRequest::onAnswerHead(HttpHead &&head, const AnswerFacts &facts)
{
    gateway_.statements().onAnswer(sentTo_, sentIncarnation_, sentAt_, facts);
    if (facts.retryAfter && !facts.isTargetMismatch) {
        gateway_.onRestAsked(sentTo_, sentIncarnation_, *facts.retryAfter);
    }
    gateway_.onTargetLoad(targetId_, facts);
    answerHead_ = std::move(head);
    relay_ = connection_->relay();
    isNotExecuted_ = facts.isNotExecuted || facts.isTargetMismatch;
    if (!facts.isNotExecuted || facts.isTargetMismatch) {
        gateway_.dispatch().onAccepted(schedulerId_);
    }
    if (isNotExecuted_) {
        notExecutedFacts_ = facts;
        return;
    }
    mayHaveRun_ = true;
    phase_ = Phase::Answering;
    if (isOnlyAwaited_) {
        endUnread();
        return;
    }
    takeBuffered();
    isAnswerRelayed_ = !isAnswerStarted_ || answerHead_.status == successStatus;
}

void RoutedRequest::onAnswerBody(std::string_view bytes)
{
    if (!isAnswerRelayed_) {
        return;
    }
    if (intake_.isStream() && answerHead_.status == successStatus) {
        if (!binding_.onBytes()) {
            leaveTarget("target started again");
            return;
        }
        onEvents(events_.push(bytes));
        if (events_.isOverlong()) {
            closeConnection();
            onTargetLost(TargetLoss::MayHaveRun, "event without end");
        }
        return;
    }
    if (isAnswerStarted_) {
        relay(bytes);
        return;
    }
    bufferedBody_.append(bytes);
    if (session_ != nullptr) {
        session_->setIncompleteBytes(bufferedBody_.size());
    }
    if (bufferedBody_.size() > gateway_.callerBuffers().connectionBound()) {
        startAnswer(std::nullopt);
        relay(takeBuffered());
    }
}

void RoutedRequest::onEvents(std::string_view events)
{
    if (events.empty()) {
        return;
    }
    if (!timeToFirstByte_) {
        timeToFirstByte_ = BootClock::now() - startedAt_;
    }
    binding_.onEvents();
    reportFirstToken();
    if (BootClock::now() - firstTokenAt_ >= soundWritingTime) {
        noteSound();
    }
    if (!isAnswerStarted_) {
        startAnswer(std::nullopt);
    }
    relay(events);
}

void RoutedRequest::reportFirstToken()
{
    if (!std::exchange(isFirstTokenReported_, true)) {
        firstTokenAt_ = BootClock::now();
        exposure_.onFirstByte(firstTokenAt_);
        gateway_.fleet().crashes().noteBegun(fingerprint(), firstTokenAt_);
        gateway_.dispatch().onFirstToken(schedulerId_);
    }
}

void RoutedRequest::noteSound()
{
    if (!std::exchange(isSoundNoted_, true)) {
        gateway_.fleet().crashes().noteSound(features_, BootClock::now());
    }
}

/// The part of the body that is not relayed yet, which is no longer counted for the caller.
std::string RoutedRequest::takeBuffered()
{
    if (session_ != nullptr) {
        session_->setIncompleteBytes(0);
    }
    return std::exchange(bufferedBody_, {});
}

void RoutedRequest::relay(std::string_view bytes)
{
    if (session_ == nullptr) {
        return;
    }
    relayedBytes_ += bytes.size();
    session_->sendBody(bytes);
    if (session_->isAtBufferBound() && connection_ != nullptr) {
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
    reportFirstToken();
    noteSound();
    const bool isFailure = answerHead_.status >= firstErrorStatus || !isAnswerRelayed_;
    endDispatch(isFailure ? DispatchResult::Failed : DispatchResult::Finished);
    if (!isAnswerRelayed_) {
        abortRelay("resumed stream was refused");
        return;
    }
    const bool isRetriedElsewhere = isFailure && !isAnswerStarted_ && isRetryable();
    if (isFailure) {
        log_.failed(targetId_, answerHead_.status, isRetriedElsewhere);
    }
    if (isRetriedElsewhere) {
        fallback_ = BufferedAnswer{std::move(answerHead_), takeBuffered()};
        retryElsewhere();
        return;
    }
    if (intake_.isStream() && answerHead_.status == successStatus && events_.hasPartial()) {
        abortRelay("stream ended within an event");
        return;
    }
    relayBuffered();
}

void RoutedRequest::onNotExecuted()
{
    --attempts_;
    const auto rateLimit = gateway_.statements().permits().rateLimit(sentTo_, BootClock::now());
    gateway_.targets().onNotExecuted(targetId_, notExecutedFacts_, intake_.caller().model, BootClock::now());
    gateway_.dispatch().invalidateEngines();
    endDispatch(notExecutedFacts_.isTargetMismatch ? DispatchResult::Cancelled : DispatchResult::Declined);
    log_.declined({targetId_, answerHead_.status, notExecutedFacts_.isTargetMismatch, rateLimit, notExecutedFacts_.retryAfter, BootClock::now() - sentAt_});
    isNotExecuted_ = false;
    retryElsewhere();
}

void RoutedRequest::onTargetLost(TargetLoss loss, std::string_view why)
{
    const auto self = shared_from_this();
    connection_.reset();
    if (isNotExecuted_) {
        onNotExecuted();
        return;
    }
    log_.lost({targetId_, fingerprint(), why, loss == TargetLoss::NotSent, isFirstTokenReported_, isAnswerStarted_});
    if (loss == TargetLoss::MayHaveRun && !isSoundNoted_) {
        gateway_.fleet().reportTargetLoss(sentTo_, targetIncarnationDigest_, features_);
    }
    const bool isLinkLost = loss == TargetLoss::NotSent && gateway_.paths().isLost(sentTo_, BootClock::now());
    endDispatch(isLinkLost ? DispatchResult::Cancelled : DispatchResult::Failed);
    events_.dropPartial();
    takeBuffered();
    if (loss == TargetLoss::NotSent) {
        --attempts_;
        --sends_;
        ++unreachableTargets_;
        retryElsewhere();
        return;
    }
    mayHaveRun_ = true;
    if (isRetryable() && !isQuarantined()) {
        retryElsewhere();
    } else if (isAnswerStarted_) {
        abortRelay(why);
    } else {
        fail({ResultCode::TargetTruncated, "the target broke off"});
    }
}

void RoutedRequest::retryIfLinkIsLost()
{
    const bool mayMove = isRunning() && isOnDirectConnection() && isRetryable() && !isQuarantined();
    if (!mayMove || gateway_.paths().mayUseEstablished(sentTo_, BootClock::now())) {
        return;
    }
    leaveTarget("link lost");
}

/// Takes the request away from the target that has it, and tries it elsewhere.
void RoutedRequest::leaveTarget(std::string_view why)
{
    const auto self = shared_from_this();
    closeConnection();
    mayHaveRun_ = true;
    log_.lost({targetId_, fingerprint(), why, false, isFirstTokenReported_, isAnswerStarted_});
    endDispatch(DispatchResult::Cancelled);
    events_.dropPartial();
    takeBuffered();
    if (isRetryable()) {
        retryElsewhere();
    } else {
        fail({ResultCode::TargetTruncated, "the target broke off"});
    }
}

void RoutedRequest::endDispatch(DispatchResult result)
{
    if (phase_ == Phase::Sent && !isNotExecuted_ && assignment_.usesPermit) {
        log_.undecided(targetId_, BootClock::now() - sentAt_);
    }
    isFirstTokenReported_ = false;
    phase_ = Phase::Queued; // The target no longer runs it; mayHaveRun_ says whether it may have.
    exposure_.onEnded(result, BootClock::now());
    gateway_.dispatch().onEnded(schedulerId_, result);
}

bool RoutedRequest::isRetryable() const
{
    // The caller has part of the body already; only a stream whose version is known can go on where it ended.
    const bool isBodyStarted = isAnswerStarted_ && !(intake_.isStream() && binding_.version());
    return !isBodyStarted && intake_.route()->isIdempotent() && attempts_ < intake_.route()->maxAttempts && timeLeft(BootClock::now()) > minTimeForAttempt
        && session_ != nullptr;
}

void RoutedRequest::retryElsewhere()
{
    if (session_ == nullptr) {
        finish("caller_gone", 0);
        return;
    }
    failedTargets_.push_back(targetId_);
    if (sends_ + unreachableTargets_ >= maxSends || timeLeft(BootClock::now()) <= minTimeForAttempt) {
        fail({ResultCode::NoTarget, "no target took the request in time"});
        return;
    }
    enqueue();
}

void RoutedRequest::startAnswer(std::optional<std::size_t> bodyBytes)
{
    isAnswerStarted_ = true;
    fallback_.reset();
    if (!timeToFirstByte_) {
        timeToFirstByte_ = BootClock::now() - startedAt_;
    }
    if (session_ == nullptr) {
        return;
    }
    session_->beginAnswer(answerHead_.status, forwardedFields(answerHead_, gateway_.targetProtocol()), bodyBytes);
}

void RoutedRequest::armTimer()
{
    TimePoint next = deadline_;
    if (phase_ == Phase::Sent && isRetryable()) {
        next = std::min(next, stallCheckAt_);
    }
    if (phase_ == Phase::Sent && isOnDirectConnection()) {
        next = std::min(next, linkCheckAt_);
    }
    if (isOnlyAwaited_) {
        next = std::min(next, BootClock::now() + unreadCheckInterval);
    }
    timer_.expires_after(std::max(next - BootClock::now(), Duration::zero()));
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->onTimer();
        }
    });
}

void RoutedRequest::onTimer()
{
    const TimePoint now = BootClock::now();
    if (phase_ == Phase::Done) {
        return;
    }
    if (isOnlyAwaited_ && (now >= deadline_ || !gateway_.dispatch().isUndecided(schedulerId_))) {
        endUnread();
        return;
    }
    if (phase_ == Phase::Sent && isOnDirectConnection() && now >= linkCheckAt_) {
        const TimePoint overdueAt = sentAt_ + intake_.route()->stallTimeout();
        const bool becomesOverdue = linkCheckAt_ - linkCheckInterval < overdueAt && overdueAt <= now;
        linkCheckAt_ = now + linkCheckInterval;
        gateway_.paths().onWaiting(connection_->targetId(), sentAt_, becomesOverdue, now);
        retryIfLinkIsLost();
        if (phase_ != Phase::Sent) {
            return;
        }
    }
    bool isStalled = phase_ == Phase::Sent && isRetryable() && now >= stallCheckAt_;
    if (isStalled && now < deadline_ && !gateway_.dispatch().canRetryElsewhere(schedulerId_)) {
        // No other target can take the request now. Aborting it here would lose the work done and a response that may still come, though late.
        isStalled = false;
        gateway_.dispatch().onEngineSilent(schedulerId_);
        stallCheckAt_ = now + stallCheckInterval;
    }
    if (now < deadline_ && !isStalled) {
        armTimer();
        return;
    }
    const bool wasRunning = isRunning();
    if (connection_ != nullptr && (wasRunning && intake_.route()->kind == RouteKind::NonIdempotent && !isStalled)) {
        // A non-idempotent call is left to complete; the caller gets its error response now.
        if (session_ == nullptr) {
            closeConnection();
            endDispatch(DispatchResult::Failed);
            finish("abandoned", 0);
            return;
        }
        answerFailure({ResultCode::TargetTimeout, "the target has not answered in time"}, {});
        body_.reset();
        deadline_ = now + orphanTimeout;
        armTimer();
        return;
    }
    closeConnection();
    if (wasRunning) {
        mayHaveRun_ = true;
        endDispatch(DispatchResult::Failed);
    } else {
        gateway_.dispatch().cancelQueued(schedulerId_);
    }
    if (isStalled && now < deadline_) {
        log_.stalled(targetId_, now - sentAt_);
        retryElsewhere();
        return;
    }
    fail(wasRunning ? Reason{ResultCode::TargetTimeout, "the target has not answered in time"}
                    : Reason{ResultCode::DeadlineWouldPass, "no target was free in time"});
}

} // namespace Lovageloft

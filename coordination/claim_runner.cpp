#include "coordination/claim_runner.h"

#include <utility>

namespace Lovageloft
{

namespace
{

/// Limit of the store calls and holder queries of one request. Each round of a race with other hosts takes two or three; a caller
/// that keeps losing is told to retry later instead of being kept waiting.
constexpr int maxAttempts = 16;

} // namespace

ClaimRunner::ClaimRunner(ClaimTable &table, ClaimLease &lease, Store &store, std::string_view prefix, const ClaimCall &call, std::string nonce)
    : table_(table)
    , lease_(lease)
    , store_(store)
    , call_(call)
    , key_(claimKey(prefix, call))
    , nonce_(std::move(nonce))
{
    isAdded_ = table_.add(nonce_, key_, call_.requestDigest);
}

ClaimRunner::~ClaimRunner()
{
    // Nothing can send the call any more. A claim that was never sent must be cancelled, otherwise retries would be told to wait for it.
    table_.cancel(nonce_, TimePoint{});
    table_.onLost(nonce_);
}

ClaimStep ClaimRunner::step(TimePoint now)
{
    if (!isAdded_) {
        return refuse(ResultCode::Overloaded, "too many calls that may not be repeated are open", RunState::MayHaveRun, now, table_.options().retryAfter);
    }
    if (++attempts_ > maxAttempts) {
        return refuse(
            ResultCode::StoreConflict, "other requests for the same call kept winning the claim", RunState::MayHaveRun, now, table_.options().retryAfter);
    }
    return (this->*next_)(now);
}

const ClaimQuery &ClaimRunner::query() const
{
    return query_;
}

ClaimStep ClaimRunner::onHolderReply(const ClaimQueryReply &reply, TimePoint now)
{
    if (reply.nonce != query_.nonce || result_ != ClaimStep::AskHolder) {
        return result_;
    }
    switch (reply.fate) {
    case ClaimFate::Running:
        return refuse(ResultCode::ClaimHeld, "the same call is being carried out now", RunState::MayHaveRun, now, table_.options().retryAfter);
    case ClaimFate::Answered:
        return returnKeptAnswer(reply.answer, now);
    case ClaimFate::NeverSent:
        continueWith(&ClaimRunner::writeClaim);
        return result_;
    case ClaimFate::OtherProcess:
        continueWith(&ClaimRunner::markUnknown);
        return result_;
    case ClaimFate::Forgotten:
        return onForgotten(now);
    case ClaimFate::Lost:
        break;
    }
    return refuseMayHaveRun("the call was sent and its answer was lost", now);
}

ClaimStep ClaimRunner::onHolderTimeout(TimePoint now)
{
    return result_ == ClaimStep::AskHolder ? refuseMayHaveRun("the host that carries out the call does not answer", now) : result_;
}

bool ClaimRunner::beginSend(TimePoint now)
{
    if (result_ != ClaimStep::Send) {
        return false;
    }
    if (!table_.beginSend(nonce_, now)) {
        refuseUnsent({ResultCode::LeaseLapsed, "the claim was too old to be acted on"}, now);
        return false;
    }
    result_ = ClaimStep::Wait;
    return true;
}

ClaimStep ClaimRunner::cancel(Reason reason, TimePoint now)
{
    if (result_ != ClaimStep::Send && result_ != ClaimStep::Continue && result_ != ClaimStep::AskHolder) {
        return result_;
    }
    return refuseUnsent(std::move(reason), now);
}

ClaimStep ClaimRunner::onAnswer(ClaimAnswer answer)
{
    if (result_ != ClaimStep::Wait) {
        return result_;
    }
    answer_ = answer;
    table_.onAnswer(nonce_, std::move(answer));
    result_ = ClaimStep::Answer;
    return result_;
}

ClaimStep ClaimRunner::onLost(Reason reason)
{
    if (result_ != ClaimStep::Wait) {
        return result_;
    }
    table_.onLost(nonce_);
    reason_ = std::move(reason);
    runState_ = RunState::MayHaveRun;
    result_ = ClaimStep::Refuse;
    return result_;
}

const ClaimAnswer &ClaimRunner::answer() const
{
    return answer_;
}

const Reason &ClaimRunner::reason() const
{
    return reason_;
}

RunState ClaimRunner::runState() const
{
    return runState_;
}

Duration ClaimRunner::retryAfter() const
{
    return retryAfter_;
}

ClaimStep ClaimRunner::acquireLease(TimePoint now)
{
    if (!lease_.acquire(store_, now)) {
        return refuseStoreFailure(StoreStatus::Unavailable, now);
    }
    continueWith(&ClaimRunner::writeClaim);
    return result_;
}

ClaimStep ClaimRunner::writeClaim(TimePoint now)
{
    const auto lease = lease_.current(now);
    if (!lease) {
        return acquireLease(now);
    }
    table_.onWriting(nonce_, *lease, now);
    const ClaimRecord record{ClaimState::Claimed, table_.host(), table_.incarnation(), nonce_, call_.requestDigest, *lease, {}};
    const StoreReply reply = store_.compareAndSwap(key_, revision_, formatClaimRecord(record), *lease);
    switch (reply.status) {
    case StoreStatus::Ok:
        return onClaimWritten(reply.entry.revision);
    case StoreStatus::NotFound:
        lease_.invalidate(*lease);
        return result_;
    case StoreStatus::Unavailable:
        return refuseStoreFailure(reply.status, now);
    case StoreStatus::Conflict:
    case StoreStatus::AnswerLost:
        break;
    }
    // The write may have taken effect although the store's answer was lost. Writing again could then conflict with this request's own
    // claim and mistake it for another one; sending without reading the record could send the call twice.
    continueWith(&ClaimRunner::readClaim);
    return result_;
}

ClaimStep ClaimRunner::readClaim(TimePoint now)
{
    const StoreReply reply = store_.get(key_);
    if (reply.status == StoreStatus::Ok) {
        return inspectRecord(reply.entry, now);
    }
    if (reply.status != StoreStatus::NotFound) {
        return refuseStoreFailure(StoreStatus::AnswerLost, now);
    }
    revision_ = 0;
    continueWith(&ClaimRunner::writeClaim);
    return result_;
}

ClaimStep ClaimRunner::markUnknown(TimePoint now)
{
    // Saves later retries the query to the holder. If this write fails, the result is the same.
    ClaimRecord record = existing_;
    record.state = ClaimState::Unknown;
    store_.compareAndSwap(key_, revision_, formatClaimRecord(record), record.leaseId);
    return refuseMayHaveRun("the host that carried out the call was restarted meanwhile", now);
}

ClaimStep ClaimRunner::finished(TimePoint /*now*/)
{
    return result_;
}

ClaimStep ClaimRunner::inspectRecord(const StoreEntry &entry, TimePoint now)
{
    Reason reason;
    const auto record = parseClaimRecord(entry.value, reason);
    if (!record) {
        return refuseMayHaveRun(reason.text, now);
    }
    if (record->nonce == nonce_) {
        return onClaimWritten(entry.revision);
    }
    if (record->requestDigest != call_.requestDigest) {
        return refuse(ResultCode::IdempotencyKeyReused, "the Idempotency-Key was used before with another request", RunState::NotRun, now);
    }
    if (record->state == ClaimState::Answered) {
        return returnKeptAnswer(record->answer, now);
    }
    if (record->state == ClaimState::Unknown) {
        return refuseMayHaveRun("the call may have run; it will not be sent again", now);
    }
    return askHolder(entry, *record, now);
}

ClaimStep ClaimRunner::askHolder(const StoreEntry &entry, const ClaimRecord &record, TimePoint now)
{
    existing_ = record;
    revision_ = entry.revision;
    query_ = {record.host, record.incarnation, record.nonce};
    result_ = ClaimStep::AskHolder;
    if (record.host != table_.host()) {
        return result_;
    }
    return onHolderReply(table_.onQuery(query_, now), now);
}

ClaimStep ClaimRunner::onClaimWritten(std::int64_t revision)
{
    isClaimed_ = true;
    table_.onClaimed(nonce_, revision);
    next_ = &ClaimRunner::finished;
    result_ = ClaimStep::Send;
    return result_;
}

ClaimStep ClaimRunner::onForgotten(TimePoint now)
{
    // The holder drops a claim once its end is in the store, possibly after this host read the record.
    if (std::exchange(hasReread_, true)) {
        return refuseMayHaveRun("the host that carried out the call kept no record of it", now);
    }
    continueWith(&ClaimRunner::readClaim);
    return result_;
}

ClaimStep ClaimRunner::refuseStoreFailure(StoreStatus status, TimePoint now)
{
    const ResultCode code = status == StoreStatus::Unavailable ? ResultCode::StoreUnavailable : ResultCode::StoreAnswerLost;
    return refuse(code, "the store that keeps the claims does not answer", RunState::MayHaveRun, now, table_.options().retryAfter);
}

ClaimStep ClaimRunner::refuse(ResultCode code, std::string text, RunState runState, TimePoint now, Duration retryAfter)
{
    table_.cancel(nonce_, now);
    reason_ = {code, std::move(text)};
    runState_ = runState;
    retryAfter_ = retryAfter;
    next_ = &ClaimRunner::finished;
    result_ = ClaimStep::Refuse;
    return result_;
}

ClaimStep ClaimRunner::refuseUnsent(Reason reason, TimePoint now)
{
    // If a peer's query has cancelled the claim before, the peer may have claimed the key and run the call since.
    const bool wasUnsent = table_.cancel(nonce_, now) && isClaimed_;
    return refuse(reason.code, std::move(reason.text), wasUnsent ? RunState::NotRun : RunState::MayHaveRun, now, table_.options().retryAfter);
}

ClaimStep ClaimRunner::refuseMayHaveRun(std::string text, TimePoint now)
{
    return refuse(ResultCode::MayHaveRun, std::move(text), RunState::MayHaveRun, now);
}

ClaimStep ClaimRunner::returnKeptAnswer(const ClaimAnswer &answer, TimePoint now)
{
    if (!answer.isWhole) {
        return refuseMayHaveRun("the call ran; its answer was too long to be kept", now);
    }
    table_.cancel(nonce_, now);
    answer_ = answer;
    next_ = &ClaimRunner::finished;
    result_ = ClaimStep::Answer;
    return result_;
}

void ClaimRunner::continueWith(Step step)
{
    next_ = step;
    result_ = ClaimStep::Continue;
}

} // namespace Lovageloft

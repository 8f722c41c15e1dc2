#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/claim_lease.h"
#include "coordination/claim_messages.h"
#include "coordination/claim_table.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// What the caller of a ClaimRunner has to do next.
enum class ClaimStep : std::uint8_t
{
    Continue, ///< Call step().
    AskHolder, ///< Send query() to the host of the holder, then call onHolderReply() or onHolderTimeout().
    Send, ///< Open a connection, then call beginSend() right before the first byte; or call cancel().
    Wait, ///< Sent: call onAnswer() or onLost() when the outcome is known.
    Answer, ///< Return answer() to the caller.
    Refuse, ///< Return reason(), runState() and retryAfter() to the caller.
};

/// Handles one non-idempotent request: claims its key in the store and lets it be sent at most once, or finds the answer of an
/// earlier attempt. Each step makes at most one call to the store, so that a test can interrupt it between any two calls. Not
/// thread-safe.
///
/// Without conflicts a call needs two writes to the store and no read: this class writes the claim, and ClaimRecorder its answer.
/// ClaimLease needs one more store call per hour for the lease that all claims share.
class ClaimRunner
{
public:
    /// `prefix` is the prefix of all keys in the store; see claimKey(). `nonce` must be unique over all processes: 16 random bytes.
    ClaimRunner(ClaimTable &table, ClaimLease &lease, Store &store, std::string_view prefix, const ClaimCall &call, std::string nonce);
    ClaimRunner(const ClaimRunner &) = delete;
    ClaimRunner &operator=(const ClaimRunner &) = delete;

    /// Cancels the claim of an unsent call; records a sent call without an answer as lost.
    ~ClaimRunner();

    /// After Continue: carries out the next step, with at most one call to the store.
    ClaimStep step(TimePoint now);

    const ClaimQuery &query() const;
    ClaimStep onHolderReply(const ClaimQueryReply &reply, TimePoint now);

    /// The host of the holder did not reply in time.
    ClaimStep onHolderTimeout(TimePoint now);

    /// After Send: returns whether the call may be sent now. If not, it must never be sent, and the runner refuses.
    bool beginSend(TimePoint now);

    /// Before beginSend(): the call will not be sent, for this reason. Changes nothing if the call was sent or the request is decided.
    ClaimStep cancel(Reason reason, TimePoint now);

    /// After beginSend(): the complete answer arrived on the connection on which the call was sent.
    ClaimStep onAnswer(ClaimAnswer answer);

    /// After beginSend(): no complete answer will arrive. The call is not sent again, whether it ran or not.
    ClaimStep onLost(Reason reason);

    const ClaimAnswer &answer() const;
    const Reason &reason() const;

    /// With Refuse: NotRun only if the store has shown that this call did not run. Either its claim was written to the store and
    /// cancelled before the call was sent, or the key belongs to another request. A host that cannot reach the store knows that it
    /// sent nothing itself, but not whether an earlier attempt of the same call ran through another host.
    RunState runState() const;

    /// With Refuse: time after which a retry makes sense; zero if none does.
    Duration retryAfter() const;

private:
    using Step = ClaimStep (ClaimRunner::*)(TimePoint);

    ClaimStep acquireLease(TimePoint now);
    ClaimStep writeClaim(TimePoint now);
    ClaimStep readClaim(TimePoint now);
    ClaimStep markUnknown(TimePoint now);
    ClaimStep finished(TimePoint now);
    ClaimStep inspectRecord(const StoreEntry &entry, TimePoint now);
    ClaimStep askHolder(const StoreEntry &entry, const ClaimRecord &record, TimePoint now);
    ClaimStep onClaimWritten(std::int64_t revision);
    ClaimStep onForgotten(TimePoint now);
    ClaimStep refuseStoreFailure(StoreStatus status, TimePoint now);
    ClaimStep refuse(ResultCode code, std::string text, RunState runState, TimePoint now, Duration retryAfter = {});
    ClaimStep refuseUnsent(Reason reason, TimePoint now);
    ClaimStep refuseMayHaveRun(std::string text, TimePoint now);
    ClaimStep returnKeptAnswer(const ClaimAnswer &answer, TimePoint now);
    void continueWith(Step step);

    ClaimTable &table_;
    ClaimLease &lease_;
    Store &store_;
    ClaimCall call_;
    std::string key_;
    std::string nonce_;
    Step next_ = &ClaimRunner::writeClaim;
    ClaimStep result_ = ClaimStep::Continue;
    std::int64_t revision_ = 0; ///< Of the record to be replaced; 0 to create it.
    ClaimRecord existing_;
    ClaimQuery query_;
    bool isAdded_ = false;
    bool isClaimed_ = false;
    bool hasReread_ = false;
    int attempts_ = 0;
    ClaimAnswer answer_;
    Reason reason_;
    RunState runState_ = RunState::MayHaveRun;
    Duration retryAfter_{};
};

} // namespace Lovageloft

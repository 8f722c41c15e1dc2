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

/// What a runner needs next.
enum class ClaimStep : std::uint8_t
{
    Continue, ///< Call step().
    AskHolder, ///< Send query() to its host; then onHolderReply() or onHolderTimeout().
    Send, ///< Open a connection, then call beginSend() right before the first byte; or cancel().
    Wait, ///< Sent: call onAnswer() or onLost() when it is known which.
    Answer, ///< answer() goes to the caller.
    Refuse, ///< reason() and runState() go to the caller.
};

/// Carries one request that may not be repeated from its arrival to its one sending, or to the answer of an earlier one.
/// Each step makes at most one call to the store, so that a test can stop it between any two. One thread runs it.
///
/// The happy path costs the store two writes, the claim and its answer, and no read.
class ClaimRunner
{
public:
    /// `nonce` must be unlike any other, also from other processes: 16 random bytes.
    ClaimRunner(ClaimTable &table, ClaimLease &lease, Store &store, std::string_view prefix, const ClaimCall &call, std::string nonce);
    ClaimRunner(const ClaimRunner &) = delete;
    ClaimRunner &operator=(const ClaimRunner &) = delete;

    /// A claim that was not sent is barred from it.
    ~ClaimRunner();

    ClaimStep step(TimePoint now);

    const ClaimQuery &query() const;
    ClaimStep onHolderReply(const ClaimQueryReply &reply, TimePoint now);

    /// The holder's host gave no answer in time.
    ClaimStep onHolderTimeout(TimePoint now);

    /// After Send: whether the call may leave now. If not it never will, and the runner refuses.
    bool beginSend(TimePoint now);

    /// After Send and before beginSend(): it will not be sent, for this reason.
    ClaimStep cancel(Reason reason, TimePoint now);

    /// After beginSend(): the whole answer came on the connection that the call left by.
    ClaimStep onAnswer(ClaimAnswer answer);

    /// After beginSend(): no whole answer will come. The call is not sent again, whatever became of it.
    ClaimStep onLost(Reason reason);

    const ClaimAnswer &answer() const;
    const Reason &reason() const;

    /// NotRun only where the store has shown that no request with this key ran. A host that can't reach the store
    /// knows that it sent nothing itself, but not whether an earlier try of the same call ran at another host.
    RunState runState() const;
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
    std::int64_t revision_ = 0; ///< Of the record to be replaced.
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

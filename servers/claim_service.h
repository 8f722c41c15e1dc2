#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "coordination/claim_lease.h"
#include "coordination/claim_recorder.h"
#include "coordination/claim_runner.h"
#include "coordination/claim_table.h"
#include "coordination/store.h"

namespace Lovageloft
{

/// What may be done with a call that may not be repeated, as the service handler provides it.
struct ClaimActions
{
    /// Opens a connection to a target; TargetUnreachable where none can be had. Nothing may leave yet.
    std::function<bool(Reason &)> connect;

    /// Whether the call may still run: key, freshness.
    std::function<bool(Reason &)> mayRun;

    /// Sends on that connection and returns the whole answer. Called once at most.
    std::function<std::optional<ClaimAnswer>(Reason &)> send;
};

/// How such a call ended for its caller.
struct ClaimOutcome
{
    std::optional<ClaimAnswer> answer;
    Reason reason; ///< Without an answer.
    RunState run = RunState::NotRun;
    Duration retryAfter{};
};

/// Runs calls that may not be repeated against the claims in the store, and records their ends on a thread of its own.
class ClaimService
{
public:
    /// Asks the holder of a claim; nothing if it gave no answer.
    using AskHolder = std::function<std::optional<ClaimQueryReply>(const ClaimQuery &)>;

    ClaimService(Store &store, std::string prefix, ClaimTable &table, AskHolder askHolder);
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /// Blocks until the call's final outcome.
    ClaimOutcome run(const ClaimCall &call, const ClaimActions &actions);

private:
    ClaimStep send(ClaimRunner &runner, const ClaimActions &actions);
    void record();

    Store &store_;
    std::string prefix_;
    ClaimTable &table_;
    ClaimLease lease_;
    ClaimRecorder recorder_;
    AskHolder askHolder_;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace Lovageloft

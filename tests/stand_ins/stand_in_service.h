#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/clock.h"
#include "tests/stand_ins/fault_plan.h"
#include "tests/stand_ins/stand_in_server.h"

namespace Lovageloft::StandIns
{

/// A fault that a request to a stand-in service is to show.
struct StandInServiceFault
{
    bool isRefused = false; ///< Answers 503 before executing.
    Duration delay{}; ///< Waits before executing.
    bool losesAnswer = false; ///< Executes, then closes the connection without an answer.
    bool isFrozen = false; ///< Executes, then goes silent with the connection open.
};

/// A plain service beside the engines. Each GET or POST on any path counts as one execution, in all and for its
/// `Idempotency-Key`, so that a test sees whether a call that may not be repeated ran more than once.
class StandInService
{
public:
    /// Serves on `port`, or on a free one for 0.
    explicit StandInService(std::uint16_t port = 0);

    const StandInServer &server() const;

private:
    void handle(Exchange &exchange);
    void serve(Exchange &exchange);
    std::string execute(const Exchange &exchange);
    void planFault(Exchange &exchange);
    void reportRecord(Exchange &exchange);

    FaultPlan<StandInServiceFault> faults_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> executionsByKey_;
    std::int64_t executions_ = 0;
    std::int64_t received_ = 0;
    bool sawAuthorization_ = false;
    StandInServer server_; // Last, so that it stops before the rest goes.
};

} // namespace Lovageloft::StandIns

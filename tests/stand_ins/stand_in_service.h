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

/// A fault of the response to a request to a stand-in service.
struct StandInServiceFault
{
    bool isRefused = false; ///< Responds with 503 without executing.
    Duration delay{}; ///< Time before the execution.
    bool losesAnswer = false; ///< Executes, then closes the connection without a response.
    bool isFrozen = false; ///< Executes, then sends nothing and keeps the connection open.
};

/// A service that runs no models. Each GET or POST on any path counts as one execution, in total and for its
/// `Idempotency-Key`, so that a test can check whether a non-idempotent call was executed more than once.
class StandInService
{
public:
    /// Listens on `port`; 0 for any free one.
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
    StandInServer server_; ///< Last member, so that it stops before the others are destroyed.
};

} // namespace Lovageloft::StandIns

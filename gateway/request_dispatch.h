#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/random.h"
#include "decision/request_scheduler.h"
#include "gateway/protocol.h"
#include "gateway/target.h"

namespace Lovageloft
{

class RoutedRequest;
struct DispatchNotice;

/// What a call to a plain service counts as in the scheduler's units.
inline constexpr std::uint32_t serviceCallWorkTokens = 100;

/// Joins the scheduler, which knows ids only, to the requests that it decides about: those that wait for a target and those at one.
/// For the event loop only.
class RequestDispatch
{
public:
    /// `refreshEngines` is called when the targets given last don't hold any more, and is to set new ones.
    RequestDispatch(boost::asio::io_context &loop, std::function<void()> refreshEngines);

    /// The targets in service, whenever the directory has changed; they hold until `endsAt` at most.
    void setEngines(std::vector<SchedulerEngine> &&engines, std::optional<TimePoint> endsAt);

    /// The directory has changed: the targets are renewed before the next decision, at once if a request waits for one. Each change of a
    /// hundred engines that load new weights at the same time would else make the whole list anew.
    void invalidateEngines();

    /// Renews the targets if they don't hold any more.
    void refreshEngines(TimePoint now);

    /// For how long they have not held.
    Duration engineListOverdue(TimePoint now) const;

    void setHostCount(std::size_t count);
    void setRetryLimits(const RetryBudget::Limits &limits);

    /// Queues a request, which hears of the decision by `onAssigned` or `onRefused`, never during this call.
    RequestId submit(const std::shared_ptr<RoutedRequest> &request, SchedulerRequest &&scheduled);

    void cancelQueued(RequestId id);
    void onFirstToken(RequestId id);

    /// Whether a request that is at a target could be sent to another one now.
    bool canRetryElsewhere(RequestId id);

    /// A target has been silent for too long about a request that stays there.
    void onStalled(RequestId id);

    /// A target is done with a request, well or not.
    void onEnded(RequestId id, DispatchResult end);

    /// The request has its outcome.
    void forget(RequestId id);

    /// Another host sent a long prompt to an engine.
    void onDispatchedByPeer(const DispatchNotice &notice);

    /// What a target said of its load.
    void onTargetLoad(std::string_view engineName, const Target &target, const TargetLoad &load);

    std::size_t waitingCount() const;
    std::size_t runningCount() const;

    /// Requests that wait or run.
    std::size_t count() const;

private:
    void scheduleDecide();
    void decide();

    boost::asio::io_context &loop_;
    boost::asio::steady_timer timer_;
    RequestScheduler scheduler_;
    Random random_;
    std::unordered_map<RequestId, std::shared_ptr<RoutedRequest>> requests_;
    std::uint64_t lastRequest_ = 0;
    std::function<void()> refreshEngines_;
    std::optional<TimePoint> enginesEnd_;
    bool isDecideScheduled_ = false;
};

} // namespace Lovageloft

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
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

/// Work of one call to a service, in the scheduler's unit: prompt tokens.
inline constexpr std::uint32_t serviceCallWorkTokens = 100;

/// Connects the scheduler, which works with ids only, to the requests that are queued or in flight. Used from the event loop only.
class RequestDispatch
{
public:
    /// `refreshEngines` is called when the list of engines is out of date; it must call `setEngines` with a new one.
    RequestDispatch(boost::asio::io_context &loop, std::function<void()> refreshEngines);

    /// Sets the engines in service; `expiresAt` is when the list goes out of date by itself, nothing if it doesn't. To be called whenever
    /// the target directory has changed.
    void setEngines(std::vector<SchedulerEngine> &&engines, std::optional<TimePoint> expiresAt);

    /// Marks the list of engines as out of date after a change of the directory. The list is rebuilt before the next decision, at once if a
    /// request is queued. Rebuilding it at each change is too expensive while a hundred engines load new weights at the same time.
    void invalidateEngines();

    /// Rebuilds the list of engines if it is out of date.
    void refreshEngines(TimePoint now);

    /// For how long the list of engines has been out of date; zero if it is not.
    Duration engineListOverdue(TimePoint now) const;

    void setHostCount(std::size_t count);
    void setRetryLimits(const RetryBudget::Limits &limits);

    /// Sets the permits that requests to targets with a limit need, and the function that is called after each decision with the targets for which
    /// queued requests need one. `permits` must outlive this object.
    void setPermits(SendPermits &permits, std::function<void(std::span<const WantedPermits> wanted)> want);

    /// A permit may have become valid.
    void onPermitValid();

    /// Queues a request. The decision is reported to its `onAssigned` or `onRefused`, never during this call.
    RequestId submit(const std::shared_ptr<RoutedRequest> &request, SchedulerRequest &&scheduled);

    void cancelQueued(RequestId id);
    void onFirstToken(RequestId id);

    /// See the functions of these names of RequestScheduler. Changes of slots take effect with the next decision.
    void onSent(RequestId id);
    void onAccepted(RequestId id);
    bool isUndecided(RequestId id);

    /// Whether a request in flight could be sent to another target now.
    bool canRetryElsewhere(RequestId id);

    /// A target has not responded for too long to a request that stays in flight there.
    void onEngineSilent(RequestId id);

    /// Tries the requests elsewhere that are in flight on direct connections over lost links, as far as they may be repeated.
    void retryOverLostLinks();

    /// Ends the requests that may not be sent to targets any more, see RoutedRequest::endIfQuarantined.
    void failQuarantined();

    /// Sets an earlier deadline for all requests, as this host shuts down.
    void limitDeadlines(TimePoint deadline);

    /// A request is no longer in flight at its target, whatever the result.
    void onEnded(RequestId id, DispatchResult result);

    /// Releases a request that has its final outcome.
    void release(RequestId id);

    /// See RequestScheduler::engineGroups.
    std::vector<EngineGroupState> engineGroups() const;

    /// See RequestScheduler::takeStatistics.
    std::optional<TimeStatistics> takeStatistics(std::string_view engine);

    /// Another host sent a long prompt to an engine.
    void onDispatchedByPeer(const DispatchNotice &notice);

    /// A target reported its load. Reports of engines are ignored here; the load of other targets goes to the scheduler.
    void onTargetLoad(std::string_view targetId, const Target &target, const TargetLoad &load);

    std::size_t waitingCount() const;
    std::size_t runningCount() const;

    /// Requests that are queued or in flight.
    std::size_t count() const;

    /// Requests of a service in flight at targets for which `isCounted` is true.
    std::uint32_t countRunning(std::string_view service, const std::function<bool(std::string_view targetId)> &isCounted) const;

private:
    void logDivisions();
    void scheduleDecide();
    void decide();

    boost::asio::io_context &loop_;
    boost::asio::steady_timer timer_;
    RequestScheduler scheduler_;
    Random random_;
    std::unordered_map<RequestId, std::shared_ptr<RoutedRequest>> requests_;
    std::uint64_t lastRequestId_ = 0;
    std::function<void()> refreshEngines_;
    std::function<void(std::span<const WantedPermits> wanted)> wantPermits_ = [](std::span<const WantedPermits>) {};
    std::optional<TimePoint> enginesExpireAt_;
    std::map<std::string, double> loggedBoundaries_; ///< By model.
    bool isDecideScheduled_ = false;
};

} // namespace Lovageloft

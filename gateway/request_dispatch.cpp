#include "gateway/request_dispatch.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "gateway/fleet_link.h"
#include "gateway/routed_request.h"

namespace Lovageloft
{

namespace
{

/// The scheduler's view of caches: 18 engines of 150,000 tokens hold 10,500 blocks, 90 of 290,000 hold 100,000, of which the least
/// recently used are left out; 22 bytes each.
constexpr std::size_t cacheViewBlocks = 65'536;

/// Long enough for the work of a route's whole timeout, which bounds the wait by itself.
constexpr Duration longestQueueWait = std::chrono::seconds(60);

/// For a model of eight billion parameters: two operations a parameter and token, against four a token of context in each of 32 layers
/// of width 4,096.
constexpr double attentionParityTokens = 30'000;

/// Engines drawn at random for each request. While more than half of the engines compute long prompts, two draws find only such ones
/// for three in ten short requests; six for one in thirty.
constexpr std::size_t randomCandidates = 6;

/// Seconds of wait that 1,000 bytes to another data centre are worth. Enough to decide between engines that are both idle: short work
/// then stays in its data centre, which saves an eighth of the bytes between data centres; nobody waits longer for it.
constexpr double remoteWaitPerKilobyte = 0.002;

PlacementPolicy placementPolicy()
{
    PlacementPolicy policy;
    policy.cacheViewBlocks = cacheViewBlocks;
    policy.blockTokens = partBlockTokens;
    policy.attentionParityTokens = attentionParityTokens;
    policy.minAnnouncedTokens = minAnnouncedTokens;
    policy.remoteWaitPerKilobyte = remoteWaitPerKilobyte;
    policy.randomCandidates = randomCandidates;
    return policy;
}

QueueLimits queueLimits()
{
    constexpr std::size_t mostWaiting = 4'000; // One megabyte; a host of this size serves some hundred requests a second.
    QueueLimits limits;
    limits.maxWait = longestQueueWait;
    limits.maxRequests = mostWaiting;
    return limits;
}

} // namespace

RequestDispatch::RequestDispatch(boost::asio::io_context &loop, std::function<void()> refreshEngines)
    : loop_(loop)
    , timer_(loop)
    , scheduler_(queueLimits(), placementPolicy())
    , random_(std::random_device{}())
    , refreshEngines_(std::move(refreshEngines))
{
}

void RequestDispatch::setEngines(std::vector<SchedulerEngine> &&engines, std::optional<TimePoint> endsAt)
{
    scheduler_.setEngines(std::move(engines));
    enginesEnd_ = endsAt;
    scheduleDecide();
}

void RequestDispatch::invalidateEngines()
{
    enginesEnd_ = std::min(enginesEnd_.value_or(TimePoint::max()), BootClock::now());
    if (scheduler_.waiting() > 0) {
        scheduleDecide();
    }
}

void RequestDispatch::refreshEngines(TimePoint now)
{
    if (enginesEnd_ && now >= *enginesEnd_) {
        refreshEngines_();
    }
}

Duration RequestDispatch::engineListOverdue(TimePoint now) const
{
    return enginesEnd_ ? std::max(now - *enginesEnd_, Duration::zero()) : Duration::zero();
}

void RequestDispatch::setHostCount(std::size_t count)
{
    scheduler_.setHostCount(count);
}

void RequestDispatch::setRetryLimits(const RetryBudget::Limits &limits)
{
    scheduler_.setRetryLimits(limits);
}

RequestId RequestDispatch::submit(const std::shared_ptr<RoutedRequest> &request, SchedulerRequest &&scheduled)
{
    const RequestId id{++lastRequest_};
    scheduled.id = id;
    requests_.emplace(id, request);
    if (const auto refusal = scheduler_.submit(std::move(scheduled), BootClock::now())) {
        requests_.erase(id);
        boost::asio::post(loop_, [request, refusal] { request->onRefused(*refusal); });
    }
    scheduleDecide();
    return id;
}

void RequestDispatch::cancelQueued(RequestId id)
{
    scheduler_.cancel(id, BootClock::now());
    requests_.erase(id);
}

void RequestDispatch::onFirstToken(RequestId id)
{
    scheduler_.onFirstToken(id, std::nullopt, BootClock::now());
    scheduleDecide();
}

bool RequestDispatch::canRetryElsewhere(RequestId id)
{
    return scheduler_.canRetryElsewhere(id, BootClock::now());
}

void RequestDispatch::onStalled(RequestId id)
{
    scheduler_.onStalled(id, BootClock::now());
}

void RequestDispatch::onEnded(RequestId id, DispatchResult end)
{
    scheduler_.onEnded(id, end, BootClock::now());
    requests_.erase(id);
    scheduleDecide();
}

void RequestDispatch::forget(RequestId id)
{
    requests_.erase(id);
}

void RequestDispatch::onDispatchedByPeer(const DispatchNotice &notice)
{
    scheduler_.onDispatchedByPeer(notice.engine, notice.workTokens, notice.newTokens, notice.blocks, BootClock::now());
}

void RequestDispatch::onTargetLoad(std::string_view engineName, const Target &target, const TargetLoad &load)
{
    if (!target.models.empty()) {
        // An engine counts a prompt that it is computing as running, so its counts would hide the long ones that are known from
        // the notices.
        return;
    }
    LoadReport report;
    report.measuredAt = BootClock::now();
    report.incarnation = static_cast<std::uint64_t>(target.incarnation);
    report.runningRequests = load.running;
    report.waitingRequests = load.waiting;
    report.queuedPrefillTokens = load.waiting * serviceCallWorkTokens;
    scheduler_.onLoadReport(engineName, report, BootClock::now());
}

std::size_t RequestDispatch::waitingCount() const
{
    return scheduler_.waiting();
}

std::size_t RequestDispatch::runningCount() const
{
    return scheduler_.inFlight();
}

std::size_t RequestDispatch::count() const
{
    return requests_.size();
}

void RequestDispatch::scheduleDecide()
{
    if (!isDecideScheduled_) {
        isDecideScheduled_ = true;
        boost::asio::post(loop_, [this] { decide(); });
    }
}

void RequestDispatch::decide()
{
    // A host that has stood still decides before its timers have run. Requests would go to engines whose time ended meanwhile, such as
    // those with older weights, for which callers get answers that no longer count.
    refreshEngines(BootClock::now());
    isDecideScheduled_ = false;
    for (const SchedulerOutcome &outcome : scheduler_.decide(BootClock::now(), random_)) {
        const RequestId id = std::visit([](const auto &known) { return known.id; }, outcome);
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
            scheduler_.onEnded(id, DispatchResult::Cancelled, BootClock::now());
            continue;
        }
        const auto request = found->second;
        if (const auto *assignment = std::get_if<SchedulerAssignment>(&outcome)) {
            request->onAssigned(*assignment);
        } else {
            requests_.erase(id);
            request->onRefused(std::get<SchedulerRefusal>(outcome));
        }
    }
    if (const auto next = scheduler_.nextDeadline()) {
        constexpr Duration shortest = std::chrono::milliseconds(5);
        timer_.expires_after(std::max(*next - BootClock::now(), shortest));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                scheduleDecide();
            }
        });
    }
}

} // namespace Lovageloft

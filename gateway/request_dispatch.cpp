#include "gateway/request_dispatch.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/log.h"
#include "gateway/fleet_link.h"
#include "gateway/routed_request.h"

namespace Lovageloft
{

namespace
{

/// Capacity of the scheduler's view of the engines' caches, at 22 bytes a block. 18 engines of 150,000 tokens hold 10,500 blocks; 90 of
/// 290,000 tokens hold 100,000, of which the least recently used ones are evicted from the view.
constexpr std::size_t cacheViewBlocks = 65'536;

/// Long enough not to cut a route's timeout short, which limits the wait of its requests already.
constexpr Duration maxQueueWait = std::chrono::seconds(60);

/// Prompt length at which attention costs as much as the rest of the model, for eight billion parameters: two operations per parameter
/// and token, against four per token of context and unit of width in each of 32 layers of width 4,096.
constexpr double attentionParityTokens = 30'000;

/// Engines drawn at random as candidates for each request. While more than half of the engines compute long prompts, two draws find only
/// such engines for three in ten short requests, six draws for one in thirty.
constexpr std::size_t randomCandidates = 6;

/// Seconds of waiting time that 1,000 bytes of traffic to another data centre count as. Enough to decide between two idle engines: short
/// requests then stay in their data centre, which saves an eighth of the traffic between data centres without longer waits.
constexpr double remoteWaitPerKilobyte = 0.002;

PlacementPolicy placementPolicy()
{
    PlacementPolicy policy = PlacementPolicy::withAnnouncements();
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
    constexpr std::size_t maxQueuedRequests = 4'000; // 1 MB of memory; a host serves some hundred requests a second.
    QueueLimits limits;
    limits.maxWait = maxQueueWait;
    limits.maxRequests = maxQueuedRequests;
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

void RequestDispatch::setEngines(std::vector<SchedulerEngine> &&engines, std::optional<TimePoint> expiresAt)
{
    scheduler_.setEngines(std::move(engines));
    enginesExpireAt_ = expiresAt;
    scheduleDecide();
}

void RequestDispatch::invalidateEngines()
{
    enginesExpireAt_ = std::min(enginesExpireAt_.value_or(TimePoint::max()), BootClock::now());
    if (scheduler_.waiting() > 0) {
        scheduleDecide();
    }
}

void RequestDispatch::refreshEngines(TimePoint now)
{
    if (enginesExpireAt_ && now >= *enginesExpireAt_) {
        refreshEngines_();
    }
}

Duration RequestDispatch::engineListOverdue(TimePoint now) const
{
    return enginesExpireAt_ ? std::max(now - *enginesExpireAt_, Duration::zero()) : Duration::zero();
}

void RequestDispatch::setHostCount(std::size_t count)
{
    scheduler_.setHostCount(count);
}

void RequestDispatch::setRetryLimits(const RetryBudget::Limits &limits)
{
    scheduler_.setRetryLimits(limits);
}

void RequestDispatch::setPermits(SendPermits &permits, std::function<void(std::span<const WantedPermits> wanted)> want)
{
    scheduler_.setPermits(&permits);
    wantPermits_ = std::move(want);
}

void RequestDispatch::onPermitValid()
{
    scheduleDecide(); // Also if nothing is queued any more: slots that are not needed then go back.
}

RequestId RequestDispatch::submit(const std::shared_ptr<RoutedRequest> &request, SchedulerRequest &&scheduled)
{
    const RequestId id{++lastRequestId_};
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

void RequestDispatch::onSent(RequestId id)
{
    scheduler_.onSent(id, BootClock::now());
    if (scheduler_.isUndecided(id)) {
        scheduleDecide();
    }
}

void RequestDispatch::onAccepted(RequestId id)
{
    if (scheduler_.isUndecided(id)) {
        scheduler_.onAccepted(id, BootClock::now());
        scheduleDecide();
    }
}

bool RequestDispatch::isUndecided(RequestId id)
{
    return scheduler_.isUndecided(id);
}

bool RequestDispatch::canRetryElsewhere(RequestId id)
{
    return scheduler_.canRetryElsewhere(id, BootClock::now());
}

void RequestDispatch::onEngineSilent(RequestId id)
{
    scheduler_.onEngineSilent(id, BootClock::now());
}

void RequestDispatch::retryOverLostLinks()
{
    std::vector<std::shared_ptr<RoutedRequest>> running;
    for (const auto &[id, request] : requests_) {
        if (request->isRunning()) {
            running.push_back(request);
        }
    }
    for (const auto &request : running) {
        request->retryIfLinkIsLost();
    }
}

void RequestDispatch::failQuarantined()
{
    std::vector<std::shared_ptr<RoutedRequest>> requests;
    for (const auto &[id, request] : requests_) {
        requests.push_back(request);
    }
    for (const auto &request : requests) {
        request->endIfQuarantined();
    }
}

void RequestDispatch::limitDeadlines(TimePoint deadline)
{
    for (const auto &[id, request] : requests_) {
        request->limitDeadline(deadline);
    }
}

void RequestDispatch::onEnded(RequestId id, DispatchResult result)
{
    scheduler_.onEnded(id, result, BootClock::now());
    requests_.erase(id);
    scheduleDecide();
}

void RequestDispatch::release(RequestId id)
{
    requests_.erase(id);
}

std::vector<EngineGroupState> RequestDispatch::engineGroups() const
{
    return scheduler_.engineGroups();
}

/// Logs when engines are divided or united, and when the boundary has moved far.
void RequestDispatch::logDivisions()
{
    constexpr double minLoggedChange = 0.1;
    for (const EngineGroupState &state : scheduler_.engineGroups()) {
        double &logged = loggedBoundaries_[state.model];
        const bool hasChanged = (state.boundary > 0) != (logged > 0) || std::abs(state.boundary - logged) >= minLoggedChange;
        if (!hasChanged) {
            continue;
        }
        logged = state.boundary;
        writeLog(LogLevel::Info,
                 "engines_divided",
                 {{"model", state.model},
                  {"boundary", state.boundary},
                  {"engines", static_cast<std::int64_t>(state.engineCount)},
                  {"fixed_ms", toMillis(fromSeconds(state.times.fixedSeconds))},
                  {"tokens_per_s", 1 / state.times.secondsPerToken}});
    }
}

std::optional<TimeStatistics> RequestDispatch::takeStatistics(std::string_view engine)
{
    return scheduler_.takeStatistics(engine, BootClock::now());
}

void RequestDispatch::onDispatchedByPeer(const DispatchNotice &notice)
{
    if (notice.statistics) {
        scheduler_.mergeStatistics(notice.engine, notice.hostDigest, *notice.statistics, BootClock::now());
    }
    scheduler_.onDispatchedByPeer(notice.engine, notice.workTokens, notice.newTokens, notice.blocks, BootClock::now());
}

void RequestDispatch::onTargetLoad(std::string_view targetId, const Target &target, const TargetLoad &load)
{
    if (!target.models.empty()) {
        if (load.pace) {
            scheduler_.onPaceStated(targetId, *load.pace, BootClock::now());
        }
        // An engine counts a prompt that it is computing as running, so its counts would hide the long prompts that are known from the
        // dispatch notices.
        return;
    }
    LoadReport report;
    report.measuredAt = BootClock::now();
    report.incarnation = static_cast<std::uint64_t>(target.incarnation);
    report.runningRequests = load.running;
    report.waitingRequests = load.waiting;
    report.queuedPrefillTokens = load.waiting * serviceCallWorkTokens;
    scheduler_.onLoadReport(targetId, report, BootClock::now());
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

std::uint32_t RequestDispatch::countRunning(std::string_view service, const std::function<bool(std::string_view targetId)> &isCounted) const
{
    return static_cast<std::uint32_t>(std::count_if(requests_.begin(), requests_.end(), [service, &isCounted](const auto &entry) {
        const RoutedRequest &request = *entry.second;
        return request.isRunning() && request.service() == service && isCounted(request.targetId());
    }));
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
    // After a pause of the process, decisions come before the timers have run. Without a refresh here requests would go to engines that have
    // gone out of service meanwhile, such as those with older weights, and callers would get responses from weights that are no longer valid.
    refreshEngines(BootClock::now());
    isDecideScheduled_ = false;
    for (const SchedulerOutcome &outcome : scheduler_.decide(BootClock::now(), random_)) {
        const RequestId id = std::visit([](const auto &alternative) { return alternative.id; }, outcome);
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
    logDivisions();
    wantPermits_(scheduler_.takeWantedPermits());
    if (const auto next = scheduler_.nextDeadline()) {
        constexpr Duration minTimerDelay = std::chrono::milliseconds(5);
        timer_.expires_after(std::max(*next - BootClock::now(), minTimerDelay));
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                scheduleDecide();
            }
        });
    }
}

} // namespace Lovageloft

#include "load_driver.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

namespace Lovageloft
{

namespace
{

// The part of a request's cost that comes before its first token.
constexpr double prefillPart = 0.8;

} // namespace

double Outcome::wait(double quantile) const
{
    std::vector<double> sorted = waits;
    std::ranges::sort(sorted);
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
}

LoadDriver::LoadDriver(std::vector<FakeEngine> engines, std::uint64_t seed, const QueueLimits &limits)
    : queue_(limits)
    , engines_(std::move(engines))
    , random_(seed)
{
}

void LoadDriver::add(const Demand &demand)
{
    const double gap = boost::random::exponential_distribution<double>(demand.tokensPerSecond / static_cast<double>(demand.cost))(random_);
    Demand rest = demand;
    rest.from += gap;
    if (rest.from >= rest.until) {
        return;
    }
    at(rest.from, [this, rest] {
        arrive(rest);
        add(rest);
    });
}

void LoadDriver::at(double seconds, std::function<void()> action)
{
    schedule(start + fromSeconds(seconds), std::move(action));
}

void LoadDriver::run(double seconds)
{
    while (!events_.empty() && events_.top().time <= start + fromSeconds(seconds)) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        event.action();
        expire();
        dispatch();
    }
}

AdmissionQueue &LoadDriver::queue()
{
    return queue_;
}

std::vector<FakeEngine> &LoadDriver::engines()
{
    return engines_;
}

Outcome LoadDriver::outcome(std::uint32_t team, std::int64_t cost) const
{
    Outcome sum;
    for (const auto &[key, one] : outcomes_) {
        if ((team != 0 && key.first != team) || (cost != 0 && key.second != cost)) {
            continue;
        }
        for (const auto member : {&Outcome::offered,
                                  &Outcome::servedTokens,
                                  &Outcome::served,
                                  &Outcome::refused,
                                  &Outcome::expired,
                                  &Outcome::returned,
                                  &Outcome::returnedInVain}) {
            sum.*member += one.*member;
        }
        sum.waits.insert(sum.waits.end(), one.waits.begin(), one.waits.end());
    }
    return sum;
}

void LoadDriver::schedule(TimePoint time, std::function<void()> action)
{
    events_.push({.time = time, .order = nextOrder_++, .action = std::move(action)});
}

void LoadDriver::arrive(const Demand &demand)
{
    CallerJob job;
    job.request.team = TeamId{demand.team};
    job.request.model = ModelId{demand.model};
    job.request.cost = demand.cost;
    job.request.fingerprint = nextId_;
    ++outcomes_[{demand.team, demand.cost}].offered;
    offer(job);
}

void LoadDriver::offer(CallerJob job)
{
    job.request.id = RequestId{nextId_++};
    job.request.deadline = now_ + deadline;
    job.offeredAt = now_;
    const AdmissionDecision decision = queue_.offer(job.request, now_);
    if (decision.isAdmitted) {
        waiting_[job.request.id] = job;
        return;
    }
    Outcome &outcome = outcomes_[{static_cast<std::uint32_t>(job.request.team), job.request.cost}];
    ++(job.refusals == 0 ? outcome.refused : outcome.returnedInVain);
    refuse(job, decision.retryAfter);
}

void LoadDriver::refuse(CallerJob job, Duration retryAfter)
{
    if (!doReturn) {
        return;
    }
    ++job.refusals;
    const double jitter = boost::random::uniform_01<double>()(random_);
    schedule(now_ + retryAfter + fromSeconds(jitter), [this, job] {
        ++outcomes_[{static_cast<std::uint32_t>(job.request.team), job.request.cost}].returned;
        offer(job);
    });
}

void LoadDriver::dispatch()
{
    const auto canDispatch = [this](const QueuedRequest &request) { return engineFor(request) != nullptr; };
    while (const auto request = queue_.next(now_, canDispatch)) {
        send(*engineFor(*request), *request);
    }
}

void LoadDriver::expire()
{
    for (const ExpiredRequest &expired : queue_.expire(now_)) {
        const CallerJob job = waiting_.extract(expired.request.id).mapped();
        Outcome &outcome = outcomes_[{static_cast<std::uint32_t>(job.request.team), job.request.cost}];
        ++outcome.expired;
        outcome.returnedInVain += job.refusals > 0 ? 1 : 0;
        refuse(job, expired.retryAfter);
    }
}

void LoadDriver::send(FakeEngine &engine, const QueuedRequest &request)
{
    const CallerJob job = waiting_.extract(request.id).mapped();
    Outcome &outcome = outcomes_[{static_cast<std::uint32_t>(request.team), request.cost}];
    ++outcome.served;
    outcome.waits.push_back(toSeconds(now_ - job.offeredAt));
    const double seconds = static_cast<double>(request.cost) / engine.rate;
    const TimePoint begin = std::max(now_, engine.freeAt);
    engine.freeAt = begin + fromSeconds(seconds);
    const auto dispatch = std::make_shared<EngineWindow::Dispatch>(engine.window.start(request.cost, now_));
    schedule(begin + fromSeconds(prefillPart * seconds), [this, &engine, dispatch] { engine.window.onFirstToken(*dispatch, now_); });
    schedule(engine.freeAt, [this, &engine, &outcome, dispatch, cost = request.cost] {
        engine.window.onFinished(*dispatch, now_);
        const double time = toSeconds(now_ - start);
        outcome.servedTokens += time >= measuredFrom && time < measuredUntil ? cost : 0;
    });
}

FakeEngine *LoadDriver::engineFor(const QueuedRequest &request)
{
    FakeEngine *best = nullptr;
    for (FakeEngine &engine : engines_) {
        if (ModelId{engine.model} != request.model || !engine.window.canStart(request.cost)) {
            continue;
        }
        const bool isLess = best == nullptr || engine.window.inFlight() < best->window.inFlight();
        best = isLess ? &engine : best;
    }
    return best;
}

} // namespace Lovageloft

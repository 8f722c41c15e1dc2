#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <utility>
#include <vector>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include "core/random.h"
#include "decision/admission_queue.h"
#include "decision/engine_window.h"

/// Simulates load on an admission queue with simple engines in virtual time.
namespace Lovageloft
{

/// Seeds for repeated runs of a property test.
inline std::vector<std::uint64_t> seeds(std::size_t count)
{
    std::vector<std::uint64_t> all(count);
    std::iota(all.begin(), all.end(), 1);
    return all;
}

/// Load of one team: Poisson arrivals of requests of the same cost.
struct Demand
{
    std::uint32_t team = 0;
    double tokensPerSecond = 0;
    std::int64_t cost = 200;
    double from = 0; ///< Seconds.
    double until = 60; ///< Seconds.
    std::uint32_t model = 0;
};

/// Counts of requests by result. A request counts as offered once, however often its caller retries.
struct Outcome
{
    std::int64_t offered = 0;
    std::int64_t served = 0;
    std::int64_t servedTokens = 0; ///< Completed within the measured interval.
    std::int64_t refused = 0; ///< On the first attempt.
    std::int64_t expired = 0; ///< After they were admitted.
    std::int64_t returned = 0; ///< Retries at the time given by Retry-After.
    std::int64_t returnedUnserved = 0; ///< Retries that were refused again or expired.
    std::vector<double> waits = {}; ///< Seconds in the queue, of served requests.

    Outcome &operator+=(const Outcome &other)
    {
        for (const auto member : {&Outcome::offered,
                                  &Outcome::served,
                                  &Outcome::servedTokens,
                                  &Outcome::refused,
                                  &Outcome::expired,
                                  &Outcome::returned,
                                  &Outcome::returnedUnserved}) {
            this->*member += other.*member;
        }
        waits.insert(waits.end(), other.waits.begin(), other.waits.end());
        return *this;
    }

    double wait(double quantile) const
    {
        std::vector<double> sorted = waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
    }
};

/// An engine that serves its requests one after another at `rate` tokens per second.
struct FakeEngine
{
    double rate = 0;
    std::uint32_t model = 0;
    EngineWindow window = {};
    TimePoint freeAt = {};
};

class LoadDriver
{
public:
    LoadDriver(std::vector<FakeEngine> engines, std::uint64_t seed)
        : engines_(std::move(engines))
        , random_(seed)
    {
    }

    /// Adds demand; call before `run`.
    void add(Demand demand)
    {
        demand.from += boost::random::exponential_distribution<double>(demand.tokensPerSecond / static_cast<double>(demand.cost))(random_);
        if (demand.from >= demand.until) {
            return;
        }
        schedule(demand.from, [this, demand] {
            ++outcomes_[{demand.team, demand.cost}].offered;
            Job job{.request = {.team = TeamId{demand.team}, .model = ModelId{demand.model}, .cost = demand.cost, .deadline = {}, .fingerprint = nextId_}};
            offer(job);
            add(demand);
        });
    }

    /// Schedules an action, for example one that makes an engine slow.
    void schedule(double seconds, std::function<void()> action)
    {
        events_.push({.time = start + fromSeconds(seconds), .order = nextOrder_++, .action = std::move(action)});
    }

    /// Runs until no events are left or `seconds` have passed.
    void run(double seconds)
    {
        while (!events_.empty() && events_.top().time <= start + fromSeconds(seconds)) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
            expire();
            const auto canDispatch = [this](const QueuedRequest &request) { return engineFor(request) != nullptr; };
            while (const auto request = queue.next(now_, canDispatch)) {
                send(*engineFor(*request), *request);
            }
        }
    }

    /// Sum over the matching teams and costs; 0 matches all.
    Outcome outcome(std::uint32_t team = 0, std::int64_t cost = 0) const
    {
        Outcome sum;
        for (const auto &[key, result] : outcomes_) {
            if ((team == 0 || key.first == team) && (cost == 0 || key.second == cost)) {
                sum += result;
            }
        }
        return sum;
    }

    std::vector<FakeEngine> &engines()
    {
        return engines_;
    }

    AdmissionQueue queue;
    bool refusedCallersRetry = true; ///< Whether refused callers retry at the time given by Retry-After.
    double measuredFrom = 0; ///< Seconds.
    double measuredUntil = 1e9;

private:
    static constexpr TimePoint start{std::chrono::hours(1)};
    static constexpr Duration deadline = std::chrono::seconds(10);
    static constexpr double prefillFraction = 0.8; ///< Fraction of a request's cost before its first token.

    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    struct Job
    {
        QueuedRequest request;
        TimePoint offeredAt = {};
        int refusals = 0;
    };

    double elapsed(TimePoint time) const
    {
        return toSeconds(time - start);
    }

    Outcome &outcomeOf(const Job &job)
    {
        return outcomes_[{static_cast<std::uint32_t>(job.request.team), job.request.cost}];
    }

    void offer(Job job)
    {
        job.request.id = RequestId{nextId_++};
        job.request.deadline = now_ + deadline;
        job.offeredAt = now_;
        const AdmissionDecision decision = queue.offer(job.request, now_);
        if (decision.isAdmitted) {
            waiting_[job.request.id] = job;
            return;
        }
        ++(job.refusals == 0 ? outcomeOf(job).refused : outcomeOf(job).returnedUnserved);
        refuse(job, decision.retryAfter);
    }

    void refuse(Job job, Duration retryAfter)
    {
        if (!refusedCallersRetry) {
            return;
        }
        ++job.refusals;
        const double jitter = boost::random::uniform_01<double>()(random_);
        schedule(elapsed(now_ + retryAfter) + jitter, [this, job] {
            ++outcomeOf(job).returned;
            offer(job);
        });
    }

    void expire()
    {
        for (const ExpiredRequest &expired : queue.expire(now_)) {
            const Job job = waiting_.extract(expired.request.id).mapped();
            ++outcomeOf(job).expired;
            outcomeOf(job).returnedUnserved += job.refusals > 0 ? 1 : 0;
            refuse(job, expired.retryAfter);
        }
    }

    void send(FakeEngine &engine, const QueuedRequest &request)
    {
        const Job job = waiting_.extract(request.id).mapped();
        ++outcomeOf(job).served;
        outcomeOf(job).waits.push_back(toSeconds(now_ - job.offeredAt));
        const double seconds = static_cast<double>(request.cost) / engine.rate;
        const TimePoint begin = std::max(now_, engine.freeAt);
        engine.freeAt = begin + fromSeconds(seconds);
        const auto dispatch = std::make_shared<EngineWindow::Dispatch>(engine.window.start(request.cost, now_));
        schedule(elapsed(begin) + prefillFraction * seconds, [this, &engine, dispatch] { engine.window.onFirstToken(*dispatch, now_); });
        schedule(elapsed(engine.freeAt), [this, &engine, job, dispatch] {
            engine.window.onFinished(*dispatch, now_);
            const bool isMeasured = elapsed(now_) >= measuredFrom && elapsed(now_) < measuredUntil;
            outcomeOf(job).servedTokens += isMeasured ? job.request.cost : 0;
        });
    }

    /// The engine with the fewest requests in flight that can take the request; null if none can.
    FakeEngine *engineFor(const QueuedRequest &request)
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

    std::vector<FakeEngine> engines_;
    Random random_;
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t nextId_ = 1;
    TimePoint now_ = start;
    std::map<RequestId, Job> waiting_;
    std::map<std::pair<std::uint32_t, std::int64_t>, Outcome> outcomes_;
};

} // namespace Lovageloft

#pragma once

#include <functional>
#include <map>
#include <queue>
#include <vector>

#include "core/random.h"
#include "decision/admission_queue.h"
#include "decision/engine_window.h"

/// Plays load against an admission queue and simple engines in virtual time.
namespace Lovageloft
{

/// What one team sends: Poisson arrivals of one cost.
struct Demand
{
    std::uint32_t team = 0;
    double tokensPerSecond = 0;
    std::int64_t cost = 200;
    double from = 0; ///< Seconds.
    double until = 60;
    std::uint32_t model = 0;
};

/// A request as its caller sees it.
struct CallerJob
{
    QueuedRequest request;
    TimePoint offeredAt;
    int refusals = 0;
};

/// What became of one team's requests of one cost.
struct Outcome
{
    std::int64_t offered = 0; ///< Requests, each counted once however often it came back.
    std::int64_t servedTokens = 0;
    std::int64_t served = 0;
    std::int64_t refused = 0; ///< On the first try.
    std::int64_t expired = 0; ///< Given up after they had been admitted.
    std::int64_t returned = 0; ///< Came back at the time they were told.
    std::int64_t returnedInVain = 0;
    std::vector<double> waits; ///< Seconds in the queue of those served.

    double wait(double quantile) const;
};

/// An engine that works off what it is given one after the other; `rate` in tokens a second.
struct FakeEngine
{
    double rate = 0;
    std::uint32_t model = 0;
    EngineWindow window = {};
    TimePoint freeAt = {};
    std::int64_t tokens = 0;
};

class LoadDriver
{
public:
    LoadDriver(std::vector<FakeEngine> engines, std::uint64_t seed, const QueueLimits &limits = {});

    /// Adds demand; call before `run`.
    void add(const Demand &demand);

    /// Does something at a time, as making an engine slow.
    void at(double seconds, std::function<void()> action);

    /// Runs until nothing happens any more or `seconds` have passed.
    void run(double seconds);

    AdmissionQueue &queue();
    std::vector<FakeEngine> &engines();
    /// Over all teams and costs that match; 0 stands for all.
    Outcome outcome(std::uint32_t team = 0, std::int64_t cost = 0) const;

    Duration deadline = std::chrono::seconds(10);
    bool doReturn = true; ///< Whether refused callers come back when they were told.
    double measuredFrom = 0; ///< Tokens served before this second count nowhere.
    double measuredUntil = 1e9;

    static constexpr TimePoint start{std::chrono::hours(1)};

private:
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

    void schedule(TimePoint time, std::function<void()> action);
    void arrive(const Demand &demand);
    void offer(CallerJob job);
    void refuse(CallerJob job, Duration retryAfter);
    void dispatch();
    void expire();
    void send(FakeEngine &engine, const QueuedRequest &request);
    FakeEngine *engineFor(const QueuedRequest &request);

    AdmissionQueue queue_;
    std::vector<FakeEngine> engines_;
    Random random_;
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t nextId_ = 1;
    TimePoint now_ = start;
    std::map<RequestId, CallerJob> waiting_;
    std::map<std::pair<std::uint32_t, std::int64_t>, Outcome> outcomes_;
};

} // namespace Lovageloft

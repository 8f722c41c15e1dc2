#include <algorithm>
#include <span>

#include <benchmark/benchmark.h>

#include "core/random.h"
#include "decision/admission_queue.h"

using namespace Lovageloft;

namespace
{

constexpr std::uint32_t modelCount = 13;
constexpr TimePoint start{std::chrono::hours(1)};
constexpr std::int64_t shortWork[] = {200};
constexpr std::int64_t mixedWork[] = {200, 200, 200, 200, 200, 200, 2'000, 2'000, 8'000, 60'000};

struct Scenario
{
    std::uint32_t teams = 0;
    std::uint32_t models = 1;
    std::span<const std::int64_t> costs;
    Duration step = std::chrono::microseconds(10); ///< Virtual time between two decisions.
    std::int64_t offersPerDispatch = 1;
    std::int64_t waitingPerTeam = 20;
};

/// Offers requests of random teams and takes out one for each `offersPerDispatch`, with all windows full in between.
class SaturatedHost
{
public:
    explicit SaturatedHost(const Scenario &scenario)
        : scenario_(scenario)
        , random_(1)
    {
        for (std::int64_t waiting = 0; waiting < scenario.waitingPerTeam * scenario.teams; ++waiting) {
            offer();
        }
    }

    void decide()
    {
        now_ += scenario_.step;
        for (std::int64_t offers = 0; offers < scenario_.offersPerDispatch; ++offers) {
            offer();
        }
        benchmark::DoNotOptimize(queue_.next(now_, [](const QueuedRequest & /*request*/) { return true; }));
        queue_.next(now_, [](const QueuedRequest & /*request*/) { return false; });
    }

    double refusedPart() const
    {
        return static_cast<double>(refused_) / static_cast<double>(nextId_ - 1);
    }

    std::size_t waiting() const
    {
        return queue_.size();
    }

private:
    void offer()
    {
        QueuedRequest request;
        request.id = RequestId{nextId_};
        request.fingerprint = nextId_++;
        request.team = TeamId{static_cast<std::uint32_t>(randomBelow(random_, scenario_.teams))};
        request.model = ModelId{static_cast<std::uint32_t>(randomBelow(random_, scenario_.models))};
        request.cost = scenario_.costs[randomBelow(random_, scenario_.costs.size())];
        request.deadline = now_ + std::chrono::seconds(10);
        refused_ += queue_.offer(request, now_).isAdmitted ? 0 : 1;
    }

    Scenario scenario_;
    Random random_;
    AdmissionQueue queue_{{.initialRate = 1e9}}; // High, so that the queue can be filled before the first dispatch.
    TimePoint now_ = start;
    std::uint64_t nextId_ = 1;
    std::uint64_t refused_ = 0;
};

void saturated(benchmark::State &state, const Scenario &scenario)
{
    SaturatedHost host(scenario);
    for (auto _ : state) {
        host.decide();
    }
    state.SetItemsProcessed(state.iterations() * scenario.offersPerDispatch);
    state.counters["refused"] = host.refusedPart();
    state.counters["waiting"] = static_cast<double>(host.waiting());
}

} // namespace

BENCHMARK_CAPTURE(saturated, shortWork580Teams, {.teams = 580, .costs = shortWork});
BENCHMARK_CAPTURE(saturated, mixedWork580Teams, {.teams = 580, .costs = mixedWork});
BENCHMARK_CAPTURE(saturated, mixedWork580Teams13Models, {.teams = 580, .models = modelCount, .costs = mixedWork});
BENCHMARK_CAPTURE(saturated, mixedWork5Teams, {.teams = 5, .costs = mixedWork, .waitingPerTeam = 200});
BENCHMARK_CAPTURE(saturated, twiceSaturation580Teams, {.teams = 580, .costs = mixedWork, .step = std::chrono::milliseconds(1), .offersPerDispatch = 2});

BENCHMARK_MAIN();

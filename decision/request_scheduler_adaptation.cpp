#include "decision/request_scheduler.h"

/// How the scheduler adapts to engines, see Placement::enableAdaptation.
namespace Lovageloft
{

namespace
{

/// Between two times that this host tells others what it has observed of a group of engines, in fleets of up to this many hosts; longer in larger ones, so that
/// what a host hears does not grow with the fleet.
constexpr std::chrono::seconds statisticsInterval{1};
constexpr std::size_t hostsPerStatisticsInterval = 100;

} // namespace

void RequestScheduler::onPaceStated(std::string_view engine, double pace, TimePoint now)
{
    if (const auto index = placement_.findEngine(engine)) {
        placement_.enableAdaptation(placement_.groupOf(*index));
        placement_.onPaceStated(*index, pace, now);
    }
}

std::vector<EngineGroupState> RequestScheduler::engineGroups() const
{
    std::vector<EngineGroupState> states;
    for (const auto &[id, group] : placement_.adaptiveGroups()) {
        const auto model = groupModels_.find(id);
        states.push_back(
            {model != groupModels_.end() ? model->second : std::string(), group.engineCount, group.partition.boundary(), group.times.coefficients()});
    }
    return states;
}

std::optional<TimeStatistics> RequestScheduler::takeStatistics(std::string_view engine, TimePoint now)
{
    const auto index = placement_.findEngine(engine);
    const AdaptiveGroup *group = index ? placement_.adaptiveGroup(placement_.groupOf(*index)) : nullptr;
    if (group == nullptr) {
        return std::nullopt;
    }
    TimePoint &toldAt = statisticsToldAt_[placement_.groupOf(*index)];
    const std::size_t intervals = (hostCount_ + hostsPerStatisticsInterval - 1) / hostsPerStatisticsInterval;
    if (now - toldAt < statisticsInterval * intervals) {
        return std::nullopt;
    }
    toldAt = now;
    return group->times.ownStatistics(now);
}

void RequestScheduler::mergeStatistics(std::string_view engine, std::uint64_t host, const TimeStatistics &statistics, TimePoint now)
{
    if (const auto index = placement_.findEngine(engine)) {
        placement_.mergeStatistics(placement_.groupOf(*index), host, statistics, now);
    }
}

} // namespace Lovageloft

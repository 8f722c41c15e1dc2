#include "tests/system/fault_schedule.h"

#include <algorithm>
#include <numeric>
#include <thread>

namespace Lovageloft
{

FaultSchedule::FaultSchedule(CorrectionSystem &system, std::uint64_t seed)
    : system_(system)
    , random_(seed)
{
}

const std::vector<FaultSchedule::Group> &FaultSchedule::groups()
{
    static const std::vector<Group> all{
        {{R"({"lose_answers":1})",
          R"({"lose_answers":3})",
          R"({"down":true})",
          R"({"delay_ms":200})",
          R"({"silence_open_connections":true})",
          R"({"close":true})"},
         &FaultSchedule::faultStore,
         &FaultSchedule::healStore},
        {{R"({"lose_answer":true,"times":2})", R"({"freeze":true})", R"({"delay_ms":300,"times":4})"},
         &FaultSchedule::faultServices,
         &FaultSchedule::healServices},
        {{"kill a host"}, &FaultSchedule::killHost, &FaultSchedule::startHost},
        {{"freeze a host"}, &FaultSchedule::freezeHost, &FaultSchedule::resumeHost},
    };
    return all;
}

void FaultSchedule::step(std::size_t count)
{
    constexpr std::size_t shortestFault = 50;
    constexpr std::size_t longestFault = 600;
    std::vector<std::size_t> order(groups().size());
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(order[i], order[i + randomBelow(random_, order.size() - i)]);
    }
    host_ = randomBelow(random_, system_.hostCount());
    for (std::size_t i = 0; i < count; ++i) {
        const Group &group = groups()[order[i]];
        const std::string_view choice = group.choices[randomBelow(random_, group.choices.size())];
        history_ += std::string(choice) + (i + 1 < count ? " + " : "; ");
        (this->*group.begin)(choice);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(shortestFault + randomBelow(random_, longestFault - shortestFault)));
    for (std::size_t i = 0; i < count; ++i) {
        (this->*groups()[order[i]].end)();
    }
}

const std::string &FaultSchedule::history() const
{
    return history_;
}

void FaultSchedule::faultStore(std::string_view choice)
{
    SystemFixture::planFault(system_.store(), choice);
}

void FaultSchedule::healStore()
{
    SystemFixture::planFault(system_.store(), "{}");
}

void FaultSchedule::faultServices(std::string_view choice)
{
    system_.planServiceFault(choice);
}

void FaultSchedule::healServices()
{
    system_.planServiceFault(R"({"times":0})");
}

void FaultSchedule::killHost(std::string_view)
{
    system_.host(host_).kill();
}

void FaultSchedule::startHost()
{
    system_.restartHost(host_);
}

void FaultSchedule::freezeHost(std::string_view)
{
    system_.host((host_ + 1) % system_.hostCount()).freeze();
}

void FaultSchedule::resumeHost()
{
    system_.host((host_ + 1) % system_.hostCount()).resume();
}

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "tests/system/correction_system.h"

namespace Lovageloft
{

/// Faults of a deployment in an order that follows from a seed alone. Only one thread may use it.
class FaultSchedule
{
public:
    FaultSchedule(CorrectionSystem &system, std::uint64_t seed);

    /// Shows `count` different faults at the same time, waits a while and ends them; what a fault has lost stays lost.
    void step(std::size_t count);

    /// The faults shown so far, for messages.
    const std::string &history() const;

private:
    /// Faults of one group exclude each other: each step takes at most one of a group.
    struct Group
    {
        std::vector<std::string_view> choices;
        void (FaultSchedule::*begin)(std::string_view choice);
        void (FaultSchedule::*end)();
    };

    static const std::vector<Group> &groups();

    void faultStore(std::string_view choice);
    void healStore();
    void faultServices(std::string_view choice);
    void healServices();
    void killHost(std::string_view choice);
    void startHost();
    void freezeHost(std::string_view choice);
    void resumeHost();

    CorrectionSystem &system_;
    Random random_;
    std::size_t host_ = 0; ///< The host that the last kill fell on; another one is frozen.
    std::string history_;
};

} // namespace Lovageloft

#pragma once

#include <cstddef>
#include <cstdint>

#include "core/clock.h"
#include "core/decaying_count.h"

/// Which engines of a service serve short prompts, and which long ones, while both compete for them.
namespace Lovageloft
{

/// Length classes of prompts by the tokens that an engine has to compute.
enum class PromptClass : std::uint8_t
{
    Short,
    Long,
};

/// Divides the engines of one model between short and long prompts under load.
///
/// Designed for engines that compute prompts in chunks between the steps of the responses that they generate. A chunk of thousands of tokens makes a
/// step take ten times as long, so that short responses beside long prompts hold their slots for seconds, slots run out, and requests that take
/// 20 ms of an engine time out. Engines without long prompts serve many times as many short ones.
///
/// Each engine has a position between 0 and 1, a hash of its name. Those below the boundary are for short prompts. All hosts know the same positions and
/// estimate the same demand, so that they agree without a message; where their estimates differ, they disagree about the few engines near the boundary.
/// Performs no I/O and reads no clock. Not thread-safe.
class EnginePartition
{
public:
    EnginePartition();

    /// Adds work of the whole fleet, in seconds of an engine.
    void addWork(PromptClass promptClass, double engineSeconds, TimePoint now);

    /// Updates the boundary for this number of engines.
    void update(std::size_t engineCount, TimePoint now);

    /// Whether the engines are divided. They are not while there is room for all.
    bool isDivided() const
    {
        return isDivided_;
    }

    /// Fraction of the engines that is for short prompts; 0 while the engines are not divided.
    double boundary() const
    {
        return isDivided_ ? boundary_ : 0;
    }

    /// Whether an engine at this position is for prompts of the class; true for all while the engines are not divided.
    bool serves(double position, PromptClass promptClass) const;

    /// The position of an engine with this hash of its name.
    static double positionOf(std::uint64_t nameHash);

private:
    DecayingCount shortWork_;
    DecayingCount longWork_;
    double boundary_ = 0;
    bool isDivided_ = false;
};

} // namespace Lovageloft

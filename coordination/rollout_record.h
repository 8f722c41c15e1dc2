#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace Lovageloft
{

enum class RolloutPhase : std::uint8_t
{
    Running, ///< The version that serves keeps on serving; the ordered one gets the share of its stage.
    Switching, ///< The ordered version serves; requests at the other targets are still running.
    Completed, ///< The ordered version serves, and the other targets may stop.
    RolledBack, ///< The ordered version gets no requests.
};

/// The state of a service's rollout as kept in the store. Each change has a higher position than the one before, also across rollouts.
struct RolloutRecord
{
    std::int64_t position = 0;
    RolloutPhase phase = RolloutPhase::Running;
    int stage = 0;
    std::int64_t order = 0; ///< Revision of the operator's order in the store.
    Duration elapsed{}; ///< Since the order, when the record was written.
    std::string version; ///< The ordered one.

    bool operator==(const RolloutRecord &) const = default;
};

std::string_view rolloutPhaseName(RolloutPhase phase);

/// Formats a record as "POSITION PHASE STAGE ORDER MILLISECONDS VERSION".
std::string rolloutRecordText(const RolloutRecord &record);

/// Parses the text of a record. Returns nothing if a field is missing or invalid.
std::optional<RolloutRecord> parseRolloutRecord(std::string_view text);

} // namespace Lovageloft

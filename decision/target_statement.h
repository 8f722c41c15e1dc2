#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace Lovageloft
{

/// What a target can state about itself in its answers.
enum class StatementKind : std::uint8_t
{
    RateLimit, ///< Requests a second that it takes from all hosts together.
    RejectionLimit, ///< Requests a second that it can reject for want of room; it falls over above that.
    Leaving, ///< It shuts down and wants no new requests. Final for its incarnation, see LeaveTable.
};

inline constexpr std::array allStatementKinds{StatementKind::RateLimit, StatementKind::RejectionLimit, StatementKind::Leaving};

/// The kinds that a StatementTable holds.
inline constexpr std::array limitKinds{StatementKind::RateLimit, StatementKind::RejectionLimit};

/// Name of the kind in logs, metrics and operators' pages.
std::string_view statementKindName(StatementKind kind);

/// A value that an incarnation of a target states about itself.
struct TargetStatement
{
    std::string target;
    std::int64_t incarnation = 0; ///< As in the target's entry.
    StatementKind kind{};
    double value = 0; ///< At least 0.
    TimePoint statedAt; ///< When the value was first heard by any host.
    TimePoint heardAt; ///< When it was last heard by this host, or stated by another.
    std::string heardBy; ///< The host that heard it first.
};

} // namespace Lovageloft

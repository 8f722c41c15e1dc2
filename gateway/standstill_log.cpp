#include "gateway/standstill_log.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Twice the time between two looks: less is an ordinary wait for the processor.
constexpr Duration shortestStandstill = std::chrono::milliseconds(500);

} // namespace

void StandstillLog::look(TimePoint now)
{
    const auto before = std::exchange(lookedAt_, now);
    if (before && now - *before > shortestStandstill) {
        writeLog(LogLevel::Warning, "host_stood_still", {{"ms", toMillis(now - *before)}});
    }
}

} // namespace Lovageloft

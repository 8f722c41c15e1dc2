#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "decision/cache_view.h"

namespace Lovageloft
{

/// Names a dispatched request until it has finished or failed.
using DispatchId = std::uint64_t;

/// A request that was sent to an engine and has not ended.
struct Dispatch
{
    DispatchId id = 0;
    EngineIndex engine = 0;
    std::uint32_t epoch = 0; ///< Of the engine: tells it from an earlier one that had the same index.
    TimePoint sentAt = {};
    TimePoint firstTokenAt = {};
    double nominalFirstTokenSeconds = 0; ///< Seconds from `sentAt` in which the first token was expected, were the engine not slow.
    std::uint32_t expectedCachedTokens = 0;
    bool isAnswered = false; ///< Its first token has come.
};

/// The requests of this host that are at engines. Ids are not used again, so that a late event of a request that has ended finds
/// nothing.
class DispatchTable
{
public:
    /// Adds a request and gives it its id.
    DispatchId open(const Dispatch &dispatch);

    /// Null if the request has ended or never was.
    Dispatch *find(DispatchId id);
    const Dispatch *find(DispatchId id) const;

    void close(DispatchId id);

private:
    struct Slot
    {
        Dispatch dispatch;
        bool isOpen = false;
    };

    bool isOpen(DispatchId id) const;

    std::vector<Slot> slots_;
    std::vector<std::uint32_t> freeSlots_;
    std::uint64_t lastSerial_ = 0;
};

} // namespace Lovageloft

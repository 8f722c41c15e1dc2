#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "decision/cache_view.h"
#include "estimation/engine_time_model.h"
#include "partitioning/engine_partition.h"

namespace Lovageloft
{

/// Identifies a dispatched request until it has ended.
using DispatchId = std::uint64_t;

/// Identifies the engines that serve one model to the same requests, with any version of its weights.
using EngineGroup = std::uint32_t;

/// A request that was sent to an engine and has not ended.
struct Dispatch
{
    DispatchId id = 0;
    EngineIndex engine = 0;
    std::uint32_t epoch = 0; ///< Epoch of the engine; distinguishes it from an earlier engine with the same index.
    TimePoint sentAt = {};
    TimePoint firstTokenAt = {};
    double nominalFirstTokenSeconds = 0; ///< Expected seconds from `sentAt` to the first token at the engine's normal speed.
    std::uint32_t expectedCachedTokens = 0;
    EngineGroup group = 0; ///< Group of the engine.
    PromptWork work;
    double expectedWaitSeconds = 0; ///< Until the engine begins the request.
    PromptClass promptClass = PromptClass::Short;
    bool isAnswered = false; ///< Whether the first token has arrived.
};

/// Requests of this host that are in flight at engines. Ids are not reused, so that a late event of an ended request is not
/// attributed to another one.
class DispatchTable
{
public:
    /// Adds a request and returns its new id; `dispatch.id` is ignored.
    DispatchId open(const Dispatch &dispatch);

    /// Null if the request has ended or never existed. The pointer is valid until the next open() or close().
    Dispatch *find(DispatchId id);
    const Dispatch *find(DispatchId id) const;

    /// Removes a request; unknown ids are ignored.
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

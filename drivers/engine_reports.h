#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"

/// What engines publish about themselves: GET /control/load and GET /control/cache-events?after=N.
namespace Lovageloft
{

/// An engine's load as it says.
struct EngineLoadReport
{
    std::string incarnation; ///< Unlike that of any earlier process of the engine.
    std::string weightsVersion;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t queuedPrefillTokens = 0;
    std::int64_t computedPrefillTokens = 0; ///< Since its start; 0 if it does not say.
    std::optional<std::uint64_t> cacheEventSequence; ///< The newest cache event, where it says so.
};

/// One change of an engine's cache.
struct EngineCacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool isStored = true; ///< False: evicted.
};

/// Part of an engine's event stream; lost events show as gaps in the sequence.
struct EngineCacheEvents
{
    std::string incarnation;
    std::uint64_t last = 0; ///< The newest event that the engine has numbered.
    std::vector<EngineCacheEvent> events;
};

/// Reads a load report; TargetMalformed if it is none.
std::optional<EngineLoadReport> parseEngineLoadReport(std::string_view json, Reason &reason);

/// Reads cache events; TargetMalformed if they are none.
std::optional<EngineCacheEvents> parseEngineCacheEvents(std::string_view json, Reason &reason);

} // namespace Lovageloft

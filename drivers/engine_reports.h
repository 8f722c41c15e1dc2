#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"

/// The reports of engines: GET /control/load and GET /control/cache-events?after=N.
namespace Lovageloft
{

/// An engine's load as reported by itself.
struct EngineLoadReport
{
    std::string incarnation; ///< Differs from that of any earlier process of the engine.
    std::string weightsVersion;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t queuedPrefillTokens = 0;
    std::int64_t computedPrefillTokens = 0; ///< Since its start; 0 if not reported.
    std::optional<std::uint64_t> cacheEventSequence; ///< Number of the newest cache event, if reported.
};

/// A change of an engine's cache.
struct EngineCacheEvent
{
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool isStored = true; ///< False if the block was evicted.
};

/// A part of an engine's events. Lost events appear as gaps in the sequence numbers.
struct EngineCacheEvents
{
    std::string incarnation;
    std::uint64_t last = 0; ///< Number of the engine's newest event.
    std::vector<EngineCacheEvent> events;
};

/// Parses a load report; returns nothing with TargetMalformed if it is invalid.
std::optional<EngineLoadReport> parseEngineLoadReport(std::string_view json, Reason &reason);

/// Parses cache events; returns nothing with TargetMalformed if they are invalid.
std::optional<EngineCacheEvents> parseEngineCacheEvents(std::string_view json, Reason &reason);

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "estimation/engine_time_model.h"
#include "gateway/peer_messages.capnp.h"

namespace Lovageloft
{

/// Announces that a request with a long prompt was sent to an engine.
struct DispatchNotice
{
    std::string engine; ///< The engine's id in the scheduler.
    std::uint32_t workTokens = 0; ///< Work of computing the prompt, as the length in tokens of an uncached short prompt that takes as long.
    std::uint32_t newTokens = 0; ///< Tokens added to the engine's cache.
    bool isSaved = false; ///< The engine saves the prompt to its cache store.
    std::vector<std::uint64_t> blocks; ///< Hashes of blocks that the engine then holds, with all blocks before them; only the last 64 are sent.
    std::uint64_t hostDigest = 0; ///< Of the name of the host that sent the request; set with `statistics`.
    std::optional<TimeStatistics> statistics; ///< What that host has observed of the engines that serve the same model.
};

/// The datagram, and back. Statistics of another length than this build's are left out.
std::string encodeDispatchNotice(const DispatchNotice &notice);
DispatchNotice decodeDispatchNotice(PeerMessages::Dispatch::Reader reader);

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/share_messages.h"

namespace Lovageloft
{

/// What a host says of the configuration that it holds.
struct PeerVouch
{
    std::string host;
    std::string incarnation;
    std::int64_t version = 0;
    bool isCaughtUp = false; ///< Since its start it has caught up from the store or a majority.
};

/// Part of the configuration log.
struct PeerEntries
{
    std::vector<std::string> entries; ///< As formatLogEntry writes them, ascending.
    std::string snapshot; ///< As formatSnapshot writes it, where the entries are no longer kept; else empty.
};

/// What other hosts ask of this one. Called on the peer duty's thread and must not block it.
class PeerHandler
{
public:
    PeerHandler() = default;
    PeerHandler(const PeerHandler &) = delete;
    PeerHandler &operator=(const PeerHandler &) = delete;
    virtual ~PeerHandler() = default;

    virtual void onAnnounced(const std::vector<std::string> &entries) = 0;
    virtual PeerEntries entriesAfter(std::int64_t sequence) = 0;
    virtual PeerVouch vouch() = 0;
    virtual DebitReply onDebit(const DebitRequest &request) = 0;
    virtual void onSettlement(const DebitSettlement &settlement) = 0;
    virtual void onGossip(std::string_view message) = 0;
};

} // namespace Lovageloft

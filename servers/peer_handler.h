#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/claim_messages.h"
#include "coordination/host_lists.h"
#include "coordination/share_messages.h"

namespace Lovageloft
{

/// What a host answers about the configuration that it holds.
struct PeerAnswer
{
    PeerVersionReport report;
    std::int64_t inForceVersion = 0; ///< The last entry that it knows to be in force.
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
    virtual PeerAnswer reportVersion() = 0;
    virtual DebitReply onDebit(const DebitRequest &request) = 0;
    virtual void onSettlement(const DebitSettlement &settlement) = 0;
    virtual ClaimQueryReply onClaimQuery(const ClaimQuery &query) = 0;
    virtual void onGossip(std::string_view message) = 0;
};

} // namespace Lovageloft

#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "coordination/claim_table.h"
#include "servers/configuration_service.h"
#include "servers/peer_handler.h"
#include "servers/peer_network.h"
#include "servers/share_service.h"

namespace Lovageloft
{

/// What this host answers to the others, and the thread that asks them what the configuration service needs to know.
class PeerDuty : public PeerHandler, public ShareTransport
{
public:
    /// Binds the peer address; throws std::runtime_error if it can't be bound.
    PeerDuty(
        const Settings &settings, std::uint64_t incarnation, ConfigurationService &configuration, ShareService &shares, ClaimTable &claims, Metrics &metrics);
    ~PeerDuty() override;

    std::uint16_t port() const;

    /// Tells all listed hosts of an entry.
    void announceToAll(const LogEntry &entry);

    /// Asks the holder of a claim; nothing if its host gave no answer within a second. Blocks until then.
    std::optional<ClaimQueryReply> askClaim(const ClaimQuery &query);

    void ask(const DebitRequest &request) override;
    void settle(const DebitSettlement &settlement) override;

    void onAnnounced(const std::vector<std::string> &entries) override;
    PeerEntries entriesAfter(std::int64_t sequence) override;
    PeerAnswer reportVersion() override;
    DebitReply onDebit(const DebitRequest &request) override;
    void onSettlement(const DebitSettlement &settlement) override;
    ClaimQueryReply onClaimQuery(const ClaimQuery &query) override;
    void onGossip(std::string_view message) override;

private:
    void run();
    void askQuestions();
    std::string addressOf(const std::string &host) const;

    ConfigurationService &configuration_;
    ShareService &shares_;
    ClaimTable &claims_;
    PeerNetwork network_;
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace Lovageloft

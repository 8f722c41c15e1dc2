#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"
#include "coordination/configuration_log.h"
#include "coordination/freshness_gate.h"
#include "coordination/in_force_tracker.h"
#include "coordination/key_table.h"
#include "core/settings.h"
#include "servers/peer_handler.h"
#include "servers/share_service.h"

namespace Lovageloft
{

/// The key that a caller showed, resolved.
using TeamKey = KeyMatch;

/// What the peer duty is to ask, worked out by `tick`.
struct PeerQuestions
{
    std::vector<std::string> requestReportsFrom; ///< Peer addresses.
    std::vector<std::string> entriesFrom;
    std::int64_t entriesAfter = 0;
};

/// Where a ticket's entry stands.
struct EntryStatus
{
    std::int64_t held = 0; ///< The last entry that this host holds.
    bool isInForce = false;
    std::vector<std::string> lacking; ///< Hosts not known to hold it.
};

/// The configuration that this host holds, and whether it may serve under it. Joins the log, the freshness gate and the
/// tracker of entries in force for all threads; it talks to nobody. Readers get an immutable state that stays whole while
/// they use it.
class ConfigurationService
{
public:
    /// `incarnation` must be higher than that of every earlier process of this host. The shares learn of each version.
    ConfigurationService(const Settings &settings, std::uint64_t incarnation, ShareService &shares);

    std::shared_ptr<const ConfigurationState> state() const;
    std::int64_t version() const;

    /// The team that a key belongs to now.
    std::optional<TeamKey> findKey(std::string_view key) const;

    /// Whether the team still has the key.
    bool hasKey(const TeamKey &key) const;

    /// Whether new work may begin. To be asked again right before bytes leave.
    bool isFresh() const;

    /// Takes committed entries from the store or a peer, in any order.
    void addEntries(std::span<const LogEntry> entries);

    /// The same as text; what can't be read is left out.
    void addEntryTexts(std::span<const std::string> texts);

    /// Takes a snapshot over if it is ahead of what is held.
    void restore(ConfigurationSnapshot snapshot);

    /// Takes over what a replica that was brought up from the store has and this one lacks.
    void takeFrom(const ConfigurationLog &replica);

    /// The store said at `sentAt` or later that `version` was its last entry.
    void onStoreConfirmed(std::int64_t version, TimePoint sentAt);

    /// The store holds the entry as one in force, or this host has tried in vain to have it written there.
    void onInForceShared(std::int64_t sequence);

    void onPeerAnswer(const std::string &address, const PeerAnswer &answer, TimePoint askedAt);

    PeerAnswer ownAnswer() const;
    PeerEntries entriesAfter(std::int64_t sequence) const;

    /// Moves time on; called by the peer duty a few times in each freshness window.
    PeerQuestions tick();

    EntryStatus entryStatus(std::int64_t sequence) const;

    /// Peer addresses of all listed hosts but this one.
    std::vector<std::string> peerAddresses() const;

private:
    void afterChange(std::int64_t before);
    void updateLists();
    void publishInForce();
    bool isStoreLate(TimePoint now) const;
    bool isAskDue(TimePoint now);
    std::vector<std::string> listedPeers() const;

    const Settings &settings_;
    std::uint64_t incarnation_;
    ShareService &shares_;
    Duration window_;
    mutable std::mutex mutex_;
    mutable std::mutex stateMutex_; ///< Of `state_` alone, so that it can be read while `mutex_` is held elsewhere.
    ConfigurationLog log_;
    FreshnessGate gate_;
    InForceTracker tracker_;
    std::shared_ptr<const ConfigurationState> state_ = std::make_shared<ConfigurationState>();
    std::shared_ptr<const KeyTable> keys_ = std::make_shared<KeyTable>(ConfigurationState());
    std::optional<TimePoint> storeConfirmedAt_;
    std::vector<std::string> aheadPeers_; ///< Addresses of peers that said they hold a newer entry.
    std::int64_t askedVersion_ = 0; ///< The version held when peers were last asked.
    Duration askInterval_{}; ///< Between two rounds of questions; grows while the answers do not settle the matter.
    TimePoint nextAsk_;
    std::int64_t sharesVersion_ = 0; ///< The version that the shares have been given, 0 before the first.
    std::int64_t sharesInForce_ = 0;
    std::int64_t inForceShared_ = 0; ///< The last entry that the store was told, or told us, to be in force.
};

} // namespace Lovageloft

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/change_log.h"
#include "coordination/forwarding_store.h"
#include "core/random.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// The store as a host sees it that lets two hosts of the fleet, the relays, watch for all.
///
/// The load it is made for: 370 hosts before a store whose rates grow more slowly than the fleet. If each of them watched three
/// prefixes and proved its configuration itself, 88 hosts made 27,000 calls in 48 s; with relays the number hardly depends on the
/// fleet's size. Nothing is believed on hearsay: a notice continues the revision that this host has reached; a proof counts from the sending
/// of the question less the age that the other host states.
///
/// A host that missed a notice or hears from no relay asks other hosts for what it lacks, and only then the store, after a delay that
/// depends on its rank and on the size of the fleet: what cuts off hundreds of hosts at once must not make them all ask at once. The
/// deputies, which are first in rank, go by the relays and the store alone, so that others always find somebody who has asked.
///
/// Watches and proofs are called by duties and block; `onNotice`, `onChangesReply`, `changesFor` and `onProofReply` come from the event
/// loop. Thread-safe.
class RelayedStore final : public ForwardingStore
{
public:
    /// What the event loop does for this object.
    struct Network
    {
        std::function<void(const ChangesNotice &)> tellAll;
        std::function<void(const std::string &host, const ProofRequest &)> ask;
        std::function<void(const std::string &host, const ChangesRequest &)> askChanges{};
    };

    using Now = std::function<TimePoint()>;

    RelayedStore(Store &store, std::string host, Now now = &BootClock::now);

    void setNetwork(Network network);

    /// All hosts, with this one, and those of them among which the relays and deputies are chosen.
    void setHosts(const std::vector<std::string> &hosts, const std::vector<std::string> &candidates);

    bool isRelay() const;

    void onNotice(const ChangesNotice &notice);
    void onChangesReply(const ChangesReply &reply);

    /// What another host asked for; nothing if this one doesn't know it.
    std::optional<ChangesReply> changesFor(const ChangesRequest &request) const;

    void onProofReply(const ProofReply &reply);

    /// On a relay: tells the others how far it has come, by which they know that it lives.
    void sayAlive();

    StoreReply get(std::string_view key) override;
    StoreReply confirm(std::string_view key, std::int64_t revision) override;
    StoreListReply list(std::string_view prefix) override;
    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override;
    StoreLeaseReply keepAlive(std::int64_t leaseId) override;

private:
    /// What notices have brought under one prefix, or on a relay what the store has.
    struct Followed
    {
        std::int64_t reached = 0; ///< Nothing up to this revision is missing.
        std::int64_t lastChange = 0; ///< Nothing changed after this revision up to `reached`; also by what the other relay tells.
        std::int64_t needed = 0; ///< Others have this revision; above `reached` if something was missed.
        bool isSilent = false; ///< No relay speaks of it.
        bool isWatched = false; ///< A watch of this host waits at the store.
        TimePoint heardAt; ///< When a relay last spoke of it, or when somebody else knew of all up to `reached`.
        TimePoint readAt; ///< When the store last answered this host's own list or watch.
        std::optional<TimePoint> behindSince; ///< From when on this host has lacked changes or signs of life.
        TimePoint storeAt; ///< While behind: when the store may be asked.
        TimePoint questionAt; ///< While behind: when other hosts may be asked again.
        Duration silence{}; ///< For how long what was not handed out yet could not have been heard of.
        std::deque<std::pair<StoreEntry, bool>> entries; ///< Not handed out yet; true: the value has to be read.
        ChangeLog log; ///< For other hosts.
        std::map<std::string, std::int64_t, std::less<>> keys; ///< All that exist, with the revision of their last write.
    };

    /// A question to other hosts that waits for its answers.
    struct ChangesQuestion
    {
        std::string prefix;
        TimePoint sentAt;
    };

    /// Notes that the store has answered, and passes its reply on.
    template <typename Reply>
    Reply noted(Reply reply);

    StoreListReply watchStore(std::string_view prefix, std::int64_t afterRevision, Duration timeout);
    StoreListReply takeHeard(Followed &followed, std::unique_lock<std::mutex> &lock);
    bool isDeputy() const;
    bool watchesItself() const;
    bool isInContact(const Followed &followed, TimePoint now) const;
    TimePoint newsAt(const Followed &followed) const;
    bool isBehind(const Followed &followed, TimePoint now) const;
    void noteBehind(std::string_view prefix, Followed &followed, TimePoint now);
    Duration storeDelay();
    std::vector<std::string> hostsToAsk();
    void askForChanges(std::string_view prefix, std::int64_t reached, std::unique_lock<std::mutex> &lock);
    static std::vector<StoreEntry> changesBy(const Followed &followed, const StoreListReply &list);
    static void takeList(Followed &followed, const StoreListReply &list, std::span<const StoreEntry> changes, bool continues);
    static void noteKey(Followed &followed, const StoreEntry &entry);
    static void takeChanges(Followed &followed, const ChangesNotice &notice, TimePoint now);
    static void noteSilence(std::string_view prefix, Followed &followed, TimePoint now);
    void setWatched(std::string_view prefix, bool isWatched);
    void needRevision(std::string_view key, std::int64_t revision);
    std::vector<std::string> hostsWithProofs();
    std::optional<ProofReply> askForProof(const std::string &host);

    std::string host_;
    Now now_;
    mutable std::mutex mutex_;
    std::condition_variable heard_;
    Network network_;
    bool knowsHosts_ = false;
    std::vector<std::string> others_; ///< All hosts but this one.
    std::vector<std::string> ranked_; ///< The first in rank: the relays, then the deputies.
    std::vector<std::string> relays_;
    Random random_;
    TimePoint contactAt_; ///< When the store last answered a call of this host.
    std::map<std::string, Followed, std::less<>> followed_;
    std::map<std::uint64_t, std::optional<ProofReply>> questions_;
    std::map<std::uint64_t, ChangesQuestion> changesQuestions_;
    std::uint64_t lastQuestion_ = 0;
};

} // namespace Lovageloft

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/forwarding_store.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// The store as a host sees it that lets two hosts of the fleet, the relays, watch for all.
///
/// The load it is made for: 370 hosts before a store whose rates grow more slowly than the fleet. If each of them watched three
/// prefixes and proved its configuration itself, 88 hosts made 27,000 calls in 48 s; with relays the number hardly depends on the
/// fleet's size. Nothing is believed on hearsay: a notice continues the revision that this host has reached, or the host reads the
/// list itself; a proof counts from the sending of the question less the age that the relay states. A host that hears from no relay
/// asks the store itself.
///
/// Watches and proofs are called by duties and block; `onNotice` and `onProofReply` come from the event loop. Thread-safe.
class RelayedStore final : public ForwardingStore
{
public:
    /// What the event loop does for this object.
    struct Network
    {
        std::function<void(const ChangesNotice &)> tellAll;
        std::function<void(const std::string &host, const ProofRequest &)> ask;
    };

    using Now = std::function<TimePoint()>;

    RelayedStore(Store &store, std::string host, Now now = &BootClock::now);

    void setNetwork(Network network);

    /// All hosts, with this one; the relays are chosen among them.
    void setHosts(const std::vector<std::string> &hosts);

    bool isRelay() const;

    void onNotice(const ChangesNotice &notice);
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
        bool hasGap = false; ///< A notice was lost.
        bool isSilent = false; ///< No relay speaks of it.
        TimePoint heardAt; ///< When a relay last spoke of it, or this host last read it itself.
        TimePoint readAt; ///< When the store last answered this host's own list or watch.
        Duration silence{}; ///< For how long what was not handed out yet could not have been heard of.
        std::deque<std::pair<StoreEntry, bool>> entries; ///< Not handed out yet; true: the value has to be read.
    };

    /// Notes that the store has answered, and passes its reply on.
    template <typename Reply>
    Reply noted(Reply reply);

    StoreListReply watchStore(std::string_view prefix, std::int64_t afterRevision, Duration timeout);
    StoreListReply takeHeard(Followed &followed, std::unique_lock<std::mutex> &lock);
    static bool hears(std::string_view prefix, Followed &followed, TimePoint now);
    std::optional<ProofReply> askRelay(const std::string &relay);

    std::string host_;
    Now now_;
    mutable std::mutex mutex_;
    std::condition_variable heard_;
    Network network_;
    std::vector<std::string> relays_;
    TimePoint contactAt_; ///< When the store last answered a call of this host.
    std::map<std::string, Followed, std::less<>> followed_;
    std::map<std::uint64_t, std::optional<ProofReply>> questions_;
    std::uint64_t lastQuestion_ = 0;
};

} // namespace Lovageloft

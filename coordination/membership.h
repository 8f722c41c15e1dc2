#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// The state in which a host is believed to be. Within one incarnation a later state in this list overrides an earlier one.
enum class MemberState : std::uint8_t
{
    Alive,
    Suspect, ///< Did not answer a probe; may still refute the suspicion.
    Dead, ///< Did not refute the suspicion in time, or announced that it leaves.
};

/// One membership update, as disseminated in messages.
struct MemberUpdate
{
    std::string host;
    std::string address; ///< "ADDRESS:PORT" of its peer server.
    std::uint64_t incarnation = 0; ///< Higher after each restart and each refutation; 0 if the host is known only from the platform's list.
    MemberState state = MemberState::Alive;

    bool operator==(const MemberUpdate &) const = default;
};

enum class MembershipMessageKind : std::uint8_t
{
    Probe, ///< Asks the receiver for an ack.
    Ack, ///< The answer to a probe.
    ProbeRequest, ///< Asks the receiver to probe `subject`, in case only the link between the sender and that host is down.
};

/// One message between two hosts. The protocol tolerates lost, duplicated and reordered messages.
struct MembershipMessage
{
    MembershipMessageKind kind = MembershipMessageKind::Probe;
    std::string toAddress;
    MemberUpdate sender; ///< The sending host's own state.
    std::string subject; ///< Of an ack or a probe request: the probed host.
    std::string requesterAddress; ///< Address of the host that requested this probe; empty if the sender probes for itself.
    std::vector<MemberUpdate> updates;
};

/// An upper bound of a message's size on the wire in bytes: Cap'n Proto's unpacked layout in words of eight bytes, and the IP and UDP
/// headers. The codec itself is part of the peer server.
std::size_t wireSize(const MembershipMessage &message);

/// A host in the platform's list, which lags behind the actual state.
struct PlatformHost
{
    std::string host;
    std::string address;
    bool isLeaving = false;
};

/// Timeouts and sizes of the membership protocol. With the defaults a host sends one probe a second, whatever the size of the fleet.
struct MembershipSettings
{
    Duration probeInterval = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(300); ///< After this, other hosts are asked to probe. Links between data centres take some milliseconds.
    std::size_t indirectProbes = 3; ///< With three other hosts and one message in a hundred lost, a living host is suspected in none of a million probes.
    Duration suspicionTimeout = std::chrono::seconds(5); ///< A host that is paused for less than this stays a member.
    std::size_t maxUpdateBytes = 1'000; ///< Maximum size of the updates in one message, so that it fits into one packet.
};

/// Detects which hosts are alive, by random probes with piggybacked updates (SWIM). Each host probes one other host a second and each
/// message carries updates of a limited size, so that the cost per host stays the same at any size of the fleet; heartbeats from all to all
/// hosts would cost 370 times as much. Membership decides where to send, never which host may serve: that is up to the freshness gate. Does
/// no I/O and is not thread-safe: time, randomness and received messages are passed in, and messages to send are returned.
class Membership
{
public:
    /// `incarnation` must be higher than that of any earlier process of this host. Hosts persist nothing, so the wall clock in milliseconds
    /// at the start is used. If that clock was set back, the host raises its incarnation above the earlier one as soon as it receives an
    /// update that contains it.
    Membership(std::string self, std::string address, std::uint64_t incarnation, MembershipSettings settings = {});

    /// Merges the platform's list, which adds hosts to probe and marks hosts that are leaving. Because the list lags, a host that is missing
    /// from it may still be alive; only a dead host that is missing from it is removed.
    void setPlatformHosts(std::span<const PlatformHost> hosts);

    /// To be called several times per probe interval; returns the messages to send.
    std::vector<MembershipMessage> tick(TimePoint now, Random &random);

    /// Processes a received message; returns the messages to send.
    std::vector<MembershipMessage> onMessage(const MembershipMessage &message, TimePoint now);

    /// Announces that this host leaves: returns messages to a few hosts, which pass the update on. This host continues to answer probes.
    std::vector<MembershipMessage> leave(Random &random);

    /// A member as seen by this host.
    struct Member
    {
        MemberUpdate lastUpdate;
        bool isLeaving = false; ///< Marked in the platform's list; gets no new work.
    };

    /// The hosts to send to: alive or suspect, without this host, ascending by name.
    std::vector<Member> liveMembers() const;

    /// Nothing for an unknown host.
    std::optional<Member> member(std::string_view host) const;

    std::uint64_t incarnation() const;

    /// Returns the changes of state and incarnation since the last call, in order; at most the last few hundred.
    std::vector<MemberUpdate> consumeChanges();

private:
    struct MemberEntry
    {
        Member member;
        std::optional<TimePoint> suspectedAt; ///< Set by the first tick after the suspicion was received.
        bool isInPlatformList = false;
    };

    /// An update that still has to be disseminated.
    struct PendingUpdate
    {
        MemberUpdate update;
        std::size_t transmissions = 0;
    };

    struct Probe
    {
        std::string host;
        TimePoint sentAt;
        bool isIndirect = false;
    };

    void applyUpdate(const MemberUpdate &update);
    void applyUpdateAboutSelf(const MemberUpdate &update);
    void recordChange(const MemberUpdate &update, MemberEntry &entry);
    void disseminate(const MemberUpdate &update);
    MemberUpdate selfUpdate() const;
    MembershipMessage messageTo(std::string_view host, MembershipMessageKind kind);
    void attachUpdates(MembershipMessage &message);
    void checkProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out);
    void startProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out);
    void checkSuspects(TimePoint now);
    std::optional<std::string> nextHostToProbe(Random &random);
    std::vector<std::string> hostNames(bool includesDead) const;
    bool detectPause(TimePoint now);
    std::size_t maxTransmissions() const;

    std::string self_;
    std::string address_;
    std::uint64_t incarnation_;
    MembershipSettings settings_;
    bool isLeaving_ = false;
    std::map<std::string, MemberEntry, std::less<>> members_;
    std::map<std::string, PendingUpdate, std::less<>> pendingUpdates_;
    std::deque<std::string> probeOrder_;
    std::optional<Probe> probe_;
    std::optional<TimePoint> lastTick_;
    std::optional<TimePoint> nextProbeAt_;
    std::deque<MemberUpdate> changes_;
};

} // namespace Lovageloft

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

/// What is believed of a host. At one incarnation a later one in this list overrides an earlier one.
enum class MemberState : std::uint8_t
{
    Alive,
    Suspect, ///< Did not answer; it may still refute that.
    Dead, ///< Did not refute in time, or said that it leaves.
};

/// One piece of news that travels on the messages.
struct MemberNews
{
    std::string host;
    std::string address; ///< "ADDRESS:PORT" of its peer server.
    std::uint64_t incarnation = 0; ///< Higher after each restart and each refutation.
    MemberState state = MemberState::Alive;

    bool operator==(const MemberNews &) const = default;
};

enum class MembershipMessageKind : std::uint8_t
{
    Probe, ///< "Are you there?"
    Ack, ///< The answer to a probe.
    ProbeRequest, ///< "Ask `subject` for me": the way between the two of us may be down, and not the host.
};

/// One message between two hosts. Lost, repeated and reordered messages do no harm.
struct MembershipMessage
{
    MembershipMessageKind kind = MembershipMessageKind::Probe;
    std::string toAddress;
    MemberNews sender; ///< The sending host itself.
    std::string subject; ///< Of an ack or a request for a probe: the host that is probed.
    std::string onBehalfOf; ///< The address of the host that asked for this probe, empty if it is the sender's own.
    std::vector<MemberNews> news;
};

/// An upper bound of the bytes that a message takes on the wire: Cap'n Proto's unpacked layout, in words of eight bytes, and the
/// headers of IP and UDP. The codec itself lies with the peer server.
std::size_t wireSize(const MembershipMessage &message);

/// A host in the platform's list, which lags behind what happens.
struct PlatformHost
{
    std::string host;
    std::string address;
    bool isLeaving = false;
};

/// The times and sizes of membership. The defaults keep a host at one probe a second whatever the size of the fleet.
struct MembershipSettings
{
    Duration probeInterval = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(300); ///< Then others are asked to probe. Ways between data centres take some milliseconds.
    std::size_t indirectProbes = 3; ///< With three others, one lost message in a hundred suspects a living host in none of a million probes.
    Duration suspicionTimeout = std::chrono::seconds(5); ///< A host that is paused for less stays a member.
    std::size_t newsBytes = 1'000; ///< Greatest size of the news on one message, so that it fits into one packet.
};

/// Which hosts are there, by random probes with piggybacked news (SWIM). Each host probes one other a second and each message carries
/// a bounded piece of news, so that the cost of a host stays the same at any size of the fleet; heartbeats from all to all
/// would cost 370 times as much. Membership decides where to send, never who may serve: that is the freshness gate's part. Pure and not thread-safe: time,
/// randomness and messages are passed in, and messages to send are returned.
class Membership
{
public:
    /// `incarnation` must be higher than that of any former process of this host: hosts keep nothing, so the wall clock in
    /// milliseconds at the start serves. If it stood back, the host outbids its former self as soon as it hears of it.
    Membership(std::string self, std::string address, std::uint64_t incarnation, MembershipSettings settings = {});

    /// Merges the platform's list. It brings in hosts to probe and marks those that leave; that a host is missing from it proves
    /// nothing, because it lags, but a dead host is forgotten with it.
    void setPlatformHosts(std::span<const PlatformHost> hosts);

    /// To be called a few times in each probe interval; returns the messages to send.
    std::vector<MembershipMessage> tick(TimePoint now, Random &random);

    /// Takes a message in and returns those to send.
    std::vector<MembershipMessage> onMessage(const MembershipMessage &message, TimePoint now);

    /// The news that this host leaves, for a few hosts each to learn at once and pass on. It answers probes as before.
    std::vector<MembershipMessage> leave(Random &random);

    /// One member as this host sees it.
    struct Member
    {
        MemberNews news;
        bool isLeaving = false; ///< By the platform's list: gets no new work.
    };

    /// The hosts to send to: alive or suspect, without this one, ascending by name.
    std::vector<Member> liveMembers() const;

    /// Nothing for an unknown host.
    std::optional<Member> member(std::string_view host) const;

    std::uint64_t incarnation() const;

    /// The changes of state and incarnation since the last call, in order; the last few hundred at most.
    std::vector<MemberNews> takeChanges();

private:
    struct Known
    {
        Member member;
        std::optional<TimePoint> suspectedAt; ///< Set at the next tick after the suspicion was heard.
        bool isInPlatformList = false;
    };

    /// News that still has to travel.
    struct Spreading
    {
        MemberNews news;
        std::size_t timesSent = 0;
    };

    struct Probe
    {
        std::string host;
        TimePoint sentAt;
        bool isIndirect = false;
    };

    void hear(const MemberNews &news);
    void hearOfSelf(const MemberNews &news);
    void note(const MemberNews &news, Known &known);
    void spread(const MemberNews &news);
    MemberNews selfNews() const;
    MembershipMessage messageTo(std::string_view host, MembershipMessageKind kind);
    void attachNews(MembershipMessage &message);
    void checkProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out);
    void startProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out);
    void checkSuspects(TimePoint now);
    std::optional<std::string> nextToProbe(Random &random);
    std::vector<std::string> namesOf(bool withDead) const;
    bool wasPaused(TimePoint now);
    std::size_t sendsOfEach() const;

    std::string self_;
    std::string address_;
    std::uint64_t incarnation_;
    MembershipSettings settings_;
    bool isLeaving_ = false;
    std::map<std::string, Known, std::less<>> members_;
    std::map<std::string, Spreading, std::less<>> spreading_;
    std::deque<std::string> probeOrder_;
    std::optional<Probe> probe_;
    std::optional<TimePoint> lastTick_;
    std::optional<TimePoint> nextProbeAt_;
    std::deque<MemberNews> changes_;
};

} // namespace Lovageloft

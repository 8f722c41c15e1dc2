#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/rendezvous.h"
#include "decision/slot_issuer.h"
#include "decision/statement_table.h"

namespace Lovageloft
{

/// Identifies the use of a slot by a request; 0 for a request without one.
using SlotId = std::uint64_t;

/// How a request in a slot ended, other than by a rejection.
enum class SlotEnd : std::uint8_t
{
    Finished, ///< The target's answer is complete.
    Abandoned, ///< The host has closed or lost the connection to the target before.
};

/// The part of a host in sharing the room of targets that state a rejection limit. The host sends a request to such a target only with a slot, which the
/// target's home host has granted (see SlotIssuer), and reports when the request was accepted, rejected or has ended. A slot that no request needs
/// goes back at once. A host that can't reach the home grants itself an even share of the rejections that homes don't use.
///
/// A request is undecided until its answer begins, or until it was not rejected for longer than the target's rejections take, as far as that is
/// known. A target may go on with a request that the host has abandoned, so that its slot stays in use for a time; if it was undecided, it counts as
/// rejected at that moment. Not thread-safe; reads no clock.
class SlotLeases
{
public:
    struct Links
    {
        std::function<void(const std::string &home, const SlotReport &report)> report;
        std::function<void(const std::string &host, const SlotGrant &grant)> grant;
    };

    /// Results of requests for slots since the start.
    struct Counts
    {
        std::uint64_t granted = 0;
        std::uint64_t returned = 0; ///< Granted, but not needed any more.
        std::uint64_t own = 0; ///< From this host's share, as the home did not answer.
    };

    /// `statements` must outlive this object.
    SlotLeases(std::string host, const StatementTable &statements);

    void setLinks(Links links);

    /// Sets the number of hosts including this one, and which of them may be homes.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates, TimePoint now);

    /// Whether requests to the target need slots: it states a rejection limit.
    bool isLimited(std::string_view target) const;

    /// Expected time until a request can be sent to the target; zero if it can be sent now.
    Duration wait(std::string_view target, TimePoint now) const;

    /// Slots granted a second over all hosts for a target that has too few; nothing if it has enough.
    std::optional<double> rate(std::string_view target, TimePoint now) const;

    /// Uses a slot for a request that is about to be sent.
    SlotId use(std::string_view target);

    /// The request was sent on an established connection. One that ends before can't have reached the target.
    void onSent(std::string_view target, SlotId slot, TimePoint now);

    /// The target's answer to a request has begun, and is not a rejection.
    void onAccepted(std::string_view target, SlotId slot, TimePoint now);

    /// Whether a request that was sent may still be rejected.
    bool isUndecided(std::string_view target, SlotId slot);

    /// A request in a slot has ended.
    void onEnded(std::string_view target, SlotId slot, SlotEnd end, TimePoint now);

    /// The target has rejected a request; `slot` is 0 if that used none.
    void onRejected(std::string_view target, SlotId slot, TimePoint now);

    /// Requests wait for `count` slots.
    void want(std::string_view target, std::size_t count, TimePoint now);

    /// Slots for the target that are held or wanted.
    std::size_t expected(std::string_view target, TimePoint now) const;

    /// Gives back the slots that no request has used.
    void returnUnused(TimePoint now);

    void onGrant(const std::string &home, const SlotGrant &grant, TimePoint now);

    /// Another host reports to this one as a home.
    void onReport(const std::string &host, const SlotReport &report, TimePoint now);

    /// To be called at `nextEvent` or later.
    void onTick(TimePoint now);

    /// When a request counts as accepted, a report is due again, or this host as a home can grant more; nothing if there is no such time.
    std::optional<TimePoint> nextEvent(TimePoint now) const;

    const Counts &counts() const
    {
        return counts_;
    }

private:
    /// A request in a slot.
    struct Running
    {
        std::optional<TimePoint> sentAt;
        std::uint64_t probe = 0; ///< Id of the grant if the request is a probe; 0 if it isn't.
        bool isAccepted = false;
        std::optional<TimePoint> quietAt; ///< When it was first noticed that no rejection had come in time.
        std::optional<TimePoint> abandonedUntil; ///< When the slot of a request that has ended without an answer goes back.
    };

    /// What this host has at a target.
    struct Lease
    {
        std::string home; ///< That the fields below are of.
        std::size_t held = 0; ///< Granted slots that no request uses yet.
        std::uint64_t heldProbe = 0; ///< Id of the grant of one of them if it is for a probe; 0 if none is.
        std::uint64_t acceptedProbe = 0; ///< Id of the newest grant for a probe that the target has accepted.
        Duration acceptanceTime{}; ///< As in the newest grant.
        std::map<SlotId, Running> running;
        Duration serviceTime{}; ///< From sending a request to the end of its answer, smoothed; zero if unknown.
        Duration rejectionTime{}; ///< Longest one from sending a request to its rejection.
        TimePoint rejectionTimeAt;
        std::size_t wanted = 0;
        TimePoint wantedAt; ///< When slots were last wanted.
        TimePoint wantedSince;
        std::uint64_t rejections = 0;
        std::uint64_t lastGrant = 0;
        std::uint64_t sequence = 0;
        SlotReport reported; ///< The last report.
        TimePoint reportedAt;
        TimePoint answeredAt; ///< When the home last replied, or slots were first wanted after a time in which none were.
        Duration grantDelay = std::chrono::milliseconds(5); ///< Time from a wish to its grant, smoothed.
        TimePoint ownShareAt; ///< When this host may next use its own share.
        double rate = 0;
        TimePoint rateAt;
    };

    using Leases = std::map<std::string, Lease, std::less<>>;

    void report(const std::string &target, Lease &lease, TimePoint now);
    void reportIfChanged(const std::string &target, Lease &lease, TimePoint now);
    static std::size_t undecided(const Lease &lease);
    static std::uint64_t undecidedProbe(const Lease &lease);
    static void accept(Lease &lease, Running &running);
    static bool updateRunning(Lease &lease, TimePoint now);
    static void addServiceTime(Lease &lease, Duration time);
    static void addRejectionTime(Lease &lease, Duration time, TimePoint now);
    Running *findRunning(std::string_view target, SlotId slot);
    static bool isWanted(const Lease &lease, TimePoint now);
    static bool isHomeSilent(const Lease &lease, TimePoint now);
    static TimePoint reportTime(const SlotGrant &grant);
    void takeOwnShare(const std::string &target, Lease &lease, TimePoint now);
    void deliver(const std::vector<SlotIssuer::Grant> &grants, TimePoint now);
    std::string homeOf(std::string_view target) const;

    std::string host_;
    const StatementTable &statements_;
    Links links_{[](const std::string &, const SlotReport &) {}, [](const std::string &, const SlotGrant &) {}};
    RendezvousNames candidates_;
    std::size_t hostCount_ = 1;
    SlotIssuer issuer_; ///< As a home.
    Leases leases_;
    SlotId lastSlot_ = 0;
    std::uint64_t lastSequence_ = 0;
    Counts counts_;
};

} // namespace Lovageloft

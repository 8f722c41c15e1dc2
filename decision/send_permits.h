#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/permit_issuer.h"
#include "decision/rendezvous.h"
#include "decision/slot_leases.h"
#include "decision/statement_table.h"

namespace Lovageloft
{

/// Asks a home host of a target for a permit.
struct PermitRequest
{
    std::uint64_t id = 0;
    std::string target;
    double rate = 0; ///< Rate limit of the target as the sender knows it, in requests a second over all hosts.
};

/// Answers a PermitRequest.
struct PermitReply
{
    std::uint64_t id = 0; ///< As in the request.
    PermitDecision decision;
};

/// Enforces over all hosts the limits that targets state. A host sends a request to a target with a rate limit only with a permit, which one of the
/// target's two home hosts has issued; each home issues half of the rate. Homes are chosen by rendezvous hashing, so that all hosts know them
/// without a message. A request to a target with a rejection limit needs a slot, see SlotLeases.
///
/// Permits are for the host, not for one request: it asks once it has a request that would go to the target, and the request goes elsewhere or waits
/// as placement decides. While a home does not answer, the other one's half is left. A host that reaches neither issues its own
/// even share of the rate. Permits of a lost reply are lost. Not thread-safe; reads no clock.
class SendPermits
{
public:
    using RequestSender = std::function<void(const std::string &home, const PermitRequest &request)>;

    /// Results of requests for permits since the start.
    struct Counts
    {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
        std::uint64_t timedOut = 0;
        std::uint64_t own = 0; ///< Issued from this host's share, as no home answered.
    };

    /// `statements` must outlive this object.
    SendPermits(std::string host, StatementTable &statements);

    /// Sets the number of hosts including this one, and which of them may be homes.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates, TimePoint now);

    /// Whether no target has a limit, so that nothing else here needs to be asked.
    bool isIdle() const;

    /// Time until a request can be sent to the target, as far as it is known; zero if it can be sent now.
    Duration wait(std::string_view target, TimePoint now) const;

    /// Requests a second that all hosts together may send to the target, or can while its room is full; nothing if it has no such limit.
    std::optional<double> rateLimit(std::string_view target, TimePoint now) const;

    /// Uses a permit and a slot for a request that is sent now. Returns the slot, 0 if it needs none; nothing if the target has no limit.
    std::optional<SlotId> use(std::string_view target, TimePoint now);

    /// A request that was sent has ended, or was rejected by the target. `slot` is 0 if it used none.
    void onEnded(std::string_view target, SlotId slot, SlotEnd end, TimePoint now);
    void onRejected(std::string_view target, SlotId slot, TimePoint now);

    /// Requests a permit if fewer than `count` are held or requested.
    void want(std::string_view target, std::size_t count, TimePoint now, const RequestSender &send);

    /// Gives back the slots that no request has used.
    void returnUnused(TimePoint now);

    /// Permits or slots for the target that are held or requested.
    std::size_t expected(std::string_view target, TimePoint now) const;

    /// Statements that this host, as the first home of their targets, has to repeat now for hosts that send nothing there, and which would otherwise
    /// let them lapse.
    std::vector<StatementTable::Update> takeRepeats(TimePoint now);

    /// Answers another host's request as a home of the target.
    PermitReply onRequest(const PermitRequest &request, TimePoint now);

    void onReply(const PermitReply &reply, TimePoint now);

    /// Gives up on homes that have not answered in time, and drops what is not needed any more. To be called at `nextEvent`.
    void onTick(TimePoint now);

    /// When a permit becomes valid, a home's answer is overdue, or a home can be asked again; nothing if there is no such time.
    std::optional<TimePoint> nextEvent(TimePoint now) const;

    const Counts &counts() const
    {
        return counts_;
    }

    SlotLeases &slots()
    {
        return slots_;
    }

    const SlotLeases &slots() const
    {
        return slots_;
    }

private:
    struct Permit
    {
        TimePoint from;
        TimePoint until;
        double rate = 0; ///< Limit at which it was requested. It is void once the target has stated less.
    };

    /// What this host has from one issuer of a target's permits, which is a home or this host itself for its share.
    struct Source
    {
        std::uint64_t requestId = 0; ///< 0 if no request is pending.
        TimePoint requestedAt;
        double requestedRate = 0;
        std::optional<Permit> permit;
        TimePoint askAgainAt;
        int timeouts = 0; ///< In a row.
    };

    using Sources = std::map<std::string, Source, std::less<>>;

    std::optional<double> statedRate(std::string_view target, TimePoint now) const;
    Duration permitWait(std::string_view target, TimePoint now) const;
    std::vector<std::string> homesOf(std::string_view target) const;
    static bool isUsable(const Source &source, double rate, TimePoint now);
    void askRemote(const std::string &home, std::string_view target, Source &source, double rate, TimePoint now, const RequestSender &send);
    void askOwnShare(std::string_view target, Sources &sources, double rate, TimePoint now);
    static void apply(Source &source, const PermitDecision &decision, double rate, TimePoint now);
    double homeRate(double rate) const;

    std::string host_;
    StatementTable &statements_;
    RendezvousNames candidates_;
    std::size_t homeCount_ = 1; ///< Homes of each target.
    std::size_t hostCount_ = 1;
    bool isInitialized_ = false;
    PermitIssuer issuer_; ///< As a home.
    PermitIssuer ownShare_;
    SlotLeases slots_;
    std::map<std::string, Sources, std::less<>> sources_; ///< By target, then by issuer.
    std::uint64_t lastId_ = 0;
    TimePoint repeatAt_;
    Counts counts_;
};

} // namespace Lovageloft

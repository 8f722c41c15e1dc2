#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "decision/leave_table.h"
#include "decision/request_scheduler.h"
#include "decision/send_permits.h"
#include "gateway/protocol.h"
#include "gateway/statement_log.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// What the fleet knows of the statements that targets make about themselves with their answers, which targets leave, and the permits to send to those
/// that state a rate limit. Changes are passed on to all other hosts. For use on the event loop only.
class TargetStatements
{
public:
    /// Sends messages to other hosts, and tells that a permit has become valid.
    struct Links
    {
        SendPermits::RequestSender requestPermit;
        std::function<void(std::span<const StatementTable::Update> updates)> broadcast;
        std::function<void()> onPermitValid;
        std::function<void()> onLeave; ///< A target is known to leave that was not before.
        SlotLeases::Links slots;
    };

    TargetStatements(boost::asio::io_context &loop, std::string hostName, Metrics &metrics, Links links);

    /// Sets the number of hosts of the fleet including this one, and which of them may issue permits.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates);

    /// Reads an answer of a target to a request that was sent at `sentAt` to this incarnation of it.
    void onAnswer(std::string_view targetId, std::int64_t incarnation, TimePoint sentAt, const AnswerFacts &facts);

    /// Drops what other incarnations and targets that are gone have stated. Targets that have not answered yet are taken to state a rejection limit if
    /// others of their service do: they would get too much before their first answer otherwise.
    void setTargets(const TargetMap &targets);

    /// Notes which targets say in their entries that they leave.
    void noteLeaving(const TargetMap &listed);

    /// The listed targets, with all that leave by what any host has heard marked as such.
    std::shared_ptr<const TargetMap> withLeaves(std::shared_ptr<const TargetMap> listed) const;

    /// Requests are queued that would go to these targets if there were permits. Slots that are held now are not needed.
    void wantPermits(std::span<const WantedPermits> wanted);

    // Messages of other hosts.

    void onUpdates(std::span<const StatementTable::Update> updates);
    PermitReply onPermitRequest(const PermitRequest &request);
    void onPermitReply(const PermitReply &reply);
    void onSlotReport(const std::string &host, const SlotReport &report);
    void onSlotGrant(const std::string &home, const SlotGrant &grant);

    /// All statements in force, for a host that has just started.
    std::vector<StatementTable::Update> inForce() const;

    void tick(TimePoint now);

    const StatementTable &table() const
    {
        return table_;
    }

    const LeaveTable &leaves() const
    {
        return leaves_;
    }

    SendPermits &permits()
    {
        return permits_;
    }

    const SendPermits &permits() const
    {
        return permits_;
    }

private:
    /// A target that was last listed.
    struct Listed
    {
        std::int64_t incarnation = 0;
        std::string service;
    };

    void presumeRejectionLimits(const TargetMap &targets);
    void onChanged(const StatementTable::Update &update);
    bool addLeave(const LeaveTable::Leave &leave, std::string_view source);
    bool isToldByOther(const TargetStatement &leaving) const;
    void announce(const StatementTable::Update &update);
    void flushAnnouncements();
    void armPermitTimer(TimePoint now);

    std::string hostName_;
    StatementTable table_;
    LeaveTable leaves_;
    StatementLog log_;
    SendPermits permits_;
    Links links_;
    std::map<std::string, Listed, std::less<>> listed_; ///< By target id.
    std::vector<StatementTable::Update> announcements_; ///< Sent together a moment later.
    boost::asio::steady_timer announcementTimer_;
    boost::asio::steady_timer permitTimer_;
};

} // namespace Lovageloft

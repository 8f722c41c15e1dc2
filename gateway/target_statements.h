#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "decision/request_scheduler.h"
#include "decision/send_permits.h"
#include "gateway/protocol.h"
#include "gateway/statement_log.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// What the fleet knows of the statements that targets make about themselves with their answers, and the permits to send to those that state a
/// rate limit. Changes are passed on to all other hosts. For use on the event loop only.
class TargetStatements
{
public:
    /// Sends messages to other hosts, and tells that a permit has become valid.
    struct Links
    {
        SendPermits::RequestSender requestPermit;
        std::function<void(std::span<const StatementTable::Update> updates)> broadcast;
        std::function<void()> onPermitValid;
    };

    TargetStatements(boost::asio::io_context &loop, std::string hostName, Metrics &metrics, Links links);

    /// Sets the number of hosts of the fleet including this one, and which of them may issue permits.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates);

    /// Reads an answer of a target to a request that was sent at `sentAt` to this incarnation of it.
    void onAnswer(std::string_view targetId, std::int64_t incarnation, TimePoint sentAt, const AnswerFacts &facts);

    /// A target has answered that it did not run a request.
    void onRejected(std::string_view targetId, std::int64_t incarnation);

    /// Drops what other incarnations and targets that are gone have stated.
    void setTargets(const TargetMap &targets);

    /// Requests are queued that would go to these targets if there were permits.
    void wantPermits(std::span<const WantedPermits> wanted);

    // Messages of other hosts.

    void onUpdates(std::span<const StatementTable::Update> updates);
    PermitReply onPermitRequest(const PermitRequest &request);
    void onPermitReply(const PermitReply &reply);

    /// All statements in force, for a host that has just started.
    std::vector<StatementTable::Update> inForce() const;

    void tick(TimePoint now);

    const StatementTable &table() const
    {
        return table_;
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
    void announce(const StatementTable::Update &update);
    void flushAnnouncements();
    void armPermitTimer(TimePoint now);

    StatementTable table_;
    StatementLog log_;
    SendPermits permits_;
    Links links_;
    std::vector<StatementTable::Update> announcements_; ///< Sent together a moment later.
    boost::asio::steady_timer announcementTimer_;
    boost::asio::steady_timer permitTimer_;
};

} // namespace Lovageloft

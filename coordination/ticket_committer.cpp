#include "coordination/ticket_committer.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

// Operators commit a few tickets a minute at the target size, so that eight lost races in a row mean a client that
// commits in a loop; the operator is told instead of loading the store further.
constexpr int greatestAttempts = 8;

bool changesHosts(const Ticket &ticket)
{
    return std::any_of(
        ticket.objects.begin(), ticket.objects.end(), [](const ConfigurationObject &object) { return std::holds_alternative<HostsConfiguration>(object); });
}

Reason inDoubt()
{
    return {ResultCode::StoreAnswerLost, "the ticket may or may not have been committed; send the same ticket again"};
}

} // namespace

TicketCommitter::TicketCommitter(ConfigurationLogStore &logStore, ConfigurationLog &log, IsInForce isInForce)
    : logStore_(logStore)
    , log_(log)
    , isInForce_(std::move(isInForce))
{
}

std::optional<LogEntry> TicketCommitter::commit(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason)
{
    if (logStore_.catchUp(log_) != StoreStatus::Ok) {
        reason = {ResultCode::StoreUnavailable, "the store does not answer; nothing was committed"};
        return std::nullopt;
    }
    bool isInDoubt = false;
    for (int attempts = 0; attempts < greatestAttempts; ++attempts) {
        auto entry = makeEntry(ticket, committedAt, nonce, reason);
        if (!entry.has_value()) {
            return std::nullopt;
        }
        switch (attempt(*entry, isInDoubt)) {
        case Step::Committed:
            logStore_.writeSnapshotIfDue(log_);
            return entry;
        case Step::Overtaken:
            isInDoubt = false;
            continue;
        case Step::NotThere:
            isInDoubt = true;
            continue;
        case Step::Failed:
            reason = {ResultCode::StoreUnavailable, "the store does not answer; nothing was committed"};
            return std::nullopt;
        case Step::Unknown:
            reason = inDoubt();
            return std::nullopt;
        }
    }
    reason = isInDoubt ? inDoubt() : Reason{ResultCode::TicketRaced, "other tickets were committed first; try again"};
    return std::nullopt;
}

std::optional<LogEntry> TicketCommitter::makeEntry(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason) const
{
    ConfigurationState after = log_.state();
    if (!after.apply(ticket, reason)) {
        // The ticket took effect and a later one touched the same objects: a repeated call must not tell its operator that it never did.
        if (reason.code == ResultCode::TicketStale && log_.findTicket(ticket) != nullptr) {
            reason = {ResultCode::TicketAlreadyAccepted, "this ticket was accepted before, and a later one followed"};
        }
        return std::nullopt;
    }
    if (changesHosts(ticket) && isInForce_ && log_.hostsSequence() != 0 && !isInForce_(log_.hostsSequence())) {
        // A host that knows neither change would count a majority of a list two changes old, which need not share a host with today's.
        reason = {ResultCode::TicketRaced, "the last change of hosts, entry " + std::to_string(log_.hostsSequence()) + ", is not in force yet; try again"};
        return std::nullopt;
    }
    LogEntry entry{log_.version() + 1, nonce, committedAt, {}, ticket};
    for (const ConfigurationObject &object : ticket.objects) {
        const std::string id = objectId(object);
        entry.changes.push_back({id, log_.state().objectDigest(id), after.objectDigest(id)});
    }
    if (formatLogEntry(entry).size() > greatestEntrySize) {
        reason = {ResultCode::TicketInvalid, "the ticket is longer than a value of the store may be"};
        return std::nullopt;
    }
    return entry;
}

TicketCommitter::Step TicketCommitter::attempt(const LogEntry &entry, bool isInDoubt)
{
    const StoreReply reply = logStore_.create(entry);
    switch (reply.status) {
    case StoreStatus::Ok:
        log_.add(entry);
        return Step::Committed;
    case StoreStatus::Conflict:
        // Somebody's entry is there. It may be our own after an attempt whose answer was lost.
        return settle(entry, isInDoubt ? Step::Unknown : Step::Failed);
    case StoreStatus::AnswerLost:
        return settle(entry, Step::Unknown);
    case StoreStatus::Unavailable:
    case StoreStatus::NotFound:
        break;
    }
    return isInDoubt ? Step::Unknown : Step::Failed;
}

/// Reads the key back. What goes wrong without it: the store commits the ticket, the answer is lost, and the operator is told that
/// it failed, or the host commits it a second time at the next number. The nonce tells this call's entry from an equal ticket's.
TicketCommitter::Step TicketCommitter::settle(const LogEntry &entry, Step unreadable)
{
    std::optional<LogEntry> stored;
    const StoreStatus status = logStore_.read(entry.sequence, stored);
    if (status == StoreStatus::NotFound) {
        // The write may still be on its way. The same entry goes out again under the same number, so that only one of them can be created.
        return Step::NotThere;
    }
    if (status != StoreStatus::Ok || !stored.has_value()) {
        return unreadable;
    }
    const bool isOurs = stored->nonce == entry.nonce;
    log_.add(std::move(*stored));
    return isOurs ? Step::Committed : Step::Overtaken;
}

} // namespace Lovageloft

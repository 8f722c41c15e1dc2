#include "coordination/ticket_committer.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

// Operators commit a few tickets a minute at the intended size, so eight lost races in a row mean that a client commits in a loop. The
// operator is told so instead of putting more load on the store.
constexpr int maxAttempts = 8;

bool changesHosts(const Ticket &ticket)
{
    return std::any_of(
        ticket.objects.begin(), ticket.objects.end(), [](const ConfigurationObject &object) { return std::holds_alternative<HostsConfiguration>(object); });
}

Reason outcomeUnknownReason()
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
    bool mayBeCommitted = false;
    for (int attempts = 0; attempts < maxAttempts; ++attempts) {
        auto entry = makeEntry(ticket, committedAt, nonce, reason);
        if (!entry.has_value()) {
            return std::nullopt;
        }
        switch (tryCreate(*entry, mayBeCommitted)) {
        case AttemptResult::Committed:
            logStore_.writeSnapshotIfDue(log_);
            return entry;
        case AttemptResult::LostRace:
            mayBeCommitted = false;
            continue;
        case AttemptResult::KeyMissing:
            mayBeCommitted = true;
            continue;
        case AttemptResult::Failed:
            reason = {ResultCode::StoreUnavailable, "the store does not answer; nothing was committed"};
            return std::nullopt;
        case AttemptResult::Unknown:
            reason = outcomeUnknownReason();
            return std::nullopt;
        }
    }
    reason = mayBeCommitted ? outcomeUnknownReason() : Reason{ResultCode::TicketRaced, "other tickets were committed first; try again"};
    return std::nullopt;
}

std::optional<LogEntry> TicketCommitter::makeEntry(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason) const
{
    ConfigurationState after = log_.state();
    if (!after.apply(ticket, reason)) {
        // The ticket took effect and a later one changed the same objects. A repeated call must not report to the operator that the ticket
        // never took effect.
        if (reason.code == ResultCode::TicketStale && log_.findTicket(ticket) != nullptr) {
            reason = {ResultCode::TicketAlreadyAccepted, "this ticket was accepted before, and a later one followed"};
        }
        return std::nullopt;
    }
    if (changesHosts(ticket) && isInForce_ && log_.hostsSequence() != 0 && !isInForce_(log_.hostsSequence())) {
        // A host that has received neither change would count a majority of a list that is two changes old, which need not have a host in
        // common with the current one.
        reason = {ResultCode::TicketRaced, "the last change of hosts, entry " + std::to_string(log_.hostsSequence()) + ", is not in force yet; try again"};
        return std::nullopt;
    }
    LogEntry entry{log_.version() + 1, nonce, committedAt, {}, ticket};
    for (const ConfigurationObject &object : ticket.objects) {
        const std::string id = objectId(object);
        entry.changes.push_back({id, log_.state().objectDigest(id), after.objectDigest(id)});
    }
    if (formatLogEntry(entry).size() > maxEntrySize) {
        reason = {ResultCode::TicketInvalid, "the ticket is longer than a value of the store may be"};
        return std::nullopt;
    }
    return entry;
}

TicketCommitter::AttemptResult TicketCommitter::tryCreate(const LogEntry &entry, bool mayBeCommitted)
{
    const StoreReply reply = logStore_.create(entry);
    switch (reply.status) {
    case StoreStatus::Ok:
        log_.add(entry);
        return AttemptResult::Committed;
    case StoreStatus::Conflict:
        // An entry exists under this number. It may be this call's own, created by an attempt whose response was lost.
        return readBack(entry, mayBeCommitted ? AttemptResult::Unknown : AttemptResult::Failed);
    case StoreStatus::AnswerLost:
        return readBack(entry, AttemptResult::Unknown);
    case StoreStatus::Unavailable:
    case StoreStatus::NotFound:
        break;
    }
    return mayBeCommitted ? AttemptResult::Unknown : AttemptResult::Failed;
}

/// Reads the key back after a lost response or a conflict. Otherwise, if the store commits the ticket and the response is lost, the
/// operator would be told that the ticket failed, or the host would commit it a second time under the next number. The nonce distinguishes
/// this call's entry from one of an equal ticket.
TicketCommitter::AttemptResult TicketCommitter::readBack(const LogEntry &entry, AttemptResult unreadable)
{
    std::optional<LogEntry> stored;
    const StoreStatus status = logStore_.read(entry.sequence, stored);
    if (status == StoreStatus::NotFound) {
        // The write may still take effect later. The same entry is sent again under the same number, so that only one of them can be
        // created.
        return AttemptResult::KeyMissing;
    }
    if (status != StoreStatus::Ok || !stored.has_value()) {
        return unreadable;
    }
    const bool isOwnEntry = stored->nonce == entry.nonce;
    log_.add(std::move(*stored));
    return isOwnEntry ? AttemptResult::Committed : AttemptResult::LostRace;
}

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "coordination/configuration_log.h"
#include "coordination/configuration_log_store.h"

namespace Lovageloft
{

/// Commits operators' tickets to the log in the store. Creating the key of the entry is the only commit point: the store alone orders tickets
/// that race. The replica may be one that is also used for other purposes. Not thread-safe: committer and replica are used from one thread.
class TicketCommitter
{
public:
    /// Returns whether the entry `sequence`, which is the last one that changed the list of hosts, is in force.
    using IsInForce = std::function<bool(std::int64_t sequence)>;

    /// `logStore`, `log` and what `isInForce` refers to must outlive the committer. Without `isInForce` a change of the list of hosts may
    /// follow another immediately, which is safe only on the memory store of a single host.
    TicketCommitter(ConfigurationLogStore &logStore, ConfigurationLog &log, IsInForce isInForce);

    /// Commits the ticket and returns its entry, which is then also in the replica. `nonce` must be random for each call, and `committedAt`
    /// is the wall clock in milliseconds since 1970. On failure the reason is:
    /// TicketAlreadyAccepted: this very ticket took effect before, possibly by a call whose response was lost. If a later ticket has changed its
    /// objects since, this is known only while the replica keeps the entry (see ConfigurationLog::findTicket()); after that the reason is
    /// TicketStale;
    /// TicketStale, TicketConflict, TicketInvalid: as documented at ConfigurationState::apply(); TicketInvalid also if the entry is longer
    /// than maxEntrySize;
    /// TicketRaced: other tickets were committed first eight times in a row, or the last change of the list of hosts is not in force yet
    /// and this one must wait; nothing was committed;
    /// StoreUnavailable: the store gave no answer or its log is incomplete, and this call committed nothing;
    /// StoreAnswerLost: the ticket may or may not have been committed; sending the same ticket again resolves this.
    std::optional<LogEntry> commit(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason);

private:
    enum class AttemptResult : std::uint8_t
    {
        Committed,
        LostRace, ///< Another entry was created under the sequence number.
        KeyMissing, ///< The response was lost and the key does not exist; the write may still take effect.
        Unknown, ///< The response was lost and the key can't be read.
        Failed, ///< Nothing was written.
    };

    std::optional<LogEntry> makeEntry(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason) const;
    AttemptResult tryCreate(const LogEntry &entry, bool mayBeCommitted);
    AttemptResult readBack(const LogEntry &entry, AttemptResult unreadable);

    ConfigurationLogStore &logStore_;
    ConfigurationLog &log_;
    IsInForce isInForce_;
};

} // namespace Lovageloft

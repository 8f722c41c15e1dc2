#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "coordination/configuration_log.h"
#include "coordination/configuration_log_store.h"

namespace Lovageloft
{

/// Commits operators' tickets to the log in the store. The creation of the entry's key is the one commit point: the store
/// alone orders tickets that race. Uses a replica of its own or the duty's, always from one thread.
class TicketCommitter
{
public:
    /// Tells whether the entry of this sequence, the last that changed the list of hosts, is in force.
    using IsInForce = std::function<bool(std::int64_t sequence)>;

    /// All three must outlive the committer. Without `isInForce` every change of hosts may follow on another at once, which
    /// is sound on the memory store of a single host only.
    TicketCommitter(ConfigurationLogStore &logStore, ConfigurationLog &log, IsInForce isInForce);

    /// Commits the ticket and returns its entry, which is then in the replica too. `nonce` must be drawn anew for each call, and
    /// `committedAt` is the wall clock in milliseconds since 1970. Otherwise the reason is:
    /// TicketAlreadyAccepted: this very ticket took effect before, maybe by a call whose answer was lost;
    /// TicketStale, TicketConflict, TicketInvalid: as ConfigurationState::apply says;
    /// TicketRaced: others committed first too many times in a row, or the last change of hosts is not in force yet and this one must wait;
    /// nothing was committed;
    /// StoreUnavailable: the store gives no answer, and this call committed nothing;
    /// StoreAnswerLost: the ticket may or may not have been committed; the same ticket again settles it.
    std::optional<LogEntry> commit(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason);

private:
    enum class Step : std::uint8_t
    {
        Committed,
        Overtaken, ///< Another entry took the number.
        NotThere, ///< The answer was lost and the key is not there: the write may still arrive.
        Unknown, ///< The answer was lost and the key can't be read.
        Failed, ///< Certainly nothing written.
    };

    std::optional<LogEntry> makeEntry(const Ticket &ticket, std::int64_t committedAt, const std::string &nonce, Reason &reason) const;
    Step attempt(const LogEntry &entry, bool isInDoubt);
    Step settle(const LogEntry &entry, Step unreadable);

    ConfigurationLogStore &logStore_;
    ConfigurationLog &log_;
    IsInForce isInForce_;
};

} // namespace Lovageloft

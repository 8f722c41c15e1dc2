#include <iostream>

#include "coordination/configuration_audit.h"
#include "coordination/memory_store.h"
#include "coordination/ticket_committer.h"
#include "core/digest.h"

using namespace Lovageloft;

/// Commits a ticket on one host and reads it on another; the two share only the store.
int main()
{
    MemoryStore store;
    ConfigurationLogStore logStore(store, "example/");
    ConfigurationLog committing;
    TicketCommitter committer(logStore, committing, {});

    Reason reason;
    const auto ticket = parseTicket(R"({"ticket":1,"operator":"nino","objects":[{"kind":"team","name":"desk","rate":500,"burst":2000,"keys":[]}]})", reason);
    constexpr std::int64_t committedAt = 1'800'000'000'000;
    if (!ticket.has_value() || !committer.commit(*ticket, committedAt, randomHex(16), reason).has_value()) {
        std::cerr << resultCodeInfo(reason.code).name << ": " << reason.text << '\n';
        return 1;
    }
    // Committing the same ticket again gets another result than a different ticket with that number.
    committer.commit(*ticket, committedAt, randomHex(16), reason);
    std::cout << "again: " << resultCodeInfo(reason.code).name << '\n';

    ConfigurationLog other;
    logStore.catchUp(other);
    std::cout << "other host: version " << other.version() << ", rate " << other.state().teams().at("desk").rate << '\n';
    const auto lines = readAudit(logStore, {1, other.version()}, reason);
    for (const AuditLine &line : lines.value_or(std::vector<AuditLine>{})) {
        std::cout << "audit: " << line.sequence << ' ' << line.operatorName << " ticket " << line.ticket << ' ' << line.change.object << '\n';
    }
    return 0;
}

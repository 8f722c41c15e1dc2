#pragma once

#include <memory>

#include "core/metrics.h"
#include "core/settings.h"
#include "servers/caller_memory.h"
#include "servers/caller_server.h"
#include "servers/engine_observer.h"
#include "servers/operator_server.h"
#include "servers/peer_duty.h"
#include "servers/router_parts.h"
#include "servers/store_watch_duty.h"

namespace Lovageloft
{

/// A host with all duties. Members may use only those declared before them.
class RouterHost
{
public:
    explicit RouterHost(Settings settings);

    /// Applies the seed tickets and opens the ports. Returns false and sets `reason` if a ticket is refused.
    bool start(Reason &reason);

    /// Shuts down gracefully: /ready fails at once, new requests are served for the notice period of the balancer, and running requests are
    /// completed. Returns false if some were still running at the drain limit.
    bool drain();

    /// The bound ports, useful if the settings have port 0.
    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;
    std::uint16_t peerPort() const;

private:
    bool applySeedTickets(Reason &reason);
    bool waitForRunning();

    Settings settings_;
    Metrics metrics_;
    std::uint64_t incarnation_;
    ShareService shares_;
    ConfigurationService configuration_;
    std::unique_ptr<Store> store_;
    ClaimTable claimTable_;
    PeerDuty peers_;
    ClaimService claims_;
    TicketService tickets_;
    StoreWatchDuty storeWatch_;
    DrainState drain_;
    ConnectionDeadlines deadlines_;
    Dispatcher dispatcher_;
    EngineObserver engineObserver_;
    CallerMemory callerMemory_;
    RouterParts parts_;
    std::unique_ptr<CallerServer> callers_;
    std::unique_ptr<OperatorServer> operators_;
};

} // namespace Lovageloft

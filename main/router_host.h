#pragma once

#include <memory>

#include "core/metrics.h"
#include "core/settings.h"
#include "servers/caller_server.h"
#include "servers/engine_observer.h"
#include "servers/operator_server.h"
#include "servers/peer_duty.h"
#include "servers/router_parts.h"
#include "servers/store_watch_duty.h"

namespace Lovageloft
{

/// One running host: all duties, wired. The order of the members is the order in which they may use each other.
class RouterHost
{
public:
    explicit RouterHost(Settings settings);

    /// Applies the seed tickets and opens the ports; false if a ticket is refused.
    bool start(Reason &reason);

    /// Shuts down gracefully: /ready fails first, work is still taken while the balancer lags, and what runs is completed.
    /// False if something still ran at the limit.
    bool drain();

    /// Ports as bound, for settings that take any free one.
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
    RouterParts parts_;
    std::unique_ptr<CallerServer> callers_;
    std::unique_ptr<OperatorServer> operators_;
};

} // namespace Lovageloft

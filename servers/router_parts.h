#pragma once

#include "core/metrics.h"
#include "core/settings.h"
#include "servers/caller_memory.h"
#include "servers/claim_service.h"
#include "servers/configuration_service.h"
#include "servers/connection_deadlines.h"
#include "servers/dispatcher.h"
#include "servers/drain_state.h"
#include "servers/share_service.h"
#include "servers/ticket_service.h"

namespace Lovageloft
{

/// What the handlers of a host's requests share. Owned by the program's wiring, which outlives all of them.
struct RouterParts
{
    const Settings &settings;
    Metrics &metrics;
    ConfigurationService &configuration;
    ShareService &shares;
    TicketService &tickets;
    ClaimService &claims;
    Dispatcher &dispatcher;
    DrainState &drain;
    ConnectionDeadlines &deadlines;
    CallerMemory &callerMemory;
};

} // namespace Lovageloft

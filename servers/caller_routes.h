#pragma once

#include "servers/caller_exchange.h"
#include "servers/router_parts.h"

namespace Lovageloft
{

/// Gives a caller's request to the handler of its path; the one place where the callers' paths are registered.
void routeCallerExchange(RouterParts &parts, CallerExchange &exchange);

} // namespace Lovageloft

#pragma once

#include <optional>

#include "servers/caller_exchange.h"
#include "servers/configuration_service.h"
#include "servers/refusal.h"
#include "servers/router_parts.h"

namespace Lovageloft
{

/// The team whose key came with a request; MissingKey or UnknownKey if there is none.
std::optional<TeamKey> authenticateCaller(const RouterParts &parts, const CallerExchange &exchange, Refusal &refusal);

} // namespace Lovageloft

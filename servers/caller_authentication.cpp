#include "servers/caller_authentication.h"

namespace Lovageloft
{

std::optional<TeamKey> authenticateCaller(const RouterParts &parts, const CallerExchange &exchange, Refusal &refusal)
{
    const std::string_view key = bearerKey(exchange.request);
    if (key.empty()) {
        refusal = {{ResultCode::MissingKey, {}}};
        return std::nullopt;
    }
    auto found = parts.configuration.findKey(key);
    if (!found) {
        refusal = {{ResultCode::UnknownKey, {}}};
    }
    return found;
}

} // namespace Lovageloft

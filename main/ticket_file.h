#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace Lovageloft
{

/// Prepares a ticket file for sending: each key given as `{"id":ID,"secret":SECRET}` becomes a salted digest, so that no secret
/// leaves the operator's machine. The salt follows from the ticket and the secret: sent again after a lost answer, the same
/// file is the same ticket. TicketInvalid if the text is not a JSON object.
std::optional<std::string> prepareTicket(std::string_view text, Reason &reason);

} // namespace Lovageloft

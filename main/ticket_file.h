#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace Lovageloft
{

/// Prepares the text of a ticket file for sending: replaces the secret of each key given as `{"id":ID,"secret":SECRET}` by a salted digest, so that
/// no secret leaves the operator's machine. The salt is derived from the ticket and the secret, so that a file that is sent again after a lost
/// response is the same ticket. Returns nothing with TicketInvalid if the text is no JSON object or a key has another id than its secret states.
std::optional<std::string> prepareTicket(std::string_view text, Reason &reason);

} // namespace Lovageloft

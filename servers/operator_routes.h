#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "servers/router_parts.h"

namespace Lovageloft
{

/// Answers one operator call; the one place where the operators' paths are registered.
void routeOperatorCall(RouterParts &parts, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

} // namespace Lovageloft

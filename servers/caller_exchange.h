#pragma once

#include <string>
#include <string_view>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "core/clock.h"

namespace Lovageloft
{

/// One request of a caller, whole, and where its answer goes.
struct CallerExchange
{
    std::string id; ///< The request's own id, unique over all hosts.
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    std::string body;
    int socket = -1; ///< To notice when the caller hangs up.
    TimePoint arrival;
};

/// The key from `Authorization: Bearer KEY`; empty if there is none.
std::string_view bearerKey(const Poco::Net::HTTPRequest &request);

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"

/// The JSON texts of configuration objects and of a whole state. Tickets have theirs in configuration.h.
namespace Lovageloft
{

/// The number and digest of the last ticket that touched an object.
struct LastTicket
{
    std::string object; ///< As objectId names it.
    std::int64_t number = 0;
    std::string digest; ///< sha256Hex of formatTicket.
};

/// A whole state as it stands in JSON.
struct ConfigurationDocument
{
    std::vector<ConfigurationObject> objects;
    std::vector<LastTicket> tickets;
};

/// One object as JSON with fields in a fixed order, so that equal objects have equal digests.
std::string formatObject(const ConfigurationObject &object);

std::string formatConfigurationDocument(const ConfigurationDocument &document);

/// Reads a whole state; anything unknown or out of range is TicketInvalid.
std::optional<ConfigurationDocument> parseConfigurationDocument(std::string_view json, Reason &reason);

} // namespace Lovageloft

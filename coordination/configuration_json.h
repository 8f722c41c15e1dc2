#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"

/// JSON texts of configuration objects and of a complete state. Those of tickets are in configuration.h.
namespace Lovageloft
{

/// The number and digest of the last ticket that changed an object.
struct LastTicket
{
    std::string object; ///< As returned by objectId().
    std::int64_t number = 0;
    std::string digest; ///< sha256Hex of the text returned by formatTicket().
};

/// The content of a ConfigurationState as written to JSON.
struct ConfigurationDocument
{
    std::vector<ConfigurationObject> objects;
    std::vector<LastTicket> tickets;
};

/// Returns one object as JSON with its fields in a fixed order, so that equal objects have equal digests.
std::string formatObject(const ConfigurationObject &object);

std::string formatConfigurationDocument(const ConfigurationDocument &document);

/// Reads a complete state. Unknown fields, wrong types and values out of range are reported as TicketInvalid; only the items of "tickets" may
/// have unknown fields.
std::optional<ConfigurationDocument> parseConfigurationDocument(std::string_view json, Reason &reason);

} // namespace Lovageloft

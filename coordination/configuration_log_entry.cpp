#include "coordination/configuration_log_entry.h"

#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

using JsonObject = Poco::JSON::Object::Ptr;

std::vector<ObjectChange> readChanges(const JsonObject &document)
{
    std::vector<ObjectChange> changes;
    const Poco::JSON::Array::Ptr array = document->getArray("changes");
    for (unsigned i = 0; !array.isNull() && i < array->size(); ++i) {
        const JsonObject change = array->getObject(i);
        if (change.isNull()) {
            throw Poco::DataFormatException("changes");
        }
        changes.push_back({change->getValue<std::string>("object"), change->getValue<std::string>("before"), change->getValue<std::string>("after")});
    }
    return changes;
}

std::optional<LogEntry> readEntry(std::string_view json, Reason &reason)
{
    Poco::JSON::Parser parser;
    const auto document = parser.parse(std::string(json)).extract<JsonObject>();
    LogEntry entry;
    entry.sequence = document->getValue<std::int64_t>("sequence");
    entry.nonce = document->getValue<std::string>("nonce");
    entry.committedAt = document->getValue<std::int64_t>("committed_at");
    entry.changes = readChanges(document);
    std::ostringstream ticketText;
    document->get("ticket").extract<JsonObject>()->stringify(ticketText);
    std::optional<Ticket> ticket = parseTicket(ticketText.str(), reason);
    if (!ticket.has_value()) {
        return std::nullopt;
    }
    entry.ticket = std::move(*ticket);
    return entry;
}

} // namespace

std::string formatLogEntry(const LogEntry &entry)
{
    std::string text = "{\"sequence\":" + std::to_string(entry.sequence) + ",\"nonce\":";
    appendJsonString(text, entry.nonce);
    text += ",\"committed_at\":" + std::to_string(entry.committedAt) + ",\"changes\":[";
    std::string_view separator;
    for (const ObjectChange &change : entry.changes) {
        text += separator;
        text += "{\"object\":";
        appendJsonString(text, change.object);
        text += ",\"before\":\"" + change.before + "\",\"after\":\"" + change.after + "\"}";
        separator = ",";
    }
    text += "],\"ticket\":" + formatTicket(entry.ticket) + "}";
    return text;
}

std::optional<LogEntry> parseLogEntry(std::string_view json, Reason &reason)
{
    try {
        return readEntry(json, reason);
    } catch (const Poco::Exception &) {
        reason = {ResultCode::TicketInvalid, "not a log entry"};
    }
    return std::nullopt;
}

} // namespace Lovageloft

#include "main/ticket_file.h"

#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "coordination/key_table.h"
#include "core/digest.h"

namespace Lovageloft
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t saltDigits = 32;

void replaceSecret(Object &key, const std::string &ticket, const std::string &team)
{
    if (!key.has("secret")) {
        return;
    }
    const auto secret = key.getValue<std::string>("secret");
    const std::string id = key.optValue<std::string>("id", "");
    const std::string_view publicId = KeyTable::publicId(secret);
    if (!publicId.empty() && publicId != id) {
        // Hosts look up such a key only by the id in its text, so they would never find it under another id.
        throw Poco::InvalidArgumentException("the id of this key must be " + std::string(publicId));
    }
    const std::string salt = sha256Hex(ticket + '\n' + team + '\n' + id + '\n' + sha256Hex(secret)).substr(0, saltDigits);
    key.remove("secret");
    key.set("salt", salt);
    key.set("digest", sha256Hex(salt + secret));
}

void replaceSecrets(const Object &document)
{
    const std::string ticket = document.get("ticket").toString();
    const Array::Ptr objects = document.getArray("objects");
    for (unsigned i = 0; !objects.isNull() && i < objects->size(); ++i) {
        const Object::Ptr object = objects->getObject(i);
        const Array::Ptr keys = object.isNull() ? nullptr : object->getArray("keys");
        for (unsigned k = 0; !keys.isNull() && k < keys->size(); ++k) {
            if (Object::Ptr key = keys->getObject(k)) {
                replaceSecret(*key, ticket, object->optValue<std::string>("name", ""));
            }
        }
    }
}

} // namespace

std::optional<std::string> prepareTicket(std::string_view text, Reason &reason)
{
    try {
        Poco::JSON::Parser parser(new Poco::JSON::ParseHandler(true));
        const auto document = parser.parse(std::string(text)).extract<Object::Ptr>();
        replaceSecrets(*document);
        std::ostringstream out;
        document->stringify(out);
        return out.str();
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TicketInvalid, "the ticket file can't be used: " + error.displayText()};
        return std::nullopt;
    }
}

} // namespace Lovageloft

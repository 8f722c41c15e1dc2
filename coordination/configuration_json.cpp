#include "coordination/configuration_json.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <sstream>

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "core/settings.h"

namespace Lovageloft
{

namespace
{

using JsonObject = Poco::JSON::Object::Ptr;
using JsonArray = Poco::JSON::Array::Ptr;

constexpr double maxBatchLimit = 1e6;
constexpr double maxRate = 1e12;
constexpr std::size_t maxNameLength = 128;

/// Thrown by the readers in this file and converted to a Reason by readWithReason().
struct FieldError
{
    std::string text;
};

[[noreturn]] void throwFieldError(std::string_view field, std::string_view what)
{
    throw FieldError{std::string(field) + ": " + std::string(what)};
}

void rejectUnknownFields(const JsonObject &object, std::initializer_list<std::string_view> fields)
{
    for (const auto &[name, value] : *object) {
        if (std::find(fields.begin(), fields.end(), name) == fields.end()) {
            throwFieldError(name, "unknown field");
        }
    }
}

std::string readString(const JsonObject &object, const std::string &field, bool isRequired = true)
{
    const Poco::Dynamic::Var value = object->get(field);
    if (value.isEmpty() && !isRequired) {
        return {};
    }
    if (!value.isString()) {
        throwFieldError(field, "must be a text");
    }
    std::string text = value.extract<std::string>();
    if (isRequired && text.empty()) {
        throwFieldError(field, "must not be empty");
    }
    return text;
}

std::string readName(const JsonObject &object, const std::string &field)
{
    std::string name = readString(object, field);
    const bool hasOnlyAllowedCharacters = std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.' || character == ':';
    });
    if (!hasOnlyAllowedCharacters || name.size() > maxNameLength) {
        throwFieldError(field, "must be at most 128 letters, digits, '-', '_', '.' or ':'");
    }
    return name;
}

std::string readAddress(const JsonObject &object, const std::string &field)
{
    std::string address = readString(object, field);
    if (!parseHostAddress(address)) {
        throwFieldError(field, "must be ADDRESS:PORT");
    }
    return address;
}

double readNumber(const JsonObject &object, const std::string &field, double minimum, double maximum)
{
    const Poco::Dynamic::Var value = object->get(field);
    if (!value.isNumeric() || value.isBoolean()) {
        throwFieldError(field, "must be a number");
    }
    const auto number = value.convert<double>();
    if (!std::isfinite(number) || number < minimum || number > maximum) {
        throwFieldError(field, "is out of range");
    }
    return number;
}

bool readBool(const JsonObject &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object->get(field);
    if (value.isEmpty()) {
        return false;
    }
    if (!value.isBoolean()) {
        throwFieldError(field, "must be true or false");
    }
    return value.extract<bool>();
}

JsonObject objectAt(const JsonArray &array, unsigned index, std::string_view field)
{
    JsonObject object = array->getObject(index);
    if (object.isNull()) {
        throwFieldError(field, "must be a list of objects");
    }
    return object;
}

JsonArray readArray(const JsonObject &object, const std::string &field, bool isRequired)
{
    if (!object->has(field) && !isRequired) {
        return new Poco::JSON::Array;
    }
    JsonArray array = object->getArray(field);
    if (array.isNull()) {
        throwFieldError(field, "must be a list");
    }
    return array;
}

template <typename T>
std::vector<T> readList(const JsonObject &object, const std::string &field, T (*read)(const JsonObject &), bool isRequired = false)
{
    const JsonArray array = readArray(object, field, isRequired);
    std::vector<T> items;
    for (unsigned i = 0; i < array->size(); ++i) {
        items.push_back(read(objectAt(array, i, field)));
    }
    return items;
}

KeyDigest readKey(const JsonObject &object)
{
    rejectUnknownFields(object, {"id", "salt", "digest"});
    KeyDigest key{readName(object, "id"), readString(object, "salt"), readString(object, "digest")};
    if (key.salt.size() < 16) {
        throwFieldError("salt", "must have at least 16 digits");
    }
    if (key.digest.size() != 64) {
        throwFieldError("digest", "must have 64 digits");
    }
    return key;
}

TeamConfiguration readTeam(const JsonObject &object)
{
    rejectUnknownFields(object, {"kind", "name", "rate", "burst", "keys"});
    TeamConfiguration team;
    team.name = readName(object, "name");
    team.rate = readNumber(object, "rate", 0, maxRate);
    team.burst = readNumber(object, "burst", 0, maxRate);
    team.keys = readList<KeyDigest>(object, "keys", &readKey, true);
    return team;
}

NonIdempotentRoute readRoute(const JsonObject &object)
{
    rejectUnknownFields(object, {"method", "path_prefix"});
    NonIdempotentRoute route{readString(object, "method"), readString(object, "path_prefix")};
    if (route.pathPrefix.front() != '/') {
        throwFieldError("path_prefix", "must begin with /");
    }
    return route;
}

TargetConfiguration readTarget(const JsonObject &object)
{
    rejectUnknownFields(
        object,
        {"kind", "name", "type", "service", "address", "data_centre", "model", "checks_fencing", "state", "non_idempotent", "prefill_rate", "batch_limit"});
    TargetConfiguration target;
    target.name = readName(object, "name");
    const std::string type = readString(object, "type");
    if (type != "engine" && type != "service") {
        throwFieldError("type", "must be engine or service");
    }
    target.kind = type == "engine" ? TargetKind::Engine : TargetKind::Service;
    target.address = readAddress(object, "address");
    target.dataCentre = readString(object, "data_centre", false);
    target.checksFencing = readBool(object, "checks_fencing");
    if (object->has("prefill_rate")) {
        target.prefillRate = readNumber(object, "prefill_rate", 1, maxRate);
    }
    if (object->has("batch_limit")) {
        target.batchLimit = static_cast<std::int64_t>(readNumber(object, "batch_limit", 1, maxBatchLimit));
    }
    const std::string state = readString(object, "state", false);
    if (!state.empty() && state != "serving" && state != "leaving") {
        throwFieldError("state", "must be serving or leaving");
    }
    target.state = state == "leaving" ? TargetState::Leaving : TargetState::Serving;
    if (target.kind == TargetKind::Engine) {
        target.model = readName(object, "model");
    } else {
        target.service = readName(object, "service");
    }
    target.nonIdempotent = readList<NonIdempotentRoute>(object, "non_idempotent", &readRoute);
    return target;
}

ModelConfiguration readModel(const JsonObject &object)
{
    rejectUnknownFields(object, {"kind", "name", "weights_version"});
    return {readName(object, "name"), readName(object, "weights_version")};
}

HostEntry readHost(const JsonObject &object)
{
    rejectUnknownFields(object, {"name", "peer_address", "data_centre"});
    return {readName(object, "name"), readAddress(object, "peer_address"), readString(object, "data_centre", false)};
}

HostsConfiguration readHosts(const JsonObject &object)
{
    rejectUnknownFields(object, {"kind", "hosts"});
    return {readList<HostEntry>(object, "hosts", &readHost, true)};
}

RemovedObject readRemoved(const JsonObject &object)
{
    rejectUnknownFields(object, {"kind", "removes", "name"});
    RemovedObject removed{readString(object, "removes"), readName(object, "name")};
    if (removed.kind != "team" && removed.kind != "target" && removed.kind != "model") {
        throwFieldError("removes", "must be team, target or model");
    }
    return removed;
}

ConfigurationObject readObject(const JsonObject &object)
{
    const std::string kind = readString(object, "kind");
    if (kind == "team") {
        return readTeam(object);
    }
    if (kind == "target") {
        return readTarget(object);
    }
    if (kind == "model") {
        return readModel(object);
    }
    if (kind == "hosts") {
        return readHosts(object);
    }
    if (kind == "removed") {
        return readRemoved(object);
    }
    throwFieldError("kind", "must be team, target, model, hosts or removed");
}

JsonObject orderedObject()
{
    return new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

JsonObject writeObject(const KeyDigest &key)
{
    JsonObject object = orderedObject();
    object->set("id", key.id);
    object->set("salt", key.salt);
    object->set("digest", key.digest);
    return object;
}

JsonObject writeObject(const NonIdempotentRoute &route)
{
    JsonObject object = orderedObject();
    object->set("method", route.method);
    object->set("path_prefix", route.pathPrefix);
    return object;
}

JsonObject writeObject(const HostEntry &host)
{
    JsonObject object = orderedObject();
    object->set("name", host.name);
    object->set("peer_address", host.peerAddress);
    object->set("data_centre", host.dataCentre);
    return object;
}

template <typename T>
JsonArray writeList(const std::vector<T> &items)
{
    JsonArray array = new Poco::JSON::Array;
    for (const T &item : items) {
        array->add(writeObject(item));
    }
    return array;
}

JsonObject writeObject(const TeamConfiguration &team)
{
    JsonObject object = orderedObject();
    object->set("kind", "team");
    object->set("name", team.name);
    object->set("rate", team.rate);
    object->set("burst", team.burst);
    object->set("keys", writeList(team.keys));
    return object;
}

JsonObject writeObject(const TargetConfiguration &target)
{
    const bool isEngine = target.kind == TargetKind::Engine;
    JsonObject object = orderedObject();
    object->set("kind", "target");
    object->set("name", target.name);
    object->set("type", isEngine ? "engine" : "service");
    object->set(isEngine ? "model" : "service", isEngine ? target.model : target.service);
    object->set("address", target.address);
    object->set("data_centre", target.dataCentre);
    object->set("checks_fencing", target.checksFencing);
    if (isEngine) {
        object->set("prefill_rate", target.prefillRate);
        object->set("batch_limit", target.batchLimit);
    }
    object->set("state", target.state == TargetState::Leaving ? "leaving" : "serving");
    object->set("non_idempotent", writeList(target.nonIdempotent));
    return object;
}

JsonObject writeObject(const ModelConfiguration &model)
{
    JsonObject object = orderedObject();
    object->set("kind", "model");
    object->set("name", model.name);
    object->set("weights_version", model.weightsVersion);
    return object;
}

JsonObject writeObject(const HostsConfiguration &hosts)
{
    JsonObject object = orderedObject();
    object->set("kind", "hosts");
    object->set("hosts", writeList(hosts.hosts));
    return object;
}

JsonObject writeObject(const RemovedObject &removed)
{
    JsonObject object = orderedObject();
    object->set("kind", "removed");
    object->set("removes", removed.kind);
    object->set("name", removed.name);
    return object;
}

JsonObject writeVariant(const ConfigurationObject &object)
{
    return std::visit([](const auto &item) { return writeObject(item); }, object);
}

JsonArray writeObjects(const std::vector<ConfigurationObject> &objects)
{
    JsonArray array = new Poco::JSON::Array;
    for (const ConfigurationObject &object : objects) {
        array->add(writeVariant(object));
    }
    return array;
}

LastTicket readLastTicket(const JsonObject &object)
{
    return {readString(object, "object"), object->getValue<std::int64_t>("ticket"), readString(object, "digest")};
}

std::string toJsonText(const JsonObject &object)
{
    std::ostringstream out;
    object->stringify(out);
    return out.str();
}

JsonObject parseObject(std::string_view json)
{
    Poco::JSON::Parser parser;
    const Poco::Dynamic::Var document = parser.parse(std::string(json));
    if (document.type() != typeid(JsonObject)) {
        throw FieldError{"must be a JSON object"};
    }
    return document.extract<JsonObject>();
}

Ticket readTicket(const JsonObject &object)
{
    rejectUnknownFields(object, {"ticket", "operator", "objects"});
    Ticket ticket;
    const Poco::Dynamic::Var number = object->get("ticket");
    if (!number.isInteger() || number.isBoolean()) {
        throwFieldError("ticket", "must be a whole number");
    }
    ticket.number = number.convert<std::int64_t>();
    if (ticket.number < 1) {
        throwFieldError("ticket", "must be 1 or more");
    }
    ticket.operatorName = readName(object, "operator");
    ticket.objects = readList<ConfigurationObject>(object, "objects", &readObject, true);
    if (ticket.objects.empty()) {
        throwFieldError("objects", "must not be empty");
    }
    std::vector<std::string> ids;
    for (const ConfigurationObject &item : ticket.objects) {
        ids.push_back(objectId(item));
    }
    std::sort(ids.begin(), ids.end());
    if (std::adjacent_find(ids.begin(), ids.end()) != ids.end()) {
        throwFieldError("objects", "names an object twice");
    }
    return ticket;
}

/// Runs a reader and stores the error that it throws in `reason`.
template <typename Read>
auto readWithReason(Read read, Reason &reason) -> std::optional<decltype(read())>
{
    try {
        return read();
    } catch (const FieldError &error) {
        reason = {ResultCode::TicketInvalid, error.text};
    } catch (const Poco::Exception &error) {
        reason = {ResultCode::TicketInvalid, "not valid JSON"};
    }
    return std::nullopt;
}

} // namespace

std::optional<Ticket> parseTicket(std::string_view json, Reason &reason)
{
    return readWithReason([json] { return readTicket(parseObject(json)); }, reason);
}

std::string formatTicket(const Ticket &ticket)
{
    JsonObject document = orderedObject();
    document->set("ticket", ticket.number);
    document->set("operator", ticket.operatorName);
    document->set("objects", writeObjects(ticket.objects));
    return toJsonText(document);
}

std::string formatObject(const ConfigurationObject &object)
{
    return toJsonText(writeVariant(object));
}

std::string formatConfigurationDocument(const ConfigurationDocument &document)
{
    JsonArray tickets = new Poco::JSON::Array;
    for (const LastTicket &last : document.tickets) {
        JsonObject ticket = orderedObject();
        ticket->set("object", last.object);
        ticket->set("ticket", last.number);
        ticket->set("digest", last.digest);
        tickets->add(ticket);
    }
    JsonObject object = orderedObject();
    object->set("objects", writeObjects(document.objects));
    object->set("tickets", tickets);
    return toJsonText(object);
}

std::optional<ConfigurationDocument> parseConfigurationDocument(std::string_view json, Reason &reason)
{
    const auto read = [json] {
        const JsonObject object = parseObject(json);
        rejectUnknownFields(object, {"objects", "tickets"});
        ConfigurationDocument document;
        document.objects = readList<ConfigurationObject>(object, "objects", &readObject, true);
        document.tickets = readList<LastTicket>(object, "tickets", &readLastTicket, true);
        return document;
    };
    return readWithReason(read, reason);
}

} // namespace Lovageloft

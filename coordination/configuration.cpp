#include "coordination/configuration.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "coordination/configuration_json.h"
#include "core/digest.h"

namespace Lovageloft
{

std::string objectId(const ConfigurationObject &object)
{
    struct Visitor
    {
        std::string operator()(const TeamConfiguration &team) const
        {
            return "team/" + team.name;
        }

        std::string operator()(const TargetConfiguration &target) const
        {
            return "target/" + target.name;
        }

        std::string operator()(const ModelConfiguration &model) const
        {
            return "model/" + model.name;
        }

        std::string operator()(const HostsConfiguration &) const
        {
            return "hosts";
        }

        std::string operator()(const RemovedObject &removed) const
        {
            return removed.kind + '/' + removed.name;
        }
    };

    return std::visit(Visitor{}, object);
}

namespace
{

std::set<std::string_view> hostNames(const std::vector<HostEntry> &hosts)
{
    std::set<std::string_view> names;
    for (const HostEntry &host : hosts) {
        names.insert(host.name);
    }
    return names;
}

/// Whether a list of hosts may replace another. If two hosts changed at once, a majority of the old list and one of the new list need not
/// have a host in common, so a host that is cut off could find a majority that holds nothing newer than itself, and a withdrawn key would
/// still work there. With one change per entry, any two such majorities have a host in common.
bool checkHostsChange(const std::vector<HostEntry> &before, const std::vector<HostEntry> &after, Reason &reason)
{
    const auto previousNames = hostNames(before);
    const auto newNames = hostNames(after);
    if (newNames.size() != after.size()) {
        reason = {ResultCode::TicketInvalid, "hosts: names a host twice"};
        return false;
    }
    if (previousNames.empty()) {
        return true;
    }
    std::vector<std::string_view> changed;
    std::set_symmetric_difference(previousNames.begin(), previousNames.end(), newNames.begin(), newNames.end(), std::back_inserter(changed));
    if (newNames.empty() || changed.size() > 1) {
        reason = {ResultCode::TicketInvalid, "hosts: one ticket may add or remove one host, and must leave one"};
        return false;
    }
    return true;
}

} // namespace

bool ConfigurationState::apply(const Ticket &ticket, Reason &reason)
{
    const std::string digest = sha256Hex(formatTicket(ticket));
    std::size_t repeatedObjects = 0;
    for (const ConfigurationObject &object : ticket.objects) {
        const std::string id = objectId(object);
        const auto last = lastTickets_.find(id);
        if (last == lastTickets_.end() || last->second.number < ticket.number) {
            continue;
        }
        if (last->second.number > ticket.number) {
            reason = {ResultCode::TicketStale, id + " was changed by ticket " + std::to_string(last->second.number)};
            return false;
        }
        if (last->second.digest != digest) {
            reason = {ResultCode::TicketConflict, id + " was changed by another ticket of this number"};
            return false;
        }
        ++repeatedObjects;
    }
    if (repeatedObjects == ticket.objects.size()) {
        reason = {ResultCode::TicketAlreadyAccepted, "this ticket was accepted before"};
        return false;
    }
    for (const ConfigurationObject &object : ticket.objects) {
        const auto *hosts = std::get_if<HostsConfiguration>(&object);
        if (hosts != nullptr && !checkHostsChange(hosts_, hosts->hosts, reason)) {
            return false;
        }
    }
    for (const ConfigurationObject &object : ticket.objects) {
        std::visit([this](const auto &item) { put(item); }, object);
        lastTickets_[objectId(object)] = {ticket.number, digest};
    }
    return true;
}

const std::map<std::string, TeamConfiguration, std::less<>> &ConfigurationState::teams() const
{
    return teams_;
}

const std::map<std::string, TargetConfiguration, std::less<>> &ConfigurationState::targets() const
{
    return targets_;
}

const std::map<std::string, ModelConfiguration, std::less<>> &ConfigurationState::models() const
{
    return models_;
}

const std::vector<HostEntry> &ConfigurationState::hosts() const
{
    return hosts_;
}

std::int64_t ConfigurationState::lastTicket(std::string_view objectId) const
{
    const auto last = lastTickets_.find(objectId);
    return last == lastTickets_.end() ? 0 : last->second.number;
}

std::string ConfigurationState::objectDigest(std::string_view objectId) const
{
    const std::size_t slash = objectId.find('/');
    const std::string_view kind = objectId.substr(0, slash);
    const std::string_view name = slash == std::string_view::npos ? std::string_view() : objectId.substr(slash + 1);
    const auto findDigest = [name](const auto &items) {
        const auto item = items.find(name);
        return item == items.end() ? std::string() : sha256Hex(formatObject(item->second));
    };
    if (kind == "team") {
        return findDigest(teams_);
    }
    if (kind == "target") {
        return findDigest(targets_);
    }
    if (kind == "model") {
        return findDigest(models_);
    }
    return hosts_.empty() ? std::string() : sha256Hex(formatObject(HostsConfiguration{hosts_}));
}

void ConfigurationState::put(const TeamConfiguration &team)
{
    teams_.insert_or_assign(team.name, team);
}

void ConfigurationState::put(const TargetConfiguration &target)
{
    targets_.insert_or_assign(target.name, target);
}

void ConfigurationState::put(const ModelConfiguration &model)
{
    models_.insert_or_assign(model.name, model);
}

void ConfigurationState::put(const HostsConfiguration &hosts)
{
    hosts_ = hosts.hosts;
}

void ConfigurationState::put(const RemovedObject &removed)
{
    if (removed.kind == "team") {
        teams_.erase(removed.name);
    } else if (removed.kind == "target") {
        targets_.erase(removed.name);
    } else {
        models_.erase(removed.name);
    }
}

std::string ConfigurationState::toJson() const
{
    ConfigurationDocument document;
    const auto addObjects = [&document](const auto &items) {
        for (const auto &[name, item] : items) {
            document.objects.emplace_back(item);
        }
    };
    addObjects(teams_);
    addObjects(targets_);
    addObjects(models_);
    document.objects.emplace_back(HostsConfiguration{hosts_});
    for (const auto &[id, last] : lastTickets_) {
        document.tickets.push_back({id, last.number, last.digest});
    }
    return formatConfigurationDocument(document);
}

std::optional<ConfigurationState> parseConfigurationState(std::string_view json, Reason &reason)
{
    const auto document = parseConfigurationDocument(json, reason);
    if (!document.has_value()) {
        return std::nullopt;
    }
    ConfigurationState state;
    for (const ConfigurationObject &object : document->objects) {
        std::visit([&state](const auto &item) { state.put(item); }, object);
    }
    for (const LastTicket &last : document->tickets) {
        state.lastTickets_[last.object] = {last.number, last.digest};
    }
    return state;
}

bool matchesKey(const KeyDigest &digest, std::string_view key)
{
    return equalInConstantTime(sha256Hex(digest.salt + std::string(key)), digest.digest);
}

KeyDigest makeKeyDigest(std::string_view id, std::string_view key)
{
    constexpr std::size_t saltBytes = 16;
    const std::string salt = randomHex(saltBytes);
    return {std::string(id), salt, sha256Hex(salt + std::string(key))};
}

} // namespace Lovageloft

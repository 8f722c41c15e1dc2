#include "main/request_story.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Lovageloft
{

namespace
{

/// Part of a time that names the second: changes of belief are told from the second before the request's first line on.
constexpr std::size_t secondLength = 19;

std::string fieldsOf(const Poco::JSON::Object &record)
{
    std::string text;
    for (const auto &[name, value] : record) {
        if (name == "time" || name == "host" || name == "event" || name == "level" || name == "request") {
            continue;
        }
        text.append(text.empty() ? "" : " ").append(name).append("=").append(value.convert<std::string>());
    }
    return text;
}

/// What a host believes until its next line of the same kind and subject.
struct Belief
{
    std::string_view event;
    std::string_view about; ///< The lines that tell of the same thing have this in common.
    std::string_view subjectField; ///< Of those, the ones with the same value here; empty if there is one thing only.
    bool isOfRequestOnly = false; ///< Told only if the request's own lines name the subject.
};

constexpr auto beliefs = std::to_array<Belief>({
    {"configuration_in_force", "configuration", "", false},
    {"key_withdrawn", "key", "key", true},
    {"host_ready", "readiness", "", false},
    {"host_not_ready", "readiness", "", false},
    {"store_lost", "store", "duty", false},
    {"store_regained", "store", "duty", false},
    {"relays_silent", "relays", "prefix", false},
    {"relays_heard", "relays", "prefix", false},
    {"weights_named", "weights", "model", false},
    {"leader_known", "leader", "", false},
    {"target_known", "target", "target", true},
    {"target_gone", "target", "target", true},
});

const Belief *beliefOf(const std::string &event)
{
    const auto *found = std::find_if(beliefs.begin(), beliefs.end(), [&event](const Belief &belief) { return belief.event == event; });
    return found == beliefs.end() ? nullptr : found;
}

/// A target's id, without the model that it was asked for.
std::string targetOf(const std::string &name)
{
    return name.substr(0, name.find('|'));
}

} // namespace

RequestStory::RequestStory(std::string requestId)
    : requestId_(std::move(requestId))
{
}

void RequestStory::read(std::istream &in)
{
    std::string text;
    while (std::getline(in, text)) {
        const std::size_t start = text.find('{');
        if (start == std::string::npos) {
            continue;
        }
        try {
            const auto record = Poco::JSON::Parser(new Poco::JSON::ParseHandler(true)).parse(text.substr(start)).extract<Poco::JSON::Object::Ptr>();
            const std::string request = record->optValue<std::string>("request", "");
            if (!request.empty() && request != requestId_) {
                continue;
            }
            const auto event = record->optValue<std::string>("event", "");
            const Belief *belief = beliefOf(event);
            const std::string subject = belief != nullptr ? record->optValue<std::string>(std::string(belief->subjectField), "") : std::string();
            if (request == requestId_) {
                subjects_.insert(targetOf(record->optValue<std::string>("target", "")));
                subjects_.insert(record->optValue<std::string>("key", ""));
            }
            lines_.push_back({record->optValue<std::string>("time", ""),
                              record->optValue<std::string>("host", ""),
                              event,
                              fieldsOf(*record),
                              subject,
                              request == requestId_});
        } catch (const Poco::Exception &) {
            continue; // Other programs write to the same stream.
        }
    }
}

/// The lines by which the request's hosts believed what they did when its second began, the oldest first.
std::vector<const RequestStory::Line *> RequestStory::beliefsBefore(const std::set<std::string> &hosts, const std::string &first) const
{
    std::map<std::tuple<std::string, std::string_view, std::string>, const Line *> newest;
    for (const Line &line : lines_) {
        const Belief *belief = beliefOf(line.event);
        const bool isEarlier = line.time.substr(0, secondLength) < first.substr(0, secondLength);
        if (belief == nullptr || !isEarlier || !hosts.contains(line.host) || (belief->isOfRequestOnly && !subjects_.contains(line.subject))) {
            continue;
        }
        const Line *&known = newest[{line.host, belief->about, line.subject}];
        known = known == nullptr || known->time <= line.time ? &line : known;
    }
    std::vector<const Line *> found;
    found.reserve(newest.size());
    for (const auto &[key, line] : newest) {
        found.push_back(line);
    }
    std::stable_sort(found.begin(), found.end(), [](const Line *left, const Line *right) { return left->time < right->time; });
    return found;
}

std::string RequestStory::text() const
{
    std::vector<Line> lines = lines_;
    std::stable_sort(lines.begin(), lines.end(), [](const Line &left, const Line &right) { return left.time < right.time; });
    std::set<std::string> hosts;
    std::string first;
    std::string last;
    for (const Line &line : lines) {
        if (line.isOfRequest) {
            hosts.insert(line.host);
            first = first.empty() ? line.time : first;
            last = line.time;
        }
    }
    std::string out;
    for (const Line *line : beliefsBefore(hosts, first)) {
        out.append(line->time).append(" ").append(line->host).append("  < ").append(line->event).append(" ").append(line->fields).append("\n");
    }
    for (const Line &line : lines) {
        const bool isMeanwhile = hosts.contains(line.host) && line.time.substr(0, secondLength) >= first.substr(0, secondLength) && line.time <= last;
        if (!line.isOfRequest && !isMeanwhile) {
            continue;
        }
        out.append(line.time).append(" ").append(line.host).append(line.isOfRequest ? "  " : "  . ");
        out.append(line.event).append(" ").append(line.fields).append("\n");
    }
    return out;
}

} // namespace Lovageloft

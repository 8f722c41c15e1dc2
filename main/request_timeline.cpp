#include "main/request_timeline.h"

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

/// Length of the part of a time up to the second. Changes of state are listed from the start of the second in which the request began.
constexpr std::size_t secondPrefixLength = 19;

std::string formatFields(const Poco::JSON::Object &record)
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

/// An event that describes a part of a host's state. It is valid until the next event of the same aspect and subject.
struct StateEvent
{
    std::string_view event;
    std::string_view aspect; ///< The part of the state; the same for all events that change it.
    std::string_view subjectField; ///< Field with the subject; empty if the host has only one.
    bool isOfRequestOnly = false; ///< Listed only if the request's lines name the subject.
};

constexpr auto stateEvents = std::to_array<StateEvent>({
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
    {"rollout_known", "rollout", "service", false},
    {"target_known", "target", "target", true},
    {"target_gone", "target", "target", true},
});

const StateEvent *findStateEvent(const std::string &event)
{
    const auto *found = std::find_if(stateEvents.begin(), stateEvents.end(), [&event](const StateEvent &state) { return state.event == event; });
    return found == stateEvents.end() ? nullptr : found;
}

/// The id of a target from its engine name, "ID|MODEL".
std::string targetId(const std::string &name)
{
    return name.substr(0, name.find('|'));
}

} // namespace

RequestTimeline::RequestTimeline(std::string requestId)
    : requestId_(std::move(requestId))
{
}

void RequestTimeline::read(std::istream &in)
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
            const StateEvent *state = findStateEvent(event);
            const std::string subject = state != nullptr ? record->optValue<std::string>(std::string(state->subjectField), "") : std::string();
            if (request == requestId_) {
                subjects_.insert(targetId(record->optValue<std::string>("target", "")));
                subjects_.insert(record->optValue<std::string>("key", ""));
            }
            lines_.push_back({record->optValue<std::string>("time", ""),
                              record->optValue<std::string>("host", ""),
                              event,
                              formatFields(*record),
                              subject,
                              request == requestId_});
        } catch (const Poco::Exception &) {
            continue; // Not a log line: other programs may write to the same stream.
        }
    }
}

/// The newest line of each part of the hosts' state before the second in which the request began, in order of time.
std::vector<const RequestTimeline::Line *> RequestTimeline::statesBefore(const std::set<std::string> &hosts, const std::string &first) const
{
    std::map<std::tuple<std::string, std::string_view, std::string>, const Line *> newest;
    for (const Line &line : lines_) {
        const StateEvent *state = findStateEvent(line.event);
        const bool isEarlier = line.time.substr(0, secondPrefixLength) < first.substr(0, secondPrefixLength);
        if (state == nullptr || !isEarlier || !hosts.contains(line.host) || (state->isOfRequestOnly && !subjects_.contains(line.subject))) {
            continue;
        }
        const Line *&known = newest[{line.host, state->aspect, line.subject}];
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

std::string RequestTimeline::text() const
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
    for (const Line *line : statesBefore(hosts, first)) {
        out.append(line->time).append(" ").append(line->host).append("  < ").append(line->event).append(" ").append(line->fields).append("\n");
    }
    for (const Line &line : lines) {
        const bool isDuringRequest =
            hosts.contains(line.host) && line.time.substr(0, secondPrefixLength) >= first.substr(0, secondPrefixLength) && line.time <= last;
        if (!line.isOfRequest && !isDuringRequest) {
            continue;
        }
        out.append(line.time).append(" ").append(line.host).append(line.isOfRequest ? "  " : "  . ");
        out.append(line.event).append(" ").append(line.fields).append("\n");
    }
    return out;
}

} // namespace Lovageloft

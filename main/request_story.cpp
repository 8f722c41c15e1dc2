#include "main/request_story.h"

#include <algorithm>
#include <set>

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
            lines_.push_back({record->optValue<std::string>("time", ""),
                              record->optValue<std::string>("host", ""),
                              record->optValue<std::string>("event", ""),
                              fieldsOf(*record),
                              request == requestId_});
        } catch (const Poco::Exception &) {
            continue; // Other programs write to the same stream.
        }
    }
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

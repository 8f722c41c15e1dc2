#pragma once

#include <istream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

/// The log lines of a fleet that concern one request, in order of time: the decisions about it, the state of its hosts before it began, such as the
/// configuration in force, and the changes of that state while it ran.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId);

    /// Reads the lines of a log; lines that contain no JSON object are skipped. May be called for several logs.
    void read(std::istream &in);

    /// The timeline with one line per event. Lines of the state before the request are marked with "<", changes during it with ".". Empty if no log
    /// contains the request.
    std::string text() const;

private:
    struct Line
    {
        std::string time;
        std::string host;
        std::string event;
        std::string fields; ///< "name=value" in the order of the record.
        std::string subject; ///< Of a state event: what its state belongs to, such as a target. The newest line of each subject is valid.
        bool isOfRequest = false;
    };

    std::vector<const Line *> statesBefore(const std::set<std::string> &hosts, const std::string &first) const;

    std::string requestId_;
    std::set<std::string> subjects_; ///< Targets and keys that the request's lines name.
    std::vector<Line> lines_; ///< The lines of the request, and all lines that belong to no request.
};

} // namespace Lovageloft

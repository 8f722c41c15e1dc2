#pragma once

#include <istream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

/// What the logs of a fleet say of one request, in the order of time: what was decided about it, what the same hosts believed before it
/// began and since when, and what they came to believe meanwhile.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId);

    /// Takes the lines of one log; lines that are no JSON objects are skipped.
    void read(std::istream &in);

    /// One line an event; empty if no log speaks of the request.
    std::string text() const;

private:
    struct Line
    {
        std::string time;
        std::string host;
        std::string event;
        std::string fields; ///< "name=value" in the order of the record.
        std::string subject; ///< With a belief: what it is of, such as a target; the newest line of each subject holds.
        bool isOfRequest = false;
    };

    std::vector<const Line *> beliefsBefore(const std::set<std::string> &hosts, const std::string &first) const;

    std::string requestId_;
    std::set<std::string> subjects_; ///< Targets, models and keys that the request's own lines name.
    std::vector<Line> lines_; ///< Those of the request, and all others that are of no request.
};

} // namespace Lovageloft

#pragma once

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

/// What the logs of a fleet say of one request, in the order of time: what was decided about it and on what belief, and what the same hosts
/// came to believe meanwhile.
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
        bool isOfRequest = false;
    };

    std::string requestId_;
    std::vector<Line> lines_; ///< Those of the request, and all others that are of no request.
};

} // namespace Lovageloft

#include "gateway/event_splitter.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// An event carries a few tokens of some 50 bytes each. More than this without an end is no event.
constexpr std::size_t maxEventBytes = 262'144;

/// The longest end of an event may be split between two pieces.
constexpr std::size_t maxEventEndBytes = 4;

} // namespace

std::string_view EventSplitter::push(std::string_view bytes)
{
    buffer_.erase(0, returnedBytes_);
    std::size_t searchFrom = buffer_.size() - std::min(buffer_.size(), maxEventEndBytes - 1);
    buffer_.append(bytes);
    returnedBytes_ = 0;
    while (true) {
        const std::size_t lfEnd = buffer_.find("\n\n", searchFrom);
        const std::size_t crlfEnd = buffer_.find("\r\n\r\n", searchFrom);
        const std::size_t end = std::min(lfEnd, crlfEnd);
        if (end == std::string::npos) {
            break;
        }
        const std::size_t next = end + (end == crlfEnd ? 4 : 2);
        updateLastId(std::string_view(buffer_).substr(returnedBytes_, next - returnedBytes_));
        returnedBytes_ = next;
        searchFrom = next;
    }
    return std::string_view(buffer_).substr(0, returnedBytes_);
}

const std::string &EventSplitter::lastId() const
{
    return lastId_;
}

bool EventSplitter::hasPartial() const
{
    return buffer_.size() > returnedBytes_;
}

bool EventSplitter::isOverlong() const
{
    return buffer_.size() - returnedBytes_ > maxEventBytes;
}

void EventSplitter::dropPartial()
{
    buffer_.clear();
    returnedBytes_ = 0;
}

void EventSplitter::updateLastId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        lastId_ = line;
    }
}

} // namespace Lovageloft

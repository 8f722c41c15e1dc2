#include "gateway/event_splitter.h"

#include <algorithm>

namespace Lovageloft
{

std::string_view EventSplitter::push(std::string_view bytes)
{
    buffer_.erase(0, handedOut_);
    buffer_.append(bytes);
    handedOut_ = 0;
    while (true) {
        const std::size_t unix = buffer_.find("\n\n", handedOut_);
        const std::size_t windows = buffer_.find("\r\n\r\n", handedOut_);
        const std::size_t end = std::min(unix, windows);
        if (end == std::string::npos) {
            break;
        }
        const std::size_t next = end + (end == windows ? 4 : 2);
        noteId(std::string_view(buffer_).substr(handedOut_, next - handedOut_));
        handedOut_ = next;
    }
    return std::string_view(buffer_).substr(0, handedOut_);
}

const std::string &EventSplitter::lastId() const
{
    return lastId_;
}

bool EventSplitter::hasPartial() const
{
    return buffer_.size() > handedOut_;
}

void EventSplitter::dropPartial()
{
    buffer_.clear();
    handedOut_ = 0;
}

void EventSplitter::noteId(std::string_view event)
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

#include "drivers/sse_reader.h"

namespace Lovageloft
{

namespace
{

constexpr std::string_view dataField = "data:";

std::string_view trimmed(std::string_view text)
{
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    if (text.ends_with('\r')) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

std::string &SseReader::buffer()
{
    return buffer_;
}

std::optional<std::string_view> SseReader::next()
{
    // Each chunk of an answer is a single data line; the empty line after it is skipped like other lines.
    while (true) {
        const std::size_t end = buffer_.find('\n', position_);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const std::string_view line(buffer_.data() + position_, end - position_);
        position_ = end + 1;
        if (line.starts_with(dataField)) {
            return trimmed(line.substr(dataField.size()));
        }
    }
}

bool SseReader::compact(Reason &reason)
{
    buffer_.erase(0, position_);
    position_ = 0;
    if (buffer_.size() > maxEventBytes) {
        reason = {ResultCode::TargetMalformed, "an event of the stream is over the limit"};
        return false;
    }
    constexpr std::size_t room = 16'384;
    buffer_.reserve(buffer_.size() + room + padding);
    return true;
}

bool SseReader::hasPartialEvent() const
{
    return position_ < buffer_.size();
}

} // namespace Lovageloft

#include "servers/stream_relay.h"

#include <ostream>
#include <utility>

namespace Lovageloft
{

StreamRelay::StreamRelay(CallerExchange &exchange, AnswerVerifier &verifier, std::function<void()> onFirstContent)
    : exchange_(exchange)
    , verifier_(verifier)
    , onFirstContent_(std::move(onFirstContent))
    , firstContent_(exchange.arrival)
{
}

RelayResult StreamRelay::relay(HttpExchange &engine, Reason &reason)
{
    SseReader reader;
    verifier_.restart();
    held_.clear();
    bool isFirst = true;
    while (true) {
        if (!reader.compact(reason)) {
            return RelayResult::Failed;
        }
        const auto count = engine.read(reader.buffer(), exchange_.socket, reason);
        if (!count) {
            return reason.code == ResultCode::CallerGone ? RelayResult::CallerGone : RelayResult::Failed;
        }
        if (*count == 0) {
            reason = {ResultCode::TargetTruncated, "the stream ended without [DONE]"};
            return RelayResult::Failed;
        }
        if (std::exchange(isFirst, false)) {
            onFirstContent_();
        }
        const std::optional<RelayResult> result = forwardEvents(reader, reason);
        if (!flush()) {
            return RelayResult::CallerGone;
        }
        if (result) {
            return *result;
        }
    }
}

std::optional<RelayResult> StreamRelay::forwardEvents(SseReader &reader, Reason &reason)
{
    // The parser reads a little past an event's end.
    reader.buffer().reserve(reader.buffer().size() + SseReader::padding);
    while (const auto data = reader.next()) {
        switch (verifier_.onEvent(*data, reason)) {
        case EventAction::Forward:
            append(*data, pending_);
            break;
        case EventAction::Hold:
            append(*data, held_);
            break;
        case EventAction::Discard:
            break;
        case EventAction::Finish:
            pending_.append(held_);
            append(*data, pending_);
            return RelayResult::Done;
        case EventAction::Fail:
            return RelayResult::Failed;
        }
    }
    return std::nullopt;
}

void StreamRelay::append(std::string_view data, std::string &out)
{
    out.append("data: ").append(data).append("\n\n");
}

bool StreamRelay::flush()
{
    if (pending_.empty()) {
        return true;
    }
    if (out_ == nullptr) {
        exchange_.response.setContentType("text/event-stream");
        exchange_.response.set("Cache-Control", "no-cache");
        exchange_.response.set("X-Request-Id", exchange_.id);
        if (exchange_.request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1) {
            exchange_.response.setChunkedTransferEncoding(true);
        } else {
            exchange_.response.setKeepAlive(false);
        }
        out_ = &exchange_.response.send();
        firstContent_ = BootClock::now();
    }
    out_->write(pending_.data(), static_cast<std::streamsize>(pending_.size()));
    out_->flush();
    pending_.clear();
    return out_->good();
}

bool StreamRelay::hasBegun() const
{
    return out_ != nullptr;
}

TimePoint StreamRelay::firstContent() const
{
    return firstContent_;
}

void StreamRelay::endWithError(std::string_view refusalJson)
{
    exchange_.response.setKeepAlive(false);
    append(refusalJson, pending_);
    flush();
}

} // namespace Lovageloft

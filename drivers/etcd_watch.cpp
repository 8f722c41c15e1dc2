#include "drivers/etcd_watch.h"

#include <utility>

#include "drivers/etcd_messages.h"

namespace Lovageloft
{

EtcdWatch::EtcdWatch(std::unique_ptr<HttpConnection> connection, std::int64_t afterRevision)
    : connection_(std::move(connection))
    , position_(afterRevision)
{
}

std::int64_t EtcdWatch::position() const
{
    return position_;
}

TimePoint EtcdWatch::lastReceived() const
{
    return connection_->lastReceived();
}

EtcdWatchStatus EtcdWatch::wait(std::int64_t afterRevision, TimePoint deadline, StoreListReply &reply)
{
    while (true) {
        std::string text;
        const HttpLineStatus status = connection_->readLine(text, deadline);
        if (status != HttpLineStatus::Line) {
            return status == HttpLineStatus::Timeout ? EtcdWatchStatus::Timeout : EtcdWatchStatus::Broken;
        }
        std::optional<EtcdWatchLine> line = parseEtcdWatchLine(text);
        if (!line || (line->isCanceled && line->compactRevision == 0)) {
            return EtcdWatchStatus::Broken;
        }
        if (line->isCanceled) {
            reply.revision = line->compactRevision - 1;
            return EtcdWatchStatus::Compacted;
        }
        std::erase_if(line->entries, [afterRevision](const StoreEntry &entry) { return entry.revision <= afterRevision; });
        if (line->entries.empty()) {
            continue; // The response to the start, or writes that the caller already has from a list.
        }
        // The header has the revision of the store, up to which writes may still be in transit.
        position_ = line->entries.back().revision;
        reply.entries = std::move(line->entries);
        reply.revision = position_;
        return EtcdWatchStatus::Events;
    }
}

} // namespace Lovageloft

#include "gateway/changes_codec.h"

#include <algorithm>

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

namespace
{

using PeerMessages::Datagram;

/// Encodes an unknown duration.
constexpr std::uint32_t unknownMilliseconds = 0xffffffff;

void writeEntries(PeerMessages::Changes::Builder changes, std::span<const StoreEntry> entries, bool withValues)
{
    auto encoded = changes.initEntries(static_cast<unsigned>(entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
        const StoreEntry &entry = entries[i];
        encoded[i].setKey(entry.key);
        encoded[i].setRevision(entry.revision);
        encoded[i].setIsDeleted(entry.isDeleted);
        encoded[i].setIsOmitted(!withValues);
        if (withValues) {
            encoded[i].setValue(toBytes(entry.value));
        }
    }
}

} // namespace

void writeChanges(PeerMessages::Changes::Builder changes, const ChangesNotice &notice, std::span<const StoreEntry> entries, bool withValues)
{
    changes.setPrefix(notice.prefix);
    changes.setAfter(notice.after);
    changes.setUpTo(notice.upTo);
    changes.setSilenceMilliseconds(static_cast<std::uint32_t>(toMillis(notice.silence)));
    changes.setLatestStart(notice.maxStartRevision);
    changes.setReturnAgeMilliseconds(static_cast<std::uint32_t>(toMillis(notice.returnAge)));
    changes.setAgeMilliseconds(static_cast<std::uint32_t>(toMillis(notice.age)));
    changes.setProcess(notice.process);
    changes.setSentMicroseconds(static_cast<std::uint64_t>(std::chrono::floor<std::chrono::microseconds>(notice.sentAt.time_since_epoch()).count()));
    if (notice.outage) {
        changes.setAwayMilliseconds(static_cast<std::uint32_t>(std::min<std::int64_t>(toMillis(*notice.outage), unknownMilliseconds - 1)));
    }
    writeEntries(changes, entries, withValues);
}

ChangesNotice readChanges(PeerMessages::Changes::Reader changes)
{
    ChangesNotice notice{changes.getPrefix(), changes.getAfter(), changes.getUpTo(), {}, {}, {}};
    for (const auto entry : changes.getEntries()) {
        notice.entries.push_back({entry.getKey(), std::string(toText(entry.getValue())), entry.getRevision(), entry.getIsDeleted()});
        notice.omitted.push_back(entry.getIsOmitted());
    }
    notice.silence = std::chrono::milliseconds(changes.getSilenceMilliseconds());
    notice.maxStartRevision = changes.getLatestStart();
    notice.returnAge = std::chrono::milliseconds(changes.getReturnAgeMilliseconds());
    notice.age = std::chrono::milliseconds(changes.getAgeMilliseconds());
    notice.process = changes.getProcess();
    notice.sentAt = TimePoint(std::chrono::microseconds(changes.getSentMicroseconds()));
    if (changes.getAwayMilliseconds() != unknownMilliseconds) {
        notice.outage = std::chrono::milliseconds(changes.getAwayMilliseconds());
    }
    return notice;
}

std::string encodeChanges(const ChangesNotice &notice, std::span<const StoreEntry> entries)
{
    std::string datagram;
    for (const bool withValues : {true, false}) {
        capnp::MallocMessageBuilder message;
        writeChanges(message.initRoot<Datagram>().initChanges(), notice, entries, withValues);
        datagram = deflatedIfLong(encodeDatagram(message));
        if (datagram.size() <= maxSentDatagramBytes) {
            break;
        }
    }
    return datagram;
}

} // namespace Lovageloft

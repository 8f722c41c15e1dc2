#include "gateway/dispatch_codec.h"

#include <algorithm>
#include <span>

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

namespace
{

/// Limits the blocks in a DispatchNotice to half a kilobyte. Of more blocks the last ones are announced: an engine that holds them holds
/// those before them as well.
constexpr std::size_t maxAnnouncedBlocks = 64;

void encodeStatistics(const TimeStatistics &statistics, PeerMessages::Dispatch::Builder dispatch)
{
    auto values = dispatch.initStatistics(TimeStatistics::productCount + TimeStatistics::termCount);
    unsigned next = 0;
    for (const double product : statistics.products) {
        values.set(next++, static_cast<float>(product));
    }
    for (const double response : statistics.responses) {
        values.set(next++, static_cast<float>(response));
    }
}

std::optional<TimeStatistics> decodeStatistics(capnp::List<float>::Reader values)
{
    if (values.size() != TimeStatistics::productCount + TimeStatistics::termCount) {
        return std::nullopt;
    }
    TimeStatistics statistics;
    unsigned next = 0;
    for (double &product : statistics.products) {
        product = values[next++];
    }
    for (double &response : statistics.responses) {
        response = values[next++];
    }
    return statistics;
}

} // namespace

std::string encodeDispatchNotice(const DispatchNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto dispatch = message.initRoot<PeerMessages::Datagram>().initDispatch();
    dispatch.setEngine(notice.engine);
    dispatch.setWorkTokens(notice.workTokens);
    dispatch.setNewTokens(notice.newTokens);
    dispatch.setIsSaved(notice.isSaved);
    const auto count = static_cast<unsigned>(std::min(notice.blocks.size(), maxAnnouncedBlocks));
    auto blocks = dispatch.initBlocks(count);
    const auto announced = std::span(notice.blocks).last(count);
    for (unsigned i = 0; i < count; ++i) {
        blocks.set(i, announced[i]);
    }
    if (notice.statistics) {
        dispatch.setHostDigest(notice.hostDigest);
        encodeStatistics(*notice.statistics, dispatch);
    }
    return encodeDatagram(message);
}

DispatchNotice decodeDispatchNotice(PeerMessages::Dispatch::Reader reader)
{
    DispatchNotice notice{reader.getEngine(), reader.getWorkTokens(), reader.getNewTokens(), reader.getIsSaved(), {}, reader.getHostDigest(), std::nullopt};
    for (const std::uint64_t block : reader.getBlocks()) {
        notice.blocks.push_back(block);
    }
    notice.statistics = decodeStatistics(reader.getStatistics());
    return notice;
}

} // namespace Lovageloft

#include "gateway/stream_codec.h"

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

std::string encodeStreamRecord(const StreamRecord &record)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initStreamRecord();
    encoded.setKey(static_cast<std::uint64_t>(record.key));
    encoded.setVersion(record.version);
    return encodePackedDatagram(message);
}

std::string encodeStreamQuery(const StreamQuery &query)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initStreamQuery();
    encoded.setKey(static_cast<std::uint64_t>(query.key));
    encoded.setService(query.service);
    return encodePackedDatagram(message);
}

std::string encodeStreamReply(const StreamRecord &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initStreamReply();
    encoded.setKey(static_cast<std::uint64_t>(reply.key));
    encoded.setVersion(reply.version);
    return encodePackedDatagram(message);
}

StreamRecord decodeStreamRecord(PeerMessages::Datagram::StreamRecord::Reader reader)
{
    return {StreamKey{reader.getKey()}, reader.getVersion()};
}

StreamQuery decodeStreamQuery(PeerMessages::Datagram::StreamQuery::Reader reader)
{
    return {StreamKey{reader.getKey()}, reader.getService()};
}

StreamRecord decodeStreamReply(PeerMessages::Datagram::StreamReply::Reader reader)
{
    return {StreamKey{reader.getKey()}, reader.getVersion()};
}

} // namespace Lovageloft

#pragma once

#include <string>

#include "decision/stream_origins.h"
#include "gateway/peer_messages.capnp.h"

namespace Lovageloft
{

/// The datagrams about streams and the versions that began them, packed, as there is one for each stream; and back.
std::string encodeStreamRecord(const StreamRecord &record);
std::string encodeStreamQuery(const StreamQuery &query);
std::string encodeStreamReply(const StreamRecord &reply);
StreamRecord decodeStreamRecord(PeerMessages::Datagram::StreamRecord::Reader reader);
StreamQuery decodeStreamQuery(PeerMessages::Datagram::StreamQuery::Reader reader);
StreamRecord decodeStreamReply(PeerMessages::Datagram::StreamReply::Reader reader);

} // namespace Lovageloft

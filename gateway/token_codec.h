#pragma once

#include <string>

#include "gateway/peer_messages.capnp.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// The datagrams about tokens of teams' rate limits, and back. Times are sent in whole milliseconds; the time until tokens are valid is
/// rounded up, and the time for which a request can wait is rounded down.
std::string encodeTokenRequest(const TokenRequest &request);
std::string encodeTokenReply(const TokenReply &reply);
std::string encodeTokenReturn(const TokenReturn &tokens);
TokenRequest decodeTokenRequest(PeerMessages::TokenRequest::Reader reader);
TokenReply decodeTokenReply(PeerMessages::TokenReply::Reader reader);
TokenReturn decodeTokenReturn(PeerMessages::TokenReturn::Reader reader);

} // namespace Lovageloft

#include "gateway/token_codec.h"

#include <chrono>

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

namespace
{

using std::chrono::milliseconds;

} // namespace

std::string encodeTokenRequest(const TokenRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initTokenRequest();
    encoded.setId(request.id);
    encoded.setTeam(request.team);
    encoded.setTokens(request.tokens);
    encoded.setWaitMilliseconds(static_cast<std::uint32_t>(toMillis(request.maxWait)));
    return encodeDatagram(message);
}

std::string encodeTokenReply(const TokenReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initTokenReply();
    encoded.setId(reply.id);
    encoded.setIsGranted(reply.isGranted);
    encoded.setRetryAfterMilliseconds(static_cast<std::uint32_t>(toMillis(reply.retryAfter)));
    encoded.setValidInMilliseconds(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(reply.validIn).count()));
    encoded.setHasNoPool(reply.hasNoPool);
    return encodeDatagram(message);
}

std::string encodeTokenReturn(const TokenReturn &tokens)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<PeerMessages::Datagram>().initTokenReturn();
    encoded.setTeam(tokens.team);
    encoded.setTokens(tokens.tokens);
    return encodeDatagram(message);
}

TokenRequest decodeTokenRequest(PeerMessages::TokenRequest::Reader reader)
{
    return {reader.getId(), reader.getTeam(), reader.getTokens(), milliseconds(reader.getWaitMilliseconds())};
}

TokenReply decodeTokenReply(PeerMessages::TokenReply::Reader reader)
{
    return {reader.getId(),
            reader.getIsGranted(),
            milliseconds(reader.getRetryAfterMilliseconds()),
            milliseconds(reader.getValidInMilliseconds()),
            reader.getHasNoPool()};
}

TokenReturn decodeTokenReturn(PeerMessages::TokenReturn::Reader reader)
{
    return {reader.getTeam(), reader.getTokens()};
}

} // namespace Lovageloft

#pragma once

#include "servers/peer.capnp.h"
#include "servers/peer_handler.h"

/// Between the messages of the packages and those of the wire.
namespace Lovageloft
{

void write(const DebitRequest &from, Rpc::DebitRequest::Builder to);
void write(const DebitReply &from, Rpc::DebitReply::Builder to);
void write(const DebitSettlement &from, Rpc::DebitSettlement::Builder to);

void write(const ClaimQuery &from, Rpc::ClaimQuery::Builder to);
void write(const ClaimQueryReply &from, Rpc::ClaimQueryReply::Builder to);

ClaimQuery read(Rpc::ClaimQuery::Reader from);
ClaimQueryReply read(Rpc::ClaimQueryReply::Reader from);
DebitRequest read(Rpc::DebitRequest::Reader from);
DebitReply read(Rpc::DebitReply::Reader from);
DebitSettlement read(Rpc::DebitSettlement::Reader from);

void write(const std::vector<std::string> &from, capnp::List<capnp::Text>::Builder to);
std::vector<std::string> read(capnp::List<capnp::Text>::Reader from);

inline kj::ArrayPtr<const kj::byte> toBytes(std::string_view text)
{
    return {reinterpret_cast<const kj::byte *>(text.data()), text.size()};
}

inline std::string_view toView(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

inline std::string toString(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

} // namespace Lovageloft

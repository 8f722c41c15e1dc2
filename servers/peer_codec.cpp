#include "servers/peer_codec.h"

namespace Lovageloft
{

void write(const DebitRequest &from, Rpc::DebitRequest::Builder to)
{
    to.setFrom(from.from);
    to.setFromIncarnation(from.fromIncarnation);
    to.setTo(from.to);
    to.setAskId(from.debitId);
    to.setTeam(from.team);
    to.setAmount(from.amount);
}

void write(const DebitReply &from, Rpc::DebitReply::Builder to)
{
    to.setFrom(from.from);
    to.setFromIncarnation(from.fromIncarnation);
    to.setTo(from.to);
    to.setToIncarnation(from.toIncarnation);
    to.setAskId(from.debitId);
    to.setTeam(from.team);
    to.setGranted(from.granted);
    to.setBalance(from.balance);
    to.setReserved(from.reserved);
}

void write(const DebitSettlement &from, Rpc::DebitSettlement::Builder to)
{
    to.setFrom(from.from);
    to.setFromIncarnation(from.fromIncarnation);
    to.setTo(from.to);
    to.setToIncarnation(from.toIncarnation);
    to.setAskId(from.debitId);
    to.setIsUsed(from.isUsed);
    to.setUsed(from.used);
}

DebitRequest read(Rpc::DebitRequest::Reader from)
{
    return {toString(from.getFrom()), toString(from.getFromIncarnation()), toString(from.getTo()), from.getAskId(), toString(from.getTeam()), from.getAmount()};
}

DebitReply read(Rpc::DebitReply::Reader from)
{
    DebitReply reply;
    reply.from = toString(from.getFrom());
    reply.fromIncarnation = toString(from.getFromIncarnation());
    reply.to = toString(from.getTo());
    reply.toIncarnation = toString(from.getToIncarnation());
    reply.debitId = from.getAskId();
    reply.team = toString(from.getTeam());
    reply.granted = from.getGranted();
    reply.balance = from.getBalance();
    reply.reserved = from.getReserved();
    return reply;
}

DebitSettlement read(Rpc::DebitSettlement::Reader from)
{
    DebitSettlement settlement;
    settlement.from = toString(from.getFrom());
    settlement.fromIncarnation = toString(from.getFromIncarnation());
    settlement.to = toString(from.getTo());
    settlement.toIncarnation = toString(from.getToIncarnation());
    settlement.debitId = from.getAskId();
    settlement.isUsed = from.getIsUsed();
    settlement.used = from.getUsed();
    return settlement;
}

void write(const ClaimQuery &from, Rpc::ClaimQuery::Builder to)
{
    to.setHost(from.host);
    to.setIncarnation(from.incarnation);
    to.setNonce(from.nonce);
}

void write(const ClaimQueryReply &from, Rpc::ClaimQueryReply::Builder to)
{
    // Both enumerations have the same order; the names on the wire are the table's.
    to.setFate(static_cast<Rpc::ClaimFate>(from.fate));
    to.setNonce(from.nonce);
    to.setStatus(from.answer.status);
    to.setContentType(from.answer.contentType);
    to.setBody(toBytes(from.answer.body));
    to.setIsWhole(from.answer.isWhole);
}

ClaimQuery read(Rpc::ClaimQuery::Reader from)
{
    return {toString(from.getHost()), toString(from.getIncarnation()), toString(from.getNonce())};
}

ClaimQueryReply read(Rpc::ClaimQueryReply::Reader from)
{
    ClaimQueryReply reply;
    reply.nonce = toString(from.getNonce());
    // A fate that a newer host invented is none that allows a second sending.
    reply.fate = from.getFate() <= Rpc::ClaimFate::FORGOTTEN ? static_cast<ClaimFate>(from.getFate()) : ClaimFate::Forgotten;
    reply.answer.status = from.getStatus();
    reply.answer.contentType = toString(from.getContentType());
    reply.answer.body = toView(from.getBody());
    reply.answer.isWhole = from.getIsWhole();
    return reply;
}

void write(const std::vector<std::string> &from, capnp::List<capnp::Text>::Builder to)
{
    for (std::size_t i = 0; i < from.size(); ++i) {
        to.set(static_cast<unsigned>(i), from[i]);
    }
}

std::vector<std::string> read(capnp::List<capnp::Text>::Reader from)
{
    std::vector<std::string> texts;
    texts.reserve(from.size());
    for (const auto text : from) {
        texts.push_back(toString(text));
    }
    return texts;
}

} // namespace Lovageloft

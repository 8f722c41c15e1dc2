#include "gateway/statement_codec.h"

#include <algorithm>
#include <cmath>

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

namespace
{

using PeerMessages::Datagram;

/// Statements in a datagram, which then fits into one packet.
constexpr std::size_t maxStatementsPerDatagram = 10;

bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

std::vector<std::string> encodeStatements(std::span<const StatementTable::Update> updates, TimePoint now)
{
    std::vector<std::string> datagrams;
    while (!updates.empty()) {
        const auto part = updates.first(std::min(updates.size(), maxStatementsPerDatagram));
        updates = updates.subspan(part.size());
        capnp::MallocMessageBuilder message;
        auto encoded = message.initRoot<Datagram>().initStatements(static_cast<unsigned>(part.size()));
        for (unsigned i = 0; i < part.size(); ++i) {
            const TargetStatement &statement = part[i].statement;
            encoded[i].setTarget(statement.target);
            encoded[i].setIncarnation(statement.incarnation);
            encoded[i].setKind(static_cast<std::uint8_t>(statement.kind));
            encoded[i].setValue(statement.value);
            encoded[i].setIsEnded(part[i].isEnded);
            encoded[i].setAgeMicroseconds(toMicroseconds(now - statement.statedAt));
            encoded[i].setHeardBy(statement.heardBy);
        }
        datagrams.push_back(encodeDatagram(message));
    }
    return datagrams;
}

std::vector<StatementTable::Update> decodeStatements(capnp::List<PeerMessages::Statement>::Reader reader, TimePoint now)
{
    std::vector<StatementTable::Update> updates;
    for (const auto statement : reader) {
        if (statement.getKind() >= allStatementKinds.size() || !isAmount(statement.getValue())) {
            continue;
        }
        const TimePoint statedAt = now - fromMicroseconds(statement.getAgeMicroseconds());
        updates.push_back({{statement.getTarget(),
                            statement.getIncarnation(),
                            static_cast<StatementKind>(statement.getKind()),
                            statement.getValue(),
                            statedAt,
                            now,
                            statement.getHeardBy()},
                           statement.getIsEnded()});
    }
    return updates;
}

std::string encodePermitRequest(const PermitRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initPermitRequest();
    encoded.setId(request.id);
    encoded.setTarget(request.target);
    encoded.setRate(request.rate);
    return encodeDatagram(message);
}

std::string encodePermitReply(const PermitReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initPermitReply();
    encoded.setId(reply.id);
    encoded.setIsGranted(reply.decision.isGranted);
    encoded.setWaitMicroseconds(toMicroseconds(reply.decision.wait));
    return encodeDatagram(message);
}

PermitRequest decodePermitRequest(PeerMessages::PermitRequest::Reader reader)
{
    const double rate = reader.getRate();
    return {reader.getId(), reader.getTarget(), isAmount(rate) ? rate : 0};
}

PermitReply decodePermitReply(PeerMessages::PermitReply::Reader reader)
{
    return {reader.getId(), {reader.getIsGranted(), fromMicroseconds(reader.getWaitMicroseconds())}};
}

std::string encodeSlotReport(const SlotReport &report)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initSlotReport();
    encoded.setTarget(report.target);
    encoded.setIncarnation(report.incarnation);
    encoded.setRejectionLimit(report.rejectionLimit);
    encoded.setSequence(report.sequence);
    encoded.setWanted(report.wanted);
    encoded.setInUse(report.inUse);
    encoded.setUndecided(report.undecided);
    encoded.setRejections(report.rejections);
    encoded.setLastGrant(report.lastGrant);
    encoded.setRejectionMicroseconds(toMicroseconds(report.rejectionTime));
    encoded.setProbe(report.probe);
    encoded.setAcceptedProbe(report.acceptedProbe);
    return encodeDatagram(message);
}

std::string encodeSlotGrant(const SlotGrant &grant)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initSlotGrant();
    encoded.setTarget(grant.target);
    encoded.setId(grant.id);
    encoded.setRate(grant.rate);
    encoded.setReport(grant.report);
    encoded.setIsProbe(grant.isProbe);
    encoded.setAcceptanceMicroseconds(toMicroseconds(grant.acceptanceTime));
    return encodeDatagram(message);
}

SlotReport decodeSlotReport(PeerMessages::SlotReport::Reader reader)
{
    const double limit = reader.getRejectionLimit();
    return {.target = reader.getTarget(),
            .incarnation = reader.getIncarnation(),
            .rejectionLimit = isAmount(limit) ? limit : 0,
            .sequence = reader.getSequence(),
            .wanted = reader.getWanted(),
            .inUse = reader.getInUse(),
            .undecided = reader.getUndecided(),
            .rejections = reader.getRejections(),
            .rejectionTime = fromMicroseconds(reader.getRejectionMicroseconds()),
            .lastGrant = reader.getLastGrant(),
            .probe = reader.getProbe(),
            .acceptedProbe = reader.getAcceptedProbe()};
}

SlotGrant decodeSlotGrant(PeerMessages::SlotGrant::Reader reader)
{
    const double rate = reader.getRate();
    return {.target = reader.getTarget(),
            .id = reader.getId(),
            .rate = isAmount(rate) ? rate : 0,
            .report = reader.getReport(),
            .isProbe = reader.getIsProbe(),
            .acceptanceTime = fromMicroseconds(reader.getAcceptanceMicroseconds())};
}

} // namespace Lovageloft

#include "gateway/crash_codec.h"

#include <capnp/message.h>

#include "gateway/datagram_codec.h"

namespace Lovageloft
{

namespace
{

using PeerMessages::Datagram;

std::uint64_t number(RequestFeature feature)
{
    return static_cast<std::uint64_t>(feature);
}

} // namespace

std::string encodeCrashReport(const CrashReport &report)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initCrashReport();
    encoded.setFeature(number(report.feature));
    encoded.setTarget(report.target);
    encoded.setRequest(number(report.request));
    return encodeDatagram(message);
}

std::string encodeQuarantineNotice(const QuarantineNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initQuarantineNotice();
    encoded.setFeature(number(notice.feature));
    encoded.setAgeMicroseconds(toMicroseconds(notice.age));
    encoded.setIsCertain(notice.isCertain);
    auto targets = encoded.initTargets(static_cast<unsigned>(notice.targets.size()));
    for (unsigned i = 0; i < notice.targets.size(); ++i) {
        targets.set(i, notice.targets[i]);
    }
    return encodeDatagram(message);
}

std::string encodeQuarantineObjection(const QuarantineObjection &objection)
{
    capnp::MallocMessageBuilder message;
    if (objection.isExplained) {
        message.initRoot<Datagram>().setQuarantineExplained(number(objection.feature));
        return encodeDatagram(message);
    }
    auto encoded = message.initRoot<Datagram>().initQuarantineObjection();
    encoded.setFeature(number(objection.feature));
    encoded.setAgeMicroseconds(toMicroseconds(objection.soundAge));
    return encodeDatagram(message);
}

std::string encodeQuarantineLift(RequestFeature feature)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Datagram>().setQuarantineLift(number(feature));
    return encodeDatagram(message);
}

CrashReport decodeCrashReport(PeerMessages::CrashReport::Reader reader)
{
    return {RequestFeature{reader.getFeature()}, reader.getTarget(), RequestFeature{reader.getRequest()}};
}

QuarantineNotice decodeQuarantineNotice(PeerMessages::QuarantineNotice::Reader reader)
{
    QuarantineNotice notice{RequestFeature{reader.getFeature()}, fromMicroseconds(reader.getAgeMicroseconds()), reader.getIsCertain()};
    for (const std::uint64_t target : reader.getTargets()) {
        notice.targets.push_back(target);
    }
    return notice;
}

QuarantineObjection decodeQuarantineObjection(Datagram::QuarantineObjection::Reader reader)
{
    return {RequestFeature{reader.getFeature()}, fromMicroseconds(reader.getAgeMicroseconds())};
}

} // namespace Lovageloft

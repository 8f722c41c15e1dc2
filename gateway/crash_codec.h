#pragma once

#include <string>

#include "coordination/crash_quarantine.h"
#include "gateway/peer_messages.capnp.h"

/// Datagrams about what crashes targets.
namespace Lovageloft
{

std::string encodeCrashReport(const CrashReport &report);
std::string encodeQuarantineNotice(const QuarantineNotice &notice);
std::string encodeQuarantineObjection(const QuarantineObjection &objection);
std::string encodeQuarantineLift(RequestFeature feature);

CrashReport decodeCrashReport(PeerMessages::CrashReport::Reader reader);
QuarantineNotice decodeQuarantineNotice(PeerMessages::QuarantineNotice::Reader reader);
QuarantineObjection decodeQuarantineObjection(PeerMessages::Datagram::QuarantineObjection::Reader reader);

} // namespace Lovageloft

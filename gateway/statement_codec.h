#pragma once

#include <span>
#include <string>
#include <vector>

#include "decision/send_permits.h"
#include "gateway/peer_messages.capnp.h"

namespace Lovageloft
{

/// The datagrams about what targets state, and back. Ages are relative to `now`. Statements of unknown kinds or with impossible values are left out.
std::vector<std::string> encodeStatements(std::span<const StatementTable::Update> updates, TimePoint now);
std::vector<StatementTable::Update> decodeStatements(capnp::List<PeerMessages::Statement>::Reader reader, TimePoint now);

std::string encodePermitRequest(const PermitRequest &request);
std::string encodePermitReply(const PermitReply &reply);
PermitRequest decodePermitRequest(PeerMessages::PermitRequest::Reader reader);
PermitReply decodePermitReply(PeerMessages::PermitReply::Reader reader);

std::string encodeSlotReport(const SlotReport &report);
std::string encodeSlotGrant(const SlotGrant &grant);
SlotReport decodeSlotReport(PeerMessages::SlotReport::Reader reader);
SlotGrant decodeSlotGrant(PeerMessages::SlotGrant::Reader reader);

} // namespace Lovageloft

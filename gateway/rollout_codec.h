#pragma once

#include <string>

#include "gateway/peer_messages.capnp.h"
#include "gateway/rollout_messages.h"

namespace Lovageloft
{

/// The datagrams of rollouts, and back. Surplus numbers of a list of counts are ignored, missing ones read as 0.
std::string encodeRolloutReport(const RolloutReport &report);
std::string encodeRolloutReply(const RolloutReply &reply);
RolloutReport readRolloutReport(PeerMessages::RolloutReport::Reader reader);
RolloutReply readRolloutReply(PeerMessages::RolloutReply::Reader reader);

} // namespace Lovageloft

#pragma once

#include <span>
#include <string>

#include "gateway/peer_messages.capnp.h"
#include "gateway/peer_socket.h"

namespace Lovageloft
{

/// Encodes a datagram with some of the notice's entries; without their values if it would be too long otherwise.
std::string encodeChanges(const ChangesNotice &notice, std::span<const StoreEntry> entries);

/// Writes changes into a message, with some of the notice's entries.
void writeChanges(PeerMessages::Changes::Builder changes, const ChangesNotice &notice, std::span<const StoreEntry> entries, bool withValues);

ChangesNotice readChanges(PeerMessages::Changes::Reader changes);

} // namespace Lovageloft

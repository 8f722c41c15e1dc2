#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "core/clock.h"
#include "gateway/peer_messages.capnp.h"

namespace Lovageloft
{

/// The bytes of a message, as sent in a datagram.
std::string encodeDatagram(capnp::MessageBuilder &message);

/// The same in Cap'n Proto's packed encoding, which leaves out zero bytes: half as long for messages of a few numbers.
std::string encodePackedDatagram(capnp::MessageBuilder &message);

/// The maximum size of a UDP datagram, less room for the list of receivers of a forwarded one.
inline constexpr std::size_t maxSentDatagramBytes = 56'000;

/// The datagram itself, or a datagram with its deflated bytes if it is as long as a packet.
std::string deflatedIfLong(std::string datagram);

/// A time as a number in a message, and back. Negative times are sent as 0; those of a faulty sender that no process runs for are cut.
std::uint64_t toMicroseconds(Duration time);
Duration fromMicroseconds(std::uint64_t microseconds);

/// Text as bytes of a message, and back.
kj::ArrayPtr<const unsigned char> toBytes(std::string_view text);
std::string_view toText(capnp::Data::Reader data);

/// Decodes a datagram, packed or not, from bytes of any alignment; a trailing part of a word is ignored.
class DatagramReader
{
public:
    /// Throws kj::Exception if the bytes are no message.
    explicit DatagramReader(std::string_view bytes);

    /// Valid as long as the reader. Throws kj::Exception if the message has no valid root.
    PeerMessages::Datagram::Reader root();

private:
    std::vector<std::uint64_t> words_; ///< A copy, as Cap'n Proto requires alignment, which nested datagrams don't have.
    capnp::FlatArrayMessageReader reader_;
};

} // namespace Lovageloft

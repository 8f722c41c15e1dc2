#include "gateway/datagram_codec.h"

#include <algorithm>
#include <cstring>

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "gateway/deflate.h"

namespace Lovageloft
{

namespace
{

/// Datagrams of this size and above, about the size of a packet, are deflated.
constexpr std::size_t minDeflatedBytes = 1'200;

} // namespace

std::string deflatedIfLong(std::string datagram)
{
    if (datagram.size() < minDeflatedBytes) {
        return datagram;
    }
    capnp::MallocMessageBuilder message;
    message.initRoot<PeerMessages::Datagram>().setPacked(toBytes(deflated(datagram)));
    return encodeDatagram(message);
}

kj::ArrayPtr<const unsigned char> toBytes(std::string_view text)
{
    return kj::arrayPtr(reinterpret_cast<const unsigned char *>(text.data()), text.size());
}

std::string_view toText(capnp::Data::Reader data)
{
    const auto chars = data.asChars();
    return {chars.begin(), chars.size()};
}

namespace
{

/// Whether the bytes are in the packed encoding. They then begin with the tag of the first word, which has only the size of the message, and
/// that size; otherwise with the number of segments less one in four bytes, which is below 256.
bool isPacked(std::string_view bytes)
{
    return bytes.size() > 1 && bytes[0] != 0 && bytes[1] != 0;
}

std::string unpacked(std::string_view bytes)
{
    kj::ArrayInputStream in(toBytes(bytes));
    capnp::PackedMessageReader reader(in);
    capnp::MallocMessageBuilder message;
    message.setRoot(reader.getRoot<PeerMessages::Datagram>());
    return encodeDatagram(message);
}

std::vector<std::uint64_t> alignedWords(std::string_view bytes)
{
    if (isPacked(bytes)) {
        return alignedWords(unpacked(bytes));
    }
    std::vector<std::uint64_t> words(bytes.size() / sizeof(std::uint64_t));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(std::uint64_t));
    return words;
}

} // namespace

std::string encodeDatagram(capnp::MessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

std::string encodePackedDatagram(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto chars = out.getArray().asChars();
    return {chars.begin(), chars.size()};
}

std::uint64_t toMicroseconds(Duration time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(time).count()));
}

Duration fromMicroseconds(std::uint64_t microseconds)
{
    constexpr std::uint64_t maxMicroseconds = 3'000'000'000'000'000;
    return std::chrono::microseconds(std::min(microseconds, maxMicroseconds));
}

DatagramReader::DatagramReader(std::string_view bytes)
    : words_(alignedWords(bytes))
    , reader_(kj::arrayPtr(reinterpret_cast<const capnp::word *>(words_.data()), words_.size()))
{
}

PeerMessages::Datagram::Reader DatagramReader::root()
{
    return reader_.getRoot<PeerMessages::Datagram>();
}

} // namespace Lovageloft

#include "gateway/datagram_codec.h"

#include <cstring>

namespace Lovageloft
{

namespace
{

std::vector<std::uint64_t> alignedWords(std::string_view bytes)
{
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

#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace Lovageloft
{

/// What was sent to and received from other hosts in one kind of message. Bytes are those of the datagrams, without the headers of IP and UDP.
struct PeerTraffic
{
    std::string_view message; ///< The kind of the forwarded message for one that is forwarded; "packed" for all that are deflated.
    bool isRemote = false; ///< To and from hosts in other data centres.
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
};

/// Counts the datagrams between hosts by kind of message, for operators. Not thread-safe.
class PeerTrafficCounter
{
public:
    void addSent(std::string_view datagram, bool isRemote);
    void addReceived(std::string_view datagram, bool isRemote);

    /// The counts so far, without the kinds that did not occur.
    std::vector<PeerTraffic> rows() const;

private:
    PeerTraffic &rowOf(std::string_view datagram, bool isRemote);

    std::map<std::pair<std::string_view, bool>, PeerTraffic> rows_;
};

} // namespace Lovageloft

#include "gateway/peer_traffic.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <kj/exception.h>

#include "gateway/datagram_codec.h"
#include "gateway/peer_messages.capnp.h"

namespace Lovageloft
{

namespace
{

using PeerMessages::Datagram;

/// In the order of the union's members.
constexpr std::array<std::string_view, 31> messageNames{
    "dispatch",       "loading",       "token_request", "token_reply",    "changes",           "proof_request",        "proof_reply",      "cache_store",
    "weights_query",  "weights_age",   "forward",       "packed",         "changes_query",     "changes_reply",        "crash_report",     "quarantine",
    "rollout_report", "rollout_reply", "bundle",        "permit_request", "permit_reply",      "statements",           "statements_query", "stream_record",
    "stream_query",   "stream_reply",  "slot_report",   "slot_grant",     "quarantine_notice", "quarantine_objection", "quarantine_lift"};
constexpr std::string_view unreadable = "unreadable";

std::string_view messageOf(std::string_view bytes)
{
    try {
        DatagramReader reader(bytes);
        const auto datagram = reader.root();
        if (datagram.which() == Datagram::FORWARD) {
            const auto chars = datagram.getForward().getDatagram().asChars();
            return messageOf({chars.begin(), chars.size()});
        }
        const auto index = static_cast<std::size_t>(datagram.which());
        return index < messageNames.size() ? messageNames.at(index) : unreadable;
    } catch (const kj::Exception &) {
        return unreadable;
    }
}

} // namespace

void PeerTrafficCounter::addSent(std::string_view datagram, bool isRemote)
{
    PeerTraffic &row = rowOf(datagram, isRemote);
    ++row.sentDatagrams;
    row.sentBytes += datagram.size();
}

void PeerTrafficCounter::addReceived(std::string_view datagram, bool isRemote)
{
    PeerTraffic &row = rowOf(datagram, isRemote);
    ++row.receivedDatagrams;
    row.receivedBytes += datagram.size();
}

std::vector<PeerTraffic> PeerTrafficCounter::rows() const
{
    std::vector<PeerTraffic> rows;
    std::transform(rows_.begin(), rows_.end(), std::back_inserter(rows), [](const auto &entry) { return entry.second; });
    return rows;
}

PeerTraffic &PeerTrafficCounter::rowOf(std::string_view datagram, bool isRemote)
{
    const std::string_view message = messageOf(datagram);
    PeerTraffic &row = rows_[{message, isRemote}];
    row.message = message;
    row.isRemote = isRemote;
    return row;
}

} // namespace Lovageloft

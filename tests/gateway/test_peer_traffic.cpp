#include <boost/test/unit_test.hpp>

#include "gateway/peer_traffic.h"
#include "gateway/rollout_codec.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(PeerTrafficTest)

BOOST_AUTO_TEST_CASE(bytesAreCountedByMessageAndDirection)
{
    const std::string reply = encodeRolloutReply({"s", {1, 2, 3, {}}, 4, {}});
    PeerTrafficCounter counter;
    counter.addSent(reply, true);
    counter.addSent(reply, true);
    counter.addReceived(reply, false);
    const auto rows = counter.rows();
    BOOST_REQUIRE(rows.size() == 2U);
    BOOST_TEST(rows[0].message == "rollout_reply");
    BOOST_TEST(!rows[0].isRemote);
    BOOST_TEST(rows[0].receivedBytes == reply.size());
    BOOST_TEST(rows[1].sentDatagrams == 2U);
    BOOST_TEST(rows[1].sentBytes == 2 * reply.size());
}

// Guards against a host that ends, or counts nothing, when a datagram can't be read.
BOOST_AUTO_TEST_CASE(unreadableDatagramsAreCounted)
{
    PeerTrafficCounter counter;
    counter.addReceived("no datagram", false);
    counter.addReceived("", false);
    BOOST_REQUIRE(!counter.rows().empty());
    std::uint64_t datagrams = 0;
    for (const PeerTraffic &row : counter.rows()) {
        datagrams += row.receivedDatagrams;
    }
    BOOST_TEST(datagrams == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

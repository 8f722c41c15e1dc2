#include <boost/test/unit_test.hpp>

#include "gateway/datagram_codec.h"
#include "gateway/token_codec.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TokenCodecTest)

BOOST_AUTO_TEST_CASE(timesAreNeverRoundedTowardsMoreTokens)
{
    // Guards against a request that runs before its reserved tokens are valid, and against one that waits longer than it can.
    DatagramReader request(encodeTokenRequest({7, "t", 12.5, 1'999'999us}));
    const TokenRequest decoded = decodeTokenRequest(request.root().getTokenRequest());
    BOOST_TEST((decoded.id == 7 && decoded.team == "t" && decoded.tokens == 12.5));
    BOOST_TEST((decoded.maxWait == 1'999ms));
    DatagramReader reply(encodeTokenReply({.id = 7, .isGranted = true, .validIn = 1us}));
    BOOST_TEST((decodeTokenReply(reply.root().getTokenReply()).validIn == 1ms));
    DatagramReader none(encodeTokenReply({.id = 7, .retryAfter = 5ms, .hasNoPool = true}));
    BOOST_TEST(decodeTokenReply(none.root().getTokenReply()).hasNoPool);
    DatagramReader returned(encodeTokenReturn({"t", 3}));
    BOOST_TEST(decodeTokenReturn(returned.root().getTokenReturn()).tokens == 3);
}

BOOST_AUTO_TEST_CASE(messagesOfBuildsWithoutTheNewFieldsMeanNoWait)
{
    // Guards against hosts of two builds that take a plain grant for a reservation, or wait for one that was never made.
    capnp::MallocMessageBuilder message;
    message.initRoot<PeerMessages::Datagram>().initTokenReply().setIsGranted(true);
    DatagramReader reader(encodeDatagram(message));
    const TokenReply reply = decodeTokenReply(reader.root().getTokenReply());
    BOOST_TEST((reply.isGranted && reply.validIn == 0ms && !reply.hasNoPool));
}

BOOST_AUTO_TEST_SUITE_END()

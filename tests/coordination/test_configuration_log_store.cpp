#include <boost/test/unit_test.hpp>

#include "coordination/configuration_log_store.h"
#include "tests/coordination/lossy_store.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(ConfigurationLogStoreTest)

BOOST_AUTO_TEST_CASE(anEarlierEntryNeverReplacesALaterOneAsInForce)
{
    // Two hosts learn at different times what is in force, and the slower one writes last. If its older entry replaced the newer one, a
    // host that starts alone would wait for the others although the newest entry is in force.
    LossyStore store{[] { return TimePoint(); }};
    ConfigurationLogStore faster(store, "p/");
    ConfigurationLogStore slower(store, "p/");
    BOOST_TEST(faster.recordInForce(7).value_or(-1) == 7);
    BOOST_TEST(slower.recordInForce(5).value_or(-1) == 7);
    BOOST_TEST(ConfigurationLogStore(store, "p/").readInForce().value_or(-1) == 7);
    BOOST_TEST(slower.recordInForce(9).value_or(-1) == 9);
    BOOST_TEST(faster.recordInForce(10).value_or(-1) == 10);
    BOOST_TEST(ConfigurationLogStore(store, "p/").readInForce().value_or(-1) == 10);
}

BOOST_AUTO_TEST_CASE(recordingInForceCanBeRepeatedAfterALostResponse)
{
    // The write takes effect and its response is lost. If a host treated this as done, or gave up, a host that starts alone would not learn
    // what is in force.
    LossyStore store{[] { return TimePoint(); }};
    ConfigurationLogStore log(store, "p/");
    BOOST_TEST(log.readInForce().value_or(-1) == 0);
    store.losesAnswers = true;
    BOOST_TEST(!log.recordInForce(3).has_value());
    store.losesAnswers = false;
    BOOST_TEST(log.recordInForce(3).value_or(-1) == 3);
    store.isDown = true;
    BOOST_TEST(!log.recordInForce(4).has_value());
    BOOST_TEST(!ConfigurationLogStore(store, "p/").readInForce().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

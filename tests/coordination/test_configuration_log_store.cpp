#include <boost/test/unit_test.hpp>

#include "coordination/configuration_log_store.h"
#include "tests/coordination/lossy_store.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(ConfigurationLogStoreTest)

BOOST_AUTO_TEST_CASE(anEarlierEntryNeverReplacesALaterOneAsInForce)
{
    // Two hosts learn at different times what is in force, and the slower one writes last. Were its older entry to stay, a host that
    // starts alone would wait for the others although the newest entry is in force.
    LossyStore store{[] { return TimePoint(); }};
    ConfigurationLogStore quick(store, "p/");
    ConfigurationLogStore slow(store, "p/");
    BOOST_TEST(quick.recordInForce(7).value_or(-1) == 7);
    BOOST_TEST(slow.recordInForce(5).value_or(-1) == 7);
    BOOST_TEST(ConfigurationLogStore(store, "p/").readInForce().value_or(-1) == 7);
    BOOST_TEST(slow.recordInForce(9).value_or(-1) == 9);
    BOOST_TEST(quick.recordInForce(10).value_or(-1) == 10);
    BOOST_TEST(ConfigurationLogStore(store, "p/").readInForce().value_or(-1) == 10);
}

BOOST_AUTO_TEST_CASE(aLostAnswerLeavesTheEntryInForceToBeWrittenAgain)
{
    // The write takes effect and its answer is lost. A host that took this for done, or gave up on it, would leave one that starts
    // alone without word of what is in force.
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

#include <csignal>

#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(RestartAloneSystemTest)

BOOST_FIXTURE_TEST_CASE(aHostRestartedWhileTheOthersAreGoneServesItsOwnPart, SystemFixture)
{
    // Two of three hosts are gone and the third is replaced while the store is up. Callers are sent to the only host there is,
    // and would notice that it refuses all of them until another one comes back.
    constexpr int tokens = 5;
    constexpr std::chrono::seconds restartLimit{5};
    for (std::size_t i = 0; i < hostCount(); ++i) {
        host(i).kill();
    }
    restartHost(0);
    BOOST_TEST(waitFor(restartLimit, [&] { return judgeStream(call(0, chat(tokens)), tokens) == StreamOutcome::Whole; }));
}

BOOST_AUTO_TEST_SUITE_END()

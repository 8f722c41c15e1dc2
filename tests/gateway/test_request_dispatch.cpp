#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/request_dispatch.h"

using namespace Lovageloft;

BOOST_AUTO_TEST_SUITE(RequestDispatchTest)

BOOST_AUTO_TEST_CASE(aHundredEnginesThatLoadAtOnceRefreshTheListOnce)
{
    // Guards against high CPU usage for rebuilding the list of engines while all engines load new weights.
    boost::asio::io_context loop;
    int renewals = 0;
    RequestDispatch dispatch(loop, [&] {
        ++renewals;
        dispatch.setEngines({}, std::nullopt);
    });
    for (int i = 0; i < 100; ++i) {
        dispatch.invalidateEngines();
        loop.poll();
        loop.restart();
    }
    BOOST_TEST(renewals == 0);
    dispatch.refreshEngines(BootClock::now());
    dispatch.refreshEngines(BootClock::now());
    BOOST_TEST(renewals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

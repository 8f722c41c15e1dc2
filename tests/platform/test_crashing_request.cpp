#define BOOST_TEST_MODULE crashing_request
#include <atomic>

#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr int targetCount = 8;
constexpr int repeats = 20;
constexpr int mostCrashes = 6; // Three that tell, and as many as a single host may send on before it knows.

/// Targets that break off when they begin a certain request, and answer all others.
struct CrashFixture : GatewayFixture
{
    CrashFixture()
    {
        for (int i = 0; i < targetCount; ++i) {
            addTarget("t" + std::to_string(i), [this](Connection &connection, const Request &request) {
                if (request.body == "crash") {
                    ++crashes;
                    connection.reset();
                } else {
                    connection.answer(request, 200, "whole");
                }
            });
        }
    }

    std::atomic<int> crashes = 0;
};

bool isAnswered(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200 ");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequest, CrashFixture)

// Guards against a request that ends each target that begins it, and is sent to one after the other each time it comes again.
BOOST_AUTO_TEST_CASE(aRequestThatEndsItsTargetsIsNotSentOn)
{
    for (int i = 0; i < repeats; ++i) {
        BOOST_TEST(!isAnswered(exchange(request("POST", "/safe/x", "crash"))));
    }
    BOOST_TEST(crashes <= mostCrashes);
    BOOST_TEST(isAnswered(exchange(request("POST", "/safe/x", "other"))));
    BOOST_TEST(isAnswered(exchange(request("POST", "/safe/y", "other"))));
}

BOOST_AUTO_TEST_SUITE_END()

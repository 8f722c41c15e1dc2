#include <boost/test/unit_test.hpp>

#include "coordination/circuit_breaker.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{1h};

/// Calls within ten seconds of a host that tries at each millisecond and is never answered.
int callsWithoutAnswer(CircuitBreaker &breaker)
{
    int calls = 0;
    for (TimePoint now = start; now < start + 10s; now += 1ms) {
        if (breaker.isClosed(now)) {
            ++calls;
            breaker.onFailure(now);
        }
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CircuitBreakerTest)

BOOST_AUTO_TEST_CASE(aServiceThatIsAwayIsCalledSeldom)
{
    // Guards against hundreds of hosts that spend thousands of calls on a store that is down.
    CircuitBreaker breaker{Random(1)};
    breaker.setMaxOpenDuration(3s);
    BOOST_TEST(callsWithoutAnswer(breaker) < 12);
    CircuitBreaker open{Random(1)};
    BOOST_TEST(callsWithoutAnswer(open) == 10'000);
}

BOOST_AUTO_TEST_CASE(anAnswerEndsThePause)
{
    CircuitBreaker breaker{Random(2)};
    breaker.setMaxOpenDuration(3s);
    callsWithoutAnswer(breaker);
    breaker.onSuccess();
    BOOST_TEST(breaker.isClosed(start + 10s));
    breaker.onFailure(start + 10s);
    BOOST_TEST(!breaker.isClosed(start + 10s));
    BOOST_TEST(breaker.isClosed(start + 10s + 100ms));
}

BOOST_AUTO_TEST_CASE(othersThatAreAnsweredShortenThePause)
{
    CircuitBreaker breaker{Random(3)};
    breaker.setMaxOpenDuration(60s);
    for (TimePoint now = start; now < start + 30s; now += 1ms) {
        if (breaker.isClosed(now)) {
            breaker.onFailure(now);
        }
    }
    breaker.onPeersAnswered(start + 30s, 1s);
    BOOST_TEST(breaker.isClosed(start + 31s));
}

BOOST_AUTO_TEST_SUITE_END()

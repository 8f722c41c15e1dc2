#include <boost/test/unit_test.hpp>

#include "coordination/circuit_breaker.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{1h};

/// Number of calls within ten seconds by a host that tries every millisecond and never gets an answer.
int countFailingCalls(CircuitBreaker &breaker)
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

BOOST_AUTO_TEST_CASE(anUnavailableServiceIsCalledRarely)
{
    // Guards against hundreds of hosts that send thousands of calls to a store that is down.
    CircuitBreaker breaker{Random(1)};
    breaker.setMaxOpenDuration(3s);
    BOOST_TEST(countFailingCalls(breaker) < 12);
    CircuitBreaker disabled{Random(1)};
    BOOST_TEST(countFailingCalls(disabled) == 10'000);
}

BOOST_AUTO_TEST_CASE(anAnswerClosesTheBreaker)
{
    CircuitBreaker breaker{Random(2)};
    breaker.setMaxOpenDuration(3s);
    countFailingCalls(breaker);
    breaker.onSuccess();
    BOOST_TEST(breaker.isClosed(start + 10s));
    breaker.onFailure(start + 10s);
    BOOST_TEST(!breaker.isClosed(start + 10s));
    BOOST_TEST(breaker.isClosed(start + 10s + 100ms));
}

BOOST_AUTO_TEST_CASE(answersToPeersShortenTheDelay)
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

#include <vector>

#include <boost/test/unit_test.hpp>

#include "memory/buffer_budget.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kib = 1'024;
constexpr std::size_t totalBytes = 30'000 * kib; // A quarter of a host of 120 MB.
constexpr std::size_t readBytes = 16 * kib; // What a source delivers before it can stop.
const TimePoint start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(BufferBudgetTest)

// Guards against a host of unknown size that behaves differently from the fixed bound.
BOOST_AUTO_TEST_CASE(withoutAKnownSizeTheBoundIsFixed)
{
    BufferBudget budget;
    const auto id = budget.open();
    budget.reserve(id, BufferUse::Response, 256 * kib, start);
    BOOST_TEST(!budget.isAtBound(id));
    budget.reserve(id, BufferUse::Response, 1, start);
    BOOST_TEST(budget.isAtBound(id));
    budget.reserve(id, BufferUse::RequestBody, 100 * totalBytes, start);
    BOOST_TEST(budget.connectionBound() == 256 * kib);
    BOOST_TEST(!budget.isExhausted());
    BOOST_TEST(!budget.findStalled(start + 1h));
}

// Guards against slow callers that together hold more than the budget while each is within its bound. Load: 1,500 callers that read nothing, each
// with a response of 1 MB, of which sources deliver 16 KiB in turn.
BOOST_AUTO_TEST_CASE(manyCallersThatReadNothingStayWithinTheBudget)
{
    BufferBudget budget(totalBytes);
    std::vector<BufferBudget::ConnectionId> slow(1'500);
    for (auto &id : slow) {
        id = budget.open();
    }
    for (int turn = 0; turn < 64; ++turn) {
        for (const auto id : slow) {
            if (!budget.isAtBound(id)) {
                budget.reserve(id, BufferUse::Response, readBytes, start);
            }
        }
    }
    const auto quick = budget.open();
    budget.reserve(quick, BufferUse::Response, readBytes, start);
    BOOST_TEST(!budget.isAtBound(quick));
    // The source delivers once more after a connection has held exactly its bound.
    BOOST_TEST(budget.reserved() <= totalBytes + slow.size() * readBytes);
    for (const auto id : slow) {
        budget.close(id);
    }
    BOOST_TEST(budget.reserved() == readBytes);
    BOOST_TEST(budget.connectionBound() == 256 * kib);
}

// Guards against one slow caller that takes the capacity of the others: above half of the budget the free bytes are divided evenly.
BOOST_AUTO_TEST_CASE(aboveHalfOfTheBudgetTheFreeBytesAreDivided)
{
    BufferBudget budget(2'000 * kib);
    const auto one = budget.open();
    const auto other = budget.open();
    budget.reserve(one, BufferUse::Response, 900 * kib, start);
    BOOST_TEST(budget.connectionBound() == 256 * kib);
    budget.reserve(other, BufferUse::Response, 800 * kib, start);
    BOOST_TEST(budget.connectionBound() == 150 * kib);
    const auto body = budget.open();
    budget.reserve(body, BufferUse::RequestBody, 100 * kib, start);
    BOOST_TEST(budget.connectionBound() == 100 * kib);
    budget.reserve(body, BufferUse::RequestBody, 300 * kib, start);
    BOOST_TEST(budget.connectionBound() == 16 * kib);
    BOOST_TEST(budget.isExhausted());
    budget.release(body, BufferUse::RequestBody, 400 * kib, start);
    BOOST_TEST(!budget.isExhausted());
    BOOST_TEST(budget.connectionBound() == 150 * kib);
}

// Guards against closing a caller that reads slowly but steadily, one that waits for its response, or one that needn't be closed.
BOOST_AUTO_TEST_CASE(onlyStalledConnectionsAreClosedTheLargestFirst)
{
    BufferBudget budget(1'000 * kib);
    const auto small = budget.open();
    const auto large = budget.open();
    const auto steady = budget.open();
    const auto waiting = budget.open();
    budget.reserve(small, BufferUse::Response, 100 * kib, start);
    budget.reserve(large, BufferUse::Response, 200 * kib, start);
    budget.reserve(steady, BufferUse::Response, 300 * kib, start);
    BOOST_TEST(!budget.findStalled(start + 5s));
    budget.reserve(waiting, BufferUse::RequestBody, 350 * kib, start);
    BOOST_TEST(!budget.findStalled(start + 1'900ms));
    budget.release(steady, BufferUse::Response, kib, start + 1s);
    budget.reserve(large, BufferUse::Response, kib, start + 1s); // Bytes that arrive are no progress of the caller.
    const auto found = budget.findStalled(start + 2s);
    BOOST_REQUIRE(found);
    BOOST_TEST(found->connection == large);
    BOOST_TEST(found->bytes == 201 * kib);
    BOOST_TEST(toSeconds(found->silence) == 2.0);
    budget.close(large);
    BOOST_TEST(!budget.findStalled(start + 10s));
}

// Guards against responses that are buffered until they are complete: they cost memory too, but their callers are not stalled.
BOOST_AUTO_TEST_CASE(incompleteResponsesCountAndAreNotStalled)
{
    BufferBudget budget(1'000 * kib);
    const auto buffering = budget.open();
    const auto reading = budget.open();
    budget.reserve(buffering, BufferUse::IncompleteResponse, 600 * kib, start);
    budget.reserve(reading, BufferUse::Response, 200 * kib, start);
    BOOST_TEST(budget.connectionBound() == 100 * kib);
    budget.reserve(buffering, BufferUse::IncompleteResponse, 200 * kib, start);
    BOOST_TEST(!budget.isAtBound(buffering));
    const auto found = budget.findStalled(start + 10s);
    BOOST_REQUIRE(found);
    BOOST_TEST(found->connection == reading);
}

// Guards against sums that go wrong when a connection releases more than it holds or is closed twice.
BOOST_AUTO_TEST_CASE(impossibleReleasesDoNotChangeTheSums)
{
    BufferBudget budget(totalBytes);
    const auto id = budget.open();
    budget.reserve(id, BufferUse::Response, 20 * kib, start);
    budget.release(id, BufferUse::Response, 30 * kib, start);
    BOOST_TEST(budget.reserved() == 0U);
    budget.close(id);
    budget.close(id);
    budget.reserve(id, BufferUse::Response, kib, start);
    BOOST_TEST(budget.reserved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "decision/request_scheduler.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{std::chrono::hours(1)};

SchedulerEngine engine(std::string name, std::uint64_t incarnation = 1)
{
    SchedulerEngine result;
    result.name = std::move(name);
    result.model = "m";
    result.weightsVersion = "v1";
    result.incarnation = incarnation;
    return result;
}

SchedulerRequest request(std::uint64_t id, std::vector<std::string> failed = {})
{
    SchedulerRequest result;
    result.id = RequestId{id};
    result.team = "desk";
    result.keyId = "k1";
    result.cacheSalt = "salt";
    result.model = "m";
    result.promptTokens = 100;
    result.outputTokens = 10;
    result.deadline = start + std::chrono::seconds(10);
    result.failedEngines = std::move(failed);
    return result;
}

struct SchedulerFixture
{
    SchedulerFixture()
    {
        const std::vector<SchedulerEngine> engines{engine("a"), engine("b")};
        scheduler.setEngines(engines);
    }

    /// The only outcome of the next decision.
    SchedulerOutcome decideOne()
    {
        auto outcomes = scheduler.decide(start, random);
        BOOST_REQUIRE(outcomes.size() == 1U);
        return outcomes.front();
    }

    Random random{7};
    RequestScheduler scheduler;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestSchedulerTest, SchedulerFixture)

// Guards against callers that come back while all engines still rest, or long after the first of them serves again.
BOOST_AUTO_TEST_CASE(whileAllEnginesRestARequestIsRefusedUntilTheFirstRestEnds)
{
    std::vector<SchedulerEngine> engines{engine("a"), engine("b"), engine("c")};
    for (SchedulerEngine &resting : engines) {
        resting.isServing = false;
    }
    engines[0].restUntil = start + 3s;
    engines[1].restUntil = start + 2s;
    scheduler.setEngines(engines);
    BOOST_TEST(!scheduler.submit(request(1), start).has_value());
    const auto refused = decideOne();
    BOOST_REQUIRE(std::holds_alternative<SchedulerRefusal>(refused));
    BOOST_TEST((std::get<SchedulerRefusal>(refused).retryAfter == Duration(2s)));

    engines[2].isServing = true;
    scheduler.setEngines(engines);
    BOOST_TEST(!scheduler.submit(request(2), start).has_value());
    BOOST_TEST(std::holds_alternative<SchedulerAssignment>(decideOne()));
}

BOOST_AUTO_TEST_CASE(aRequestGoesToAnEngineOfItsModel)
{
    BOOST_TEST(!scheduler.submit(request(1), start).has_value());
    const auto outcome = decideOne();
    BOOST_REQUIRE(std::holds_alternative<SchedulerAssignment>(outcome));
    BOOST_TEST(scheduler.inFlight() == 1U);
    scheduler.onFirstToken(RequestId{1}, 0, start);
    scheduler.onEnded(RequestId{1}, DispatchResult::Finished, start);
    scheduler.onEnded(RequestId{1}, DispatchResult::Finished, start);
    BOOST_TEST(scheduler.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(withoutAnEngineRequestsAreRefusedAtOnce)
{
    // The last engine of a model is removed while requests wait. They must be refused at once instead of waiting for their deadline,
    // since the answer is certain already.
    scheduler.setEngines({});
    BOOST_TEST(!scheduler.submit(request(1), start).has_value());
    const auto outcome = decideOne();
    BOOST_REQUIRE(std::holds_alternative<SchedulerRefusal>(outcome));
    BOOST_TEST((std::get<SchedulerRefusal>(outcome).reason.code == ResultCode::NoTarget));
    BOOST_TEST((std::get<SchedulerRefusal>(outcome).retryAfter > Duration::zero()));
}

BOOST_AUTO_TEST_CASE(aRetryExcludesEnginesThatFailedTheRequest)
{
    // An engine breaks off every answer. A request retried there would fail again, and its caller would get an error although
    // another engine is healthy.
    for (std::uint64_t id = 1; id <= 5; ++id) {
        SchedulerRequest resumed = request(id, {"a"});
        resumed.isResume = true;
        const auto refusal = scheduler.submit(std::move(resumed), start);
        BOOST_TEST(!refusal.has_value());
        const auto outcome = decideOne();
        BOOST_REQUIRE(std::holds_alternative<SchedulerAssignment>(outcome));
        BOOST_TEST(std::get<SchedulerAssignment>(outcome).engine == "b");
        scheduler.onEnded(RequestId{id}, DispatchResult::Finished, start);
    }
    BOOST_TEST(!scheduler.submit(request(6, {"a", "b"}), start).has_value());
    BOOST_TEST(std::holds_alternative<SchedulerRefusal>(decideOne()));
}

BOOST_AUTO_TEST_CASE(retriesAreBudgetedAndStreamsThatHaveBegunAreNot)
{
    // An engine with many streams fails while the host has little traffic, so the retry budget is soon spent. Streams that have begun
    // must still be resumed: they were running anyway and can't cause a retry storm, and without a retry they would be cut off.
    int refused = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        const auto refusal = scheduler.submit(request(id, {"a"}), start);
        refused += refusal && refusal->reason.code == ResultCode::RetryBudgetSpent ? 1 : 0;
    }
    BOOST_TEST(refused > 100);
    for (std::uint64_t id = 1'001; id <= 1'200; ++id) {
        SchedulerRequest resumed = request(id, {"a"});
        resumed.isResume = true;
        const auto refusal = scheduler.submit(std::move(resumed), start);
        BOOST_TEST((!refusal || refusal->reason.code != ResultCode::RetryBudgetSpent));
    }
}

BOOST_AUTO_TEST_CASE(aStalledRequestMovesOnlyIfAnotherEngineCanTakeIt)
{
    // In a burst of three times the usual traffic every engine answers late and the retry budget is spent. A stalled request that is
    // aborted then is refused shortly before its late answer would arrive. In a simulated burst of 10,000 requests, 100 to 300 short
    // ones were lost this way without the check, and 4 to 80 with it.
    BOOST_TEST(!scheduler.submit(request(1), start));
    const auto outcome = decideOne();
    BOOST_REQUIRE(std::holds_alternative<SchedulerAssignment>(outcome));
    const std::string first = std::get<SchedulerAssignment>(outcome).engine;
    BOOST_TEST(scheduler.canRetryElsewhere(RequestId{1}, start));
    scheduler.setRetryLimits({0, 0});
    BOOST_TEST(!scheduler.canRetryElsewhere(RequestId{1}, start));
    scheduler.setRetryLimits({});
    BOOST_TEST(scheduler.canRetryElsewhere(RequestId{1}, start));
    const std::vector<SchedulerEngine> alone{engine(first)};
    scheduler.setEngines(alone);
    BOOST_TEST(!scheduler.canRetryElsewhere(RequestId{1}, start));
    scheduler.setEngines({});
    BOOST_TEST(scheduler.canRetryElsewhere(RequestId{1}, start));
}

BOOST_AUTO_TEST_CASE(anEngineThatDeclinesOrStallsGetsASmallerWindow)
{
    // An overloaded engine declines requests or sends nothing. If the host kept sending as much as before, requests would wait in the
    // engine's queue, which knows neither priorities nor team shares.
    std::uint64_t id = 0;
    const auto run = [&](DispatchResult end) {
        const auto refusal = scheduler.submit(request(++id), start);
        BOOST_REQUIRE(!refusal);
        std::string engine = std::get<SchedulerAssignment>(decideOne()).engine;
        scheduler.onFirstToken(RequestId{id}, std::nullopt, start);
        scheduler.onEnded(RequestId{id}, end, start);
        return engine;
    };
    const std::size_t before = scheduler.windowOf("a");
    for (const std::string &declined : {run(DispatchResult::Declined), run(DispatchResult::Declined)}) {
        BOOST_TEST(scheduler.windowOf(declined) < before);
    }
    scheduler.setEngines({});
    const std::vector<SchedulerEngine> replacement{engine("c")};
    scheduler.setEngines(replacement);
    BOOST_REQUIRE(!scheduler.submit(request(100), start));
    decideOne();
    const std::size_t initial = scheduler.windowOf("c");
    scheduler.onEngineSilent(RequestId{100}, start);
    BOOST_TEST(scheduler.windowOf("c") < initial);
    BOOST_TEST(!scheduler.isEjected("c"));
}

BOOST_AUTO_TEST_CASE(aWithdrawnKeyRemovesItsRequestsFromTheQueue)
{
    // An operator withdraws a key while its requests wait for busy engines. Left in the queue, they would run seconds later for a
    // caller that is no longer authorized.
    for (std::uint64_t id = 1; id <= 50; ++id) {
        SchedulerRequest longRequest = request(id);
        longRequest.promptTokens = 20'000;
        scheduler.submit(std::move(longRequest), start);
    }
    scheduler.decide(start, random);
    const std::size_t waiting = scheduler.waiting();
    BOOST_REQUIRE(waiting > 0U);
    const auto outcomes = scheduler.withdrawKey("desk", "k1", start);
    BOOST_TEST(outcomes.size() == waiting);
    BOOST_TEST(scheduler.waiting() == 0U);
    for (const SchedulerOutcome &outcome : outcomes) {
        BOOST_TEST((std::get<SchedulerRefusal>(outcome).reason.code == ResultCode::KeyWithdrawn));
    }
}

BOOST_AUTO_TEST_CASE(aLateEndAtARemovedEngineDoesNotAffectItsSuccessor)
{
    // An engine is removed with requests in flight and another one takes over its index. If the ends of the old requests were counted
    // for the new engine, its window would grow without limit and the engine would be flooded.
    scheduler.setEngines(std::vector{engine("old")});
    scheduler.submit(request(1), start);
    decideOne();
    scheduler.setEngines(std::vector{engine("new")});
    scheduler.submit(request(2), start);
    decideOne();
    const std::size_t window = scheduler.windowOf("new");
    scheduler.onEnded(RequestId{1}, DispatchResult::Failed, start);
    BOOST_TEST(scheduler.windowOf("new") == window);
    BOOST_TEST(scheduler.inFlight() == 1U);
}

BOOST_AUTO_TEST_CASE(anAssignmentStatesWhenItsFirstTokenIsExpected)
{
    // Twenty prompts arrive at one engine at once. The expected time to the first token must include the engine's backlog, so that
    // prompts known to be late can be sent with a lower urgency.
    QueueLimits limits;
    limits.initialRate = 1e9;
    RequestScheduler single(limits);
    single.setEngines(std::vector<SchedulerEngine>{{.name = "e", .model = "m", .weightsVersion = "1", .incarnation = 1, .prefillTokensPerSecond = 10'000}});
    std::vector<double> expected;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        SchedulerRequest request;
        request.id = RequestId{5'000 + i};
        request.team = "t";
        request.model = "m";
        request.promptTokens = 1'000;
        request.deadline = start + 10s;
        const bool isRefused = single.submit(std::move(request), start).has_value();
        BOOST_TEST(!isRefused);
        for (const SchedulerOutcome &outcome : single.decide(start, random)) {
            if (const auto *assignment = std::get_if<SchedulerAssignment>(&outcome)) {
                expected.push_back(assignment->expectedFirstTokenSeconds);
            }
        }
    }
    BOOST_REQUIRE(expected.size() >= 2U);
    BOOST_TEST(expected.front() == 0.1, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(expected.back() >= 0.1 * static_cast<double>(expected.size()) - 1e-6);
}

BOOST_AUTO_TEST_CASE(cacheEstimatesAreKeptWhenEnginesJoin)
{
    // Engines are added while others have requests in flight. If the cache estimates of the existing engines are moved incorrectly when
    // the table grows, the router crashes within seconds and breaks its callers' connections.
    QueueLimits limits;
    limits.initialRate = 1e9;
    RequestScheduler growing(limits);
    std::vector<SchedulerEngine> engines;
    std::uint64_t id = 0;
    int assigned = 0;
    TimePoint now = start;
    for (std::size_t count = 1; count <= 40; ++count) {
        engines.push_back({.name = "e" + std::to_string(count), .model = "m", .weightsVersion = "1", .incarnation = 1, .cacheTokens = 30'000});
        growing.setEngines(engines);
        for (int i = 0; i < 20; ++i) {
            now += 100ms;
            SchedulerRequest request;
            request.id = RequestId{1'000 + ++id};
            request.team = "t";
            request.model = "m";
            request.promptTokens = 5'000;
            request.blockDigests = {id % 7, id % 5};
            request.deadline = now + 10s;
            const bool isRefused = growing.submit(std::move(request), now).has_value();
            BOOST_TEST(!isRefused);
            for (const SchedulerOutcome &outcome : growing.decide(now, random)) {
                if (const auto *assignment = std::get_if<SchedulerAssignment>(&outcome)) {
                    ++assigned;
                    growing.onFirstToken(assignment->id, std::nullopt, now);
                    growing.onEnded(assignment->id, DispatchResult::Finished, now);
                }
            }
        }
    }
    BOOST_TEST(assigned == 800);
    BOOST_TEST(growing.inFlight() == 0U);
}

// Guards against a stream that is sent on to an engine of another software version, or that waits for one that can't take it.
BOOST_AUTO_TEST_CASE(aBoundRequestGoesOnlyToItsVersion)
{
    std::vector<SchedulerEngine> engines{engine("a"), engine("b"), engine("c")};
    engines[0].softwareVersion = "v1";
    engines[1].softwareVersion = "v2";
    engines[2].softwareVersion = "v2";
    scheduler.setEngines(engines);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const TimePoint now = start + std::chrono::seconds(id); // The engine has computed the prompt before.
        SchedulerRequest bound = request(id, {"b"});
        bound.isResume = true;
        bound.softwareVersion = "v2";
        BOOST_TEST(!scheduler.submit(bound, now).has_value());
        const auto outcomes = scheduler.decide(now, random);
        BOOST_REQUIRE(outcomes.size() == 1U);
        BOOST_REQUIRE(std::holds_alternative<SchedulerAssignment>(outcomes.front()));
        BOOST_TEST(std::get<SchedulerAssignment>(outcomes.front()).engine == "c");
        scheduler.onFirstToken(bound.id, std::nullopt, now);
        scheduler.onEnded(bound.id, DispatchResult::Finished, now);
    }
    const TimePoint later = start + std::chrono::seconds(5);
    SchedulerRequest lost = request(5);
    lost.softwareVersion = "v3";
    BOOST_TEST(!scheduler.submit(lost, later).has_value());
    const auto outcomes = scheduler.decide(later, random);
    BOOST_REQUIRE_EQUAL(outcomes.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<SchedulerRefusal>(outcomes.front()));
    BOOST_TEST((std::get<SchedulerRefusal>(outcomes.front()).reason.code == ResultCode::NoTarget));
}

// Guards against resumed streams that wait behind new requests for the few engines that can go on with them.
BOOST_AUTO_TEST_CASE(boundRequestsComeBeforeOthers)
{
    std::vector<SchedulerEngine> engines{engine("a")};
    engines[0].softwareVersion = "v1";
    scheduler.setEngines(engines);
    std::uint64_t id = 0;
    while (scheduler.waiting() == 0) { // Until the engine's window is full.
        BOOST_REQUIRE(!scheduler.submit(request(++id), start).has_value());
        scheduler.decide(start, random);
    }
    SchedulerRequest bound = request(++id);
    bound.softwareVersion = "v1";
    BOOST_TEST(!scheduler.submit(bound, start).has_value());
    const TimePoint later = start + std::chrono::seconds(1);
    for (std::uint64_t ended = 1; ended + 1 < id; ++ended) {
        scheduler.onFirstToken(RequestId{ended}, std::nullopt, later);
        scheduler.onEnded(RequestId{ended}, DispatchResult::Finished, later);
    }
    const auto outcomes = scheduler.decide(later, random);
    BOOST_REQUIRE(!outcomes.empty());
    BOOST_REQUIRE(std::holds_alternative<SchedulerAssignment>(outcomes.front()));
    BOOST_TEST((std::get<SchedulerAssignment>(outcomes.front()).id == bound.id));
}

// Guards against a stalled stream that is taken from its engine though no other engine of its version can take it.
BOOST_AUTO_TEST_CASE(aBoundRequestIsNotTakenAwayForAnotherVersion)
{
    std::vector<SchedulerEngine> engines{engine("a"), engine("b")};
    engines[0].softwareVersion = "v1";
    engines[1].softwareVersion = "v2";
    scheduler.setEngines(engines);
    SchedulerRequest bound = request(1);
    bound.softwareVersion = "v1";
    BOOST_TEST(!scheduler.submit(bound, start).has_value());
    scheduler.decide(start, random);
    BOOST_TEST(!scheduler.canRetryElsewhere(RequestId{1}, start));
    engines[1].softwareVersion = "v1";
    scheduler.setEngines(engines);
    BOOST_TEST(scheduler.canRetryElsewhere(RequestId{1}, start));
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE last_begin_on_older_weights
#include <boost/test/unit_test.hpp>

#include "decision/request_scheduler.h"
#include "gateway/target_directory.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint publishedAt{std::chrono::hours(1)};
constexpr Duration deadline = 8s;
constexpr std::uint32_t longPrompt = 39'500;
constexpr std::uint32_t shortPrompt = 100;

/// Engines of a model whose version 2 was published at `publishedAt`, and a scheduler that knows them.
struct Fixture
{
    Fixture()
        : scheduler({}, policy())
    {
    }

    static PlacementPolicy policy()
    {
        PlacementPolicy policy;
        policy.blockTokens = partBlockTokens;
        policy.attentionParityTokens = 30'000;
        return policy;
    }

    void addEngine(const std::string &id, std::int64_t version)
    {
        Target target;
        target.id = id;
        target.service = "s";
        target.slots = 16;
        target.incarnation = 1;
        target.models = {{"m", version}};
        targets.emplace(id, std::move(target));
        directory.setTargets(std::make_shared<const TargetMap>(targets));
        directory.setPublishedWeights({"m", 2, publishedAt});
    }

    /// The scheduler's decision about a request that comes `after` the publication.
    SchedulerOutcome decide(std::uint32_t promptTokens, Duration after, std::vector<BlockHash> blocks = {})
    {
        const TimePoint now = publishedAt + after;
        scheduler.setEngines(directory.engines(now));
        SchedulerRequest request;
        request.id = RequestId{++lastId};
        request.team = "desk";
        request.keyId = "k";
        request.model = directory.schedulerModel("s", "m");
        request.promptTokens = promptTokens;
        request.outputTokens = 10;
        request.blockDigests = std::move(blocks);
        request.deadline = now + 6s;
        const auto refusal = scheduler.submit(std::move(request), now);
        BOOST_REQUIRE(!refusal.has_value());
        auto outcomes = scheduler.decide(now, random);
        BOOST_REQUIRE_EQUAL(outcomes.size(), 1U);
        return outcomes.front();
    }

    /// Completes the last request.
    void finishLast(Duration after)
    {
        scheduler.onFirstToken(RequestId{lastId}, std::nullopt, publishedAt + after);
        scheduler.onEnded(RequestId{lastId}, DispatchResult::Finished, publishedAt + after);
    }

    static std::string engineOf(const SchedulerOutcome &outcome)
    {
        const auto *assignment = std::get_if<SchedulerAssignment>(&outcome);
        return assignment != nullptr ? assignment->engine : std::string();
    }

    static bool isRefusedWithNoTarget(const SchedulerOutcome &outcome)
    {
        const auto *refusal = std::get_if<SchedulerRefusal>(&outcome);
        return refusal != nullptr && refusal->reason.code == ResultCode::NoTarget;
    }

    TargetMap targets;
    TargetDirectory directory{deadline};
    RequestScheduler scheduler;
    Random random{7};
    std::uint64_t lastId = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LastBeginOnOlderWeights, Fixture)

BOOST_AUTO_TEST_CASE(noLongPromptIsSentToOlderWeightsIfItWouldBeginTooLate)
{
    // New weights are published while the host that orders engines to load them is paused, and an engine keeps the older ones. Prompts of up to
    // 40,000 tokens, sent to it one after the other until 6.8 s after the publication, began 8.2 to 8.9 s after it: callers got responses from
    // replaced weights after the eight seconds that operators allow.
    addEngine("e", 1);
    BOOST_TEST(engineOf(decide(longPrompt, 3s)) == "e|m");
    finishLast(4s);
    BOOST_TEST(isRefusedWithNoTarget(decide(longPrompt, 6'500ms)));
}

BOOST_AUTO_TEST_CASE(shortPromptsMayStillUseOlderWeights)
{
    // Guards against a cutoff for all requests at the time that only the longest prompt needs. A fleet that is late with loading weights would
    // then refuse short requests that could begin at once.
    addEngine("e", 1);
    BOOST_TEST(engineOf(decide(shortPrompt, 6'700ms)) == "e|m");
    finishLast(6'750ms);
    BOOST_TEST(isRefusedWithNoTarget(decide(shortPrompt, 6'900ms)));
}

BOOST_AUTO_TEST_CASE(aShortPromptDoesNotWaitOnOlderWeightsBehindALongOne)
{
    // Another host has just sent a long prompt to the engine with older weights. A short request queued behind it at the engine would begin
    // after the deadline although it was sent in time.
    addEngine("e", 1);
    scheduler.setEngines(directory.engines(publishedAt));
    scheduler.onDispatchedByPeer("e|m", 60'000, 0, {}, publishedAt + 6'300ms);
    BOOST_TEST(isRefusedWithNoTarget(decide(shortPrompt, 6'400ms)));
}

BOOST_AUTO_TEST_CASE(promptsCachedOnOlderWeightsMoveToNewerOnesInTime)
{
    // The engine with older weights has the shared part of a conversation in its cache, the one with newer weights has not. Placement by
    // cached tokens would send the next prompt of the conversation, which has a long new part, to the older weights up to the last moment.
    addEngine("old", 1);
    const std::vector<BlockHash> blocks(longPrompt / partBlockTokens, 42);
    BOOST_TEST(engineOf(decide(longPrompt, 3s, blocks)) == "old|m");
    finishLast(4s);
    addEngine("new", 2);
    constexpr std::uint32_t uniqueTokens = 20'000;
    BOOST_TEST(engineOf(decide(longPrompt + uniqueTokens, 5'200ms, blocks)) == "old|m");
    finishLast(6s);
    BOOST_TEST(engineOf(decide(longPrompt + uniqueTokens, 6'500ms, blocks)) == "new|m");
}

BOOST_AUTO_TEST_SUITE_END()

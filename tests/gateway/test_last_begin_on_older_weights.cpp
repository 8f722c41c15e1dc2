#define BOOST_TEST_MODULE last_begin_on_older_weights
#include <boost/test/unit_test.hpp>

#include "decision/request_scheduler.h"
#include "gateway/target_directory.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint publishedTime{std::chrono::hours(1)};
constexpr Duration deadline = 8s;
constexpr std::uint32_t longPrompt = 39'500;
constexpr std::uint32_t shortPrompt = 100;

/// Engines of a model whose version 2 was published at `publishedTime`, and a scheduler with these engines.
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
        directory.setPublishedWeights({"m", 2, publishedTime});
    }

    /// Decides a request that is sent `after` the publication.
    SchedulerOutcome decide(std::uint32_t promptTokens, Duration after, std::vector<BlockHash> blocks = {})
    {
        const TimePoint now = publishedTime + after;
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

    /// Ends the last request as soon as its first token arrives.
    void finishLast(Duration after)
    {
        scheduler.onFirstToken(RequestId{lastId}, std::nullopt, publishedTime + after);
        scheduler.onEnded(RequestId{lastId}, DispatchResult::Finished, publishedTime + after);
    }

    static std::string engineOf(const SchedulerOutcome &outcome)
    {
        const auto *assignment = std::get_if<SchedulerAssignment>(&outcome);
        return assignment != nullptr ? assignment->engine : std::string();
    }

    static bool isRejectedPermanently(const SchedulerOutcome &outcome)
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

BOOST_AUTO_TEST_CASE(noLongPromptIsSentToOlderWeightsThatItWouldReachTooLate)
{
    // New weights are published while the host that orders engines to load them is paused, and an engine keeps the older ones. When prompts
    // of up to 40,000 tokens were sent to it until 6.8 s after the publication, one behind the other, they began 8.2 to 8.9 s after it:
    // callers got answers from replaced weights later than the eight seconds that operators allow.
    addEngine("e", 1);
    BOOST_TEST(engineOf(decide(longPrompt, 3s)) == "e|m");
    finishLast(4s);
    BOOST_TEST(isRejectedPermanently(decide(longPrompt, 6'500ms)));
}

BOOST_AUTO_TEST_CASE(shortPromptsMayStillUseOlderWeights)
{
    // If these engines got no requests from the time on at which the longest prompt would begin too late, a fleet whose engines load late
    // would reject short requests that could begin immediately.
    addEngine("e", 1);
    BOOST_TEST(engineOf(decide(shortPrompt, 6'700ms)) == "e|m");
    finishLast(6'750ms);
    BOOST_TEST(isRejectedPermanently(decide(shortPrompt, 6'900ms)));
}

BOOST_AUTO_TEST_CASE(aShortPromptDoesNotWaitOnOlderWeightsBehindALongOne)
{
    // Another host has just sent a long prompt to the engine with older weights. A short request sent behind it would be sent in time,
    // but wait and begin after the deadline.
    addEngine("e", 1);
    scheduler.setEngines(directory.engines(publishedTime));
    scheduler.onDispatchedByPeer("e|m", 60'000, 0, {}, publishedTime + 6'300ms);
    BOOST_TEST(isRejectedPermanently(decide(shortPrompt, 6'400ms)));
}

BOOST_AUTO_TEST_CASE(whatOlderWeightsHaveCachedGoesToNewerOnesInTime)
{
    // The engine with older weights has the shared part of a conversation in its cache, one with newer weights has not. Because of
    // the cached part, the next prompt of the conversation, which is long itself, is sent to the older weights as long as it begins in time.
    addEngine("old", 1);
    const std::vector<BlockHash> blocks(longPrompt / partBlockTokens, 42);
    BOOST_TEST(engineOf(decide(longPrompt, 3s, blocks)) == "old|m");
    finishLast(4s);
    addEngine("new", 2);
    constexpr std::uint32_t ownPart = 20'000;
    BOOST_TEST(engineOf(decide(longPrompt + ownPart, 5'200ms, blocks)) == "old|m");
    finishLast(6s);
    BOOST_TEST(engineOf(decide(longPrompt + ownPart, 6'500ms, blocks)) == "new|m");
}

BOOST_AUTO_TEST_SUITE_END()

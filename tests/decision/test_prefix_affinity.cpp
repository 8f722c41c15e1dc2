#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

#include "decision/prompt_parts.h"
#include "decision/request_scheduler.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr std::size_t hostCount = 8;
constexpr std::size_t engineCount = 12;
constexpr std::size_t promptsPerSubject = 24;
constexpr double tokensPerSecond = 68'000;

/// Hosts that don't exchange information, with idle engines.
class Fleet
{
public:
    /// The first `remoteCount` engines are in another data centre.
    explicit Fleet(std::size_t remoteCount = 0)
    {
        PlacementPolicy policy;
        policy.remoteWaitPerKilobyte = 0.002;
        policy.cacheViewBlocks = 65'536;
        policy.blockTokens = partBlockTokens;
        std::vector<SchedulerEngine> engines;
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back({.name = "e" + std::to_string(i),
                               .model = "m",
                               .weightsVersion = "1",
                               .incarnation = 1,
                               .prefillTokensPerSecond = tokensPerSecond,
                               .cacheTokens = 200'000,
                               .isRemote = i < remoteCount});
        }
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts_.push_back(std::make_unique<RequestScheduler>(QueueLimits{}, policy));
            hosts_.back()->setEngines(engines);
            hosts_.back()->setHostCount(hostCount);
        }
    }

    /// Engines chosen for prompts that share `shared`, sent by the hosts in turn.
    std::set<std::string> enginesOf(std::span<const PromptPart> shared, std::uint32_t ownTokens)
    {
        std::set<std::string> engines;
        std::uint32_t sharedTokens = 0;
        for (const PromptPart &part : shared) {
            sharedTokens += part.tokens;
        }
        for (std::size_t i = 0; i < promptsPerSubject; ++i) {
            RequestScheduler &host = *hosts_[i % hostCount];
            SchedulerRequest request;
            request.id = RequestId{++lastId_};
            request.team = "t";
            request.model = "m";
            request.promptTokens = sharedTokens + ownTokens;
            request.bytes = 5 * std::size_t{request.promptTokens};
            digestParts(shared, request.blockDigests);
            request.deadline = now_ + 4s;
            host.submit(request, now_);
            for (const SchedulerOutcome &outcome : host.decide(now_, random_)) {
                if (const auto *assignment = std::get_if<SchedulerAssignment>(&outcome)) {
                    engines.insert(assignment->engine);
                    const TimePoint firstToken = now_ + fromSeconds(assignment->workTokens / tokensPerSecond);
                    host.onFirstToken(assignment->id, std::nullopt, firstToken);
                    host.onEnded(assignment->id, DispatchResult::Finished, firstToken + 500ms);
                }
            }
            now_ += 2s;
        }
        return engines;
    }

private:
    std::vector<std::unique_ptr<RequestScheduler>> hosts_;
    Random random_{7};
    TimePoint now_ = start;
    std::uint64_t lastId_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixAffinityTest)

BOOST_AUTO_TEST_CASE(promptsWithALargeUnsharedPartFollowTheirSharedPrefix)
{
    // Prompts share about 5,400 tokens and have 6,600 of their own. If the unshared part affected placement, each host would send each
    // prompt of a subject to another engine, which would recompute the shared part: callers would wait 80 ms longer and engines would
    // do a third more work. A prefix that isn't hot is placed on at most two engines.
    Fleet fleet;
    for (std::uint64_t subject = 1; subject <= 10; ++subject) {
        const std::vector<PromptPart> shared{{1, 512}, {100 + subject, 4'870}};
        BOOST_TEST(fleet.enginesOf(shared, 6'600).size() <= 2U);
    }
}

BOOST_AUTO_TEST_CASE(shortPromptsFollowTheirSharedPrefix)
{
    // Classification prompts share 570 tokens in two parts. With blocks larger than both parts together nothing would count as shared,
    // and all engines would compute all of it.
    Fleet fleet;
    for (std::uint64_t subject = 1; subject <= 10; ++subject) {
        const std::vector<PromptPart> shared{{subject % 3, 341}, {200 + subject, 227}};
        BOOST_TEST(fleet.enginesOf(shared, 1'800).size() <= 2U);
    }
}

BOOST_AUTO_TEST_CASE(shortPromptsStayInTheirDataCentreAndLongOnesMayLeave)
{
    // Four data centres have three engines each. If placement ignored them, three of four short requests would cause paid traffic
    // between data centres. Long prompts of one subject still go to one engine of the whole fleet: if each data centre computed the
    // shared part, callers would wait for it four times.
    Fleet fleet(9);
    const std::set<std::string> local{"e9", "e10", "e11"};
    std::set<std::string> longHomes;
    for (std::uint64_t subject = 1; subject <= 20; ++subject) {
        const std::vector<PromptPart> few{{subject % 3, 341}, {200 + subject, 227}};
        for (const std::string &engine : fleet.enginesOf(few, 1'200)) {
            BOOST_TEST(local.contains(engine));
        }
        const std::vector<PromptPart> many{{1, 512}, {300 + subject, 4'870}};
        longHomes.merge(fleet.enginesOf(many, 6'600));
    }
    BOOST_TEST(longHomes.size() > local.size());
}

BOOST_AUTO_TEST_SUITE_END()

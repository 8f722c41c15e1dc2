#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decision/prompt_parts.h"
#include "decision/request_scheduler.h"

/// Simulated load without a network: eight hosts, 18 engines, 25 long prompts per second (13,300 tokens from one of 160 shared prefixes
/// and 3,700 tokens of their own) among 175 short ones per second. The figures are from the users' requirements; an engine computes
/// 90,000 prompt tokens per second, one prompt after another.
using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};
constexpr std::size_t hostCount = 8;
constexpr std::size_t engineCount = 18;
constexpr double tokensPerSecond = 90'000;
constexpr std::uint32_t minAnnouncedTokens = 1'024; ///< Requests with less work are not announced to other hosts.

struct Outcome
{
    int longLate = 0; ///< Long prompts that waited more than 0.5 s for their engine.
    int shortLate = 0; ///< Short prompts that waited more than 0.2 s.
    int total = 0;
};

/// Hosts with a scheduler each, and engines simulated by the order in which prompts reach them.
class Fleet
{
public:
    Fleet(bool announcesDispatches, std::size_t randomCandidates)
        : announcesDispatches_(announcesDispatches)
    {
        PlacementPolicy policy;
        policy.cacheViewBlocks = 65'536;
        policy.blockTokens = partBlockTokens;
        policy.minAnnouncedTokens = minAnnouncedTokens;
        policy.randomCandidates = randomCandidates;
        std::vector<SchedulerEngine> engines;
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back({.name = "e" + std::to_string(i),
                               .model = "m",
                               .weightsVersion = "1",
                               .incarnation = 1,
                               .prefillTokensPerSecond = tokensPerSecond,
                               .batchLimit = 16,
                               .cacheTokens = 100'000});
        }
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts_.push_back(std::make_unique<RequestScheduler>(QueueLimits{}, policy));
            hosts_.back()->setEngines(engines);
            hosts_.back()->setHostCount(hostCount);
        }
    }

    Outcome play(double seconds)
    {
        for (int i = 0; i < static_cast<int>(seconds * 200); ++i) {
            now_ += 5ms;
            finishDue();
            const bool isLong = i % 8 == 0;
            send(randomBelow(random_, hostCount), isLong);
        }
        return outcome_;
    }

private:
    struct Running
    {
        std::size_t host = 0;
        RequestId id{};
    };

    void send(std::size_t host, bool isLong)
    {
        SchedulerRequest request;
        request.id = RequestId{++lastId_};
        request.team = "t" + std::to_string(randomBelow(random_, 5));
        request.cacheSalt = request.team;
        request.model = "m";
        request.priority = isLong ? Priority::Normal : Priority::High;
        request.outputTokens = 17;
        request.promptTokens = isLong ? 17'000 : 383;
        if (isLong) {
            const std::vector<PromptPart> parts{{randomBelow(random_, 160), 13'300}};
            digestParts(parts, request.blockDigests);
        }
        request.deadline = now_ + 4s;
        hosts_[host]->submit(request, now_);
        for (const SchedulerOutcome &outcome : hosts_[host]->decide(now_, random_)) {
            const auto *assignment = std::get_if<SchedulerAssignment>(&outcome);
            if (assignment == nullptr) {
                continue;
            }
            begin(host, *assignment, isLong);
        }
    }

    void begin(std::size_t host, const SchedulerAssignment &assignment, bool isLong)
    {
        TimePoint &free = freeAt_[assignment.engine];
        const Duration wait = std::max(free - now_, Duration::zero());
        free = std::max(free, now_) + fromSeconds(std::max(assignment.workTokens, 100U) / tokensPerSecond);
        running_.emplace(free, Running{host, assignment.id});
        ++outcome_.total;
        outcome_.longLate += isLong && wait > 500ms ? 1 : 0;
        outcome_.shortLate += !isLong && wait > 200ms ? 1 : 0;
        if (!announcesDispatches_ || assignment.workTokens < minAnnouncedTokens) {
            return;
        }
        for (std::size_t other = 0; other < hostCount; ++other) {
            if (other != host) {
                const auto shared = std::span(assignment.blocks).first(std::min<std::size_t>(12, assignment.blocks.size()));
                hosts_[other]->onDispatchedByPeer(assignment.engine, assignment.workTokens, assignment.newTokens, shared, now_);
            }
        }
    }

    void finishDue()
    {
        while (!running_.empty() && running_.begin()->first <= now_) {
            const Running done = running_.begin()->second;
            running_.erase(running_.begin());
            hosts_[done.host]->onFirstToken(done.id, std::nullopt, now_);
            hosts_[done.host]->onEnded(done.id, DispatchResult::Finished, now_);
        }
    }

    bool announcesDispatches_;
    std::vector<std::unique_ptr<RequestScheduler>> hosts_;
    std::map<std::string, TimePoint> freeAt_;
    std::multimap<TimePoint, Running> running_;
    TimePoint now_ = start;
    Random random_{11};
    std::uint64_t lastId_ = 0;
    Outcome outcome_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadOfLongPromptsTest)

BOOST_AUTO_TEST_CASE(announcingLongPromptsShortensTheWaitOfShortOnes)
{
    // If hosts don't announce what they dispatch, several see the same engine idle and send it their long prompts at the same time.
    // Short prompts behind these are answered late although most engines are idle.
    const Outcome silent = Fleet(false, 2).play(60);
    const Outcome announced = Fleet(true, 2).play(60);
    BOOST_TEST_MESSAGE("late of " << announced.total << ": long " << silent.longLate << " -> " << announced.longLate << ", short " << silent.shortLate << " -> "
                                  << announced.shortLate);
    BOOST_TEST(announced.shortLate * 2 < silent.shortLate);
    BOOST_TEST(announced.longLate <= silent.longLate);
}

BOOST_AUTO_TEST_CASE(moreRandomCandidatesFindAFreeEngine)
{
    const Outcome two = Fleet(true, 2).play(60);
    const Outcome six = Fleet(true, 6).play(60);
    BOOST_TEST_MESSAGE("short ones late of " << six.total << ": " << two.shortLate << " -> " << six.shortLate);
    BOOST_TEST(six.shortLate <= two.shortLate);
    BOOST_TEST(six.shortLate * 100 < six.total);
}

BOOST_AUTO_TEST_SUITE_END()

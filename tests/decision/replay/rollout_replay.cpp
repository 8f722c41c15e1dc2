#include "replay/rollout_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include "decision/exposure_pool.h"
#include "decision/rollout_evidence.h"

namespace Lovageloft
{

namespace
{

constexpr Duration stepTime = std::chrono::milliseconds(25);
constexpr Duration loadTime = std::chrono::milliseconds(250);
constexpr Duration troubleTime = std::chrono::seconds(4);
constexpr double usualFailures = 0.003;
constexpr double spread = 0.35; ///< Standard deviation of the logarithm of an answer's time.
constexpr double slowFactor = 4;

struct Answer
{
    std::size_t route = 0;
    std::size_t target = 0;
    bool isCandidate = false;
    bool isFailure = false;
    bool isBad = false; ///< Because of the version.
    double seconds = 0;
};

class Player
{
public:
    Player(const RolloutLoad &load, const RolloutFaults &faults, std::uint64_t seed)
        : load_(load)
        , faults_(faults)
        , plan_(load.limits, load.duration, load.hosts)
        , random_(seed)
        , usual_(load.routeRates.size())
        , counts_(load.routeRates.size())
        , budgets_(load.hosts)
    {
        for (std::size_t route = 0; route < counts_.size(); ++route) {
            counts_[route].route = route;
        }
    }

    RolloutResult play()
    {
        for (now_ = {}; now_ < load_.duration; now_ += stepTime) {
            sendRequests();
            receiveAnswers();
            report();
            if (decidedAt_ && now_ >= *decidedAt_ + lag()) {
                break;
            }
        }
        result_.endedAfter = decidedAt_.value_or(load_.duration);
        return result_;
    }

private:
    /// From a report to the moment at which no host sends any more: it reaches the leader, and the grants given before run out.
    Duration lag() const
    {
        return plan_.reportInterval() + plan_.grantTime();
    }

    bool draw(double probability)
    {
        return boost::random::uniform_01<double>()(random_) < probability;
    }

    bool isTrouble() const
    {
        return faults_.troubleFrom > Duration::zero() && now_ >= faults_.troubleFrom && now_ < faults_.troubleFrom + troubleTime;
    }

    std::size_t candidateTargets() const
    {
        return std::min(load_.targets, plan_.targetCount(stage_, load_.targets));
    }

    void sendRequests()
    {
        for (std::size_t route = 0; route < load_.routeRates.size(); ++route) {
            const double mean = load_.routeRates[route] * toSeconds(stepTime);
            const int count = boost::random::poisson_distribution<int>(mean)(random_);
            for (int i = 0; i < count; ++i) {
                ++requests_;
                ExposureBudget &budget = budgets_[randomBelow(random_, budgets_.size())];
                budget.onRequest(route);
                send(route, mayExpose() && budget.tryExpose(route));
            }
        }
    }

    bool mayExpose() const
    {
        return !decidedAt_ || now_ < *decidedAt_ + lag();
    }

    void send(std::size_t route, bool isCandidate)
    {
        Answer answer;
        answer.route = route;
        answer.isCandidate = isCandidate;
        answer.target = randomBelow(random_, isCandidate ? candidateTargets() : load_.targets);
        while (isCandidate && evidence_.excludedTargets().contains(answer.target)) {
            ++answer.target; // Another target takes its place.
        }
        answer.seconds = load_.answerSeconds * boost::random::lognormal_distribution<double>(0, spread)(random_);
        answer.isFailure = draw(usualFailures);
        if (isTrouble()) {
            answer.seconds *= faults_.troubleFactor * (draw(faults_.troubleSlow) ? slowFactor : 1);
            answer.isFailure = answer.isFailure || draw(faults_.troubleFailed);
        }
        if (isCandidate) {
            recent_.push_back(now_);
            std::erase_if(recent_, [this](Duration at) { return at + loadTime < now_; });
            applyFaults(answer);
            result_.requests = requests_;
            ++result_.exposed;
            if (fiftiethAt_) {
                result_.sentAfterFiftieth = now_ - *fiftiethAt_;
            }
        }
        running_.emplace(now_ + fromSeconds(answer.isFailure ? answer.seconds / 4 : answer.seconds), answer);
    }

    void applyFaults(Answer &answer)
    {
        const bool isHit = now_ >= faults_.from && (!faults_.onlyRoute || answer.route == *faults_.onlyRoute) && (!faults_.onlyUnderLoad || isLoaded());
        if (isHit && draw(faults_.failedShare)) {
            answer.isFailure = true;
            answer.isBad = true;
        } else if (isHit && draw(faults_.slowShare)) {
            answer.seconds *= slowFactor;
            answer.isBad = true;
        }
        if (answer.target == 0 && draw(faults_.brokenTargetShare)) {
            answer.isFailure = true;
        }
    }

    /// Whether the candidate's targets got half of the usual load or more within the last quarter of a second.
    bool isLoaded() const
    {
        const double rate = static_cast<double>(recent_.size()) / toSeconds(loadTime) / static_cast<double>(candidateTargets());
        const double usual = std::accumulate(load_.routeRates.begin(), load_.routeRates.end(), 0.0) / static_cast<double>(load_.targets);
        return rate >= usual / 2;
    }

    void receiveAnswers()
    {
        const bool isCrash = faults_.crashAt > Duration::zero() && now_ >= faults_.crashAt && now_ < faults_.crashAt + stepTime;
        for (auto &[at, answer] : running_) {
            answer.isFailure = answer.isFailure || (isCrash && answer.isCandidate && answer.target == 0);
        }
        while (!running_.empty() && running_.begin()->first <= now_) {
            count(running_.begin()->second);
            running_.erase(running_.begin());
        }
    }

    void count(const Answer &answer)
    {
        if (answer.isCandidate && evidence_.excludedTargets().contains(answer.target)) {
            return;
        }
        const AnswerTimes times{answer.seconds, answer.seconds};
        const double slowness = usual_[answer.route].slowness(times).value_or(1);
        AnswerCounts &counts = answer.isCandidate ? counts_[answer.route].candidate : counts_[answer.route].serving;
        if (answer.isFailure) {
            ++counts.failed;
        } else {
            ++counts.answered[slownessBucket(slowness)];
        }
        if (!answer.isCandidate && !answer.isFailure) {
            usual_[answer.route].add(times);
        }
        if (answer.isCandidate) {
            TargetEvidence &target = targets_[answer.target];
            target.target = answer.target;
            ++target.answers;
            target.bad += answer.isFailure || slowness >= 2 ? 1 : 0;
        }
        if (answer.isBad && ++result_.badAnswers == 50) {
            fiftiethAt_ = now_;
        }
    }

    void report()
    {
        if (decidedAt_ || now_ < nextReport_) {
            return;
        }
        nextReport_ = now_ + plan_.reportInterval();
        pool_.setLimits(plan_.share(stage_), plan_.slack(now_));
        for (std::size_t host = 0; host < budgets_.size(); ++host) {
            pool_.onReport(std::to_string(host), {1, budgets_[host].requests(), budgets_[host].exposed(), budgets_[host].allowance()});
        }
        for (std::size_t i = 0; i < budgets_.size(); ++i) {
            const std::size_t host = (i + firstHost_) % budgets_.size();
            budgets_[host].setAllowance(pool_.allowanceOf(std::to_string(host), plan_.isHeld(stage_, load_.targets, now_)));
        }
        firstHost_ = randomBelow(random_, budgets_.size());
        HostEvidence evidence{1, counts_, {}};
        for (const auto &[id, target] : targets_) {
            evidence.targets.push_back(target);
        }
        evidence_.setHost("all", std::move(evidence));
        evidence_.judge();
        const RolloutPlan::Progress progress{now_, evidence_.answers() - answersBefore_, evidence_.recentAnswers(), evidence_.level()};
        switch (plan_.outcome(progress)) {
        case RolloutPlan::Outcome::Undecided:
            break;
        case RolloutPlan::Outcome::Good:
            result_.isCompleted = true;
            decidedAt_ = now_ - lag();
            return;
        case RolloutPlan::Outcome::Bad:
            decidedAt_ = now_;
            return;
        }
        if (plan_.mayAdvance(stage_, progress)) {
            ++stage_;
            answersBefore_ = evidence_.answers();
        }
    }

    const RolloutLoad &load_;
    const RolloutFaults &faults_;
    RolloutPlan plan_;
    RolloutEvidence evidence_;
    Random random_;
    std::vector<UsualTimes> usual_;
    std::vector<RouteEvidence> counts_; ///< Over all hosts.
    std::vector<ExposureBudget> budgets_; ///< By host.
    ExposurePool pool_;
    std::size_t firstHost_ = 0; ///< The one whose report comes first.
    std::vector<Duration> recent_; ///< When requests were sent to the candidate in the last quarter of a second.
    std::map<std::size_t, TargetEvidence> targets_;
    std::multimap<Duration, Answer> running_;
    RolloutResult result_;
    Duration now_{};
    Duration nextReport_{};
    int stage_ = 0;
    std::uint32_t answersBefore_ = 0; ///< Answers of the candidate before this stage.
    std::uint32_t requests_ = 0;
    std::optional<Duration> decidedAt_;
    std::optional<Duration> fiftiethAt_;
};

} // namespace

RolloutResult playRollout(const RolloutLoad &load, const RolloutFaults &faults, std::uint64_t seed)
{
    return Player(load, faults, seed).play();
}

} // namespace Lovageloft

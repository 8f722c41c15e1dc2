#include <array>
#include <barrier>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/claim_recorder.h"
#include "coordination/claim_runner.h"
#include "core/random.h"
#include "tests/coordination/lossy_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

ClaimCall makeCall(std::size_t key)
{
    return {"desk", "errata", "key" + std::to_string(key), "digest"};
}

/// The state of one process, which is lost when the process is killed.
struct Process
{
    Process(std::size_t host, int incarnation, Store &store)
        : table("h" + std::to_string(host), std::to_string(incarnation))
        , lease(table.options())
        , recorder(table, store)
    {
    }

    ClaimTable table;
    ClaimLease lease;
    ClaimRecorder recorder;
};

/// Callers, hosts and a service that counts the executions of each call.
class Deployment
{
public:
    explicit Deployment(std::uint64_t seed)
        : random_(seed)
        , store_([this] { return now_; }, seed)
    {
        store_.lossPercent = below(3) * 10;
        for (std::size_t host = 0; host < hostCount; ++host) {
            processes_[host] = makeProcess(host);
        }
    }

    void runRandomAction()
    {
        now_ += chance(3) ? Duration(15s) : std::chrono::milliseconds(below(20));
        const std::size_t host = below(hostCount);
        const std::size_t dice = below(100);
        if (dice < 8) {
            const std::size_t key = below(keyCount);
            attempts_.push_back(std::make_unique<Attempt>(Attempt{key, processes_[host], nullptr, ClaimStep::Continue}));
            Attempt &attempt = *attempts_.back();
            Process &process = *attempt.process;
            attempt.runner = std::make_unique<ClaimRunner>(process.table, process.lease, store_, "p/", makeCall(key), std::to_string(++lastNonce_));
        } else if (dice < 10) {
            kill(host);
        } else if (dice < 12) {
            store_.isDown = !store_.isDown && chance(50);
        } else if (dice < 30) {
            processes_[host]->recorder.step(now_);
        } else if (!attempts_.empty()) {
            advance(below(attempts_.size()));
        }
    }

    std::array<int, 3> executions{};
    std::size_t answers = 0;
    std::size_t notRun = 0;
    std::vector<std::string> violations;

private:
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t keyCount = 3;

    struct Attempt
    {
        std::size_t key = 0;
        std::shared_ptr<Process> process;
        std::unique_ptr<ClaimRunner> runner; // Declared after `process`, which must outlive it.
        ClaimStep step = ClaimStep::Continue;
    };

    std::size_t below(std::size_t bound)
    {
        return randomBelow(random_, bound);
    }

    bool chance(std::size_t percent)
    {
        return below(100) < percent;
    }

    std::shared_ptr<Process> makeProcess(std::size_t host)
    {
        return std::make_shared<Process>(host, ++lastIncarnation_, store_);
    }

    /// Replaces a process. A killed process loses its state; in 30% of the cases it was only paused and resumes beside the new one.
    void kill(std::size_t host)
    {
        const auto old = std::exchange(processes_[host], makeProcess(host));
        if (chance(70)) {
            std::erase_if(attempts_, [&old](const auto &attempt) { return attempt->process == old; });
        }
    }

    void advance(std::size_t index)
    {
        Attempt &attempt = *attempts_[index];
        ClaimRunner &runner = *attempt.runner;
        switch (attempt.step) {
        case ClaimStep::Continue:
            attempt.step = runner.step(now_);
            break;
        case ClaimStep::AskHolder:
            attempt.step = chance(20) ? runner.onHolderTimeout(now_) : runner.onHolderReply(queryHolder(runner.query()), now_);
            break;
        case ClaimStep::Send:
            send(attempt);
            break;
        case ClaimStep::Wait:
            attempt.step = chance(60) && hasRun_[&runner] ? runner.onAnswer(makeAnswer(attempt.key)) : runner.onLost({ResultCode::TargetTimeout, "silent"});
            break;
        case ClaimStep::Answer:
        case ClaimStep::Refuse:
            break;
        }
        if (attempt.step == ClaimStep::Answer || attempt.step == ClaimStep::Refuse) {
            check(attempt);
            attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    ClaimQueryReply queryHolder(const ClaimQuery &query)
    {
        return processes_[query.host[1] - '0']->table.onQuery(query, now_);
    }

    void send(Attempt &attempt)
    {
        if (chance(10)) {
            attempt.step = attempt.runner->cancel({ResultCode::NoTarget, "no target"}, now_);
            return;
        }
        if (!attempt.runner->beginSend(now_)) {
            attempt.step = ClaimStep::Refuse;
            return;
        }
        attempt.step = ClaimStep::Wait;
        // A connection that fails afterwards may or may not have delivered the call.
        hasRun_[attempt.runner.get()] = chance(85);
        executions[attempt.key] += hasRun_[attempt.runner.get()] ? 1 : 0;
    }

    ClaimAnswer makeAnswer(std::size_t key) const
    {
        return {200, "text/plain", "ran " + std::to_string(key) + " time " + std::to_string(executions[key]), true};
    }

    void check(const Attempt &attempt)
    {
        const std::string call = "call " + std::to_string(attempt.key);
        if (attempt.step == ClaimStep::Answer) {
            ++answers;
            if (!(attempt.runner->answer() == makeAnswer(attempt.key))) {
                violations.push_back(call + " got another answer");
            }
            return;
        }
        notRun += attempt.runner->runState() == RunState::NotRun ? 1 : 0;
        if (attempt.runner->runState() == RunState::NotRun && executions[attempt.key] > 0) {
            violations.push_back(call + " ran and was refused as not run: " + attempt.runner->reason().text);
        }
    }

    Random random_;
    TimePoint now_ = TimePoint(1h);
    LossyStore store_;
    std::array<std::shared_ptr<Process>, hostCount> processes_;
    std::vector<std::unique_ptr<Attempt>> attempts_;
    std::map<const ClaimRunner *, bool> hasRun_;
    int lastIncarnation_ = 0;
    int lastNonce_ = 0;
};

/// Two processes with an available store.
struct Pair
{
    ClaimStep runToEnd(ClaimRunner &runner)
    {
        ClaimStep step = ClaimStep::Continue;
        while (step == ClaimStep::Continue || step == ClaimStep::AskHolder) {
            step = step == ClaimStep::Continue ? runner.step(now) : runner.onHolderReply(queryHolder(runner.query()), now);
        }
        return step;
    }

    ClaimQueryReply queryHolder(const ClaimQuery &query)
    {
        return (query.host == "h0" ? first : second)->table.onQuery(query, now);
    }

    std::unique_ptr<ClaimRunner> makeRunner(Process &process, const ClaimCall &call = makeCall(1))
    {
        return std::make_unique<ClaimRunner>(process.table, process.lease, store, "p/", call, std::to_string(++nonce));
    }

    void restartFirst()
    {
        replaced.push_back(std::exchange(first, std::make_unique<Process>(0, static_cast<int>(replaced.size()) + 2, store)));
    }

    TimePoint now = TimePoint(1h);
    LossyStore store{[this] { return now; }};
    std::unique_ptr<Process> first = std::make_unique<Process>(0, 1, store);
    std::unique_ptr<Process> second = std::make_unique<Process>(1, 1, store);
    std::vector<std::unique_ptr<Process>> replaced; ///< Must outlive the runners that a test still holds.
    int nonce = 0;
};

const ClaimAnswer sampleAnswer{201, "application/json", std::string("{\"ok\":1}\0\n", 10), true};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimRunnerTest)

BOOST_AUTO_TEST_CASE(noCallRunsTwiceAndNotRunIsAccurate)
{
    // The store fails or its answers are lost, hosts are killed or paused between any two steps, connections fail, and callers retry at
    // other hosts. A call that runs twice has its effects twice, and one that ran but is reported as not run is sent again by its caller.
    constexpr std::uint64_t seeds = 5000;
    std::size_t ran = 0;
    std::size_t answers = 0;
    std::size_t notRun = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Deployment deployment(seed);
        for (int action = 0; action < 500; ++action) {
            deployment.runRandomAction();
        }
        const std::string fault = deployment.violations.empty() ? "" : deployment.violations.front();
        BOOST_REQUIRE_MESSAGE(fault.empty(), "seed " << seed << ": " << fault);
        for (const int executions : deployment.executions) {
            BOOST_REQUIRE_MESSAGE(executions <= 1, "seed " << seed << ": a call ran " << executions << " times");
            ran += executions;
        }
        answers += deployment.answers;
        notRun += deployment.notRun;
    }
    BOOST_TEST_MESSAGE(ran << " calls ran, " << answers << " answers, " << notRun << " refusals as not run");
    BOOST_TEST(ran > seeds);
    BOOST_TEST(answers > ran);
    BOOST_TEST(notRun > 0);
}

BOOST_AUTO_TEST_CASE(aCallCostsTheStoreTwoWrites)
{
    Pair pair;
    for (int i = 0; i < 10; ++i) {
        const auto runner = pair.makeRunner(*pair.first, makeCall(i));
        BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
        BOOST_TEST(runner->beginSend(pair.now));
        BOOST_TEST(!runner->beginSend(pair.now));
        BOOST_TEST((runner->onAnswer(sampleAnswer) == ClaimStep::Answer));
        BOOST_TEST(pair.first->recorder.step(pair.now));
        BOOST_TEST(!pair.first->recorder.step(pair.now));
    }
    constexpr int leasesPerHour = 1;
    BOOST_TEST(pair.store.calls == 10 * 2 + leasesPerHour);
}

BOOST_AUTO_TEST_CASE(retriesAtAnyHostGetTheKeptAnswer)
{
    // The connection of a caller breaks while its call runs, and it retries at another host, before and after the answer is in the
    // store. Without the kept answer it would never learn the result of its call.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    const auto early = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*early) == ClaimStep::Refuse));
    BOOST_TEST((early->reason().code == ResultCode::ClaimHeld));
    BOOST_TEST((early->retryAfter() > 0s));
    BOOST_TEST((early->runState() == RunState::MayHaveRun));
    runner->onAnswer(sampleAnswer);
    for (int time = 0; time < 2; ++time) {
        for (Process *process : {pair.first.get(), pair.second.get()}) {
            const auto retry = pair.makeRunner(*process);
            BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Answer));
            BOOST_TEST((retry->answer() == sampleAnswer));
        }
        while (pair.first->recorder.step(pair.now)) {
        }
        pair.restartFirst();
    }
}

BOOST_AUTO_TEST_CASE(aKeyIsRefusedForAnotherRequest)
{
    // A caller reuses a key for another request. If it got the kept answer, it would assume that the second request was carried out.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    ClaimCall other = makeCall(1);
    other.requestDigest = "other";
    const auto reuse = pair.makeRunner(*pair.second, other);
    BOOST_TEST((pair.runToEnd(*reuse) == ClaimStep::Refuse));
    BOOST_TEST((reuse->reason().code == ResultCode::IdempotencyKeyReused));
    const ClaimCall call = makeCall(1);
    BOOST_TEST(claimKey("p/", call) != claimKey("p/", {"press", call.service, call.idempotencyKey, {}}));
    BOOST_TEST(claimKey("p/", {"ab", "c", "k", {}}) != claimKey("p/", {"a", "bc", "k", {}}));
}

BOOST_AUTO_TEST_CASE(aCallOfADeadHostIsNotSentAgain)
{
    // A host is killed after it sent a call. A retry must not send the call a second time.
    Pair pair;
    auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    runner.reset();
    pair.restartFirst();
    for (int time = 0; time < 2; ++time) {
        const auto retry = pair.makeRunner(*pair.second);
        BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
        BOOST_TEST((retry->reason().code == ResultCode::MayHaveRun));
        BOOST_TEST((retry->runState() == RunState::MayHaveRun));
    }
}

BOOST_AUTO_TEST_CASE(aHolderPausedPastTheValidityDoesNotSend)
{
    // A host is paused between its claim and the sending. Another host queries it, learns that the call was not sent, and sends it. When
    // the first host resumes, it must neither send the call nor report it as not run.
    Pair pair;
    const auto paused = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*paused) == ClaimStep::Send));
    pair.now += 11s;
    const auto other = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*other) == ClaimStep::Send));
    BOOST_TEST(other->beginSend(pair.now));
    BOOST_TEST(!paused->beginSend(pair.now));
    BOOST_TEST((paused->runState() == RunState::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aTimestampFromBeforeAPauseDoesNotAllowSending)
{
    // A thread reads the clock, the process is paused, and after the pause a peer's query is answered first. By the old time the claim
    // still seems valid.
    Pair pair;
    const auto paused = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*paused) == ClaimStep::Send));
    const TimePoint read = pair.now;
    pair.now += 11s;
    const auto other = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*other) == ClaimStep::Send));
    BOOST_TEST(!paused->beginSend(read));
}

BOOST_AUTO_TEST_CASE(sendingAndCancellingAreMutuallyExclusive)
{
    // The thread of a request is about to send, with a time read earlier, while a peer's query arrives on another thread. If both
    // succeeded, the peer would take over the call and it would run twice.
    ClaimTable table("h0", "1");
    int sentCount = 0;
    for (int round = 0; round < 2000; ++round) {
        const std::string nonce = std::to_string(round);
        BOOST_REQUIRE(table.add(nonce, "key", "digest"));
        table.onWriting(nonce, 1, TimePoint(1h));
        table.onClaimed(nonce, 1);
        bool isSent = false;
        ClaimFate fate = ClaimFate::Running;
        std::barrier together(2);
        const std::function<void()> send = [&] { isSent = table.beginSend(nonce, TimePoint(1h)); };
        const std::function<void()> queryHolder = [&] { fate = table.onQuery({"h0", "1", nonce}, TimePoint(2h)).fate; };
        std::thread other([&] {
            together.arrive_and_wait();
            (round % 2 == 0 ? send : queryHolder)();
        });
        together.arrive_and_wait();
        (round % 2 == 0 ? queryHolder : send)();
        other.join();
        BOOST_REQUIRE(isSent != (fate == ClaimFate::NeverSent));
        sentCount += isSent ? 1 : 0;
        table.onUpdateDone(nonce);
    }
    BOOST_TEST_MESSAGE(sentCount << " of 2000 were sent first");
}

BOOST_AUTO_TEST_CASE(aValidClaimIsNotTakenOver)
{
    // A caller retries at once. If each retry took over the claim, two callers could keep the call from ever being sent.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::ClaimHeld));
    BOOST_TEST(runner->beginSend(pair.now));
}

BOOST_AUTO_TEST_CASE(aCallDroppedWhileItRanIsReportedAsLost)
{
    // The relay of a sent call ends with an internal error. Retries must not be told to retry later for the claim's lifetime of a day.
    Pair pair;
    auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    runner.reset();
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aHolderWithoutAnEntryDoesNotReportNotRun)
{
    // The store holds a claim that its running holder has dropped, so it is unknown whether the call was sent.
    Pair pair;
    const ClaimRecord record{ClaimState::Claimed, "h0", "1", "dropped", "digest", 0, {}};
    pair.store.compareAndSwap(claimKey("p/", makeCall(1)), 0, formatClaimRecord(record), 0);
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aPausedHolderWithoutRetriesReportsNotRun)
{
    Pair pair;
    const auto paused = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*paused) == ClaimStep::Send));
    pair.now += 11s;
    BOOST_TEST(!paused->beginSend(pair.now));
    BOOST_TEST((paused->runState() == RunState::NotRun));
    BOOST_TEST(pair.first->recorder.step(pair.now));
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Send));
}

BOOST_AUTO_TEST_CASE(aDisconnectedCallerLeavesNoClaim)
{
    // A caller disconnects while its call waits for a connection. Without cancellation every retry would be told that the call is being
    // carried out.
    Pair pair;
    auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    runner.reset();
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Send));
    BOOST_TEST(retry->beginSend(pair.now));
    BOOST_TEST(pair.first->recorder.step(pair.now));
    const auto last = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*last) == ClaimStep::Refuse));
    BOOST_TEST((last->reason().code == ResultCode::ClaimHeld));
}

BOOST_AUTO_TEST_CASE(nothingIsSentWhileTheStoreIsDown)
{
    // Without the store no host can know whether another host has sent the call.
    Pair pair;
    pair.store.isDown = true;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Refuse));
    BOOST_TEST(!runner->beginSend(pair.now));
    BOOST_TEST((runner->retryAfter() > 0s));
}

BOOST_AUTO_TEST_CASE(anAnswerSurvivesAnOutageOfTheStore)
{
    // The store fails while a call runs. The holder keeps the answer until it can be recorded.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    pair.store.isDown = true;
    runner->onAnswer(sampleAnswer);
    for (int time = 0; time < 100; ++time) {
        pair.first->recorder.step(pair.now);
        pair.now += 1s;
    }
    pair.store.isDown = false;
    while (pair.first->recorder.step(pair.now)) {
        pair.now += 1s;
    }
    pair.restartFirst();
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Answer));
    BOOST_TEST((retry->answer() == sampleAnswer));
}

BOOST_AUTO_TEST_CASE(anAnswerTooLargeIsNotKept)
{
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    BOOST_TEST((runner->onAnswer({200, "text/plain", std::string(300'000, 'x'), true}) == ClaimStep::Answer));
    BOOST_TEST(runner->answer().body.size() == 300'000);
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aClaimIsKeptForAtLeastADay)
{
    Pair pair;
    for (const auto &[wait, step] : {std::pair(Duration(24h), ClaimStep::Answer), std::pair(Duration(26h), ClaimStep::Send)}) {
        const auto runner = pair.makeRunner(*pair.first);
        BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
        BOOST_TEST(runner->beginSend(pair.now));
        runner->onAnswer(sampleAnswer);
        BOOST_TEST(pair.first->recorder.step(pair.now));
        pair.now += wait - 1s;
        const auto retry = pair.makeRunner(*pair.second);
        BOOST_TEST((pair.runToEnd(*retry) == step));
        pair.now += 26h;
    }
}

BOOST_AUTO_TEST_CASE(aRecordIsParsedBackFromItsText)
{
    const ClaimRecord record{ClaimState::Answered, "h:1", "", "n\n", std::string("\0d", 2), -3, sampleAnswer};
    const std::string text = formatClaimRecord(record);
    Reason reason;
    const auto parsed = parseClaimRecord(text, reason);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == record));
    for (std::size_t length = 0; length < text.size(); ++length) {
        BOOST_TEST(!parseClaimRecord(std::string_view(text).substr(0, length), reason).has_value());
    }
    BOOST_TEST(!parseClaimRecord(text + "0:", reason).has_value());
    BOOST_TEST(!parseClaimRecord("1:199999999999999999999:x", reason).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

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

ClaimCall callOf(std::size_t key)
{
    return {"desk", "errata", "key" + std::to_string(key), "digest"};
}

/// One process: what it knows is gone when it is killed.
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

/// Callers, hosts and one service that counts how often each call ran.
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

    void act()
    {
        now_ += chance(3) ? Duration(15s) : std::chrono::milliseconds(below(20));
        const std::size_t host = below(hostCount);
        const std::size_t dice = below(100);
        if (dice < 8) {
            const std::size_t key = below(keyCount);
            attempts_.push_back(std::make_unique<Attempt>(Attempt{key, processes_[host], nullptr, ClaimStep::Continue}));
            Attempt &attempt = *attempts_.back();
            Process &process = *attempt.process;
            attempt.runner = std::make_unique<ClaimRunner>(process.table, process.lease, store_, "p/", callOf(key), std::to_string(++lastNonce_));
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
    std::vector<std::string> faults;

private:
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t keyCount = 3;

    struct Attempt
    {
        std::size_t key = 0;
        std::shared_ptr<Process> process;
        std::unique_ptr<ClaimRunner> runner; // After its process, which must outlive it.
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

    /// A killed process forgets all. Now and then it was only paused, is replaced, and wakes beside the new one.
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
            attempt.step = chance(20) ? runner.onHolderTimeout(now_) : runner.onHolderReply(ask(runner.query()), now_);
            break;
        case ClaimStep::Send:
            send(attempt);
            break;
        case ClaimStep::Wait:
            attempt.step = chance(60) && ran_[&runner] ? runner.onAnswer(answerOf(attempt.key)) : runner.onLost({ResultCode::TargetTimeout, "silent"});
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

    ClaimQueryReply ask(const ClaimQuery &query)
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
        // A connection that has gone silent may or may not have carried the call.
        ran_[attempt.runner.get()] = chance(85);
        executions[attempt.key] += ran_[attempt.runner.get()] ? 1 : 0;
    }

    ClaimAnswer answerOf(std::size_t key) const
    {
        return {200, "text/plain", "ran " + std::to_string(key) + " time " + std::to_string(executions[key]), true};
    }

    void check(const Attempt &attempt)
    {
        const std::string call = "call " + std::to_string(attempt.key);
        if (attempt.step == ClaimStep::Answer) {
            ++answers;
            if (!(attempt.runner->answer() == answerOf(attempt.key))) {
                faults.push_back(call + " got another answer");
            }
            return;
        }
        notRun += attempt.runner->runState() == RunState::NotRun ? 1 : 0;
        if (attempt.runner->runState() == RunState::NotRun && executions[attempt.key] > 0) {
            faults.push_back(call + " ran and was refused as not run: " + attempt.runner->reason().text);
        }
    }

    Random random_;
    TimePoint now_ = TimePoint(1h);
    LossyStore store_;
    std::array<std::shared_ptr<Process>, hostCount> processes_;
    std::vector<std::unique_ptr<Attempt>> attempts_;
    std::map<const ClaimRunner *, bool> ran_;
    int lastIncarnation_ = 0;
    int lastNonce_ = 0;
};

/// Two processes on a healthy store.
struct Pair
{
    ClaimStep runToEnd(ClaimRunner &runner)
    {
        ClaimStep step = ClaimStep::Continue;
        while (step == ClaimStep::Continue || step == ClaimStep::AskHolder) {
            step = step == ClaimStep::Continue ? runner.step(now) : runner.onHolderReply(ask(runner.query()), now);
        }
        return step;
    }

    ClaimQueryReply ask(const ClaimQuery &query)
    {
        return (query.host == "h0" ? first : second)->table.onQuery(query, now);
    }

    std::unique_ptr<ClaimRunner> makeRunner(Process &process, const ClaimCall &call = callOf(1))
    {
        return std::make_unique<ClaimRunner>(process.table, process.lease, store, "p/", call, std::to_string(++nonce));
    }

    void restartFirst()
    {
        gone.push_back(std::exchange(first, std::make_unique<Process>(0, static_cast<int>(gone.size()) + 2, store)));
    }

    TimePoint now = TimePoint(1h);
    LossyStore store{[this] { return now; }};
    std::unique_ptr<Process> first = std::make_unique<Process>(0, 1, store);
    std::unique_ptr<Process> second = std::make_unique<Process>(1, 1, store);
    std::vector<std::unique_ptr<Process>> gone; ///< Kept for the runners that a test still holds.
    int nonce = 0;
};

const ClaimAnswer done{201, "application/json", std::string("{\"ok\":1}\0\n", 10), true};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimRunnerTest)

BOOST_AUTO_TEST_CASE(noCallRunsTwiceAndNoRefusalLies)
{
    // The store goes down, its answers get lost, hosts are killed or paused between any two steps, connections go
    // silent, and callers ask again at other hosts. A correction that ran twice issues an erratum twice, and one that
    // ran but is called not run is lodged again by its clerk.
    constexpr std::uint64_t seeds = 5000;
    std::size_t ran = 0;
    std::size_t answers = 0;
    std::size_t notRun = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Deployment deployment(seed);
        for (int action = 0; action < 500; ++action) {
            deployment.act();
        }
        const std::string fault = deployment.faults.empty() ? "" : deployment.faults.front();
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
        const auto runner = pair.makeRunner(*pair.first, callOf(i));
        BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
        BOOST_TEST(runner->beginSend(pair.now));
        BOOST_TEST(!runner->beginSend(pair.now));
        BOOST_TEST((runner->onAnswer(done) == ClaimStep::Answer));
        BOOST_TEST(pair.first->recorder.step(pair.now));
        BOOST_TEST(!pair.first->recorder.step(pair.now));
    }
    constexpr int leaseForAnHour = 1;
    BOOST_TEST(pair.store.calls == 10 * 2 + leaseForAnHour);
}

BOOST_AUTO_TEST_CASE(retriesAnywhereGetTheKeptAnswer)
{
    // A caller's connection breaks while its call runs, and it asks again at another host, before and after the
    // answer is in the store. Without the kept answer it would never learn what its correction came to.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    const auto early = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*early) == ClaimStep::Refuse));
    BOOST_TEST((early->reason().code == ResultCode::ClaimHeld));
    BOOST_TEST((early->retryAfter() > 0s));
    BOOST_TEST((early->runState() == RunState::MayHaveRun));
    runner->onAnswer(done);
    for (int time = 0; time < 2; ++time) {
        for (Process *process : {pair.first.get(), pair.second.get()}) {
            const auto retry = pair.makeRunner(*process);
            BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Answer));
            BOOST_TEST((retry->answer() == done));
        }
        while (pair.first->recorder.step(pair.now)) {
        }
        pair.restartFirst();
    }
}

BOOST_AUTO_TEST_CASE(oneKeyServesOneRequest)
{
    // A program reuses its key for another correction. Given the kept answer it would believe the second one lodged.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    ClaimCall other = callOf(1);
    other.requestDigest = "other";
    const auto reuse = pair.makeRunner(*pair.second, other);
    BOOST_TEST((pair.runToEnd(*reuse) == ClaimStep::Refuse));
    BOOST_TEST((reuse->reason().code == ResultCode::IdempotencyKeyReused));
    const ClaimCall call = callOf(1);
    BOOST_TEST(claimKey("p/", call) != claimKey("p/", {"press", call.service, call.idempotencyKey, {}}));
    BOOST_TEST(claimKey("p/", {"ab", "c", "k", {}}) != claimKey("p/", {"a", "bc", "k", {}}));
}

BOOST_AUTO_TEST_CASE(aCallOfADeadHostIsNotSentAgain)
{
    // A host is killed after it sent a confirmation. The retry must not order the vinyl a second time.
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

BOOST_AUTO_TEST_CASE(aPausedHolderWakesTooLateToSend)
{
    // A host is paused between its claim and the sending. Another host asks it, is told that the call was not sent,
    // and sends it; the first one wakes then. It must neither send nor call the call not run.
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

BOOST_AUTO_TEST_CASE(aTimeReadBeforeAPauseDoesNotLetTheCallOut)
{
    // The thread read its clock, the process was paused, and a peer's question was answered first on waking. By the
    // old time the claim still looks young.
    Pair pair;
    const auto paused = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*paused) == ClaimStep::Send));
    const TimePoint read = pair.now;
    pair.now += 11s;
    const auto other = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*other) == ClaimStep::Send));
    BOOST_TEST(!paused->beginSend(read));
}

BOOST_AUTO_TEST_CASE(sendingAndSwearingExcludeEachOther)
{
    // The request's thread is about to send by a time read earlier while a peer's question comes in on another thread.
    // If both went through, the peer would take the call over and it would run twice.
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
        const std::function<void()> ask = [&] { fate = table.onQuery({"h0", "1", nonce}, TimePoint(2h)).fate; };
        std::thread other([&] {
            together.arrive_and_wait();
            (round % 2 == 0 ? send : ask)();
        });
        together.arrive_and_wait();
        (round % 2 == 0 ? ask : send)();
        other.join();
        BOOST_REQUIRE(isSent != (fate == ClaimFate::NeverSent));
        sentCount += isSent ? 1 : 0;
        table.onUpdateDone(nonce);
    }
    BOOST_TEST_MESSAGE(sentCount << " of 2000 were sent first");
}

BOOST_AUTO_TEST_CASE(aCallAboutToBeSentIsLeftToItsHolder)
{
    // A caller asks again at once. Taking the claim over each time would let two impatient callers keep it from ever being sent.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::ClaimHeld));
    BOOST_TEST(runner->beginSend(pair.now));
}

BOOST_AUTO_TEST_CASE(aCallDroppedWhileItRanIsNotHeldForEver)
{
    // The relay of a sent call ends in an error of our own. Retries must not be told for a day to come back.
    Pair pair;
    auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    runner.reset();
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aHolderWithoutMemoryOfACallDoesNotVouchForIt)
{
    // The store holds a claim that its living holder has dropped. Nobody knows whether it was sent.
    Pair pair;
    const ClaimRecord record{ClaimState::Claimed, "h0", "1", "dropped", "digest", 0, {}};
    pair.store.compareAndSwap(claimKey("p/", callOf(1)), 0, formatClaimRecord(record), 0);
    const auto retry = pair.makeRunner(*pair.second);
    BOOST_TEST((pair.runToEnd(*retry) == ClaimStep::Refuse));
    BOOST_TEST((retry->reason().code == ResultCode::MayHaveRun));
}

BOOST_AUTO_TEST_CASE(aHolderPausedAloneSaysTrulyThatNothingRan)
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

BOOST_AUTO_TEST_CASE(aHungUpCallerLeavesNoClaimBehind)
{
    // The caller hangs up while its call waits for a connection. The retry would be told for ever that the call is
    // being carried out.
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
    // Without the store no host can know whether another has sent the call.
    Pair pair;
    pair.store.isDown = true;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Refuse));
    BOOST_TEST(!runner->beginSend(pair.now));
    BOOST_TEST((runner->retryAfter() > 0s));
}

BOOST_AUTO_TEST_CASE(anAnswerOutlivesAnOutageOfTheStore)
{
    // The store goes down while a call runs. The holder keeps the answer until it can be recorded.
    Pair pair;
    const auto runner = pair.makeRunner(*pair.first);
    BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
    BOOST_TEST(runner->beginSend(pair.now));
    pair.store.isDown = true;
    runner->onAnswer(done);
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
    BOOST_TEST((retry->answer() == done));
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

BOOST_AUTO_TEST_CASE(aClaimLivesADayAtLeast)
{
    Pair pair;
    for (const auto &[wait, step] : {std::pair(Duration(24h), ClaimStep::Answer), std::pair(Duration(26h), ClaimStep::Send)}) {
        const auto runner = pair.makeRunner(*pair.first);
        BOOST_TEST((pair.runToEnd(*runner) == ClaimStep::Send));
        BOOST_TEST(runner->beginSend(pair.now));
        runner->onAnswer(done);
        BOOST_TEST(pair.first->recorder.step(pair.now));
        pair.now += wait - 1s;
        const auto retry = pair.makeRunner(*pair.second);
        BOOST_TEST((pair.runToEnd(*retry) == step));
        pair.now += 26h;
    }
}

BOOST_AUTO_TEST_CASE(aRecordSurvivesItsText)
{
    const ClaimRecord record{ClaimState::Answered, "h:1", "", "n\n", std::string("\0d", 2), -3, done};
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

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "gateway/crash_guard.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr RequestFeature crashingRequest{4'711};
constexpr RequestFeature crashingPart{4'712};
constexpr RequestFeature soundPart{4'713};

/// A network whose messages all get lost.
CrashGuard::Network silentNetwork()
{
    return {[](const std::string &, const CrashReport &) {},
            [](const std::string &, const QuarantineNotice &) {},
            [](const QuarantineNotice &) {},
            [](RequestFeature) {},
            [](const std::string &, const QuarantineObjection &) {},
            [](RequestFeature) {},
            [] {}};
}

/// Simulates hosts that exchange datagrams, which may be lost. Some hosts may be unreachable. All get the same request, which crashes its
/// target each time.
class Fleet
{
public:
    Fleet(std::size_t hosts, double lossRate, std::uint64_t seed)
        : random_(seed)
        , lossRate_(lossRate)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            names_.push_back("host-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            restart(i);
        }
    }

    /// Replaces the host by a new process, which reads the quarantined requests from the store.
    void restart(std::size_t host)
    {
        const std::string name = names_[host];
        const auto report = [this, name](const std::string &to, const CrashReport &crash) {
            call(to, [&](CrashGuard &guard) { guard.onReport(name, crash, now); });
        };
        const auto notify = [this, name](const std::string &to, const QuarantineNotice &notice) {
            call(to, [&](CrashGuard &guard) { guard.onQuarantined(name, notice, now); });
        };
        const auto broadcast = [this, name](const QuarantineNotice &notice) {
            callOthers(name, [&](CrashGuard &guard) { guard.onQuarantined(name, notice, now); });
        };
        const auto record = [this](RequestFeature feature) { recorded_.insert(feature); };
        const auto object = [this](const std::string &to, const QuarantineObjection &objection) {
            call(to, [&](CrashGuard &guard) { guard.onObjection(objection, now); });
        };
        const auto lift = [this, name](RequestFeature feature) { callOthers(name, [&](CrashGuard &guard) { guard.onLifted(feature); }); };
        guards_[name] = std::make_unique<CrashGuard>(name, CrashGuard::Network{report, notify, broadcast, record, object, lift, [] {}});
        guards_[name]->setHosts(names_);
        for (const RequestFeature request : recorded_) {
            guards_[name]->onQuarantined({}, {request, {}, false}, now);
        }
    }

    void setUnreachable(std::size_t host)
    {
        unreachable_.insert(names_[host]);
    }

    /// Sends the crashing request to a random host. Returns whether the host sent it to a target.
    bool sendCrashingRequest()
    {
        const std::string &name = names_[randomBelow(random_, names_.size())];
        CrashGuard &guard = *guards_[name];
        if (unreachable_.contains(name) || guard.isQuarantined(crashingRequest, now)) {
            return false;
        }
        guard.onTargetLost({crashingRequest, ++lastTarget_, crashingRequest}, now);
        tick();
        return true;
    }

    /// Targets end while they run requests with these features, all different but for them, that came from random hosts. Returns the last one.
    std::uint64_t crash(std::size_t targets, std::span<const RequestFeature> features)
    {
        for (std::size_t i = 0; i < targets; ++i) {
            ++lastTarget_;
            CrashGuard &guard = randomGuard();
            for (const RequestFeature feature : features) {
                guard.onTargetLost({feature, lastTarget_, RequestFeature{firstRequest + lastTarget_}}, now);
            }
        }
        tick();
        return lastTarget_;
    }

    /// A target that has ended ran another request with these features, which came from a random host.
    void crashAgain(std::uint64_t target, std::span<const RequestFeature> features)
    {
        CrashGuard &guard = randomGuard();
        for (const RequestFeature feature : features) {
            guard.onTargetLost({feature, target, RequestFeature{otherRequest + target}}, now);
        }
        tick();
    }

    /// A request with a feature is answered at a random host.
    void answer(RequestFeature feature)
    {
        randomGuard().noteSound(std::span(&feature, 1), now);
    }

    /// Hosts that have a feature in quarantine.
    std::size_t quarantined(RequestFeature feature) const
    {
        return static_cast<std::size_t>(
            std::count_if(guards_.begin(), guards_.end(), [this, feature](const auto &entry) { return entry.second->isQuarantined(feature, now); }));
    }

    bool isRecorded(RequestFeature feature) const
    {
        return recorded_.contains(feature);
    }

    /// Returns how many of `tries` attempts were sent to a target.
    int countSends(int tries)
    {
        int sends = 0;
        for (int i = 0; i < tries; ++i) {
            now += 100ms;
            sends += sendCrashingRequest() ? 1 : 0;
        }
        return sends;
    }

    std::size_t restartRandomHost()
    {
        const std::size_t host = randomBelow(random_, names_.size());
        restart(host);
        return host;
    }

    CrashGuard &guard(std::size_t host)
    {
        return *guards_[names_[host]];
    }

    TimePoint now{1h};

private:
    static constexpr std::uint64_t firstRequest = 1'000'000;
    static constexpr std::uint64_t otherRequest = 2'000'000;

    void call(const std::string &name, const std::function<void(CrashGuard &)> &action)
    {
        constexpr std::size_t parts = 1'000;
        const bool isLost = static_cast<double>(randomBelow(random_, parts)) < lossRate_ * parts;
        if (!isLost && !unreachable_.contains(name) && guards_.contains(name)) {
            action(*guards_[name]);
        }
    }

    void callOthers(const std::string &from, const std::function<void(CrashGuard &)> &action)
    {
        for (const std::string &name : names_) {
            if (name != from) {
                call(name, action);
            }
        }
    }

    CrashGuard &randomGuard()
    {
        return *guards_[names_[randomBelow(random_, names_.size())]];
    }

    /// Time passes in which lost messages are repeated and quarantines recorded.
    void tick()
    {
        for (int i = 0; i < 3; ++i) {
            now += 250ms;
            for (const auto &[name, guard] : guards_) {
                guard->onTick(now);
            }
        }
    }

    Random random_;
    double lossRate_;
    std::vector<std::string> names_;
    std::map<std::string, std::unique_ptr<CrashGuard>> guards_;
    std::set<std::string> unreachable_;
    std::set<RequestFeature> recorded_;
    std::uint64_t lastTarget_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashGuardTest)

// Guards against a request that is retried at random hosts and crashes one target after the other, because no host sees enough of the attempts.
BOOST_DATA_TEST_CASE(aCrashingRequestSentToAnyHostCrashesThreeTargets, boost::unit_test::data::make({1, 9, 69, 295}), hosts)
{
    Fleet fleet(static_cast<std::size_t>(hosts), 0, 1);
    BOOST_TEST(fleet.countSends(500) == static_cast<int>(CrashQuarantine::maxCrashes));
}

BOOST_AUTO_TEST_CASE(datagramLossUnreachableHostsAndRestartsCostFewExtraTargets)
{
    constexpr int maxExtraCrashes = 3;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Fleet fleet(9, 0.03, seed);
        fleet.setUnreachable(seed % 9);
        for (int round = 0; round < 30 && !fleet.sendCrashingRequest(); ++round) {
        }
        int sends = 1;
        for (int round = 0; round < 40; ++round) {
            sends += fleet.countSends(5);
            fleet.restartRandomHost();
        }
        BOOST_TEST(sends <= static_cast<int>(CrashQuarantine::maxCrashes) + maxExtraCrashes, "seed " << seed << ": " << sends);
    }
}

// Guards against hosts that never learn of a quarantine whose notification they missed: a host that reports another crash is notified.
BOOST_AUTO_TEST_CASE(aHostThatMissedTheQuarantineIsNotifiedWhenItReports)
{
    Fleet fleet(9, 1, 2); // All datagrams are lost, so each host counts alone.
    BOOST_TEST(fleet.countSends(2'000) == 9 * static_cast<int>(CrashQuarantine::maxCrashes));
    std::vector<std::string> notified;
    CrashGuard::Network network = silentNetwork();
    network.notify = [&](const std::string &host, const QuarantineNotice &) { notified.push_back(host); };
    CrashGuard home("home", network);
    for (std::uint64_t target = 1; target <= 4; ++target) {
        home.onReport("other", {crashingRequest, target, crashingRequest}, fleet.now);
    }
    BOOST_TEST(notified.size() == 1U);
}

// Guards against refusing requests that happened to run on targets that crashed for another reason.
BOOST_AUTO_TEST_CASE(answeredRequestsAreNotQuarantined)
{
    std::vector<std::string> objections;
    CrashGuard::Network network = silentNetwork();
    network.object = [&](const std::string &host, const QuarantineObjection &) { objections.push_back(host); };
    CrashGuard guard("a", network);
    guard.setHosts({"b", "c"});
    guard.noteSound(std::span(&crashingRequest, 1), TimePoint{1h});
    for (std::uint64_t target = 1; target <= 4; ++target) {
        guard.onTargetLost({crashingRequest, target, crashingRequest}, TimePoint{1h});
    }
    guard.onQuarantined("b", {crashingRequest, {}, false}, TimePoint{1h});
    BOOST_TEST(objections == std::vector<std::string>{"b"});
    BOOST_TEST(!guard.isQuarantined(crashingRequest, TimePoint{1h}));
}

// Guards against requests that share a part, no two alike, and crash one target after the other.
BOOST_DATA_TEST_CASE(aPartThatCrashesThreeTargetsIsQuarantinedEverywhere, boost::unit_test::data::make({1, 9, 69, 295}), hosts)
{
    Fleet fleet(static_cast<std::size_t>(hosts), 0, 1);
    const std::array features{crashingPart};
    fleet.crash(2, features);
    BOOST_TEST(fleet.quarantined(crashingPart) == 0U);
    fleet.crash(1, features);
    BOOST_TEST(fleet.quarantined(crashingPart) == static_cast<std::size_t>(hosts));
    BOOST_TEST(fleet.isRecorded(crashingPart));
}

// Guards against a part that is refused because one request with it, tried again each time, had bad luck.
BOOST_AUTO_TEST_CASE(aPartOfASingleRequestIsNotQuarantined)
{
    Fleet fleet(9, 0, 1);
    for (std::uint64_t target = 1; target <= 9; ++target) {
        fleet.guard(0).onTargetLost({crashingPart, target, crashingRequest}, fleet.now);
    }
    BOOST_TEST(fleet.quarantined(crashingPart) == 0U);
}

// Guards against refusing sound requests for minutes that share a part which ran on all targets of a rack that failed.
BOOST_AUTO_TEST_CASE(aPartThatWasSoundIsNotQuarantinedWhenManyTargetsFailAtOnce)
{
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        Fleet fleet(9, 0.01, seed);
        const std::array features{crashingPart};
        fleet.answer(crashingPart);
        fleet.now += 5s;
        fleet.crash(10, features);
        fleet.crash(1, features);
        BOOST_TEST(fleet.quarantined(crashingPart) <= 1U, "seed " << seed << ": " << fleet.quarantined(crashingPart));
        fleet.now += 500ms;
        fleet.answer(crashingPart);
        fleet.now += 2s;
        fleet.crash(10, features);
        BOOST_TEST(!fleet.isRecorded(crashingPart), "seed " << seed);
    }
}

// Guards against a part that targets have learnt to crash on, and that was answered before.
BOOST_AUTO_TEST_CASE(aPartThatWasSoundIsQuarantinedAfterFiveCrashesWithoutAnAnswer)
{
    Fleet fleet(9, 0, 1);
    const std::array features{crashingPart};
    for (int i = 0; i < 50; ++i) {
        fleet.answer(crashingPart);
    }
    for (int i = 0; i < 6; ++i) {
        fleet.now += 300ms;
        fleet.crash(1, features);
    }
    BOOST_TEST(fleet.quarantined(crashingPart) == 9U);
}

// Guards against requests that are refused because they share their first part with those that crash targets.
BOOST_AUTO_TEST_CASE(aPartThatIsAnsweredBetweenCrashesIsNotQuarantined)
{
    Fleet fleet(9, 0, 1);
    const std::array features{crashingPart, soundPart};
    for (int i = 0; i < 12; ++i) {
        fleet.now += 300ms;
        for (int host = 0; host < 20; ++host) {
            fleet.answer(soundPart);
        }
        fleet.crash(1, features);
    }
    BOOST_TEST(fleet.quarantined(crashingPart) == 9U);
    BOOST_TEST(fleet.quarantined(soundPart) == 0U);
    BOOST_TEST(!fleet.isRecorded(soundPart));
}

// Guards against sound requests that are refused as they ran beside those that crash targets, and were not answered meanwhile.
BOOST_AUTO_TEST_CASE(aSoundPartThatRunsBesideACulpritIsNotQuarantined)
{
    Fleet fleet(9, 0, 1);
    const std::array sound{soundPart};
    for (int i = 0; i < 50; ++i) {
        fleet.answer(soundPart);
    }
    for (int i = 0; i < 8; ++i) {
        fleet.now += 100ms;
        const std::uint64_t target = fleet.crash(1, std::array{crashingPart});
        if (i % 4 != 0) {
            fleet.crashAgain(target, sound);
        }
    }
    BOOST_TEST(fleet.quarantined(crashingPart) == 9U);
    BOOST_TEST(fleet.quarantined(soundPart) == 0U);
}

// Guards against a culprit that is taken for a bystander of another one: it goes on to crash targets by itself.
BOOST_AUTO_TEST_CASE(aCulpritThatRanBesideAnotherIsQuarantinedByItsOwnCrashes)
{
    Fleet fleet(9, 0, 2);
    const std::array other{soundPart};
    for (int i = 0; i < 8; ++i) {
        fleet.now += 300ms;
        const std::uint64_t target = fleet.crash(1, std::array{crashingPart});
        if (i % 2 == 0) {
            fleet.crashAgain(target, other);
        }
    }
    BOOST_TEST(fleet.quarantined(crashingPart) == 9U);
    for (int i = 0; i < 5; ++i) {
        fleet.now += 300ms;
        fleet.crash(1, other);
    }
    BOOST_TEST(fleet.quarantined(soundPart) == 9U);
}

// Guards against two parts that are always requested together and keep each other out of quarantine.
BOOST_AUTO_TEST_CASE(twoPartsWithTheSameCrashesAreBothQuarantined)
{
    Fleet fleet(9, 0, 3);
    for (int i = 0; i < 4; ++i) {
        fleet.now += 300ms;
        fleet.crash(1, std::array{crashingPart, soundPart});
    }
    BOOST_TEST(fleet.quarantined(crashingPart) == 9U);
    BOOST_TEST(fleet.quarantined(soundPart) == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

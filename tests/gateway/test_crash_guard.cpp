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
        guards_[name] = std::make_unique<CrashGuard>(name,
                                                     CrashGuard::Network{[this, name](const std::string &to, const CrashReport &report) {
                                                                             if (CrashGuard *guard = reachableGuard(to)) {
                                                                                 guard->onReport(name, report, now);
                                                                             }
                                                                         },
                                                                         [this](const std::string &to, RequestFeature request) {
                                                                             if (CrashGuard *guard = reachableGuard(to)) {
                                                                                 guard->onQuarantined(request, now);
                                                                             }
                                                                         },
                                                                         [this, name](RequestFeature request) {
                                                                             for (const std::string &to : names_) {
                                                                                 CrashGuard *guard = to == name ? nullptr : reachableGuard(to);
                                                                                 if (guard != nullptr) {
                                                                                     guard->onQuarantined(request, now);
                                                                                 }
                                                                             }
                                                                         },
                                                                         [this](RequestFeature request) { recorded_.insert(request); }});
        guards_[name]->setHosts(names_);
        for (const RequestFeature request : recorded_) {
            guards_[name]->onQuarantined(request, now);
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
        guard.onTargetLost({crashingRequest, ++lastTarget_}, now);
        return true;
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
    CrashGuard *reachableGuard(const std::string &name)
    {
        constexpr std::size_t parts = 1'000;
        const bool isLost = static_cast<double>(randomBelow(random_, parts)) < lossRate_ * parts;
        return isLost || unreachable_.contains(name) ? nullptr : guards_[name].get();
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
    CrashGuard home("home",
                    {[](const std::string &, const CrashReport &) {},
                     [&](const std::string &host, RequestFeature) { notified.push_back(host); },
                     [](RequestFeature) {},
                     [](RequestFeature) {}});
    for (std::uint64_t target = 1; target <= 4; ++target) {
        home.onReport("other", {crashingRequest, target}, fleet.now);
    }
    BOOST_TEST(notified.size() == 1U);
}

BOOST_AUTO_TEST_CASE(answeredRequestsAreNeitherReportedNorQuarantined)
{
    int reports = 0;
    CrashGuard guard("a",
                     {[&](const std::string &, const CrashReport &) { ++reports; },
                      [](const std::string &, RequestFeature) {},
                      [](RequestFeature) {},
                      [](RequestFeature) {}});
    guard.setHosts({"b", "c"});
    guard.noteAnswered(crashingRequest);
    guard.onTargetLost({crashingRequest, 1}, TimePoint{1h});
    guard.onQuarantined(crashingRequest, TimePoint{1h});
    BOOST_TEST(reports == 0);
    BOOST_TEST(!guard.isQuarantined(crashingRequest, TimePoint{1h}));
}

BOOST_AUTO_TEST_SUITE_END()

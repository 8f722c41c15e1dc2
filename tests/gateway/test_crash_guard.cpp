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

constexpr RequestFingerprint crasher{4'711};

/// A fleet whose hosts reach each other in datagrams that may be lost, some of which are away, and which all meet the same request that ends
/// its target each time.
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

    /// The host begins anew, with what the store has kept.
    void restart(std::size_t host)
    {
        const std::string name = names_[host];
        guards_[name] = std::make_unique<CrashGuard>(name,
                                                     CrashGuard::Network{[this, name](const std::string &to, const CrashReport &report) {
                                                                             if (CrashGuard *guard = reach(to)) {
                                                                                 guard->onReport(name, report, now);
                                                                             }
                                                                         },
                                                                         [this](const std::string &to, RequestFingerprint request) {
                                                                             if (CrashGuard *guard = reach(to)) {
                                                                                 guard->onQuarantined(request, now);
                                                                             }
                                                                         },
                                                                         [this, name](RequestFingerprint request) {
                                                                             for (const std::string &to : names_) {
                                                                                 CrashGuard *guard = to == name ? nullptr : reach(to);
                                                                                 if (guard != nullptr) {
                                                                                     guard->onQuarantined(request, now);
                                                                                 }
                                                                             }
                                                                         },
                                                                         [this](RequestFingerprint request) { kept_.insert(request); }});
        guards_[name]->setHosts(names_);
        for (const RequestFingerprint request : kept_) {
            guards_[name]->onQuarantined(request, now);
        }
    }

    void setAway(std::size_t host)
    {
        away_.insert(names_[host]);
    }

    /// One try of the crasher at any host that is there; whether it was sent to a target.
    bool meet()
    {
        const std::string &name = names_[randomBelow(random_, names_.size())];
        CrashGuard &guard = *guards_[name];
        if (away_.contains(name) || guard.isQuarantined(crasher, now)) {
            return false;
        }
        guard.onTargetLost({crasher, ++lastTarget_}, now);
        return true;
    }

    /// How often the crasher is sent in so many tries.
    int sendsIn(int tries)
    {
        int sends = 0;
        for (int i = 0; i < tries; ++i) {
            now += 100ms;
            sends += meet() ? 1 : 0;
        }
        return sends;
    }

    std::size_t restartAny()
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
    CrashGuard *reach(const std::string &name)
    {
        constexpr std::size_t parts = 1'000;
        const bool isLost = static_cast<double>(randomBelow(random_, parts)) < lossRate_ * parts;
        return isLost || away_.contains(name) ? nullptr : guards_[name].get();
    }

    Random random_;
    double lossRate_;
    std::vector<std::string> names_;
    std::map<std::string, std::unique_ptr<CrashGuard>> guards_;
    std::set<std::string> away_;
    std::set<RequestFingerprint> kept_;
    std::uint64_t lastTarget_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashGuardTest)

// Guards against a request that comes again at any host of the fleet and ends one target after the other, as no host sees enough of its tries.
BOOST_DATA_TEST_CASE(aCrashingRequestThatComesAtAnyHostEndsThreeTargets, boost::unit_test::data::make({1, 9, 69, 295}), hosts)
{
    Fleet fleet(static_cast<std::size_t>(hosts), 0, 1);
    BOOST_TEST(fleet.sendsIn(500) == static_cast<int>(CrashQuarantine::maxCrashes));
}

BOOST_AUTO_TEST_CASE(lostDatagramsHostsThatAreAwayAndRestartsCostFewTargetsMore)
{
    constexpr int mostAfterThird = 3;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Fleet fleet(9, 0.03, seed);
        fleet.setAway(seed % 9);
        for (int round = 0; round < 30 && !fleet.meet(); ++round) {
        }
        int sends = 1;
        for (int round = 0; round < 40; ++round) {
            sends += fleet.sendsIn(5);
            fleet.restartAny();
        }
        BOOST_TEST(sends <= static_cast<int>(CrashQuarantine::maxCrashes) + mostAfterThird, "seed " << seed << ": " << sends);
    }
}

// Guards against hosts that learn of a quarantine late and never: whoever reports once more is told.
BOOST_AUTO_TEST_CASE(aHostThatMissedTheQuarantineIsToldWhenItReports)
{
    Fleet fleet(9, 1, 2); // All datagrams are lost: each host counts alone.
    BOOST_TEST(fleet.sendsIn(2'000) == 9 * static_cast<int>(CrashQuarantine::maxCrashes));
    std::vector<std::string> told;
    CrashGuard home("home",
                    {[](const std::string &, const CrashReport &) {},
                     [&](const std::string &host, RequestFingerprint) { told.push_back(host); },
                     [](RequestFingerprint) {},
                     [](RequestFingerprint) {}});
    for (std::uint64_t target = 1; target <= 4; ++target) {
        home.onReport("other", {crasher, target}, fleet.now);
    }
    BOOST_TEST(told.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requestsThatWereAnsweredAreNeitherReportedNorRefused)
{
    int reports = 0;
    CrashGuard guard("a",
                     {[&](const std::string &, const CrashReport &) { ++reports; },
                      [](const std::string &, RequestFingerprint) {},
                      [](RequestFingerprint) {},
                      [](RequestFingerprint) {}});
    guard.setHosts({"b", "c"});
    guard.noteAnswered(crasher);
    guard.onTargetLost({crasher, 1}, TimePoint{1h});
    guard.onQuarantined(crasher, TimePoint{1h});
    BOOST_TEST(reports == 0);
    BOOST_TEST(!guard.isQuarantined(crasher, TimePoint{1h}));
}

BOOST_AUTO_TEST_SUITE_END()

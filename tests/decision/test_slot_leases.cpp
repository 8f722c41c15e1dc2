#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/decision/permit_model.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr double rejectionLimit = 4;
constexpr std::size_t fullRoom = 8;
constexpr std::size_t smallRoom = 2;
constexpr double serviceSeconds = 0.1;
constexpr double minRoomUsed = 0.9;

constexpr std::size_t fleets[] = {1, 6, 9, 90, 295};

/// Targets state the limit for a second, while they have their full room.
PermitModel start(const PermitModel::Options &options)
{
    PermitModel model(options);
    for (std::size_t target = 0; target < options.targets; ++target) {
        model.stateRejections(target, rejectionLimit, fullRoom);
    }
    model.run(1s);
    return model;
}

void shrink(PermitModel &model, std::size_t targets)
{
    for (std::size_t target = 0; target < targets; ++target) {
        model.setRoom(target, smallRoom);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotLeasesTest)

// Guards against targets that fall over when their room shrinks unannounced, as requests of many hosts are on their way, and against room that is left
// unused for fear of that.
BOOST_DATA_TEST_CASE(aTargetWhoseRoomShrinksDoesNotFallOverAndIsUsed, boost::unit_test::data::make(fleets), hosts)
{
    constexpr std::size_t targets = 6;
    PermitModel model = start({.hosts = hosts, .targets = targets, .demand = 60, .jitter = 500us, .seed = hosts});
    BOOST_TEST(model.falls() == 0U);
    shrink(model, targets);
    model.run(2s);
    const Duration from = model.elapsed();
    model.run(6s);
    const double capacity = 6 / serviceSeconds * smallRoom * targets;
    const double used = static_cast<double>(model.completed(from)) / capacity;
    BOOST_TEST_MESSAGE(hosts << " hosts: " << used << " of the room used, " << model.mostRejections() << " rejections in a second at most");
    BOOST_TEST(model.falls() == 0U);
    BOOST_TEST(used >= minRoomUsed);
}

// Guards against targets that fall over as their rejections come late or nobody hears them, and silence is taken for acceptance.
BOOST_DATA_TEST_CASE(targetsWhoseRejectionsAreLateOrUnheardDoNotFallOver,
                     boost::unit_test::data::make({0ms, 50ms, 150ms, 400ms}) * boost::unit_test::data::make({0.0, 0.3}),
                     delay,
                     abandonedRate)
{
    constexpr std::uint64_t seeds = 10;
    constexpr std::size_t targets = 6;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        PermitModel model =
            start({.hosts = 6, .targets = targets, .demand = 60, .jitter = 500us, .rejectionDelay = delay, .abandonedRate = abandonedRate, .seed = seed});
        const std::size_t early = model.falls(); // Targets may fall over before any host has had an answer.
        for (const std::size_t room : {smallRoom, smallRoom / 2, fullRoom, smallRoom}) {
            for (std::size_t target = 0; target < targets; ++target) {
                model.setRoom(target, room);
            }
            model.run(4s);
        }
        BOOST_TEST(model.falls() == early, "seed " << seed << ": " << model.falls() - early << " falls");
    }
}

// Guards against two homes that grant slots of one target in turn, as each goes on from what it knew before the other one.
BOOST_AUTO_TEST_CASE(aHomeThatIsHomeAgainGrantsNothingAtFirst)
{
    TimePoint now{1h};
    StatementTable table("h");
    table.presumeRejectionLimit("t", 1, rejectionLimit, now);
    std::vector<SlotGrant> grants;
    SlotLeases leases("h", table);
    leases.setLinks({[](const std::string &, const SlotReport &) {}, [&grants](const std::string &, const SlotGrant &grant) { grants.push_back(grant); }});
    leases.setHosts(2, {"h"}, now);
    SlotReport report{.target = "t", .incarnation = 1, .rejectionLimit = rejectionLimit, .sequence = 1, .wanted = 1};
    leases.onReport("other", report, now + 1s);
    BOOST_TEST(grants.size() == 1U);
    leases.setHosts(2, {"other"}, now + 2s);
    report.sequence = 2;
    leases.onReport("other", report, now + 2s);
    BOOST_TEST(grants.size() == 1U);
    leases.setHosts(2, {"h"}, now + 3s);
    report.sequence = 3;
    leases.onReport("other", report, now + 3s);
    BOOST_TEST(grants.size() == 1U);
    report.sequence = 4;
    leases.onReport("other", report, now + 4s);
    BOOST_TEST(grants.size() == 2U);
}

// Guards against falls beside lost and doubled messages, and hosts that pause, restart or are cut off while the room changes.
BOOST_AUTO_TEST_CASE(targetsDoNotFallOverBesideFaults)
{
    constexpr std::uint64_t seeds = 60;
    constexpr std::size_t targets = 3;
    std::size_t most = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        Random random(seed);
        PermitModel::Options options{.hosts = 9, .targets = targets, .demand = 60, .lossRate = 0.05, .doubledRate = 0.05, .seed = seed};
        PermitModel model = start(options);
        for (int i = 0; i < 10; ++i) {
            const std::size_t host = randomBelow(random, options.hosts);
            const Duration time = 100ms + randomUpTo(random, 3s);
            const std::size_t event = randomBelow(random, PermitModel::faultKinds + 1);
            if (event < PermitModel::faultKinds) {
                model.disturb(host, time, event);
            } else {
                model.setRoom(randomBelow(random, targets), 1 + randomBelow(random, fullRoom));
            }
            model.run(randomUpTo(random, 2s));
        }
        most = std::max(most, model.mostRejections());
        BOOST_TEST(model.falls() == 0U, "seed " << seed << ": " << model.falls() << " falls");
    }
    BOOST_TEST_MESSAGE("most rejections in a second beside faults: " << most);
}

// Guards against a host whose machine has restarted, so that its reports count from a lower number and would be taken for old ones.
BOOST_AUTO_TEST_CASE(aHostWhoseMachineHasRestartedGetsSlots)
{
    constexpr std::uint64_t day = 86'400'000'000'000;
    SlotIssuer issuer;
    const TimePoint now{1h};
    SlotReport report{.target = "t", .incarnation = 1, .rejectionLimit = rejectionLimit, .sequence = day, .wanted = 1};
    BOOST_TEST(issuer.onReport("h", report, now).size() == 1U);
    report.sequence -= 1;
    BOOST_TEST(issuer.onReport("h", report, now + 1ms).empty());
    report.sequence = 1;
    BOOST_TEST(!issuer.onReport("h", report, now + 1s).empty());
}

// Guards against a grant that waited unread while the host stood still, and that its home has meanwhile given to another host.
BOOST_AUTO_TEST_CASE(aGrantThatComesLateIsNotUsed)
{
    TimePoint now{1h};
    StatementTable table("h");
    table.presumeRejectionLimit("t", 1, rejectionLimit, now);
    std::vector<SlotReport> reports;
    SlotLeases leases("h", table);
    leases.setLinks({[&reports](const std::string &, const SlotReport &report) { reports.push_back(report); }, [](const std::string &, const SlotGrant &) {}});
    leases.setHosts(2, {"home"}, now);
    leases.want("t", 1, now);
    BOOST_REQUIRE(reports.size() == 1U);
    leases.onGrant("home", {.target = "t", .id = 1, .report = reports.back().sequence}, now + 300ms);
    BOOST_TEST(leases.wait("t", now + 300ms).count() > 0);
    leases.onGrant("home", {.target = "t", .id = 2, .report = reports.back().sequence}, now + 100ms);
    BOOST_TEST(leases.wait("t", now + 100ms).count() == 0);
    leases.returnUnused(now + 101ms);
    BOOST_TEST(reports.back().inUse == 0U);
    BOOST_TEST(leases.wait("t", now + 101ms).count() > 0);
}

// Guards against a home that grants more than the target tolerates as it does not know what was rejected before it became the home.
BOOST_AUTO_TEST_CASE(aNewHomeGrantsNothingAtFirst)
{
    const TimePoint now{1h};
    SlotIssuer issuer;
    issuer.startAt(now + 1s);
    SlotReport report{.target = "t", .incarnation = 1, .rejectionLimit = rejectionLimit, .sequence = 1, .wanted = 1};
    BOOST_TEST(issuer.onReport("h", report, now).empty());
    report.sequence = 2;
    BOOST_TEST(issuer.onReport("h", report, now + 1s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

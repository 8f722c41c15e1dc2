#include <chrono>

#include <boost/test/unit_test.hpp>
#include <capnp/serialize.h>

#include "coordination/memory_store.h"
#include "gateway/rollout_client.h"
#include "gateway/rollout_codec.h"
#include "gateway/rollout_duty.h"
#include "gateway/rollouts.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// The part of the records that rollouts use.
class StatusRecords final : public StoreRecords
{
public:
    std::string_view operatorPrefix() const override
    {
        return {};
    }

    std::string_view configurationKey() const override
    {
        return {};
    }

    bool isWeightsKey(std::string_view /*key*/) const override
    {
        return false;
    }

    std::string_view targetPrefix() const override
    {
        return {};
    }

    std::string_view rolloutPrefix() const override
    {
        return {};
    }

    std::optional<RoutingTable> parseConfiguration(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }

    std::optional<Target> parseTarget(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }

    std::optional<PublishedWeights> parseWeights(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }

    std::optional<RolloutOrder> parseRollout(const StoreEntry & /*entry*/, Reason & /*reason*/) const override
    {
        return std::nullopt;
    }

    std::string rolloutStatusKey(std::string_view service) const override
    {
        return "status/" + std::string(service);
    }

    std::string rolloutStatusText(const RolloutRecord &record) const override
    {
        return std::string(rolloutPhaseName(record.phase));
    }
};

struct DutyFixture
{
    DutyFixture()
    {
        duty.start();
    }

    ~DutyFixture()
    {
        duty.stop();
        duty.join();
    }

    RolloutDuty::Options options()
    {
        return {"rollouts/",
                "versions/",
                [this] { return mayWrite ? BootClock::now() + 1s : TimePoint{}; },
                [this](const auto &, const auto &record) { known = record.position; }};
    }

    /// Whether a key gets this value within two seconds.
    bool waitFor(std::string_view key, std::string_view value)
    {
        const TimePoint limit = BootClock::now() + 2s;
        while (store.get(key).entry.value != value && BootClock::now() < limit) {
            std::this_thread::sleep_for(5ms);
        }
        return store.get(key).entry.value == value;
    }

    MemoryStore store;
    StatusRecords records;
    std::atomic<bool> mayWrite = true;
    std::atomic<std::int64_t> known = 0;
    RolloutDuty duty{store, records, options()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutPartsTest)

BOOST_FIXTURE_TEST_CASE(operatorsReadEachPhase, DutyFixture)
{
    duty.write("s", {1, RolloutPhase::Running, 0, 7, {}, "v2"});
    BOOST_TEST(waitFor("status/s", "running"));
    duty.write("s", {2, RolloutPhase::Completed, 3, 7, 8s, "v2"});
    BOOST_TEST(waitFor("status/s", "completed"));
    BOOST_TEST(store.get("versions/s").entry.value == "v2");
    BOOST_TEST(store.get("versions/s").entry.revision < store.get("rollouts/s").entry.revision);
}

// Guards against an earlier leader that writes over the record of the present one.
BOOST_FIXTURE_TEST_CASE(aRecordOfALowerPositionIsNotWritten, DutyFixture)
{
    store.compareAndSwap("rollouts/s", 0, rolloutRecordText({5, RolloutPhase::RolledBack, 1, 7, 3s, "v2"}), 0);
    duty.write("s", {4, RolloutPhase::Switching, 1, 7, 3s, "v2"});
    const TimePoint limit = BootClock::now() + 2s;
    while (known != 5 && BootClock::now() < limit) {
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST(known == 5);
    BOOST_TEST((store.get("status/s").status == StoreStatus::NotFound));
}

// Guards against a host that writes after it has lost the lead.
BOOST_FIXTURE_TEST_CASE(withoutTheLeaseNothingIsWritten, DutyFixture)
{
    mayWrite = false;
    duty.write("s", {1, RolloutPhase::Running, 0, 7, {}, "v2"});
    std::this_thread::sleep_for(200ms);
    BOOST_TEST((store.get("rollouts/s").status == StoreStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(messagesAreReadAsTheyWereSent)
{
    RolloutReport report;
    report.id = 3;
    report.service = "s";
    report.progress = {7, 2, 1'500ms, 4};
    report.usage = {11, 100, 8, 9};
    report.evidence = {11, {{21, {{1, 2, 3, 4, 5, 6, 7, 8}, 9}, {{8, 7, 6, 5, 4, 3, 2, 1}, 10}}}, {{31, 20, 2}}};
    const auto decode = [](const std::string &datagram, auto read) {
        std::vector<std::uint64_t> words(datagram.size() / sizeof(std::uint64_t));
        std::copy_n(datagram.data(), words.size() * sizeof(std::uint64_t), reinterpret_cast<char *>(words.data()));
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(reinterpret_cast<const capnp::word *>(words.data()), words.size()));
        read(reader.getRoot<PeerMessages::Datagram>());
    };
    decode(encodeRolloutReport(report), [&report](auto datagram) {
        const RolloutReport read = readRolloutReport(datagram.getRolloutReport());
        BOOST_TEST(read.id == report.id);
        BOOST_TEST(read.service == report.service);
        BOOST_TEST(read.progress.order == 7);
        BOOST_TEST(read.progress.position == 2);
        BOOST_TEST((read.progress.orderAge == Duration(1'500ms)));
        BOOST_TEST(read.progress.otherInFlight == 4U);
        BOOST_TEST(read.usage.allowance == 9U);
        BOOST_TEST((read.evidence.routes.at(0).serving == report.evidence.routes.at(0).serving));
        BOOST_TEST((read.evidence.routes.at(0).candidate == report.evidence.routes.at(0).candidate));
        BOOST_TEST(read.evidence.targets.at(0).bad == 2U);
    });
    const RolloutReply reply{"s", {3, 7, 2, 750ms}, 12, {31}};
    decode(encodeRolloutReply(reply), [](auto datagram) {
        const RolloutReply read = readRolloutReply(datagram.getRolloutReply());
        BOOST_TEST(read.service == "s");
        BOOST_TEST((read.grant.validFor == Duration(750ms)));
        BOOST_TEST(read.allowance == 12U);
        BOOST_TEST(read.excludedTargets.at(0) == 31U);
    });
}

// Guards against callers who leave a slow version before it answers, so that its slow answers are never counted.
BOOST_AUTO_TEST_CASE(aCallerWhoLeftASlowAnswerCounts)
{
    RolloutClient client(1);
    client.setOrder(7);
    using Outcome = RolloutClient::Observation::Outcome;
    for (int i = 0; i < 20; ++i) {
        client.observe({"r", "old", false, Outcome::Answered, {1, 1}});
    }
    client.observe({"r", "new", true, Outcome::LeftEarly, {1.2, 1.2}});
    client.observe({"r", "new", true, Outcome::LeftEarly, {4.5, 4.5}});
    const RolloutReport report = client.makeReport(TimePoint{1h});
    BOOST_TEST(report.evidence.routes.at(0).candidate.total() == 1U);
    BOOST_TEST(report.evidence.routes.at(0).candidate.slowerFrom(firstSlowBucket) == 1U);
    BOOST_TEST(report.evidence.targets.at(0).bad == 1U);
}

// Guards against streams that begin on an ordered version which hosts out of step don't list yet: they would resume them at another version.
BOOST_AUTO_TEST_CASE(anOrderedVersionThatIsNewGetsNoRequests)
{
    const auto target = [](const std::string &id, const std::string &version) {
        Target target;
        target.id = id;
        target.service = "s";
        target.softwareVersion = version;
        return target;
    };
    const auto endDelay = [](VersionGuard &versions) {
        const TimePoint later = BootClock::now() + ServingVersions::newVersionDelay;
        versions.tick(later, later);
    };
    std::set<std::string, std::less<>> candidates;
    VersionGuard versions([](const auto &) {});
    Rollouts rollouts("a",
                      versions,
                      {[](const std::string &, const RolloutReport &) {},
                       [&candidates](const auto &ids) { candidates = ids; },
                       [](std::string_view, std::string_view) { return 0U; }});
    rollouts.setHosts({"a"});
    TargetMap targets{{"old", target("old", "v1")}};
    versions.setTargets(targets);
    endDelay(versions);
    constexpr std::int64_t order = 7;
    rollouts.setOrder("s", {{"s", "v2", 60s}, order, BootClock::now()});
    rollouts.setRecord("s", {1, RolloutPhase::Running, 0, order, {}, "v2"});
    targets.emplace("new", target("new", "v2"));
    versions.setTargets(targets);
    rollouts.updateCandidates();
    rollouts.tick(BootClock::now());
    BOOST_TEST(candidates.empty());
    endDelay(versions);
    rollouts.tick(BootClock::now());
    BOOST_TEST(candidates.contains("new"));
}

BOOST_AUTO_TEST_SUITE_END()

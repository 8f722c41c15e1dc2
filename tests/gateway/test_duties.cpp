#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "coordination/forwarding_store.h"
#include "coordination/memory_store.h"
#include "coordination/store_position.h"
#include "gateway/configuration_duty.h"
#include "gateway/proof_duty.h"
#include "gateway/target_duty.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration waitTimeout = 6s;

/// An in-memory store that can be made unavailable.
class UnreliableStore final : public ForwardingStore
{
public:
    UnreliableStore()
        : ForwardingStore(memory)
    {
    }

    StoreReply get(std::string_view key) override
    {
        return isDown ? StoreReply{} : memory.get(key);
    }

    StoreReply confirm(std::string_view key, std::int64_t revision) override
    {
        return isDown ? StoreReply{} : memory.confirm(key, revision);
    }

    StoreListReply list(std::string_view prefix) override
    {
        ++lists;
        return isDown ? StoreListReply{} : memory.list(prefix);
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        constexpr Duration maxWait = 20ms; // So that an outage is noticed soon after it begins.
        return isDown ? StoreListReply{} : memory.watch(prefix, afterRevision, std::min(timeout, maxWait));
    }

    void write(const std::string &key, const std::string &value)
    {
        const StoreReply known = memory.get(key);
        memory.compareAndSwap(key, known.status == StoreStatus::Ok ? known.entry.revision : 0, value, 0);
    }

    void remove(const std::string &key)
    {
        memory.compareAndDelete(key, memory.get(key).entry.revision);
    }

    MemoryStore memory;
    std::atomic<bool> isDown = false;
    std::atomic<int> lists = 0;
};

/// The value of a target's entry is its service, that of the configuration its version.
class PlainRecords final : public StoreRecords
{
public:
    std::string_view operatorPrefix() const override
    {
        return "op/";
    }

    std::string_view configurationKey() const override
    {
        return "op/config";
    }

    bool isWeightsKey(std::string_view key) const override
    {
        return key.starts_with("op/weights/");
    }

    std::string_view targetPrefix() const override
    {
        return "t/";
    }

    std::optional<RoutingTable> parseConfiguration(const StoreEntry &entry, Reason &reason) const override
    {
        if (entry.value == "strange") {
            reason = {ResultCode::MalformedJson, "strange"};
            return std::nullopt;
        }
        RoutingTable table;
        table.version = std::stoll(entry.value);
        table.revision = entry.revision;
        return table;
    }

    std::optional<Target> parseTarget(const StoreEntry &entry, Reason &reason) const override
    {
        if (entry.value == "strange") {
            reason = {ResultCode::MalformedJson, "strange"};
            return std::nullopt;
        }
        Target target;
        target.id = entry.key.substr(targetPrefix().size());
        target.service = entry.value;
        target.isLeaving = entry.value == "leaving";
        return target;
    }

    std::optional<PublishedWeights> parseWeights(const StoreEntry &, Reason &) const override
    {
        return std::nullopt;
    }

    std::string_view rolloutPrefix() const override
    {
        return "op/rollout/";
    }

    std::optional<RolloutOrder> parseRollout(const StoreEntry &entry, Reason &) const override
    {
        return entry.value == "strange" ? std::nullopt
                                        : std::optional(RolloutOrder{entry.key.substr(rolloutPrefix().size()), entry.value, std::chrono::seconds(12)});
    }

    std::string rolloutStatusKey(std::string_view service) const override
    {
        return "status/rollout/" + std::string(service);
    }

    std::string rolloutStatusText(const RolloutRecord &record) const override
    {
        return std::string(rolloutPhaseName(record.phase)) + ' ' + record.version;
    }
};

const PlainRecords records;

/// The last value that a duty published.
template <typename Value>
class Latest
{
public:
    void set(Value value)
    {
        const std::lock_guard lock(mutex_);
        value_ = std::move(value);
        changed_.notify_all();
    }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, waitTimeout, [&] { return condition(value_); });
    }

    /// Whether the condition holds for the whole duration.
    template <typename Condition>
    bool holdsFor(Duration duration, Condition condition)
    {
        std::unique_lock lock(mutex_);
        return !changed_.wait_for(lock, duration, [&] { return !condition(value_); });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    Value value_{};
};

struct TargetFixture
{
    TargetFixture()
    {
        duty.start();
    }

    ~TargetFixture()
    {
        duty.stop();
        duty.join();
    }

    static auto names(const std::vector<std::string> &wanted)
    {
        return [wanted](const TargetMap &targets) {
            std::vector<std::string> found;
            for (const auto &[id, target] : targets) {
                found.push_back(id);
            }
            return found == wanted;
        };
    }

    UnreliableStore store;
    Latest<TargetMap> latest;
    TargetDuty duty{store, records, [this](const std::shared_ptr<const TargetMap> &targets, std::int64_t /*revision*/) { latest.set(*targets); }};
};

/// A store that lists two targets and whose watch events are given by the test. All events come after a silence of three seconds.
class ScriptedStore final : public ForwardingStore
{
public:
    ScriptedStore()
        : ForwardingStore(memory_)
    {
    }

    StoreListReply list(std::string_view /*prefix*/) override
    {
        const std::lock_guard lock(mutex_);
        isListDue_ = false;
        return {StoreStatus::Ok, listed_, position_};
    }

    StoreListReply watch(std::string_view /*prefix*/, std::int64_t afterRevision, Duration /*timeout*/) override
    {
        constexpr Duration maxWait = 20ms;
        std::unique_lock lock(mutex_);
        delivered_.wait_for(lock, maxWait, [this] { return !entries_.empty(); });
        if (isListDue_) {
            return {StoreStatus::NotFound, {}, 0};
        }
        StoreListReply reply{StoreStatus::Ok, std::exchange(entries_, {}), afterRevision + 1, 3s};
        reply.outage = outage_;
        reply.returnAge = returnAge_;
        return reply;
    }

    /// Makes the next watch return entries. `outage`: how long the store had been unavailable to all hosts, until `returnAge` ago.
    void deliver(const std::vector<StoreEntry> &entries, Duration outage, Duration returnAge = {})
    {
        const std::lock_guard lock(mutex_);
        entries_.insert(entries_.end(), entries.begin(), entries.end());
        outage_ = outage;
        returnAge_ = returnAge;
        delivered_.notify_all();
    }

    /// Makes the next watch fail and the next list return these entries.
    void restore(const std::vector<StoreEntry> &entries, std::int64_t position)
    {
        const std::lock_guard lock(mutex_);
        listed_ = entries;
        position_ = position;
        isListDue_ = true;
    }

private:
    MemoryStore memory_;
    std::mutex mutex_;
    std::condition_variable delivered_;
    std::vector<StoreEntry> listed_{{"t/a", "s", 1, false}, {"t/b", "s", 2, false}};
    std::int64_t position_ = 2;
    bool isListDue_ = false;
    std::vector<StoreEntry> entries_;
    Duration outage_{};
    Duration returnAge_{};
};

struct ScriptedFixture
{
    ScriptedFixture()
    {
        duty.start();
    }

    ~ScriptedFixture()
    {
        duty.stop();
        duty.join();
    }

    ScriptedStore store;
    Latest<TargetMap> latest;
    TargetDuty duty{store, records, [this](const std::shared_ptr<const TargetMap> &targets, std::int64_t /*revision*/) { latest.set(*targets); }};
};

/// An in-memory store whose connection goes silent once, while a watch is pending on it; other calls use other connections.
class SilentStore final : public ForwardingStore
{
public:
    SilentStore()
        : ForwardingStore(memory)
    {
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        constexpr Duration timeoutMargin = 500ms;
        if (isWatched.exchange(true)) {
            return memory.watch(prefix, afterRevision, timeout);
        }
        std::this_thread::sleep_for(timeout + timeoutMargin);
        return {};
    }

    MemoryStore memory;
    std::atomic<bool> isWatched = false;
};

struct ProofFixture
{
    ProofFixture()
    {
        store.write("op/config", "1");
        feed.apply(store.get("op/config").entry, BootClock::now());
        duty.start();
    }

    ~ProofFixture()
    {
        duty.stop();
        duty.join();
    }

    UnreliableStore store;
    Latest<std::int64_t> version;
    Latest<TimePoint> proof;
    ConfigurationFeed feed{records,
                           {[this](const auto &table, TimePoint) { version.set(table->version); },
                            [this](std::int64_t, TimePoint provenAt) { proof.set(provenAt); },
                            [](const PublishedWeights &) {}}};
    ProofDuty duty{store, records, feed, 300ms};
};

} // namespace

BOOST_AUTO_TEST_SUITE(DutiesTest)

BOOST_FIXTURE_TEST_CASE(targetsAreFollowedAndUnreadableEntriesRemoved, TargetFixture)
{
    store.write("t/a", "s");
    store.write("t/b", "s");
    BOOST_TEST(latest.waitFor(names({"a", "b"})));
    store.write("t/b", "strange");
    BOOST_TEST(latest.waitFor(names({"a"})));
    store.remove("t/a");
    BOOST_TEST(latest.waitFor(names({})));
}

BOOST_FIXTURE_TEST_CASE(entriesThatExpiredDuringAnOutageAreKeptForAGracePeriod, TargetFixture)
{
    // During a store outage the entries expire although the targets are running. The targets write them again within two seconds after the
    // outage. A host that applied the empty list would reject all callers until then.
    store.write("t/a", "s");
    store.write("t/b", "s");
    BOOST_REQUIRE(latest.waitFor(names({"a", "b"})));
    store.isDown = true;
    const int listsBefore = store.lists;
    while (store.lists < listsBefore + 2) {
        std::this_thread::yield(); // Wait until the duty has noticed the outage.
    }
    store.remove("t/a");
    store.remove("t/b");
    store.isDown = false;
    BOOST_TEST(latest.holdsFor(1s, names({"a", "b"})));
    store.write("t/a", "s");
    BOOST_TEST(latest.waitFor(names({"a"}))); // The other target is removed after the grace period.
}

BOOST_FIXTURE_TEST_CASE(anEntryDeletedWhileTheStoreIsAvailableIsRemovedAtOnce, TargetFixture)
{
    store.write("t/a", "s");
    BOOST_REQUIRE(latest.waitFor(names({"a"})));
    const TimePoint deletedAt = BootClock::now();
    store.remove("t/a");
    BOOST_TEST(latest.waitFor(names({})));
    BOOST_TEST((BootClock::now() - deletedAt < 1s));
}

// Guards against sending requests to a target that left too long ago, because the relay that reports changes had missed them for a while.
BOOST_FIXTURE_TEST_CASE(aTargetDeletedWhileTheStoreIsAvailableGetsNoGracePeriod, ScriptedFixture)
{
    BOOST_REQUIRE(latest.waitFor(TargetFixture::names({"a", "b"})));
    const TimePoint deletedAt = BootClock::now();
    store.deliver({{"t/a", {}, 3, true}}, 0ms);
    BOOST_TEST(latest.waitFor(TargetFixture::names({"b"})));
    BOOST_TEST((BootClock::now() - deletedAt < 1s));
    store.deliver({{"t/b", {}, 3, true}}, 3s);
    BOOST_TEST(latest.holdsFor(1s, TargetFixture::names({"b"}))); // The entry may have expired and may be written again.
}

// Guards against requests to targets that left during an outage, by a host that heard late of the store's return.
BOOST_FIXTURE_TEST_CASE(theGracePeriodBeginsWithTheReturnOfTheStore, ScriptedFixture)
{
    BOOST_REQUIRE(latest.waitFor(TargetFixture::names({"a", "b"})));
    const TimePoint heardAt = BootClock::now();
    store.deliver({{"t/b", {}, 3, true}}, 9s, 1'700ms);
    BOOST_TEST(latest.holdsFor(200ms, TargetFixture::names({"a", "b"})));
    BOOST_TEST(latest.waitFor(TargetFixture::names({"a"})));
    BOOST_TEST((BootClock::now() - heardAt < 1'200ms));
}

// Guards against a healthy target that is dropped because the list is read again in its grace period: for the rest of it, or at its end
// although the target has written its entry again.
BOOST_FIXTURE_TEST_CASE(aListReadInTheGracePeriodNeitherEndsItNorIsForgotten, ScriptedFixture)
{
    BOOST_REQUIRE(latest.waitFor(TargetFixture::names({"a", "b"})));
    store.deliver({{"t/a", {}, 3, true}, {"t/b", {}, 3, true}}, 3s);
    const auto areUnlisted = [](const TargetMap &targets) { return targets.size() == 2 && targets.at("a").isUnlisted && targets.at("b").isUnlisted; };
    BOOST_REQUIRE(latest.waitFor(areUnlisted));
    store.restore({}, 4);
    BOOST_TEST(latest.holdsFor(500ms, areUnlisted));
    store.restore({{"t/a", "s", 5, false}}, 5);
    BOOST_TEST(latest.waitFor([](const TargetMap &targets) { return targets.contains("a") && !targets.at("a").isUnlisted; }));
    BOOST_TEST(latest.waitFor(TargetFixture::names({"a"})));
    BOOST_TEST(latest.holdsFor(1s, TargetFixture::names({"a"})));
}

// Guards against engines that disappear, or are used again after announcing their shutdown, when the store is restored from a copy that is
// some seconds old.
BOOST_FIXTURE_TEST_CASE(aStoreRestoredFromAnOlderCopyKeepsTargetsAndLeavingStates, ScriptedFixture)
{
    BOOST_REQUIRE(latest.waitFor(TargetFixture::names({"a", "b"})));
    store.deliver({{"t/a", "leaving", 3, false}}, 0ms);
    const auto isLeaving = [](const TargetMap &targets) { return targets.contains("a") && targets.at("a").isLeaving; };
    BOOST_REQUIRE(latest.waitFor(isLeaving));
    store.restore({{"t/a", "s", positionOf(2, 1), false}}, positionOf(2, 1)); // The copy is from before b registered and a announced its shutdown.
    BOOST_TEST(latest.holdsFor(1s, [&](const TargetMap &targets) { return isLeaving(targets) && targets.contains("b"); }));
    BOOST_TEST(latest.waitFor(TargetFixture::names({"a"}))); // b was not written again.
}

// Guards against requests to a target that has announced its leave, because an older entry comes after one that can't be read or a deletion.
BOOST_FIXTURE_TEST_CASE(aLeaveIsRememberedWithinABatchAndOverEntriesThatAreGone, ScriptedFixture)
{
    BOOST_REQUIRE(latest.waitFor(TargetFixture::names({"a", "b"})));
    store.deliver({{"t/a", "leaving", 3, false}, {"t/a", "strange", 4, false}, {"t/a", "s", 5, false}}, 0ms);
    const auto isServing = [](const TargetMap &targets) { return targets.contains("a") && !targets.at("a").isLeaving; };
    const auto isLeaving = [](const TargetMap &targets) { return targets.contains("a") && targets.at("a").isLeaving; };
    BOOST_TEST(latest.waitFor(isLeaving));
    store.deliver({{"t/a", {}, 6, true}}, 0ms);
    BOOST_REQUIRE(latest.waitFor(TargetFixture::names({"b"})));
    store.deliver({{"t/a", "s", 7, false}}, 0ms);
    BOOST_TEST(latest.waitFor(isLeaving));
    BOOST_TEST(latest.holdsFor(200ms, [&](const TargetMap &targets) { return !isServing(targets); }));
}

BOOST_FIXTURE_TEST_CASE(aChangeMissedByTheWatchIsFoundByTheProof, ProofFixture)
{
    // While the store compacts its history, watches miss that an operator revokes a key. This test uses no watch at all: the change must be
    // found by the proof alone.
    store.write("op/config", "2");
    BOOST_TEST(version.waitFor([](std::int64_t known) { return known == 2; }));
}

BOOST_FIXTURE_TEST_CASE(nothingIsProvenWithoutTheStore, ProofFixture)
{
    BOOST_REQUIRE(proof.waitFor([](TimePoint provenAt) { return provenAt != TimePoint{}; }));
    store.isDown = true;
    const TimePoint downAt = BootClock::now();
    BOOST_TEST(proof.holdsFor(500ms, [downAt](TimePoint provenAt) { return provenAt <= downAt; }));
    store.isDown = false;
    BOOST_TEST(proof.waitFor([downAt](TimePoint provenAt) { return provenAt > downAt; }));
}

BOOST_FIXTURE_TEST_CASE(aConfigurationThatCannotBeReadLeavesTheLastOneInForce, ProofFixture)
{
    store.write("op/config", "strange");
    BOOST_TEST(version.holdsFor(500ms, [](std::int64_t known) { return known == 1; }));
    store.write("op/config", "3");
    BOOST_TEST(version.waitFor([](std::int64_t known) { return known == 3; }));
}

BOOST_AUTO_TEST_CASE(anOlderConfigurationIsNeverApplied)
{
    // A slow read completes after a faster one delivered a newer version. If it were applied, a revoked key would be valid again.
    std::vector<std::int64_t> versions;
    ConfigurationFeed feed(
        records, {[&](const auto &table, TimePoint) { versions.push_back(table->version); }, [](std::int64_t, TimePoint) {}, [](const PublishedWeights &) {}});
    feed.apply({"op/config", "2", 20, false}, {});
    feed.apply({"op/config", "1", 10, false}, {});
    feed.apply({"op/config", "2", 20, false}, {});
    feed.apply({"op/config", "", 30, true}, {});
    BOOST_TEST((versions == std::vector<std::int64_t>{2}));
}

BOOST_AUTO_TEST_CASE(rolloutOrdersAreAppliedBeforeTheConfiguration)
{
    // Guards against requests that a starting host sends to a version under an order, as it reads the configuration first.
    UnreliableStore store;
    store.write("op/config", "1");
    store.write("op/rollout/s", "v2");
    store.write("op/rollout/t", "strange");
    Latest<std::vector<std::string>> applied;
    std::vector<std::string> events;
    const auto record = [&](const std::string &event) {
        events.push_back(event);
        applied.set(events);
    };
    ConfigurationFeed feed(records,
                           {[&](const auto &, TimePoint) { record("configuration"); },
                            [](std::int64_t, TimePoint) {},
                            [](const PublishedWeights &) {},
                            {},
                            [&](const std::string &service, const SeenRolloutOrder &seen) { record(service + ":" + seen.order.version); },
                            [&](const std::string &service) { record(service + " withdrawn"); }});
    ConfigurationDuty duty(store, records, feed);
    duty.start();
    BOOST_TEST(applied.waitFor([](const auto &list) { return list == std::vector<std::string>{"s:v2", "t:", "configuration"}; }));
    store.remove("op/rollout/s");
    BOOST_TEST(applied.waitFor([](const auto &list) { return list.size() == 4 && list.back() == "s withdrawn"; }));
    duty.stop();
    duty.join();
}

namespace
{

/// A duty that is in a call which takes a second when it is told to stop.
class BusyDuty final : public Duty
{
private:
    void run() override
    {
        std::this_thread::sleep_for(1s);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(aDutyThatWaitsForTheStoreDoesNotHoldUpTheShutdown)
{
    // Guards against hosts that are killed at the end of their grace period, because a duty waits for a store that does not respond.
    BusyDuty duty;
    duty.start();
    duty.stop();
    const TimePoint begin = BootClock::now();
    BOOST_TEST(!duty.joinFor(50ms));
    BOOST_TEST((BootClock::now() - begin < Duration(500ms)));
    BOOST_TEST(duty.joinFor(5s));
    BOOST_TEST(duty.joinFor(Duration::zero()));
}

// Guards against requests to a leaving target for as long as a watch hangs on a connection that has gone silent.
BOOST_AUTO_TEST_CASE(aLeavingTargetIsKnownInTimeThoughTheWatchHasGoneSilent)
{
    constexpr Duration leaveLimit = 2s;
    SilentStore store;
    store.memory.compareAndSwap("t/a", 0, "s", 0);
    std::atomic<bool> isLeaving = false;
    TargetDuty duty{
        store, records, [&isLeaving](const std::shared_ptr<const TargetMap> &targets, std::int64_t /*revision*/) { isLeaving = targets->at("a").isLeaving; }};
    duty.start();
    while (!store.isWatched) {
        std::this_thread::sleep_for(1ms);
    }
    const TimePoint leftAt = BootClock::now();
    store.memory.compareAndSwap("t/a", store.memory.get("t/a").entry.revision, "leaving", 0);
    while (!isLeaving && BootClock::now() < leftAt + waitTimeout) {
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST((BootClock::now() - leftAt < leaveLimit));
    duty.stop();
    duty.join();
}

BOOST_AUTO_TEST_SUITE_END()

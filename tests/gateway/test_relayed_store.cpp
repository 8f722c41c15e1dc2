#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "coordination/forwarding_store.h"
#include "coordination/memory_store.h"
#include "core/random.h"
#include "gateway/relayed_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// A store in memory that counts calls and can be out of reach.
class CountingStore final : public ForwardingStore
{
public:
    CountingStore()
        : ForwardingStore(memory)
    {
    }

    StoreReply get(std::string_view key) override
    {
        ++calls;
        return isDown ? StoreReply{} : memory.get(key);
    }

    StoreReply confirm(std::string_view key, std::int64_t revision) override
    {
        ++calls;
        return isDown ? StoreReply{} : memory.confirm(key, revision);
    }

    StoreListReply list(std::string_view prefix) override
    {
        ++calls;
        return isDown ? StoreListReply{} : memory.list(prefix);
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        ++calls;
        StoreListReply reply = isDown ? StoreListReply{} : memory.watch(prefix, afterRevision, timeout);
        if (afterWatch) {
            std::exchange(afterWatch, nullptr)();
        }
        return reply;
    }

    MemoryStore memory;
    std::atomic<int> calls = 0;
    std::atomic<bool> isDown = false;
    std::function<void()> afterWatch; ///< Runs once, while the answer to a watch is on its way.
};

const std::vector<std::string> hosts{"a", "b", "c", "d", "e"};

/// Hosts whose notices are delivered at once, unless they are lost.
struct Fixture
{
    Fixture()
    {
        for (const std::string &name : hosts) {
            views[name] = std::make_unique<RelayedStore>(store, name);
            views[name]->setNetwork({[this, name](const ChangesNotice &notice) { broadcast(name, notice); },
                                     [this, name](const std::string &to, const ProofRequest &request) { ask(name, to, request); }});
            views[name]->setHosts(hosts, hosts);
            (views[name]->isRelay() ? relays : others).push_back(name);
        }
        store.memory.compareAndSwap("x/seed", 0, "0", 0);
    }

    void broadcast(const std::string &from, const ChangesNotice &notice)
    {
        ChangesNotice full = notice;
        full.omitted.resize(full.entries.size(), omitsValues);
        for (const std::string &name : hosts) {
            const bool isLost = losses > 0 && randomBelow(random, 100) < losses;
            if (name != from && !isLost) {
                views[name]->onNotice(full);
            }
        }
    }

    void ask(const std::string &from, const std::string &to, const ProofRequest &request)
    {
        if (!isSilent) {
            views[from]->onProofReply({request.id, provenRevision, proofAge});
        }
        static_cast<void>(to);
    }

    std::int64_t write(const std::string &key, const std::string &value)
    {
        const StoreReply known = store.memory.get(key);
        return store.memory.compareAndSwap(key, known.status == StoreStatus::Ok ? known.entry.revision : 0, value, 0).entry.revision;
    }

    CountingStore store;
    std::map<std::string, std::unique_ptr<RelayedStore>> views;
    std::vector<std::string> relays;
    std::vector<std::string> others;
    Random random{7};
    std::size_t losses = 0; ///< Of 100 notices.
    bool omitsValues = false;
    bool isSilent = false;
    std::int64_t provenRevision = 0;
    Duration proofAge{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayedStoreTest, Fixture)

BOOST_AUTO_TEST_CASE(twoOfTheHostsAreRelaysAndAllAgreeOnThem)
{
    BOOST_TEST(relays.size() == 2U);
}

BOOST_AUTO_TEST_CASE(aChangeReachesOthersWithoutACallOfTheirs)
{
    RelayedStore &relay = *views[relays[0]];
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = relay.list("x/").revision;
    const std::int64_t otherFrom = other.list("x/").revision;
    write("x/a", "1");
    const int before = store.calls;
    relay.watch("x/", from, 1s);
    const StoreListReply heard = other.watch("x/", otherFrom, 1s);
    BOOST_REQUIRE(heard.entries.size() == 1U);
    BOOST_TEST(heard.entries[0].value == "1");
    BOOST_TEST(store.calls - before == 1);
}

BOOST_AUTO_TEST_CASE(aValueTooLongForADatagramIsRead)
{
    omitsValues = true;
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = views[relays[0]]->list("x/").revision;
    other.list("x/");
    write("x/a", "long");
    views[relays[0]]->watch("x/", from, 1s);
    const StoreListReply heard = other.watch("x/", from, 1s);
    BOOST_REQUIRE(heard.entries.size() == 1U);
    BOOST_TEST(heard.entries[0].value == "long");
}

BOOST_AUTO_TEST_CASE(aLostNoticeIsNoticedByTheNextSignOfLife)
{
    // The datagram that tells of a withdrawn key is lost. A host that did not notice would serve the key until it is restarted.
    RelayedStore &relay = *views[relays[0]];
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    losses = 100;
    write("x/a", "1");
    relay.watch("x/", from, 1s);
    losses = 0;
    relay.sendHeartbeat();
    BOOST_TEST((other.watch("x/", from, 1s).status == StoreStatus::NotFound));
    BOOST_TEST(other.list("x/").entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(quietTimesAreNoGaps)
{
    // The store's revision moves with keys that nobody here watches. Taken for a gap, each sign of life makes 88 hosts read their lists
    // again: 5,165 calls in 22 s.
    RelayedStore &relay = *views[relays[0]];
    RelayedStore &other = *views[others[0]];
    std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    for (int i = 0; i < 3; ++i) {
        write("y/other", std::to_string(i));
        write("x/a", std::to_string(i));
        from = relay.watch("x/", from, 1s).revision;
        write("y/other", std::to_string(i));
        from = relay.watch("x/", from, Duration(1)).revision;
        relay.sendHeartbeat();
        const StoreListReply heard = other.watch("x/", 0, Duration(1));
        BOOST_TEST((heard.status == StoreStatus::Ok));
        BOOST_TEST(heard.entries.size() == 1U);
    }
}

// Guards against targets that are kept in use after they left, as a watch that was cut is taken for an outage in which entries lapsed.
BOOST_AUTO_TEST_CASE(onlyAStoreThatAnsweredNobodyCountsAsAway)
{
    TimePoint now{1h};
    RelayedStore relay(store, "a", [&now] { return now; });
    std::vector<ChangesNotice> told;
    relay.setNetwork({[&](const ChangesNotice &notice) { told.push_back(notice); }, {}});
    relay.setHosts({"a"}, {"a"});
    const std::int64_t seed = relay.list("x/").entries.front().revision;
    now += 2'900ms;
    BOOST_TEST((relay.confirm("x/seed", seed).status == StoreStatus::Ok));
    store.isDown = true;
    BOOST_TEST((relay.watch("x/", seed, 1ms).status == StoreStatus::Unavailable));
    store.isDown = false;
    now += 100ms;
    store.memory.compareAndDelete("x/seed", seed);
    const StoreListReply cut = relay.list("x/");
    BOOST_TEST((cut.outage == Duration(100ms)));
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST((told.back().outage == Duration(100ms)));
    BOOST_TEST((told.back().silence >= 3s));

    store.isDown = true;
    relay.list("x/");
    now += 5s;
    store.isDown = false;
    relay.confirm("x/seed", seed); // Another duty is the first to be answered.
    now += 100ms;
    BOOST_TEST((relay.list("x/").outage >= Duration(5s)));
    BOOST_TEST((told.back().outage >= Duration(5s)));
    BOOST_TEST((relay.list("x/").outage == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(withoutARelayTheStoreIsWatchedItself)
{
    // Both relays lose power. The others must not wait for them with an old list of targets.
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = other.list("x/").revision;
    const std::int64_t written = write("x/a", "1");
    const StoreListReply reply = other.watch("x/", from, 3s);
    BOOST_REQUIRE(reply.entries.size() == 1U);
    BOOST_TEST(reply.revision >= written);
}

BOOST_AUTO_TEST_CASE(relaysWithoutTheStoreAreSoonNotListenedTo)
{
    // Both relays are cut off from the store but not from the other hosts, and each hears the other say that it lives. Were either to
    // take that for news, both would go on for as long as the cut lasts: no host would hear of new weights, and each would go on sending
    // to targets that have left. Operators notice engines that answer on weights replaced long ago.
    TimePoint now = BootClock::now();
    const auto clock = [&now] { return now += std::chrono::microseconds(1); };
    for (const std::string &name : hosts) {
        Store &reached = views[name]->isRelay() ? static_cast<Store &>(store) : store.memory;
        views[name] = std::make_unique<RelayedStore>(reached, name, clock);
        views[name]->setNetwork({[this, name](const ChangesNotice &notice) { broadcast(name, notice); }, {}});
        views[name]->setHosts(hosts, hosts);
        views[name]->list("x/");
    }
    RelayedStore &other = *views[others[0]];
    store.isDown = true;
    const std::int64_t from = store.memory.list("x/").revision;
    write("x/a", "1");
    const TimePoint cutAt = now;
    constexpr Duration step = 100ms;
    constexpr Duration lookTime = 10us; // The clock moves on at each look, so that this ends.
    while (other.watch("x/", from, lookTime).entries.empty() && now < cutAt + 10s) {
        now += step;
        for (const std::string &relay : relays) {
            views[relay]->sendHeartbeat();
        }
    }
    BOOST_TEST(toMillis(now - cutAt) <= 3'500);
}

BOOST_AUTO_TEST_CASE(whatAnAnswerHoldsIsNotHandedOutAgainAfterIt)
{
    // A host asks the store itself, and while the answer is on its way a relay comes back and tells of the same change. Handed out
    // after the answer, which also holds that the target has left, the change would bring the target back.
    RelayedStore &relay = *views[relays[0]];
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    other.setHosts({}, {}); // Asks the store itself.
    write("x/a", "there");
    store.afterWatch = [&] {
        relay.watch("x/", from, 1s);
        store.memory.compareAndDelete("x/a", store.memory.get("x/a").entry.revision);
    };
    const StoreListReply first = other.watch("x/", from, 1s);
    BOOST_REQUIRE(first.entries.size() == 1U);
    other.setHosts(hosts, hosts);
    relay.watch("x/", first.revision, 1s);
    const StoreListReply second = other.watch("x/", first.revision, 1s);
    BOOST_REQUIRE(second.entries.size() == 1U);
    BOOST_TEST(second.entries[0].isDeleted);
}

BOOST_AUTO_TEST_CASE(aProofIsAsOldAsTheRelaySays)
{
    // A relay passes on what it has proven some time ago. Counted from the answer instead, a key would work that much longer after its
    // withdrawal.
    const std::int64_t revision = write("x/config", "1");
    provenRevision = revision;
    proofAge = 700ms;
    const int before = store.calls;
    const StoreReply reply = views[others[0]]->confirm("x/config", revision);
    BOOST_TEST((reply.status == StoreStatus::Ok && reply.age == 700ms));
    BOOST_TEST(store.calls == before);
    provenRevision = revision + 1;
    BOOST_TEST((views[others[0]]->confirm("x/config", revision).status == StoreStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(anOldOrMissingProofIsNone)
{
    const std::int64_t revision = write("x/config", "1");
    provenRevision = revision;
    proofAge = 10s;
    const int before = store.calls;
    BOOST_TEST((views[others[0]]->confirm("x/config", revision).age == Duration::zero()));
    isSilent = true;
    BOOST_TEST((views[others[0]]->confirm("x/config", revision).status == StoreStatus::Ok));
    provenRevision = revision - 1; // A relay that is behind proves nothing.
    isSilent = false;
    proofAge = {};
    BOOST_TEST((views[others[0]]->confirm("x/config", revision).age == Duration::zero()));
    BOOST_TEST(store.calls - before == 3);
    store.isDown = true;
    BOOST_TEST((views[others[0]]->confirm("x/config", revision).status == StoreStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(whateverIsLostEveryHostEndsWithTheStoresState)
{
    // Notices are lost at random while keys are written and removed, relays fall silent and the store is away at times. A host that
    // applied changes out of order or missed one would route to a target that has left.
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        Fixture world;
        world.random.seed(seed);
        std::map<std::string, std::map<std::string, std::string>> states;
        std::map<std::string, std::int64_t> positions;
        const auto follow = [&](const std::string &name) {
            RelayedStore &view = *world.views[name];
            if (positions[name] == 0) {
                const StoreListReply all = view.list("x/");
                if (all.status != StoreStatus::Ok) {
                    return;
                }
                states[name].clear();
                for (const StoreEntry &entry : all.entries) {
                    states[name][entry.key] = entry.value;
                }
                positions[name] = all.revision;
                return;
            }
            const StoreListReply reply = view.watch("x/", positions[name], Duration(1));
            if (reply.status != StoreStatus::Ok) {
                positions[name] = 0;
                return;
            }
            positions[name] = std::max(positions[name], reply.revision);
            for (const StoreEntry &entry : reply.entries) {
                if (entry.isDeleted) {
                    states[name].erase(entry.key);
                } else {
                    states[name][entry.key] = entry.value;
                }
            }
        };
        for (int step = 0; step < 60; ++step) {
            world.losses = randomBelow(world.random, 3) * 30;
            world.store.isDown = randomBelow(world.random, 10) == 0;
            const std::string key = "x/" + std::to_string(randomBelow(world.random, 4));
            if (randomBelow(world.random, 3) == 0) {
                const StoreReply known = world.store.memory.get(key);
                world.store.memory.compareAndDelete(key, known.entry.revision);
            } else {
                world.write(key, std::to_string(step));
            }
            follow(hosts[randomBelow(world.random, hosts.size())]);
            if (randomBelow(world.random, 4) == 0) {
                world.views[world.relays[randomBelow(world.random, 2)]]->sendHeartbeat();
            }
        }
        world.losses = 0;
        world.store.isDown = false;
        for (int round = 0; round < 3; ++round) {
            for (const std::string &relay : world.relays) {
                follow(relay);
                world.views[relay]->sendHeartbeat();
            }
            for (const std::string &name : hosts) {
                follow(name);
            }
        }
        std::map<std::string, std::string> wanted;
        for (const StoreEntry &entry : world.store.memory.list("x/").entries) {
            wanted[entry.key] = entry.value;
        }
        for (const std::string &name : hosts) {
            BOOST_TEST((states[name] == wanted), "host " << name << ", seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(aRelayTellsForHowLongItHeardNothing)
{
    // A relay's connection to the store is dead for a while, though the other relay and the rest of its calls are well, and a key is written
    // meanwhile. Whoever takes the time of the notice for that of the writing counts from too late.
    RelayedStore &relay = *views[relays[0]];
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    views[relays[1]]->list("x/");
    store.isDown = true;
    relay.watch("x/", from, 10ms);
    std::this_thread::sleep_for(600ms);
    views[relays[1]]->sendHeartbeat();
    store.isDown = false;
    write("x/a", "1");
    const StoreListReply own = relay.watch("x/", from, 1s);
    const StoreListReply heard = other.watch("x/", from, 1s);
    BOOST_REQUIRE(own.entries.size() == 1U);
    BOOST_REQUIRE(heard.entries.size() == 1U);
    BOOST_TEST((own.silence >= 600ms));
    BOOST_TEST((heard.silence >= 600ms));
    write("x/a", "2");
    BOOST_TEST((relay.watch("x/", own.revision, 1s).silence < 500ms));
    BOOST_TEST((other.watch("x/", heard.revision, 1s).silence < 500ms));
}

BOOST_AUTO_TEST_CASE(aHostWhoseRelaysAreSilentCountsFromTheirLastWord)
{
    RelayedStore &other = *views[others[0]];
    const std::int64_t from = other.list("x/").revision;
    write("x/a", "1");
    const StoreListReply heard = other.watch("x/", from, 3s);
    BOOST_REQUIRE(heard.entries.size() == 1U);
    BOOST_TEST((heard.silence >= 1s));
}

BOOST_AUTO_TEST_SUITE_END()

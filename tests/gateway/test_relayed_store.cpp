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

/// In-memory store that counts calls and can be unreachable.
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

    StoreLeaseReply keepAlive(std::int64_t leaseId) override
    {
        const StoreLeaseReply reply = ForwardingStore::keepAlive(leaseId);
        if (whileRenewing) {
            std::exchange(whileRenewing, nullptr)();
        }
        return reply;
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        ++calls;
        if (whileWatching) {
            std::exchange(whileWatching, nullptr)();
            return memory.watch(prefix, afterRevision, Duration::zero());
        }
        StoreListReply reply = isDown ? StoreListReply{} : memory.watch(prefix, afterRevision, timeout);
        if (afterWatch) {
            std::exchange(afterWatch, nullptr)();
        }
        return reply;
    }

    MemoryStore memory;
    std::atomic<int> calls = 0;
    std::atomic<bool> isDown = false;
    std::function<void()> whileRenewing; ///< Called once, after the store has answered and before the answer is read.
    std::function<void()> whileWatching; ///< Runs once, while a watch is pending, which then ends.
    std::function<void()> afterWatch; ///< Runs once, between the evaluation of a watch and the return of its reply.
};

const std::vector<std::string> hosts{"a", "b", "c", "d", "e"};

/// Within this time all hosts must know that a target leaves.
constexpr Duration leaveLimit = 2s;

/// Hosts whose notices are delivered immediately or are lost.
struct Fixture
{
    Fixture()
    {
        for (const std::string &name : hosts) {
            setUp(name, &BootClock::now);
            (relayedStores[name]->isRelay() ? relays : nonRelays).push_back(name);
        }
        store.memory.compareAndSwap("x/seed", 0, "0", 0);
    }

    void setUp(const std::string &name, RelayedStore::Now now)
    {
        relayedStores[name] = std::make_unique<RelayedStore>(store, name, std::move(now));
        relayedStores[name]->setNetwork({[this, name](const ChangesNotice &notice) { broadcast(name, notice); },
                                         [this, name](const std::string &to, const ProofRequest &request) { answerProofRequest(name, to, request); }});
        relayedStores[name]->setHosts(hosts, hosts);
    }

    void broadcast(const std::string &from, const ChangesNotice &notice)
    {
        ChangesNotice full = notice;
        full.omitted.resize(full.entries.size(), omitsValues);
        for (const std::string &name : hosts) {
            const bool isLost = lossPercent > 0 && randomBelow(random, 100) < lossPercent;
            if (name != from && !isLost) {
                relayedStores[name]->onNotice(full);
            }
        }
    }

    void answerProofRequest(const std::string &from, const std::string &to, const ProofRequest &request)
    {
        if (!ignoresProofRequests) {
            relayedStores[from]->onProofReply({request.id, provenRevision, proofAge});
        }
        static_cast<void>(to);
    }

    std::int64_t write(const std::string &key, const std::string &value)
    {
        const StoreReply current = store.memory.get(key);
        return store.memory.compareAndSwap(key, current.status == StoreStatus::Ok ? current.entry.revision : 0, value, 0).entry.revision;
    }

    CountingStore store;
    std::map<std::string, std::unique_ptr<RelayedStore>> relayedStores;
    std::vector<std::string> relays;
    std::vector<std::string> nonRelays;
    Random random{7};
    std::size_t lossPercent = 0;
    bool omitsValues = false;
    bool ignoresProofRequests = false;
    std::int64_t provenRevision = 0;
    Duration proofAge{};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayedStoreTest, Fixture)

BOOST_AUTO_TEST_CASE(allHostsAgreeOnTwoRelays)
{
    BOOST_TEST(relays.size() == 2U);
}

BOOST_AUTO_TEST_CASE(aChangeReachesOtherHostsWithoutAStoreCallOfTheirs)
{
    RelayedStore &relay = *relayedStores[relays[0]];
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = relay.list("x/").revision;
    const std::int64_t otherFrom = other.list("x/").revision;
    write("x/a", "1");
    const int before = store.calls;
    relay.watch("x/", from, 1s);
    const StoreListReply received = other.watch("x/", otherFrom, 1s);
    BOOST_REQUIRE(received.entries.size() == 1U);
    BOOST_TEST(received.entries[0].value == "1");
    BOOST_TEST(store.calls - before == 1);
}

BOOST_AUTO_TEST_CASE(aValueTooLongForADatagramIsReadFromTheStore)
{
    omitsValues = true;
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = relayedStores[relays[0]]->list("x/").revision;
    other.list("x/");
    write("x/a", "long");
    relayedStores[relays[0]]->watch("x/", from, 1s);
    const StoreListReply received = other.watch("x/", from, 1s);
    BOOST_REQUIRE(received.entries.size() == 1U);
    BOOST_TEST(received.entries[0].value == "long");
}

BOOST_AUTO_TEST_CASE(aLostNoticeIsDetectedByTheNextHeartbeat)
{
    // The datagram with a key's withdrawal is lost. A host that does not detect the loss would accept the key until it is restarted.
    RelayedStore &relay = *relayedStores[relays[0]];
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    lossPercent = 100;
    write("x/a", "1");
    relay.watch("x/", from, 1s);
    lossPercent = 0;
    relay.sendHeartbeat();
    BOOST_TEST((other.watch("x/", from, 1s).status == StoreStatus::NotFound));
    BOOST_TEST(other.list("x/").entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(revisionsWithoutChangesAreNoGaps)
{
    // Writes to keys that no host watches increase the store's revision. If heartbeats that skip these revisions were taken for gaps, each one
    // would make all hosts list their prefixes again: with 88 hosts 5,165 calls in 22 s.
    RelayedStore &relay = *relayedStores[relays[0]];
    RelayedStore &other = *relayedStores[nonRelays[0]];
    std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    for (int i = 0; i < 3; ++i) {
        write("y/other", std::to_string(i));
        write("x/a", std::to_string(i));
        from = relay.watch("x/", from, 1s).revision;
        write("y/other", std::to_string(i));
        from = relay.watch("x/", from, Duration(1)).revision;
        relay.sendHeartbeat();
        const StoreListReply received = other.watch("x/", 0, Duration(1));
        BOOST_TEST((received.status == StoreStatus::Ok));
        BOOST_TEST(received.entries.size() == 1U);
    }
}

// Guards against routing to targets that have left because a watch that was cut is taken for an outage in which their leases expired.
BOOST_AUTO_TEST_CASE(onlyTimeInWhichTheStoreAnsweredNoCallIsAnOutage)
{
    TimePoint now{1h};
    RelayedStore relay(store, "a", [&now] { return now; });
    std::vector<ChangesNotice> broadcasts;
    relay.setNetwork({[&](const ChangesNotice &notice) { broadcasts.push_back(notice); }, {}});
    relay.setHosts({"a"}, {"a"});
    const std::int64_t seed = relay.list("x/").entries.front().revision;
    now += 2'900ms;
    BOOST_TEST((relay.confirm("x/seed", seed).status == StoreStatus::Ok));
    store.isDown = true;
    BOOST_TEST((relay.watch("x/", seed, 1ms).status == StoreStatus::Unavailable));
    store.isDown = false;
    now += 100ms;
    store.memory.compareAndDelete("x/seed", seed);
    const StoreListReply listReply = relay.list("x/");
    BOOST_TEST((listReply.outage == Duration(100ms)));
    BOOST_REQUIRE(broadcasts.size() == 1U);
    BOOST_TEST((broadcasts.back().outage == Duration(100ms)));
    BOOST_TEST((broadcasts.back().silence >= 3s));

    store.isDown = true;
    relay.list("x/");
    now += 5s;
    store.isDown = false;
    relay.confirm("x/seed", seed); // The first call to be answered is that of another duty.
    now += 100ms;
    BOOST_TEST((relay.list("x/").outage >= Duration(5s)));
    BOOST_TEST((broadcasts.back().outage >= Duration(5s)));
    BOOST_TEST((relay.list("x/").outage == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(withoutRelaysAHostWatchesTheStoreItself)
{
    // Both relays lose power. The other hosts must not wait for them with an outdated list of targets.
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = other.list("x/").revision;
    const std::int64_t written = write("x/a", "1");
    const StoreListReply reply = other.watch("x/", from, 3s);
    BOOST_REQUIRE(reply.entries.size() == 1U);
    BOOST_TEST(reply.revision >= written);
}

BOOST_AUTO_TEST_CASE(relaysCutOffFromTheStoreStopSendingHeartbeats)
{
    // Both relays are cut off from the store but not from the other hosts, and each receives the other's heartbeats. If a relay counted these
    // as confirmation, both would send heartbeats until the cut ends: no host would learn of new weights, and all would keep routing to
    // targets that have left. Operators would see engines answer with weights that were replaced long ago.
    TimePoint now = BootClock::now();
    const auto clock = [&now] { return now += std::chrono::microseconds(1); };
    for (const std::string &name : hosts) {
        Store &reached = relayedStores[name]->isRelay() ? static_cast<Store &>(store) : store.memory;
        relayedStores[name] = std::make_unique<RelayedStore>(reached, name, clock);
        relayedStores[name]->setNetwork({[this, name](const ChangesNotice &notice) { broadcast(name, notice); }, {}});
        relayedStores[name]->setHosts(hosts, hosts);
        relayedStores[name]->list("x/");
    }
    RelayedStore &other = *relayedStores[nonRelays[0]];
    store.isDown = true;
    const std::int64_t from = store.memory.list("x/").revision;
    write("x/a", "1");
    const TimePoint cutAt = now;
    constexpr Duration step = 100ms;
    constexpr Duration watchTimeout = 10us; // Each call of the clock advances it, so that watches time out.
    while (other.watch("x/", from, watchTimeout).entries.empty() && now < cutAt + 10s) {
        now += step;
        for (const std::string &relay : relays) {
            relayedStores[relay]->sendHeartbeat();
        }
    }
    BOOST_TEST(toMillis(now - cutAt) < toMillis(leaveLimit));
}

// Guards against relays that vouch for a prefix whose watch the store refuses, as it answers their other calls.
BOOST_AUTO_TEST_CASE(aPrefixWhoseWatchFailsIsReadInTimeBesideOthersThatAreCurrent)
{
    TimePoint now = BootClock::now();
    for (const std::string &name : hosts) {
        setUp(name, [&now] { return now += std::chrono::microseconds(1); });
        relayedStores[name]->list("x/");
        relayedStores[name]->list("y/");
    }
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = store.memory.list("x/").revision;
    write("x/a", "1");
    const TimePoint writtenAt = now;
    while (other.watch("x/", from, 10us).entries.empty() && now < writtenAt + 10s) {
        now += 100ms;
        for (const std::string &relay : relays) {
            store.isDown = true;
            relayedStores[relay]->watch("x/", from, 1us);
            store.isDown = false;
            relayedStores[relay]->watch("y/", from, 1us);
            relayedStores[relay]->sendHeartbeat();
        }
    }
    BOOST_TEST(toMillis(now - writtenAt) < toMillis(leaveLimit));
}

// Guards against hosts that count the silence of the relays from a heartbeat, although the store had answered its sender long before.
BOOST_AUTO_TEST_CASE(aHeartbeatStatesWhenTheStoreLastAnswered)
{
    TimePoint now = BootClock::now();
    RelayedStore relay(store, relays[0], [&now] { return now; });
    std::vector<ChangesNotice> heartbeats;
    relay.setNetwork({[&heartbeats](const ChangesNotice &notice) { heartbeats.push_back(notice); }, {}});
    relay.setHosts(hosts, hosts);
    const std::int64_t from = relay.list("x/").revision;
    const std::int64_t lease = store.memory.grantLease(1h).leaseId;
    store.whileWatching = [&] {
        now += 500ms;
        relay.sendHeartbeat();
        relay.keepAlive(lease);
        relay.sendHeartbeat();
        now += 800ms;
        relay.sendHeartbeat();
        BOOST_TEST((relay.syncedUntil() == now - 800ms));
        now += 200ms;
        relay.sendHeartbeat();
    };
    relay.watch("x/", from, 3s);
    BOOST_REQUIRE(heartbeats.size() == 3U);
    BOOST_TEST((heartbeats[0].age == 500ms));
    BOOST_TEST((heartbeats[1].age == Duration::zero()));
    BOOST_TEST((heartbeats[2].age == 800ms));

    RelayedStore &other = *relayedStores[nonRelays[0]];
    other.list("x/");
    ChangesNotice old{"x/", 0, from, {}, {}, {}};
    old.age = 700ms;
    other.onNotice(old, 300ms);
    BOOST_TEST((BootClock::now() - other.syncedUntil() < 500ms)); // Its own list is newer.
}

// Guards against a host that stood still and takes answers of the store for new that had waited unread in its socket.
BOOST_AUTO_TEST_CASE(anAnswerThatWaitedThroughAPauseIsAsOldAsThePause)
{
    TimePoint now = BootClock::now();
    Duration pause{};
    RelayedStore relay(store, relays[0], [&now] { return now; });
    relay.setPauseSource([&pause] { return pause; });
    std::vector<ChangesNotice> heartbeats;
    relay.setNetwork({[&heartbeats](const ChangesNotice &notice) { heartbeats.push_back(notice); }, {}});
    relay.setHosts(hosts, hosts);
    const std::int64_t from = relay.list("x/").revision;
    const std::int64_t lease = store.memory.grantLease(1h).leaseId;
    const TimePoint listedAt = now;
    store.whileWatching = [&] {
        now += 100ms;
        store.whileRenewing = [&] {
            now += 3s;
            pause = 3s;
        };
        relay.keepAlive(lease);
        BOOST_TEST((relay.syncedUntil() == listedAt + 100ms));
        relay.sendHeartbeat();
        BOOST_TEST(heartbeats.empty());
        pause = {};
    };
    relay.watch("x/", from, 10s);
}

// Guards against a host that takes its list for complete while changes that it has received are not in force yet.
BOOST_AUTO_TEST_CASE(changesThatAreNotInForceYetAreNoPartOfTheList)
{
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t listed = other.list("x/").revision;
    other.onApplied("x/", listed);
    const TimePoint before = other.syncedUntil();
    other.onNotice({"x/", listed, listed + 1, {{"x/a", "1", listed + 1, false}}, {false}, {}});
    BOOST_TEST((other.syncedUntil() == before));
    other.onNotice({"x/", listed + 1, listed + 2, {}, {}, {}});
    BOOST_TEST((other.syncedUntil() == before));
    other.onApplied("x/", listed + 1);
    BOOST_TEST((other.syncedUntil() > before));
}

// Guards against a fleet that learns nothing of its relays between two watches, which last for seconds.
BOOST_AUTO_TEST_CASE(oneRelayProbesTheStoreUnlessItWasAnswered)
{
    TimePoint now = BootClock::now();
    std::map<std::string, std::unique_ptr<RelayedStore>> probed;
    for (const std::string &name : {relays[0], relays[1], nonRelays[0]}) {
        probed[name] = std::make_unique<RelayedStore>(store, name, [&now] { return now; });
        probed[name]->setHosts(hosts, hosts);
        probed[name]->list("x/");
    }
    ChangesNotice heartbeat{"x/", 0, 1, {}, {}, {}};
    heartbeat.age = 100ms;
    for (const std::string &name : relays) {
        probed[name]->onNotice(heartbeat);
    }
    BOOST_TEST(!probed[nonRelays[0]]->probeDelay().has_value());
    const bool isFirst = *probed[relays[0]]->probeDelay() < *probed[relays[1]]->probeDelay();
    RelayedStore &first = *probed[relays[isFirst ? 0 : 1]];
    RelayedStore &second = *probed[relays[isFirst ? 1 : 0]];
    const Duration interval = first.probeDelay().value();
    BOOST_TEST((interval > Duration::zero() && interval < 500ms));
    now += interval;
    BOOST_TEST((first.probeDelay() == Duration::zero()));
    BOOST_TEST((second.probeDelay() > Duration::zero()));
    now += 500ms;
    BOOST_TEST((second.probeDelay() < Duration::zero())); // It has heard nothing of the first one since.
    heartbeat.age = 0ms;
    second.onNotice(heartbeat);
    BOOST_TEST((second.probeDelay() > Duration::zero()));
    first.get("x/seed");
    BOOST_TEST((first.probeDelay() == interval));
}

BOOST_AUTO_TEST_CASE(changesInAWatchReplyAreNotReturnedAgain)
{
    // A host calls the store itself, and before the reply arrives a relay comes back and broadcasts the same change. If the change were
    // returned after the reply, which also contains the removal of the target, the target would be added again.
    RelayedStore &relay = *relayedStores[relays[0]];
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    other.setHosts({}, {}); // Makes the host call the store itself.
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

BOOST_AUTO_TEST_CASE(aProofHasTheAgeThatTheRelayReports)
{
    // A relay passes on a proof that it obtained earlier. If its age were counted from the reply, a key would keep working that much longer
    // after its withdrawal.
    const std::int64_t revision = write("x/config", "1");
    provenRevision = revision;
    proofAge = 700ms;
    const int before = store.calls;
    const StoreReply reply = relayedStores[nonRelays[0]]->confirm("x/config", revision);
    BOOST_TEST((reply.status == StoreStatus::Ok && reply.age == 700ms));
    BOOST_TEST(store.calls == before);
    provenRevision = revision + 1;
    BOOST_TEST((relayedStores[nonRelays[0]]->confirm("x/config", revision).status == StoreStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(anOldOrMissingProofIsReplacedByAStoreCall)
{
    const std::int64_t revision = write("x/config", "1");
    provenRevision = revision;
    proofAge = 10s;
    const int before = store.calls;
    BOOST_TEST((relayedStores[nonRelays[0]]->confirm("x/config", revision).age == Duration::zero()));
    ignoresProofRequests = true;
    BOOST_TEST((relayedStores[nonRelays[0]]->confirm("x/config", revision).status == StoreStatus::Ok));
    provenRevision = revision - 1; // A relay that is behind cannot prove the revision.
    ignoresProofRequests = false;
    proofAge = {};
    BOOST_TEST((relayedStores[nonRelays[0]]->confirm("x/config", revision).age == Duration::zero()));
    BOOST_TEST(store.calls - before == 3);
    store.isDown = true;
    BOOST_TEST((relayedStores[nonRelays[0]]->confirm("x/config", revision).status == StoreStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(allHostsConvergeToTheStoresStateDespiteLosses)
{
    // Notices are lost at random while keys are written and deleted, relays are silent and the store is unreachable at times. A host that
    // applied changes out of order or missed one would route to a target that has left.
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        Fixture fixture;
        fixture.random.seed(seed);
        std::map<std::string, std::map<std::string, std::string>> states;
        std::map<std::string, std::int64_t> revisions;
        const auto follow = [&](const std::string &name) {
            RelayedStore &relayedStore = *fixture.relayedStores[name];
            if (revisions[name] == 0) {
                const StoreListReply all = relayedStore.list("x/");
                if (all.status != StoreStatus::Ok) {
                    return;
                }
                states[name].clear();
                for (const StoreEntry &entry : all.entries) {
                    states[name][entry.key] = entry.value;
                }
                revisions[name] = all.revision;
                return;
            }
            const StoreListReply reply = relayedStore.watch("x/", revisions[name], Duration(1));
            if (reply.status != StoreStatus::Ok) {
                revisions[name] = 0;
                return;
            }
            revisions[name] = std::max(revisions[name], reply.revision);
            for (const StoreEntry &entry : reply.entries) {
                if (entry.isDeleted) {
                    states[name].erase(entry.key);
                } else {
                    states[name][entry.key] = entry.value;
                }
            }
        };
        for (int step = 0; step < 60; ++step) {
            fixture.lossPercent = randomBelow(fixture.random, 3) * 30;
            fixture.store.isDown = randomBelow(fixture.random, 10) == 0;
            const std::string key = "x/" + std::to_string(randomBelow(fixture.random, 4));
            if (randomBelow(fixture.random, 3) == 0) {
                const StoreReply current = fixture.store.memory.get(key);
                fixture.store.memory.compareAndDelete(key, current.entry.revision);
            } else {
                fixture.write(key, std::to_string(step));
            }
            follow(hosts[randomBelow(fixture.random, hosts.size())]);
            if (randomBelow(fixture.random, 4) == 0) {
                fixture.relayedStores[fixture.relays[randomBelow(fixture.random, 2)]]->sendHeartbeat();
            }
        }
        fixture.lossPercent = 0;
        fixture.store.isDown = false;
        for (int round = 0; round < 3; ++round) {
            for (const std::string &relay : fixture.relays) {
                follow(relay);
                fixture.relayedStores[relay]->sendHeartbeat();
            }
            for (const std::string &name : hosts) {
                follow(name);
            }
        }
        std::map<std::string, std::string> expected;
        for (const StoreEntry &entry : fixture.store.memory.list("x/").entries) {
            expected[entry.key] = entry.value;
        }
        for (const std::string &name : hosts) {
            BOOST_TEST((states[name] == expected), "host " << name << ", seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(aRelayReportsItsSilenceWithANotice)
{
    // A relay's watch connection to the store is dead for a while, although the other relay and its own other calls work, and a key is
    // written meanwhile. A host that takes the arrival of the notice for the time of the write starts its deadlines too late.
    RelayedStore &relay = *relayedStores[relays[0]];
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = relay.list("x/").revision;
    other.list("x/");
    relayedStores[relays[1]]->list("x/");
    store.isDown = true;
    relay.watch("x/", from, 10ms);
    std::this_thread::sleep_for(600ms);
    relayedStores[relays[1]]->sendHeartbeat();
    store.isDown = false;
    write("x/a", "1");
    const StoreListReply own = relay.watch("x/", from, 1s);
    const StoreListReply received = other.watch("x/", from, 1s);
    BOOST_REQUIRE(own.entries.size() == 1U);
    BOOST_REQUIRE(received.entries.size() == 1U);
    BOOST_TEST((own.silence >= 600ms));
    BOOST_TEST((received.silence >= 600ms));
    write("x/a", "2");
    BOOST_TEST((relay.watch("x/", own.revision, 1s).silence < 500ms));
    BOOST_TEST((other.watch("x/", received.revision, 1s).silence < 500ms));
}

BOOST_AUTO_TEST_CASE(withSilentRelaysSilenceCountsFromTheirLastMessage)
{
    RelayedStore &other = *relayedStores[nonRelays[0]];
    const std::int64_t from = other.list("x/").revision;
    write("x/a", "1");
    const StoreListReply received = other.watch("x/", from, 3s);
    BOOST_REQUIRE(received.entries.size() == 1U);
    BOOST_TEST((received.silence >= 1s));
}

BOOST_AUTO_TEST_SUITE_END()

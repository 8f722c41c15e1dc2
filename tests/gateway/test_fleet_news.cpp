#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include <boost/test/unit_test.hpp>

#include "coordination/broadcast_plan.h"
#include "coordination/forwarding_store.h"
#include "coordination/memory_store.h"
#include "core/random.h"
#include "gateway/relayed_store.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view prefix = "x/";
constexpr Duration step = 10ms;

/// Simulated fleet whose hosts follow one prefix, in virtual time. Broadcasts go through forwarders; datagrams take one or two milliseconds
/// and may be lost.
class Fleet
{
public:
    Fleet(std::size_t size, std::uint64_t seed)
        : random_(seed)
        , memory_([this] { return now; })
    {
        write("x/seed", "0");
        for (std::size_t i = 0; i < size; ++i) {
            names_.push_back("host-" + std::to_string(i));
        }
        for (const std::string &name : names_) {
            auto &host = hosts_[name] = std::make_unique<Host>(*this, name);
            host->relayedStore.setNetwork({[this, name](const ChangesNotice &notice) { broadcast(name, notice); },
                                           {},
                                           [this, name](const std::string &to, const ChangesRequest &request) { sendChangesRequest(name, to, request); }});
            host->relayedStore.setHosts(names_, names_);
            if (host->relayedStore.isRelay()) {
                relays.push_back(name);
            }
            follow(*host);
        }
        storeCalls = 0;
        listCalls = 0;
    }

    void write(const std::string &key, const std::string &value)
    {
        const StoreReply current = memory_.get(key);
        lastWrittenRevision_ = memory_.compareAndSwap(key, current.status == StoreStatus::Ok ? current.entry.revision : 0, value, 0).entry.revision;
    }

    void remove(const std::string &key)
    {
        memory_.compareAndDelete(key, memory_.get(key).entry.revision);
    }

    bool allHostsHaveKey(const std::string &key) const
    {
        return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto &host) { return host.second->keys.contains(key); });
    }

    bool anyHostHasKey(const std::string &key) const
    {
        return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto &host) { return host.second->keys.contains(key); });
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            deliver();
            const bool isHeartbeatDue = toMillis(now - TimePoint{}) % 400 < toMillis(step);
            for (std::size_t i = 0; i < names_.size(); ++i) {
                Host &host = *hosts_.at(names_[i]);
                if (deadHosts.contains(names_[i])) {
                    continue;
                }
                if (isHeartbeatDue && host.relayedStore.isRelay()) {
                    host.relayedStore.sendHeartbeat();
                }
                follow(host);
            }
        }
    }

    /// Number of live hosts that have received all writes.
    std::size_t upToDateCount() const
    {
        return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [this](const auto &host) {
            return !deadHosts.contains(host.first) && host.second->lastChangeRevision >= lastWrittenRevision_;
        }));
    }

    std::size_t liveCount() const
    {
        return hosts_.size() - deadHosts.size();
    }

    TimePoint now{1h};
    std::set<std::string> deadHosts;
    std::set<std::string> hostsCutFromStore;
    std::size_t lossPercent = 0;
    bool isHistoryCompacted = false; ///< Watches fail with NotFound, as if the store had compacted its history.
    int storeCalls = 0; ///< Lists and watches of all hosts except the relays.
    int listCalls = 0; ///< Lists of all hosts, relays included.
    std::vector<std::string> relays;

private:
    class HostStore final : public ForwardingStore
    {
    public:
        HostStore(Fleet &fleet, std::string name)
            : ForwardingStore(fleet.memory_)
            , fleet_(fleet)
            , name_(std::move(name))
        {
        }

        StoreListReply list(std::string_view listed) override
        {
            ++fleet_.listCalls;
            return countCallAndCheckAccess() ? ForwardingStore::list(listed) : StoreListReply{};
        }

        StoreListReply watch(std::string_view watched, std::int64_t after, Duration timeout) override
        {
            if (!countCallAndCheckAccess()) {
                return {};
            }
            return fleet_.isHistoryCompacted ? StoreListReply{StoreStatus::NotFound, {}, 0} : ForwardingStore::watch(watched, after, timeout);
        }

    private:
        bool countCallAndCheckAccess()
        {
            // Calls of relays are not counted: their watches would wait at the store, but here they return and are repeated at each step.
            fleet_.storeCalls += std::find(fleet_.relays.begin(), fleet_.relays.end(), name_) == fleet_.relays.end() ? 1 : 0;
            return !fleet_.hostsCutFromStore.contains(name_);
        }

        Fleet &fleet_;
        std::string name_;
    };

    struct Host
    {
        Host(Fleet &fleet, const std::string &name)
            : store(fleet, name)
            , relayedStore(store, name, [&fleet] { return fleet.now; })
        {
        }

        HostStore store;
        RelayedStore relayedStore;
        std::int64_t revision = 0;
        std::int64_t lastChangeRevision = 0; ///< Of the changes received.
        std::set<std::string> keys;
    };

    struct Datagram
    {
        TimePoint deliveryTime;
        std::uint64_t sequence = 0;
        std::function<void()> handler;

        bool operator<(const Datagram &other) const
        {
            return std::tie(other.deliveryTime, other.sequence) < std::tie(deliveryTime, sequence);
        }
    };

    void follow(Host &host)
    {
        if (host.revision == 0) {
            const StoreListReply all = host.relayedStore.list(prefix);
            if (all.status != StoreStatus::Ok) {
                return;
            }
            host.revision = all.revision;
            host.lastChangeRevision = all.revision;
            host.keys.clear();
            for (const StoreEntry &entry : all.entries) {
                host.keys.insert(entry.key);
            }
            return;
        }
        const StoreListReply reply = host.relayedStore.watch(prefix, host.revision, Duration::zero());
        if (reply.status != StoreStatus::Ok) {
            host.revision = 0;
            return;
        }
        host.revision = std::max(host.revision, reply.revision);
        for (const StoreEntry &entry : reply.entries) {
            BOOST_REQUIRE(entry.revision >= host.lastChangeRevision);
            host.lastChangeRevision = entry.revision;
            if (entry.isDeleted) {
                host.keys.erase(entry.key);
            } else {
                host.keys.insert(entry.key);
            }
        }
    }

    void send(const std::string &to, std::function<void()> handler)
    {
        if (randomBelow(random_, 100) >= lossPercent) {
            const Duration delay = std::chrono::milliseconds(1 + randomBelow(random_, 2));
            inFlight_.push({now + delay, ++sentCount_, [this, to, handler = std::move(handler)] {
                                if (!deadHosts.contains(to)) {
                                    handler();
                                }
                            }});
        }
    }

    void deliver()
    {
        while (!inFlight_.empty() && inFlight_.top().deliveryTime <= now) {
            const auto handler = inFlight_.top().handler;
            inFlight_.pop();
            handler();
        }
    }

    void broadcast(const std::string &from, const ChangesNotice &notice)
    {
        std::vector<std::string> others = names_;
        std::erase(others, from);
        std::vector<std::size_t> dataCentres;
        for (std::size_t i = 0; i < others.size(); ++i) {
            dataCentres.push_back(i % 5);
        }
        for (const BroadcastBranch &branch : planBroadcast(dataCentres, random_)) {
            std::vector<std::string> receivers;
            for (const std::size_t receiver : branch.receivers) {
                receivers.push_back(others[receiver]);
            }
            const std::string &forwarder = others[branch.forwarder];
            send(forwarder, [this, notice, forwarder, receivers] {
                hosts_.at(forwarder)->relayedStore.onNotice(notice);
                for (const std::string &receiver : receivers) {
                    send(receiver, [this, receiver, notice] { hosts_.at(receiver)->relayedStore.onNotice(notice); });
                }
            });
        }
    }

    void sendChangesRequest(const std::string &from, const std::string &to, const ChangesRequest &request)
    {
        send(to, [this, from, to, request] {
            if (auto reply = hosts_.at(to)->relayedStore.changesFor(request)) {
                send(from, [this, from, reply = std::move(*reply)] { hosts_.at(from)->relayedStore.onChangesReply(reply); });
            }
        });
    }

    Random random_;
    MemoryStore memory_;
    std::vector<std::string> names_;
    std::map<std::string, std::unique_ptr<Host>> hosts_;
    std::priority_queue<Datagram> inFlight_;
    std::uint64_t sentCount_ = 0;
    std::int64_t lastWrittenRevision_ = 0;
};

constexpr std::size_t fleetSizes[] = {9, 80, 295, 1'000};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetNewsTest)

BOOST_AUTO_TEST_CASE(withoutFaultsOnlyRelaysCallTheStore)
{
    for (const std::size_t size : fleetSizes) {
        Fleet fleet(size, 1);
        for (int i = 0; i < 20; ++i) {
            fleet.write("x/a", std::to_string(i));
            fleet.run(100ms);
            BOOST_TEST(fleet.upToDateCount() == size);
        }
        BOOST_TEST(fleet.storeCalls == 0);
    }
}

BOOST_AUTO_TEST_CASE(changesInLostDatagramsAreReceivedFromOtherHosts)
{
    // Guards against a list call by each host that missed a datagram.
    for (const std::size_t size : {80U, 295U}) {
        Fleet fleet(size, 2);
        fleet.lossPercent = 10;
        for (int i = 0; i < 20; ++i) {
            fleet.write("x/a", std::to_string(i));
            fleet.run(200ms);
        }
        fleet.lossPercent = 0;
        fleet.run(1s);
        BOOST_TEST(fleet.upToDateCount() == size);
        BOOST_TEST(fleet.listCalls == 0);
        BOOST_TEST(fleet.storeCalls < 10);
    }
}

BOOST_AUTO_TEST_CASE(theLossOfBothRelaysCausesNoThunderingHerd)
{
    // Guards against hundreds of hosts that call the store at the moment when both relays fail.
    for (const std::size_t size : fleetSizes) {
        Fleet fleet(size, 3);
        fleet.run(1s);
        fleet.deadHosts.insert(fleet.relays.begin(), fleet.relays.end());
        fleet.run(1s);
        fleet.write("x/a", "1");
        fleet.run(2500ms);
        BOOST_TEST(fleet.upToDateCount() == fleet.liveCount());
        // At most 16 ranked hosts watch the store. Here they call at each step, because a pending watch cannot be told from an answered one.
        BOOST_TEST(fleet.listCalls == 0);
        const int perStep = 16 * static_cast<int>(3500ms / step);
        BOOST_TEST(fleet.storeCalls < perStep + static_cast<int>(size));
    }
}

// Guards against requests to targets that have left because hosts believe relays that the store turns away or that are cut off from it.
BOOST_AUTO_TEST_CASE(hostsKnowAChangeInTimeThoughBothRelaysHaveLostTheStore)
{
    constexpr Duration leaveLimit = 2s;
    for (const std::size_t size : {9U, 90U, 295U}) {
        for (std::uint64_t seed = 0; seed < 8; ++seed) {
            Fleet fleet(size, seed);
            fleet.lossPercent = seed % 2 * 5;
            fleet.run(1s + seed * 50ms);
            fleet.hostsCutFromStore.insert(fleet.relays.begin(), fleet.relays.end());
            fleet.run(seed % 3 * 200ms);
            fleet.write("x/a", "1");
            fleet.run(leaveLimit);
            BOOST_TEST(fleet.upToDateCount() >= size - fleet.relays.size(), "hosts " << size << ", seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(hostsCutOffFromTheStoreReceiveChangesFromOtherHosts)
{
    // Guards against hosts that accept withdrawn keys, or refuse all requests, because the store answers only other hosts.
    Fleet fleet(295, 4);
    for (std::size_t i = 0; i < 100; ++i) {
        fleet.hostsCutFromStore.insert("host-" + std::to_string(i));
    }
    for (const std::string &relay : fleet.relays) {
        fleet.hostsCutFromStore.erase(relay);
    }
    for (int i = 0; i < 10; ++i) {
        fleet.write("x/a", std::to_string(i));
        fleet.run(500ms);
        BOOST_TEST(fleet.upToDateCount() == fleet.liveCount());
    }
    BOOST_TEST(fleet.storeCalls < 30);
}

BOOST_AUTO_TEST_CASE(aStoreThatCompactsItsHistoryIsListedByTheRelaysOnly)
{
    // Guards against a list call by each host when the store compacts its history while keys are changed and deleted.
    Fleet fleet(295, 6);
    for (int i = 0; i < 5; ++i) {
        fleet.write("x/a", std::to_string(i));
        fleet.write("x/b", std::to_string(i));
        fleet.run(200ms);
        fleet.isHistoryCompacted = true;
        fleet.write("x/c" + std::to_string(i), "1");
        fleet.remove("x/b");
        fleet.run(100ms);
        fleet.isHistoryCompacted = false;
        fleet.run(1s);
        BOOST_TEST(fleet.upToDateCount() == 295U);
    }
    BOOST_TEST(fleet.storeCalls == 0);
    BOOST_TEST(fleet.allHostsHaveKey("x/c4"));
    BOOST_TEST(!fleet.anyHostHasKey("x/b"));
}

BOOST_AUTO_TEST_CASE(callsToAnUnreachableStoreAreLimited)
{
    // Guards against hundreds of hosts that repeatedly call a store that is down.
    Fleet fleet(295, 7);
    fleet.run(1s);
    for (std::size_t i = 0; i < 295; ++i) {
        fleet.hostsCutFromStore.insert("host-" + std::to_string(i));
    }
    fleet.run(8s);
    BOOST_TEST(fleet.storeCalls < 8 * 295);
    fleet.write("x/a", "1");
    fleet.hostsCutFromStore.clear();
    fleet.run(2500ms);
    BOOST_TEST(fleet.upToDateCount() == 295U);
}

BOOST_AUTO_TEST_CASE(theFleetConvergesWithHalfOfItsHostsDead)
{
    Fleet fleet(295, 5);
    for (std::size_t i = 0; i < 148; ++i) {
        fleet.deadHosts.insert("host-" + std::to_string(2 * i));
    }
    for (int i = 0; i < 10; ++i) {
        fleet.write("x/a", std::to_string(i));
        fleet.run(500ms);
    }
    fleet.run(2500ms);
    BOOST_TEST(fleet.upToDateCount() == fleet.liveCount());
}

BOOST_AUTO_TEST_CASE(allHostsConvergeAfterRandomLossesFailuresAndCuts)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Random random(seed);
        Fleet fleet(40, seed);
        for (int i = 0; i < 30; ++i) {
            const std::string name = "host-" + std::to_string(randomBelow(random, 40));
            auto &group = randomBelow(random, 2) == 0 ? fleet.deadHosts : fleet.hostsCutFromStore;
            if (group.erase(name) == 0) {
                group.insert(name);
            }
            fleet.lossPercent = randomBelow(random, 3) * 20;
            fleet.write("x/" + std::to_string(randomBelow(random, 5)), std::to_string(i));
            fleet.run(std::chrono::milliseconds(randomBelow(random, 800)));
        }
        fleet.deadHosts.clear();
        fleet.hostsCutFromStore.clear();
        fleet.lossPercent = 0;
        fleet.run(4s);
        BOOST_TEST(fleet.upToDateCount() == 40U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

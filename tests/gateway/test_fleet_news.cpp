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

/// A fleet whose hosts follow one prefix, in virtual time. Broadcasts go by forwarders; datagrams take a millisecond or two and may be lost.
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
            host->view.setNetwork({[this, name](const ChangesNotice &notice) { broadcast(name, notice); },
                                   {},
                                   [this, name](const std::string &to, const ChangesRequest &request) { ask(name, to, request); }});
            host->view.setHosts(names_, names_);
            if (host->view.isRelay()) {
                relays.push_back(name);
            }
            follow(*host);
        }
        calls = 0;
        lists = 0;
    }

    void write(const std::string &key, const std::string &value)
    {
        const StoreReply known = memory_.get(key);
        written_ = memory_.compareAndSwap(key, known.status == StoreStatus::Ok ? known.entry.revision : 0, value, 0).entry.revision;
    }

    void remove(const std::string &key)
    {
        memory_.compareAndDelete(key, memory_.get(key).entry.revision);
    }

    bool holdsOnAll(const std::string &key) const
    {
        return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto &host) { return host.second->keys.contains(key); });
    }

    bool holdsOnAny(const std::string &key) const
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
                if (dead.contains(names_[i])) {
                    continue;
                }
                if (isHeartbeatDue && host.view.isRelay()) {
                    host.view.sendHeartbeat();
                }
                follow(host);
            }
        }
    }

    /// How many of the hosts that live know all that was written.
    std::size_t current() const
    {
        return static_cast<std::size_t>(
            std::count_if(hosts_.begin(), hosts_.end(), [this](const auto &host) { return !dead.contains(host.first) && host.second->newest >= written_; }));
    }

    std::size_t living() const
    {
        return hosts_.size() - dead.size();
    }

    TimePoint now{1h};
    std::set<std::string> dead;
    std::set<std::string> cutFromStore;
    std::size_t lossPercent = 0;
    bool forgetsHistory = false; ///< Each watch has to begin with a list.
    int calls = 0; ///< To the store.
    int lists = 0; ///< Of them.
    std::vector<std::string> relays;

private:
    class Door final : public ForwardingStore
    {
    public:
        Door(Fleet &fleet, std::string name)
            : ForwardingStore(fleet.memory_)
            , fleet_(fleet)
            , name_(std::move(name))
        {
        }

        StoreListReply list(std::string_view listed) override
        {
            ++fleet_.lists;
            return isOpen() ? ForwardingStore::list(listed) : StoreListReply{};
        }

        StoreListReply watch(std::string_view watched, std::int64_t after, Duration timeout) override
        {
            if (!isOpen()) {
                return {};
            }
            return fleet_.forgetsHistory ? StoreListReply{StoreStatus::NotFound, {}, 0} : ForwardingStore::watch(watched, after, timeout);
        }

    private:
        bool isOpen()
        {
            // A relay's watches wait at the store; here they are asked again and again.
            fleet_.calls += std::find(fleet_.relays.begin(), fleet_.relays.end(), name_) == fleet_.relays.end() ? 1 : 0;
            return !fleet_.cutFromStore.contains(name_);
        }

        Fleet &fleet_;
        std::string name_;
    };

    struct Host
    {
        Host(Fleet &fleet, const std::string &name)
            : door(fleet, name)
            , view(door, name, [&fleet] { return fleet.now; })
        {
        }

        Door door;
        RelayedStore view;
        std::int64_t position = 0;
        std::int64_t newest = 0; ///< Of the changes taken.
        std::set<std::string> keys;
    };

    struct Datagram
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> take;

        bool operator<(const Datagram &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void follow(Host &host)
    {
        if (host.position == 0) {
            const StoreListReply all = host.view.list(prefix);
            if (all.status != StoreStatus::Ok) {
                return;
            }
            host.position = all.revision;
            host.newest = all.revision;
            host.keys.clear();
            for (const StoreEntry &entry : all.entries) {
                host.keys.insert(entry.key);
            }
            return;
        }
        const StoreListReply reply = host.view.watch(prefix, host.position, Duration::zero());
        if (reply.status != StoreStatus::Ok) {
            host.position = 0;
            return;
        }
        host.position = std::max(host.position, reply.revision);
        for (const StoreEntry &entry : reply.entries) {
            BOOST_REQUIRE(entry.revision >= host.newest);
            host.newest = entry.revision;
            if (entry.isDeleted) {
                host.keys.erase(entry.key);
            } else {
                host.keys.insert(entry.key);
            }
        }
    }

    void send(const std::string &to, std::function<void()> take)
    {
        if (randomBelow(random_, 100) >= lossPercent) {
            const Duration delay = std::chrono::milliseconds(1 + randomBelow(random_, 2));
            underway_.push({now + delay, ++sent_, [this, to, take = std::move(take)] {
                                if (!dead.contains(to)) {
                                    take();
                                }
                            }});
        }
    }

    void deliver()
    {
        while (!underway_.empty() && underway_.top().at <= now) {
            const auto take = underway_.top().take;
            underway_.pop();
            take();
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
                hosts_.at(forwarder)->view.onNotice(notice);
                for (const std::string &receiver : receivers) {
                    send(receiver, [this, receiver, notice] { hosts_.at(receiver)->view.onNotice(notice); });
                }
            });
        }
    }

    void ask(const std::string &from, const std::string &to, const ChangesRequest &request)
    {
        send(to, [this, from, to, request] {
            if (auto reply = hosts_.at(to)->view.changesFor(request)) {
                send(from, [this, from, reply = std::move(*reply)] { hosts_.at(from)->view.onChangesReply(reply); });
            }
        });
    }

    Random random_;
    MemoryStore memory_;
    std::vector<std::string> names_;
    std::map<std::string, std::unique_ptr<Host>> hosts_;
    std::priority_queue<Datagram> underway_;
    std::uint64_t sent_ = 0;
    std::int64_t written_ = 0;
};

constexpr std::size_t fleetSizes[] = {9, 80, 295, 1'000};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetNewsTest)

BOOST_AUTO_TEST_CASE(onACalmDayNobodyButTheRelaysAsksTheStore)
{
    for (const std::size_t size : fleetSizes) {
        Fleet fleet(size, 1);
        for (int i = 0; i < 20; ++i) {
            fleet.write("x/a", std::to_string(i));
            fleet.run(100ms);
            BOOST_TEST(fleet.current() == size);
        }
        BOOST_TEST(fleet.calls == 0);
    }
}

BOOST_AUTO_TEST_CASE(lostDatagramsAreMadeUpForByOtherHosts)
{
    // Guards against a read of the whole list by each host that missed a datagram.
    for (const std::size_t size : {80U, 295U}) {
        Fleet fleet(size, 2);
        fleet.lossPercent = 10;
        for (int i = 0; i < 20; ++i) {
            fleet.write("x/a", std::to_string(i));
            fleet.run(200ms);
        }
        fleet.lossPercent = 0;
        fleet.run(1s);
        BOOST_TEST(fleet.current() == size);
        BOOST_TEST(fleet.lists == 0);
        BOOST_TEST(fleet.calls < 10);
    }
}

BOOST_AUTO_TEST_CASE(aFleetThatLosesItsRelaysDoesNotStampede)
{
    // Guards against hundreds of hosts that ask the store at the moment at which two others die.
    for (const std::size_t size : fleetSizes) {
        Fleet fleet(size, 3);
        fleet.run(1s);
        fleet.dead.insert(fleet.relays.begin(), fleet.relays.end());
        fleet.run(1s);
        fleet.write("x/a", "1");
        fleet.run(2500ms);
        BOOST_TEST(fleet.current() == fleet.living());
        // Sixteen at most ask again and again, here at each step, as a waiting watch can't be told from an answered one.
        BOOST_TEST(fleet.lists == 0);
        const int perStep = 16 * static_cast<int>(3500ms / step);
        BOOST_TEST(fleet.calls < perStep + static_cast<int>(size));
    }
}

BOOST_AUTO_TEST_CASE(hostsThatTheStoreTurnsAwayHearFromThoseItServes)
{
    // Guards against hosts that serve withdrawn keys, or nobody, as the store answers others only.
    Fleet fleet(295, 4);
    for (std::size_t i = 0; i < 100; ++i) {
        fleet.cutFromStore.insert("host-" + std::to_string(i));
    }
    for (const std::string &relay : fleet.relays) {
        fleet.cutFromStore.erase(relay);
    }
    for (int i = 0; i < 10; ++i) {
        fleet.write("x/a", std::to_string(i));
        fleet.run(500ms);
        BOOST_TEST(fleet.current() == fleet.living());
    }
    BOOST_TEST(fleet.calls < 30);
}

BOOST_AUTO_TEST_CASE(aStoreThatForgetsItsHistoryIsReadByTheRelaysOnly)
{
    // Guards against a read of the whole list by each host when the store forgets its history while keys change and go.
    Fleet fleet(295, 6);
    for (int i = 0; i < 5; ++i) {
        fleet.write("x/a", std::to_string(i));
        fleet.write("x/b", std::to_string(i));
        fleet.run(200ms);
        fleet.forgetsHistory = true;
        fleet.write("x/c" + std::to_string(i), "1");
        fleet.remove("x/b");
        fleet.run(100ms);
        fleet.forgetsHistory = false;
        fleet.run(1s);
        BOOST_TEST(fleet.current() == 295U);
    }
    BOOST_TEST(fleet.calls == 0);
    BOOST_TEST(fleet.holdsOnAll("x/c4"));
    BOOST_TEST(!fleet.holdsOnAny("x/b"));
}

BOOST_AUTO_TEST_CASE(aStoreThatIsAwayIsNotBesieged)
{
    // Guards against hundreds of hosts that call a store that is down again and again.
    Fleet fleet(295, 7);
    fleet.run(1s);
    for (std::size_t i = 0; i < 295; ++i) {
        fleet.cutFromStore.insert("host-" + std::to_string(i));
    }
    fleet.run(8s);
    BOOST_TEST(fleet.calls < 8 * 295);
    fleet.write("x/a", "1");
    fleet.cutFromStore.clear();
    fleet.run(2500ms);
    BOOST_TEST(fleet.current() == 295U);
}

BOOST_AUTO_TEST_CASE(halfOfTheFleetMayBeDead)
{
    Fleet fleet(295, 5);
    for (std::size_t i = 0; i < 148; ++i) {
        fleet.dead.insert("host-" + std::to_string(2 * i));
    }
    for (int i = 0; i < 10; ++i) {
        fleet.write("x/a", std::to_string(i));
        fleet.run(500ms);
    }
    fleet.run(2500ms);
    BOOST_TEST(fleet.current() == fleet.living());
}

BOOST_AUTO_TEST_CASE(randomLossesDeathsAndCutsEndWithAllHostsCurrent)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Random random(seed);
        Fleet fleet(40, seed);
        for (int i = 0; i < 30; ++i) {
            const std::string name = "host-" + std::to_string(randomBelow(random, 40));
            auto &group = randomBelow(random, 2) == 0 ? fleet.dead : fleet.cutFromStore;
            if (group.erase(name) == 0) {
                group.insert(name);
            }
            fleet.lossPercent = randomBelow(random, 3) * 20;
            fleet.write("x/" + std::to_string(randomBelow(random, 5)), std::to_string(i));
            fleet.run(std::chrono::milliseconds(randomBelow(random, 800)));
        }
        fleet.dead.clear();
        fleet.cutFromStore.clear();
        fleet.lossPercent = 0;
        fleet.run(4s);
        BOOST_TEST(fleet.current() == 40U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE rollout_model
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/rollout_grants.h"
#include "coordination/rollout_leader.h"
#include "core/random.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration stepTime = 50ms;
constexpr Duration grantTime = 750ms;
constexpr Duration leaseTime = 3s;
constexpr Duration proofWindow = 3s; ///< A host that has not heard from the store for so long serves nothing.
constexpr Duration listedTime = 6s; ///< A host that has not heard from the store for so long leaves the list.
constexpr Duration longestRequest = 4s;

struct Model
{
    struct Order
    {
        RolloutOrder order;
        std::int64_t revision = 0;
        bool isBad = false;
        TimePoint givenAt;
        Duration decidedAfter{};
    };

    struct Write
    {
        TimePoint at;
        std::int64_t expected = 0; ///< Position that the store must hold.
        RolloutRecord record;
        std::size_t writer = 0;
        std::uint64_t process = 0;
        int term = 0;
    };

    struct Grant
    {
        TimePoint at;
        std::size_t host = 0;
        std::uint64_t process = 0;
        RolloutGrant grant;
    };

    struct Host
    {
        std::uint64_t process = 0;
        TimePoint pausedUntil;
        TimePoint cutUntil; ///< From the store and from all other hosts.
        TimePoint lastContact; ///< With the store.
        bool isStarting = true; ///< It has not read the store yet.
        std::optional<RolloutRecord> record;
        std::optional<Order> order;
        RolloutGrants grants;
        RolloutLeader leader{proofWindow + longestRequest};
        std::string serving = "v0"; ///< Version that serves, apart from a switch.
        std::vector<std::pair<TimePoint, std::string>> requests; ///< When each ends, and the version of its target.
        TimePoint nextReport;
        TimePoint leaseUntil;
        std::size_t requestEvery = 1; ///< Steps from one request to the next, on average.
    };

    explicit Model(std::uint64_t seed)
        : random(seed)
        , hosts(3 + randomBelow(random, 7))
    {
        for (Host &host : hosts) {
            start(host);
        }
    }

    void start(Host &host)
    {
        host = Host();
        host.process = ++processes;
        host.requestEvery = 1 + randomBelow(random, 40);
        host.isStarting = true;
    }

    bool chance(std::size_t parts)
    {
        return randomBelow(random, parts) == 0;
    }

    bool isUp(const Host &host) const
    {
        return now >= host.pausedUntil;
    }

    bool isConnected(const Host &host) const
    {
        return isUp(host) && now >= host.cutUntil;
    }

    void disturb()
    {
        if (chance(60)) {
            Host &host = hosts[randomBelow(random, hosts.size())];
            host.pausedUntil = now + randomUpTo(random, 8s);
        }
        if (chance(60)) {
            hosts[randomBelow(random, hosts.size())].cutUntil = now + randomUpTo(random, 6s);
        }
        if (chance(80)) {
            start(hosts[randomBelow(random, hosts.size())]);
        }
        if (chance(400)) {
            for (Host &host : hosts) {
                start(host);
            }
        }
        if (chance(100)) {
            storeAwayUntil = now + randomUpTo(random, 4s);
        }
        if (chance(200)) {
            const bool isWithdrawn = order && chance(3);
            order = isWithdrawn ? std::nullopt : std::optional(makeOrder());
        }
    }

    Order makeOrder()
    {
        Order made;
        made.revision = ++revision;
        made.order = {"s", "v" + std::to_string(made.revision), 12s};
        made.isBad = chance(2);
        made.givenAt = now;
        made.decidedAfter = randomUpTo(random, 5s);
        return made;
    }

    void readStore(Host &host)
    {
        if (!isConnected(host) || now < storeAwayUntil || chance(4)) {
            return;
        }
        host.lastContact = now;
        if (order && (!host.order || host.order->revision != order->revision)) {
            host.order = order;
            host.grants.setOrder(order->revision);
            host.leader.setOrder(order->order, order->revision, host.isStarting ? std::nullopt : std::optional(now), now);
        } else if (!order && host.order) {
            host.order.reset();
            host.leader.removeOrder();
        }
        host.serving = serving;
        if (stored) {
            apply(host, *stored);
        }
        host.isStarting = false;
    }

    void apply(Host &host, const RolloutRecord &record)
    {
        if (!host.record || record.position > host.record->position) {
            if (record.phase == RolloutPhase::Completed && host.record && host.record->phase == RolloutPhase::Switching) {
                host.serving = record.version;
            }
            host.record = record;
            host.grants.onPosition(record.position);
            host.leader.setRecord(record, now);
        }
    }

    void serve(Host &host)
    {
        std::erase_if(host.requests, [this](const auto &request) { return request.first <= now; });
        if (!isUp(host) || now - host.lastContact >= proofWindow) {
            return;
        }
        if (!chance(host.requestEvery)) {
            return;
        }
        const bool isSwitched = host.record && host.record->phase == RolloutPhase::Switching;
        host.requests.emplace_back(now + randomUpTo(random, longestRequest), isSwitched ? host.record->version : host.serving);
        const bool isTried = host.order && host.record && host.record->order == host.order->revision && host.record->phase == RolloutPhase::Running;
        if (isTried && host.grants.isValid(now)) {
            const auto rolledBack = rolledBackAt.find(host.order->revision);
            const auto foundBad = foundBadAt.find(host.order->revision);
            BOOST_REQUIRE_MESSAGE(foundBad == foundBadAt.end() || now <= foundBad->second + grantTime, "a request after the version was found bad");
            BOOST_REQUIRE_MESSAGE(rolledBack == rolledBackAt.end() || now <= rolledBack->second + grantTime, "a request after the roll-back");
            BOOST_REQUIRE_MESSAGE(!completed.contains(host.order->revision) || host.order->isBad == false, "a bad version was completed");
        }
    }

    void report(std::size_t index)
    {
        Host &host = hosts[index];
        if (!isConnected(host) || now < host.nextReport || !host.order) {
            return;
        }
        host.nextReport = now + 250ms;
        RolloutProgress progress;
        progress.order = host.order->revision;
        progress.position = host.record ? host.record->position : 0;
        progress.otherInFlight = static_cast<std::uint32_t>(countOthers(host, host.order->order.version));
        const std::uint64_t id = host.grants.onReport(now);
        if (!holder || !isConnected(hosts[*holder]) || chance(10)) {
            return;
        }
        Host &leader = hosts[*holder];
        leader.leader.onReport(std::to_string(index), progress, now);
        if (!leader.order || leader.order->revision != progress.order || !leader.record) {
            return;
        }
        const bool isExposing = now < leader.leaseUntil && leader.leader.isExposing();
        const Duration validFor = isExposing ? std::min<Duration>(grantTime, leader.leaseUntil - now) : Duration::zero();
        if (validFor > Duration::zero()) {
            grantingTerm = term;
        }
        if (!chance(10)) {
            grants.push_back({now + randomUpTo(random, 300ms), index, host.process, {id, progress.order, leader.record->position, validFor}});
        }
    }

    void lead(std::size_t index)
    {
        Host &host = hosts[index];
        if (!isUp(host)) {
            return;
        }
        std::vector<std::string> listed;
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (now - hosts[i].lastContact < listedTime) {
                listed.push_back(std::to_string(i));
            }
        }
        host.leader.setHosts(listed, now);
        RolloutLeader::Facts facts;
        facts.isLeading = holder == index && now < host.leaseUntil && !host.isStarting;
        facts.lastStage = 3;
        facts.servingVersion = host.serving;
        if (host.order) {
            const bool isDecided = now >= host.order->givenAt + host.order->decidedAfter;
            facts.isBad = isDecided && host.order->isBad;
            facts.isGood = isDecided && !host.order->isBad;
            facts.mayAdvance = chance(20);
            if (facts.isLeading && facts.isBad) {
                foundBadAt.try_emplace(host.order->revision, now);
            }
        }
        const auto record = host.leader.step(facts, now);
        if (record && isConnected(host) && now >= storeAwayUntil && writes.size() < 4) {
            const Duration delay = chance(5) ? randomUpTo(random, 3s) : Duration::zero();
            writes.push_back({now + delay, host.record ? host.record->position : 0, *record, index, host.process, term});
        }
    }

    void elect()
    {
        if (holder && (now >= hosts[*holder].leaseUntil)) {
            holder.reset();
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const bool reachesStore = isConnected(hosts[i]) && now >= storeAwayUntil;
            if (reachesStore && holder == i) {
                hosts[i].leaseUntil = now + leaseTime;
                leaseEnds = now + leaseTime;
            } else if (reachesStore && !holder && now >= leaseEnds && chance(5)) {
                holder = i;
                ++term;
                hosts[i].leaseUntil = now + leaseTime;
                leaseEnds = now + leaseTime;
            }
        }
    }

    void write()
    {
        for (Write &write : writes) {
            if (write.at > now) {
                continue;
            }
            write.at = TimePoint::max();
            if ((stored ? stored->position : 0) != write.expected || now < storeAwayUntil) {
                continue;
            }
            BOOST_REQUIRE_MESSAGE(write.term >= grantingTerm, "a late write of an earlier leader");
            store(write.record);
            Host &writer = hosts[write.writer];
            if (writer.process == write.process && isConnected(writer)) {
                apply(writer, write.record);
            }
        }
        std::erase_if(writes, [](const Write &write) { return write.at == TimePoint::max(); });
    }

    void store(const RolloutRecord &record)
    {
        BOOST_REQUIRE_MESSAGE(!stored || record.position > stored->position, "the position went back");
        const bool isSameOrder = stored && stored->order == record.order;
        BOOST_REQUIRE_MESSAGE(!isSameOrder || record.stage >= stored->stage || record.phase == RolloutPhase::RolledBack, "the stage went back");
        BOOST_REQUIRE_MESSAGE(!completed.contains(record.order) || record.phase == RolloutPhase::Completed, "a second verdict");
        BOOST_REQUIRE_MESSAGE(!rolledBackAt.contains(record.order) || record.phase == RolloutPhase::RolledBack, "a second verdict");
        stored = record;
        if (record.phase == RolloutPhase::RolledBack) {
            rolledBackAt.try_emplace(record.order, now);
        }
        if (record.phase == RolloutPhase::Completed) {
            completed.emplace(record.order, now);
            serving = record.version;
            for (const Host &host : hosts) {
                BOOST_REQUIRE_MESSAGE(countOthers(host, record.version) == 0, "a request runs at a target that may stop");
            }
        }
    }

    std::ptrdiff_t countOthers(const Host &host, const std::string &version) const
    {
        return std::count_if(
            host.requests.begin(), host.requests.end(), [this, &version](const auto &request) { return request.first > now && request.second != version; });
    }

    void step()
    {
        now += stepTime;
        disturb();
        elect();
        write();
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            readStore(hosts[i]);
            serve(hosts[i]);
            report(i);
            lead(i);
        }
        for (Grant &grant : grants) {
            Host &host = hosts[grant.host];
            if (grant.at <= now && isConnected(host)) {
                if (host.process == grant.process) {
                    host.grants.onGrant(grant.grant);
                }
                grant.at = TimePoint::max();
            }
        }
        std::erase_if(grants, [](const Grant &grant) { return grant.at == TimePoint::max(); });
    }

    Random random;
    TimePoint now{1h};
    std::uint64_t processes = 0;
    std::vector<Host> hosts;
    std::optional<Order> order;
    std::int64_t revision = 0;
    std::optional<RolloutRecord> stored;
    std::string serving = "v0"; ///< As recorded in the store.
    TimePoint storeAwayUntil;
    std::optional<std::size_t> holder;
    TimePoint leaseEnds;
    std::vector<Write> writes;
    std::vector<Grant> grants;
    int term = 0; ///< Counts the leaders.
    int grantingTerm = 0; ///< Of the last leader that granted requests.
    std::map<std::int64_t, TimePoint> foundBadAt;
    std::map<std::int64_t, TimePoint> rolledBackAt;
    std::map<std::int64_t, TimePoint> completed;
};

} // namespace

// Guards against a rollout that contradicts itself while leaders, hosts, messages and the store fail: requests to a version that was rolled back,
// requests left at targets that may stop, a stage or position that goes back, two verdicts on one order.
BOOST_AUTO_TEST_CASE(randomSchedulesKeepTheInvariants)
{
    const char *wanted = std::getenv("ROLLOUT_SCHEDULES"); // NOLINT(concurrency-mt-unsafe): no other thread runs.
    const std::uint64_t schedules = wanted != nullptr ? std::strtoull(wanted, nullptr, 10) : 1'000;
    std::size_t completed = 0;
    std::size_t rolledBack = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Model model(seed);
            for (int i = 0; i < 1'200; ++i) {
                model.step();
            }
            completed += model.completed.size();
            rolledBack += model.rolledBackAt.size();
        }
    }
    BOOST_TEST(completed > schedules / 4);
    BOOST_TEST(rolledBack > schedules / 4);
}

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/freshness_gate.h"
#include "coordination/in_force_tracker.h"
#include "core/random.h"

using namespace Lovageloft;

/// An exhaustive search over a small world: three hosts and up to two entries. Messages are lost, hosts are cut off and the store is down
/// whenever an exchange that could happen does not; the search tries all of it. Each state is judged by the real classes.
namespace
{

constexpr std::size_t hostCount = 3;
constexpr int none = -1;

/// F for a question that counts in its own tick of a second and the ones after it, `validTicks` in all.
constexpr Duration windowOf(int validTicks)
{
    return std::chrono::seconds(validTicks) - std::chrono::milliseconds(500);
}

constexpr int momentsInTick = 16;
constexpr std::size_t keySize = 48;

/// Ways to weaken the rules; each is to be found out.
enum class Weakening : std::uint8_t
{
    None,
    ReachableHolders, ///< In force once all hosts that answer hold it.
    GatheredHolders, ///< In force once each of a majority has reported it at some time.
    NoWait, ///< In force as soon as a majority holds it.
    RestartedVouches, ///< A restarted host vouches at once.
    CountedFromReceipt, ///< A vouch counts from when the answer came.
};

constexpr Weakening weakenings[] = {
    Weakening::ReachableHolders, Weakening::GatheredHolders, Weakening::NoWait, Weakening::RestartedVouches, Weakening::CountedFromReceipt};

struct Row
{
    std::int16_t askedTick = none;
    std::int16_t version = 0;
};

struct Host
{
    std::int16_t held = 0;
    std::int16_t isCaughtUp = 1;
    std::int16_t confirmedTick = none;
    std::array<Row, hostCount> rows; ///< What the others vouched for to this host.
    // What the tracker knows of it, as moments: tick x momentsInTick + place within the tick.
    std::int16_t isKnownIncarnation = 1;
    std::int16_t askedMoment = none;
    std::array<std::int16_t, 2> sinceMoment{none, none};
};

/// One question on its way, or its answer.
struct Flight
{
    std::int16_t from = none; ///< The asker; none: nothing is on its way.
    std::int16_t to = 0;
    std::int16_t askedTick = 0;
    std::int16_t isAnswered = 0;
    std::int16_t version = 0;
};

struct World
{
    std::array<Host, hostCount> hosts;
    Flight flight;
    std::int16_t tick = 0;
    std::int16_t committed = 0;
    std::int16_t inForce = 0;
    std::int16_t restarts = 0;
};

TimePoint timeOf(int tick)
{
    return TimePoint(std::chrono::seconds(1'000 + tick));
}

TimePoint timeOfMoment(int moment)
{
    return timeOf(moment / momentsInTick) + std::chrono::milliseconds(moment % momentsInTick);
}

/// Behind all moments of the tick.
TimePoint nowOf(const World &world)
{
    return timeOf(world.tick) + std::chrono::milliseconds(momentsInTick);
}

std::string nameOf(std::size_t host)
{
    return std::string(1, static_cast<char>('a' + host));
}

const HostLists allHosts{{"a", "b", "c"}, {}};

struct Verdict
{
    bool isCaughtUp = false;
    bool isFresh = false;
};

/// Rebuilds the gate of a host from what it has been told.
Verdict judge(const World &world, std::size_t index, Duration window)
{
    const Host &host = world.hosts[index];
    FreshnessGate gate(nameOf(index), window, timeOf(-500));
    gate.setHosts(allHosts);
    gate.setVersionHeld(host.held);
    if (host.isCaughtUp != 0) {
        gate.onStoreConfirmed(0, timeOf(-400));
    }
    if (host.confirmedTick != none) {
        gate.onStoreConfirmed(0, timeOf(host.confirmedTick));
    }
    for (std::size_t peer = 0; peer < hostCount; ++peer) {
        if (host.rows[peer].askedTick != none) {
            gate.onPeerVersionReport({nameOf(peer), 1, host.rows[peer].version, true}, timeOf(host.rows[peer].askedTick));
        }
    }
    return {gate.isCaughtUp(), gate.isFresh(nowOf(world))};
}

class Search
{
public:
    struct Limits
    {
        int entries = 1;
        int ticks = 3;
        int restarts = 1;
        int validTicks = 2; ///< How many ticks a question counts, its own included.
        bool hasFlights = false; ///< Whether questions and answers may be underway while other things happen.
    };

    Search(Limits limits, Weakening weakening)
        : limits_(limits)
        , weakening_(weakening)
    {
    }

    /// Whether some host can serve under an older entry after a newer one came into force.
    bool findsFault()
    {
        reach(World{});
        while (!open_.empty() && !hasFault_) {
            const World world = open_.front();
            open_.pop_front();
            expand(world);
        }
        return hasFault_;
    }

    /// The same along one random way through a world too large to search.
    bool findsFaultOnWalk(unsigned seed, int steps)
    {
        Random random(seed);
        World world;
        for (int step = 0; step < steps && !hasFault_; ++step) {
            open_.clear();
            seen_.clear();
            expand(world);
            if (open_.empty()) {
                break;
            }
            world = open_[randomBelow(random, open_.size())];
        }
        return hasFault_;
    }

    std::size_t states() const
    {
        return seen_.size();
    }

private:
    using Key = std::string;

    void expand(const World &world)
    {
        if (world.tick + 1 < limits_.ticks) {
            World next = world;
            ++next.tick;
            reach(next);
        }
        if (world.committed < limits_.entries) {
            World next = world;
            ++next.committed;
            reach(next);
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            expandHost(world, host);
        }
        advanceFlight(world);
    }

    void expandHost(const World &world, std::size_t index)
    {
        report(world, index);
        if (world.restarts < limits_.restarts) {
            restart(world, index);
        }
        if (world.hosts[index].isCaughtUp != 0 && world.hosts[index].held == limits_.entries) {
            return;
        }
        World confirmed = world;
        confirmed.hosts[index].held = world.committed;
        confirmed.hosts[index].confirmedTick = world.tick;
        reach(confirmed);
        for (std::size_t peer = 0; peer < hostCount; ++peer) {
            if (peer == index) {
                continue;
            }
            World learned = world;
            learned.hosts[index].held = std::max(world.hosts[index].held, world.hosts[peer].held);
            reach(learned);
            World asked = world;
            asked.flight = {static_cast<std::int16_t>(index), static_cast<std::int16_t>(peer), world.tick, 0, 0};
            if (!limits_.hasFlights) {
                deliver(answer(asked));
            } else if (world.flight.from == none) {
                reach(asked);
            }
        }
    }

    void advanceFlight(const World &world)
    {
        if (world.flight.from == none) {
            return;
        }
        if (world.flight.isAnswered == 0) {
            reach(answer(world));
        } else {
            deliver(world);
        }
        World lost = world;
        lost.flight = {};
        reach(lost);
    }

    static World answer(World world)
    {
        const Host &host = world.hosts[static_cast<std::size_t>(world.flight.to)];
        if (host.isCaughtUp == 0) {
            world.flight = {};
            return world;
        }
        world.flight.isAnswered = 1;
        world.flight.version = host.held;
        return world;
    }

    void deliver(World world)
    {
        const Flight flight = std::exchange(world.flight, Flight{});
        if (flight.from == none) {
            return;
        }
        Row &row = world.hosts[static_cast<std::size_t>(flight.from)].rows[static_cast<std::size_t>(flight.to)];
        const std::int16_t counted = weakening_ == Weakening::CountedFromReceipt ? world.tick : flight.askedTick;
        if (counted >= row.askedTick) {
            row = {counted, flight.version};
        }
        reach(world);
    }

    void restart(World world, std::size_t index)
    {
        Host &host = world.hosts[index];
        host.held = 0;
        host.confirmedTick = none;
        host.isCaughtUp = weakening_ == Weakening::RestartedVouches ? 1 : 0;
        host.rows = {};
        host.isKnownIncarnation = 0;
        ++world.restarts;
        if (world.flight.from == static_cast<std::int16_t>(index)) {
            world.flight = {};
        }
        reach(world);
    }

    /// The host answers the tracker.
    void report(World world, std::size_t index)
    {
        Host &host = world.hosts[index];
        if (host.held == 0 || host.isCaughtUp == 0 || world.inForce == limits_.entries) {
            return; // Such a report brings nothing into force.
        }
        if (host.isKnownIncarnation == 0) {
            host.isKnownIncarnation = 1;
            host.sinceMoment = {none, none};
        }
        const auto moment = static_cast<std::int16_t>((world.tick * momentsInTick) + momentsInTick - 1);
        host.askedMoment = moment;
        for (int entry = 1; entry <= host.held; ++entry) {
            std::int16_t &since = host.sinceMoment[static_cast<std::size_t>(entry - 1)];
            since = since == none ? moment : since;
        }
        reach(world);
    }

    void advanceTracker(World &world) const
    {
        if (std::all_of(world.hosts.begin(), world.hosts.end(), [](const Host &host) { return host.askedMoment == none; })) {
            return;
        }
        InForceTracker tracker(weakening_ == Weakening::NoWait ? Duration::zero() : windowOf(limits_.validTicks));
        HostLists lists = allHosts;
        if (weakening_ == Weakening::ReachableHolders) {
            std::erase_if(lists.current, [&](const std::string &name) { return world.hosts[static_cast<std::size_t>(name[0] - 'a')].askedMoment == none; });
        }
        tracker.setHosts(lists);
        for (int entry = 1; entry <= world.committed; ++entry) {
            tracker.track(entry, timeOf(0));
        }
        for (std::size_t index = 0; index < hostCount; ++index) {
            const Host &host = world.hosts[index];
            std::int64_t version = 0;
            for (const std::int16_t since : host.sinceMoment) {
                if (since != none) {
                    ++version;
                    tracker.onPeerVersionReport({nameOf(index), 1, version, true}, timeOfMoment(since), timeOfMoment(since));
                }
            }
            if (host.askedMoment != none) {
                const TimePoint asked = weakening_ == Weakening::GatheredHolders ? nowOf(world) : timeOfMoment(host.askedMoment);
                tracker.onPeerVersionReport({nameOf(index), 1, version, version > 0}, asked, asked);
            }
        }
        tracker.advance(nowOf(world));
        world.inForce = std::max(world.inForce, static_cast<std::int16_t>(tracker.inForceVersion()));
    }

    void reach(World world)
    {
        rankMoments(world);
        forgetIrrelevant(world);
        const Key raw = canonicalKey(world);
        if (!seen_.insert(raw).second) {
            return;
        }
        advanceTracker(world);
        for (std::size_t index = 0; index < hostCount; ++index) {
            Host &host = world.hosts[index];
            const Verdict verdict = judgeOnce(world, index);
            host.isCaughtUp = verdict.isCaughtUp ? 1 : 0;
            hasFault_ = hasFault_ || (host.held < world.inForce && verdict.isFresh);
        }
        forgetIrrelevant(world);
        const Key key = canonicalKey(world);
        if (key == raw || seen_.insert(key).second) {
            open_.push_back(world);
        }
    }

    /// Most worlds share their hosts with others; each host is judged once.
    Verdict judgeOnce(const World &world, std::size_t index)
    {
        const Host &host = world.hosts[index];
        Key key;
        for (const int value : {static_cast<int>(index), static_cast<int>(world.tick), static_cast<int>(host.held), static_cast<int>(host.isCaughtUp)}) {
            key.push_back(static_cast<char>(value));
        }
        key.push_back(static_cast<char>(host.confirmedTick));
        for (const Row &row : host.rows) {
            key.push_back(static_cast<char>(row.askedTick));
            key.push_back(static_cast<char>(row.version));
        }
        const auto [verdict, isNew] = verdicts_.try_emplace(std::move(key));
        if (isNew) {
            verdict->second = judge(world, index, windowOf(limits_.validTicks));
        }
        return verdict->second;
    }

    void forgetIrrelevant(World &world) const
    {
        for (Host &host : world.hosts) {
            forgetExpired(host, world.tick);
            // A host with all entries can't serve under an older one, whatever it hears, until it restarts and forgets it anyway.
            if (host.isCaughtUp != 0 && host.held == limits_.entries) {
                host.confirmedTick = none;
                host.rows = {};
            }
            if (world.inForce == limits_.entries) {
                host.askedMoment = none;
                host.sinceMoment = {none, none};
            }
        }
    }

    /// What is too old to count is forgotten, so that equal worlds look equal.
    void forgetExpired(Host &host, std::int16_t tick) const
    {
        if (host.confirmedTick <= tick - limits_.validTicks) {
            host.confirmedTick = none;
        }
        for (Row &row : host.rows) {
            const bool isExpired = row.askedTick != none && row.askedTick <= tick - limits_.validTicks;
            if (isExpired && host.isCaughtUp != 0) {
                row = {};
            } else if (isExpired) {
                row.askedTick = static_cast<std::int16_t>(std::max(0, tick - limits_.validTicks));
            }
        }
    }

    /// Numbers the moments within a tick anew by their order: only that matters.
    static void rankMoments(World &world)
    {
        std::vector<std::int16_t *> moments;
        for (Host &host : world.hosts) {
            for (std::int16_t *moment : {&host.askedMoment, &host.sinceMoment[0], &host.sinceMoment[1]}) {
                if (*moment != none) {
                    moments.push_back(moment);
                }
            }
        }
        std::sort(moments.begin(), moments.end(), [](const auto *left, const auto *right) { return *left < *right; });
        int last = none;
        int ranked = none;
        for (std::int16_t *moment : moments) {
            const int tick = *moment / momentsInTick;
            if (*moment != last) {
                ranked = std::max(ranked + 1, tick * momentsInTick);
            }
            last = *moment;
            *moment = static_cast<std::int16_t>(ranked);
        }
    }

    /// Hosts are alike, so worlds that differ only in their names are one.
    static Key canonicalKey(const World &world)
    {
        std::array<std::size_t, hostCount> order{0, 1, 2};
        Key least;
        std::array<std::uint64_t, hostCount> own{};
        std::transform(world.hosts.begin(), world.hosts.end(), own.begin(), &ownKey);
        do {
            if (own[order[0]] > own[order[1]] || own[order[1]] > own[order[2]]) {
                continue; // Only hosts that are alike by themselves need to be tried in every order.
            }
            Key key = keyInOrder(world, order);
            if (least.empty() || key < least) {
                least = std::move(key);
            }
        } while (std::next_permutation(order.begin(), order.end()));
        return least;
    }

    static std::uint64_t ownKey(const Host &host)
    {
        std::uint64_t key = 0;
        for (const int value :
             {host.held, host.isCaughtUp, host.confirmedTick, host.isKnownIncarnation, host.askedMoment, host.sinceMoment[0], host.sinceMoment[1]}) {
            key = key * 128 + static_cast<std::uint64_t>(value + 1);
        }
        return key;
    }

    static Key keyInOrder(const World &world, const std::array<std::size_t, hostCount> &order)
    {
        Key key(keySize, '\0');
        std::size_t length = 0;
        const auto add = [&key, &length](int value) { key[length++] = static_cast<char>(value + 1); };
        const auto placeOf = [&order](int host) { return host == none ? none : static_cast<int>(std::find(order.begin(), order.end(), host) - order.begin()); };
        for (const int value : {world.tick, world.committed, world.inForce, world.restarts}) {
            add(value);
        }
        for (const int value : {placeOf(world.flight.from), placeOf(world.flight.to)}) {
            add(value);
        }
        for (const int value : {world.flight.askedTick, world.flight.isAnswered, world.flight.version}) {
            add(value);
        }
        for (const std::size_t index : order) {
            const Host &host = world.hosts[index];
            for (const int value : {host.held, host.isCaughtUp, host.confirmedTick, host.isKnownIncarnation, host.askedMoment}) {
                add(value);
            }
            add(host.sinceMoment[0]);
            add(host.sinceMoment[1]);
            for (const std::size_t peer : order) {
                add(host.rows[peer].askedTick);
                add(host.rows[peer].version);
            }
        }
        return key;
    }

    Limits limits_;
    Weakening weakening_;
    std::unordered_set<Key> seen_;
    std::unordered_map<Key, Verdict> verdicts_;
    std::deque<World> open_;
    bool hasFault_ = false;
};

void expectNoFault(Search::Limits limits)
{
    Search search(limits, Weakening::None);
    BOOST_TEST(!search.findsFault());
    BOOST_TEST_MESSAGE("entries " << limits.entries << ", ticks " << limits.ticks << ", restarts " << limits.restarts << ", messages underway "
                                  << limits.hasFlights << ": " << search.states() << " states");
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessModelTest)

BOOST_AUTO_TEST_CASE(noHostServesUnderAnOlderEntryOnceANewerIsInForce)
{
    // A key is withdrawn while hosts restart, lose each other and lose the store in every order there is. A caller who still got an
    // answer with it after the operator was told "in force" would be the fault.
    expectNoFault({1, 3, 1, 2, false});
}

// The larger worlds take minutes; run them by name after a change of the rules: --run_test='*/theLargerWorldsHoldToo*'.
BOOST_AUTO_TEST_CASE(theLargerWorldsHoldToo, *boost::unit_test::disabled())
{
    expectNoFault({1, 3, 1, 2, true});
    expectNoFault({1, 3, 2, 2, false});
    expectNoFault({2, 2, 0, 1, false});
}

BOOST_AUTO_TEST_CASE(randomWaysThroughALargerWorldFindNoFaultEither)
{
    // The same with two withdrawn keys one after the other, more restarts, a longer time and messages underway.
    constexpr Search::Limits limits{2, 4, 3, 2, true};
    constexpr int steps = 80;
    for (unsigned seed = 0; seed < 10'000; ++seed) {
        BOOST_REQUIRE_MESSAGE(!Search(limits, Weakening::None).findsFaultOnWalk(seed, steps), "seed " << seed);
    }
    for (const Weakening weakening : weakenings) {
        std::size_t found = 0;
        for (unsigned seed = 0; seed < 2'000; ++seed) {
            found += Search(limits, weakening).findsFaultOnWalk(seed, steps) ? 1 : 0;
        }
        BOOST_TEST_MESSAGE("weakening " << static_cast<int>(weakening) << " found out on " << found << " of 2000 walks");
    }
}

BOOST_AUTO_TEST_CASE(eachWeakerRuleIsFoundOut)
{
    for (const Weakening weakening :
         {Weakening::ReachableHolders, Weakening::GatheredHolders, Weakening::NoWait, Weakening::RestartedVouches, Weakening::CountedFromReceipt}) {
        Search search({1, 3, 1, 2, weakening == Weakening::CountedFromReceipt}, weakening);
        BOOST_TEST(search.findsFault(), "weakening " << static_cast<int>(weakening));
        BOOST_TEST_MESSAGE("found out weakening " << static_cast<int>(weakening) << " within " << search.states() << " states");
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include <algorithm>
#include <queue>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "coordination/version_report_table.h"
#include "core/random.h"

using namespace Lovageloft;

namespace
{

using std::chrono::milliseconds;
constexpr Duration window = std::chrono::seconds(3);
constexpr Duration pullInterval = milliseconds(200);

TimePoint at(Duration time)
{
    return TimePoint(std::chrono::seconds(1'000)) + time;
}

/// Hosts that ask each other at random in simulated time while the store is down.
class Fleet
{
public:
    Fleet(std::size_t size, unsigned seed, Duration maxDelay)
        : random_(seed)
        , maxDelay_(maxDelay)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i) {
            names.push_back("host-" + std::to_string(1'000 + i));
        }
        for (const std::string &name : names) {
            Host &host = hosts_.emplace_back(Host{name, VersionReportTable(), FreshnessGate(name, window, at(-window)), {at(-window)}});
            host.table.setHosts(1, names);
            host.gate.setHosts({names, {}});
            host.gate.onStoreConfirmed(0, at(Duration::zero()));
        }
        for (std::size_t i = 0; i < size; ++i) {
            events_.push({delayBelow(pullInterval), i, 0, Step::Ask, {}, {}});
        }
    }

    void cutOff(std::size_t host)
    {
        hosts_[host].isCutOff = true;
    }

    /// From now on new entries reach hosts one by one.
    void spreadEntries()
    {
        isSpreading_ = true;
    }

    void runUntil(Duration end)
    {
        while (events_.top().time < end) {
            Event event = events_.top();
            events_.pop();
            handle(event);
        }
        now_ = end;
    }

    std::size_t freshHosts() const
    {
        return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [this](const Host &host) { return host.gate.isFresh(at(now_)); }));
    }

    /// Bytes that a host sends per second: questions of 60 bytes, the digests' fields, and 28 bytes of IP and UDP headers for each.
    double bytesPerSecond() const
    {
        return static_cast<double>(bytes_) / toSeconds(now_) / static_cast<double>(hosts_.size());
    }

private:
    enum class Step : std::uint8_t
    {
        Ask,
        Answer,
        Receive,
    };

    struct Host
    {
        std::string name;
        VersionReportTable table;
        FreshnessGate gate;
        std::vector<TimePoint> learnedAt; ///< By entry: when this host received it.
        bool isCutOff = false;
    };

    struct Event
    {
        Duration time{};
        std::size_t host = 0;
        std::size_t peer = 0;
        Step step = Step::Ask;
        Duration askedAt{};
        VersionReportDigest digest;

        bool operator<(const Event &other) const
        {
            return other.time < time;
        }
    };

    Duration delayBelow(Duration bound)
    {
        return Duration(static_cast<Duration::rep>(randomBelow(random_, static_cast<std::size_t>(bound.count()))));
    }

    void handle(Event &event)
    {
        Host &host = hosts_[event.host];
        Host &peer = hosts_[event.peer];
        const Duration arrival = event.time + delayBelow(maxDelay_);
        switch (event.step) {
        case Step::Ask:
            ask(event, arrival);
            break;
        case Step::Answer:
            if (!host.isCutOff && !peer.isCutOff) {
                const PeerVersionReport own{peer.name, 1, peer.gate.versionHeld(), peer.gate.isCaughtUp()};
                VersionReportDigest digest = peer.table.digest(own, at(event.time));
                bytes_ += 28 + 4 * sizeof(std::int64_t) + own.host.size() + digest.ages.size();
                events_.push({arrival, event.host, event.peer, Step::Receive, event.askedAt, std::move(digest)});
            }
            break;
        case Step::Receive:
            receive(host, event);
            break;
        }
    }

    void ask(const Event &event, Duration arrival)
    {
        const std::size_t peer = (event.host + 1 + randomBelow(random_, hosts_.size() - 1)) % hosts_.size();
        events_.push({event.time + pullInterval, event.host, 0, Step::Ask, {}, {}});
        events_.push({arrival, event.host, peer, Step::Answer, event.time, {}});
        constexpr std::size_t questionBytes = 28 + 60;
        bytes_ += questionBytes;
        if (isSpreading_ && randomBelow(random_, 20) == 0) {
            hosts_[event.host].learnedAt.push_back(at(event.time));
            hosts_[event.host].gate.setVersionHeld(static_cast<std::int64_t>(hosts_[event.host].learnedAt.size()) - 1);
        }
    }

    void receive(Host &host, const Event &event)
    {
        const auto reports = host.table.onDigest(event.digest, at(event.askedAt));
        for (const auto &[report, validAt] : reports) {
            const auto &entryTimes = hosts_[static_cast<std::size_t>(std::stoul(report.host.substr(5))) - 1'000].learnedAt;
            const auto next = static_cast<std::size_t>(report.versionHeld) + 1;
            // The reported host held no newer entry at that time.
            BOOST_REQUIRE(next >= entryTimes.size() || entryTimes[next] >= validAt);
        }
        host.gate.onPeerVersionReports(reports);
    }

    Random random_;
    Duration maxDelay_;
    std::vector<Host> hosts_;
    std::priority_queue<Event> events_;
    Duration now_{};
    std::size_t bytes_ = 0;
    bool isSpreading_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(VersionReportTableTest)

BOOST_AUTO_TEST_CASE(aRelayedReportNeverCountsForMoreThanTheOriginal)
{
    // Answers are delayed by up to a second while entries spread. A report that appeared newer than it is would keep a disconnected host fresh
    // after a newer entry came into force, and a withdrawn key would go on working there.
    for (unsigned seed = 0; seed < 20; ++seed) {
        Fleet fleet(12, seed, std::chrono::seconds(1));
        fleet.spreadEntries();
        fleet.runUntil(std::chrono::seconds(20));
    }
}

BOOST_AUTO_TEST_CASE(agesAreRoundedUp)
{
    VersionReportTable table;
    table.setHosts(1, {"a", "b"});
    table.onDigest({{"b", 1, 0, true}, 1, 0, {255, 255}}, at(Duration::zero()));
    const PeerVersionReport own{"a", 1, 0, true};
    const std::pair<Duration, int> cases[] = {{Duration::zero(), 0},
                                              {Duration(1), 1},
                                              {VersionReportTable::ageUnit, 1},
                                              {VersionReportTable::ageUnit * 254, 254},
                                              {VersionReportTable::ageUnit * 254 + Duration(1), 255}};
    for (const auto &[age, units] : cases) {
        BOOST_TEST(static_cast<int>(table.digest(own, at(age)).ages[1]) == units);
    }
}

BOOST_AUTO_TEST_CASE(theFleetStaysFreshDuringAStoreOutage)
{
    for (const std::size_t size : {3U, 9U, 27U, 81U, 370U}) {
        Fleet fleet(size, 7, milliseconds(5));
        fleet.cutOff(0);
        std::size_t minFresh = size;
        for (int step = 40; step <= 100; ++step) {
            fleet.runUntil(milliseconds(100) * step);
            minFresh = std::min(minFresh, fleet.freshHosts());
        }
        BOOST_TEST_MESSAGE(size << " hosts: least fresh " << minFresh << ", bytes sent a second and host " << fleet.bytesPerSecond());
        BOOST_TEST(minFresh == size - 1); // All but the disconnected host.
        BOOST_TEST(fleet.bytesPerSecond() < 6'500); // Half of 13 KB; the other half is received.
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include <algorithm>
#include <memory>
#include <queue>
#include <set>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "coordination/membership.h"

using namespace Lovageloft;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint at(Duration time)
{
    return TimePoint(seconds(1'000)) + time;
}

/// Hosts that exchange membership messages over a lossy network in simulated time.
class Fleet
{
public:
    Fleet(std::size_t size, unsigned seed, std::size_t lossPercent = 0)
        : random_(seed)
        , lossPercent_(lossPercent)
    {
        for (std::size_t i = 0; i < size; ++i) {
            platform_.push_back({nameOf(i), addressOf(i), false});
        }
        for (std::size_t i = 0; i < size; ++i) {
            start(i, 1'000);
        }
    }

    static std::string nameOf(std::size_t host)
    {
        return "host-" + std::to_string(1'000 + host);
    }

    Membership &operator[](std::size_t host)
    {
        return *hosts_[host];
    }

    void start(std::size_t host, std::uint64_t incarnation)
    {
        hosts_.resize(std::max(hosts_.size(), host + 1));
        hosts_[host] = std::make_unique<Membership>(nameOf(host), addressOf(host), incarnation);
        hosts_[host]->setPlatformHosts(platform_);
        stopped_.erase(host);
    }

    /// Simulates a crash or a pause: the host runs nothing and receives nothing.
    void stop(std::size_t host)
    {
        stopped_.insert(host);
    }

    void resume(std::size_t host)
    {
        stopped_.erase(host);
    }

    void breakLink(std::size_t one, std::size_t other)
    {
        brokenLinks_.insert({std::min(one, other), std::max(one, other)});
    }

    void restoreLinks()
    {
        brokenLinks_.clear();
    }

    void run(Duration duration)
    {
        constexpr Duration step = milliseconds(100);
        for (const Duration end = now_ + duration; now_ < end; now_ += step) {
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                if (!stopped_.contains(host)) {
                    send(host, hosts_[host]->tick(at(now_), random_), now_);
                }
            }
            deliverUntil(now_ + step);
        }
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

    std::size_t maxMessageBytes() const
    {
        return maxMessageBytes_;
    }

    /// Number of other running hosts that believe this one to be in the given state.
    std::size_t countSeeing(std::size_t host, MemberState state) const
    {
        std::size_t count = 0;
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other == host || stopped_.contains(other)) {
                continue;
            }
            const auto member = hosts_[other]->member(nameOf(host));
            count += member.has_value() && member->lastUpdate.state == state ? 1 : 0;
        }
        return count;
    }

private:
    struct Packet
    {
        Duration time{};
        std::size_t to = 0;
        MembershipMessage message;

        bool operator<(const Packet &other) const
        {
            return other.time < time;
        }
    };

    static std::string addressOf(std::size_t host)
    {
        return "10.0.0." + std::to_string(host) + ":8082";
    }

    void send(std::size_t from, std::vector<MembershipMessage> messages, Duration time)
    {
        for (MembershipMessage &message : messages) {
            const auto to = static_cast<std::size_t>(std::stoul(message.toAddress.substr(7)));
            bytes_ += wireSize(message);
            maxMessageBytes_ = std::max(maxMessageBytes_, wireSize(message));
            if (randomBelow(random_, 100) < lossPercent_ || brokenLinks_.contains({std::min(from, to), std::max(from, to)})) {
                continue;
            }
            packets_.push({time + milliseconds(1 + randomBelow(random_, 4)), to, std::move(message)});
        }
    }

    void deliverUntil(Duration end)
    {
        while (!packets_.empty() && packets_.top().time < end) {
            const Packet packet = packets_.top();
            packets_.pop();
            if (!stopped_.contains(packet.to)) {
                send(packet.to, hosts_[packet.to]->onMessage(packet.message, at(packet.time)), packet.time);
            }
        }
    }

    Random random_;
    std::size_t lossPercent_;
    std::vector<PlatformHost> platform_;
    std::vector<std::unique_ptr<Membership>> hosts_;
    std::set<std::size_t> stopped_;
    std::set<std::pair<std::size_t, std::size_t>> brokenLinks_;
    std::priority_queue<Packet> packets_;
    Duration now_{};
    std::size_t bytes_ = 0;
    std::size_t maxMessageBytes_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipTest)

BOOST_AUTO_TEST_CASE(bytesPerHostDoNotDependOnTheSizeOfTheFleet)
{
    for (const std::size_t size : {3U, 9U, 27U, 81U, 370U}) {
        Fleet fleet(size, 3);
        const auto measure = [&fleet, size] {
            constexpr int duration = 20;
            const std::size_t before = fleet.bytes();
            fleet.run(seconds(duration));
            return static_cast<double>(fleet.bytes() - before) / duration / static_cast<double>(size);
        };
        const double idleRate = measure();
        for (std::size_t host = 0; host < size; host += 3) {
            fleet.start(host, 2'000);
        }
        const double churnRate = measure();
        BOOST_TEST_MESSAGE(size << " hosts: " << idleRate << " bytes a second and host, " << churnRate << " after a third restarted, longest message "
                                << fleet.maxMessageBytes());
        BOOST_TEST(idleRate == 336, boost::test_tools::tolerance(0.01));
        BOOST_TEST(churnRate < 2'400);
        BOOST_TEST(fleet.maxMessageBytes() < 1'250);
    }
}

BOOST_AUTO_TEST_CASE(aCrashIsDetectedByAllAndNoOtherHostIsDeclaredDead)
{
    // A host crashes while one message in twenty is lost. As long as it is believed alive, requests that need it as their home host wait in vain;
    // a living host that is believed dead gets no requests.
    for (unsigned seed = 0; seed < 20; ++seed) {
        Fleet fleet(27, seed, 5);
        fleet.run(seconds(10));
        fleet.stop(4);
        fleet.run(seconds(50));
        BOOST_TEST(fleet.countSeeing(4, MemberState::Dead) == 26);
        for (std::size_t host = 0; host < 27; ++host) {
            BOOST_TEST((host == 4 || fleet.countSeeing(host, MemberState::Dead) == 0));
        }
    }
}

BOOST_AUTO_TEST_CASE(aCrashInANewlyStartedFleetIsDisseminated)
{
    // A host crashes seconds after all were restarted, when most hosts know it only from the platform's list. Guards against each host detecting
    // the crash on its own, which takes a round of probes and thus longer in a larger fleet.
    Fleet fleet(81, 11, 1);
    fleet.run(seconds(5));
    fleet.stop(4);
    fleet.run(seconds(25));
    BOOST_TEST(fleet.countSeeing(4, MemberState::Dead) == 80);
}

BOOST_AUTO_TEST_CASE(aPausedHostRefutesItsDeathAndDeclaresNoOtherHostDead)
{
    // A host is paused for half a minute, and the others declare it dead. When it resumes, all of its own timers have expired; it must neither
    // stay dead for the others nor declare them dead.
    Fleet fleet(9, 5);
    fleet.run(seconds(10));
    fleet.stop(2);
    fleet.run(seconds(30));
    BOOST_TEST(fleet.countSeeing(2, MemberState::Dead) == 8);
    fleet.resume(2);
    fleet[2].consumeChanges();
    fleet.run(seconds(40));
    BOOST_TEST(fleet.countSeeing(2, MemberState::Alive) == 8);
    BOOST_TEST(fleet[2].incarnation() > 1'000);
    for (const MemberUpdate &change : fleet[2].consumeChanges()) {
        BOOST_TEST((change.state != MemberState::Dead));
    }
}

BOOST_AUTO_TEST_CASE(aPauseExpiresNoTimeoutsOfOtherHosts)
{
    Random random(1);
    Membership host("a", "10.0.0.0:1", 1);
    const PlatformHost others[] = {{"b", "10.0.0.1:1", false}};
    host.setPlatformHosts(others);
    host.tick(at(seconds(0)), random);
    host.tick(at(seconds(60)), random);
    BOOST_TEST((host.member("b")->lastUpdate.state == MemberState::Alive));
    host.onMessage({MembershipMessageKind::Ack, {}, {"c", "10.0.0.2:1", 1, MemberState::Alive}, "c", {}, {{"b", "10.0.0.1:1", 0, MemberState::Suspect}}},
                   at(seconds(60)));
    host.tick(at(seconds(61)), random);
    host.tick(at(seconds(120)), random);
    BOOST_TEST((host.member("b")->lastUpdate.state == MemberState::Suspect));
}

BOOST_AUTO_TEST_CASE(aRestartedHostReplacesItsEarlierIncarnation)
{
    // A host restarts without any state, once with a later clock and once with one that was set back, while updates about its earlier process
    // are still disseminated. If those were taken for newer ones, they would hide the restart and the loss of the host's shares and claims.
    for (const std::uint64_t incarnation : {2'000U, 500U}) {
        Fleet fleet(9, 6);
        fleet.run(seconds(10));
        fleet.stop(2);
        fleet.run(seconds(1));
        fleet.start(2, incarnation);
        fleet.run(seconds(40));
        BOOST_TEST(fleet[2].incarnation() > 1'000);
        for (std::size_t other : {0U, 1U, 8U}) {
            BOOST_TEST(fleet[other].member(Fleet::nameOf(2))->lastUpdate.incarnation == fleet[2].incarnation());
        }
    }
}

BOOST_AUTO_TEST_CASE(aBrokenLinkBetweenTwoHostsIsNoDeath)
{
    // Only the link between two hosts fails. Without probe requests to other hosts, each of the two would make the whole fleet believe the other dead.
    Fleet fleet(9, 7);
    fleet.breakLink(0, 1);
    fleet.run(seconds(120));
    BOOST_TEST(fleet.countSeeing(0, MemberState::Dead) == 0);
    BOOST_TEST(fleet.countSeeing(1, MemberState::Dead) == 0);
    BOOST_TEST(fleet[0].incarnation() + fleet[1].incarnation() == 2'000);
}

BOOST_AUTO_TEST_CASE(twoHalvesRejoinAfterAPartition)
{
    // Two regions are partitioned for an hour, and each declares the other dead. Without probes of dead hosts they would never rejoin.
    Fleet fleet(10, 8);
    for (std::size_t one = 0; one < 5; ++one) {
        for (std::size_t other = 5; other < 10; ++other) {
            fleet.breakLink(one, other);
        }
    }
    fleet.run(seconds(120));
    BOOST_TEST(fleet.countSeeing(0, MemberState::Dead) == 5);
    fleet.restoreLinks();
    fleet.run(seconds(120));
    for (std::size_t host = 0; host < 10; ++host) {
        BOOST_TEST(fleet.countSeeing(host, MemberState::Alive) == 9);
    }
}

BOOST_AUTO_TEST_CASE(thePlatformListMayLag)
{
    // The list still names a dead host as live and does not yet name a living one. Neither error may decide on its own who is a member.
    Fleet fleet(9, 9);
    fleet.run(seconds(10));
    fleet.start(9, 1'000);
    fleet.stop(3);
    fleet.run(seconds(40));
    BOOST_TEST(fleet.countSeeing(9, MemberState::Alive) == 8);
    BOOST_TEST(fleet.countSeeing(3, MemberState::Dead) == 9);
    const PlatformHost list[] = {{Fleet::nameOf(1), "10.0.0.1:8082", true}};
    fleet[0].setPlatformHosts(list);
    BOOST_TEST(fleet[0].member(Fleet::nameOf(1))->isLeaving);
    BOOST_TEST(!fleet[0].member(Fleet::nameOf(3)).has_value());
    BOOST_TEST(fleet[0].liveMembers().size() == 8);
}

BOOST_AUTO_TEST_CASE(aLeavingHostIsNotSuspectedFirst)
{
    Fleet fleet(9, 10);
    fleet.run(seconds(10));
    Random random(1);
    const auto leaveMessages = fleet[2].leave(random);
    BOOST_TEST(leaveMessages.size() == 3);
    fleet.run(seconds(20));
    BOOST_TEST(fleet.countSeeing(2, MemberState::Dead) == 8);
    BOOST_TEST(fleet[2].incarnation() == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()

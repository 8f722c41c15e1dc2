#include <deque>
#include <map>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "gateway/team_budget.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint start{std::chrono::hours(1)};

/// Simulates hosts that exchange datagrams, some of which are lost, in virtual time.
class Fleet
{
public:
    Fleet(std::size_t count, std::uint64_t seed)
        : random(seed)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("h" + std::to_string(i));
        }
        for (const std::string &name : names) {
            auto &host = hosts[name];
            host = std::make_unique<TeamBudget>(name);
            host->setLimits(limits, now);
            host->setHosts(count, names, 1.0 / static_cast<double>(count), now);
        }
    }

    void consume(const std::string &host, const std::string &team, double tokens)
    {
        hosts.at(host)->consume(team, tokens, now, sendFrom(host), [this, tokens](const TokenDecision &decision) {
            if (decision.isGranted) {
                granted += tokens;
            } else {
                refused += tokens;
                BOOST_TEST((decision.retryAfter > Duration::zero()));
            }
            ++decided;
        });
        deliver();
    }

    void advance(Duration duration)
    {
        now += duration;
        for (auto &[name, host] : hosts) {
            host->onTick(now, sendFrom(name));
        }
        deliver();
    }

    std::vector<TeamLimit> limits{{"large", 100'000, 100'000}, {"small", 5'000, 5'000}};
    std::map<std::string, std::unique_ptr<TeamBudget>> hosts;
    std::map<std::string, bool> isPartitioned;
    TimePoint now = start;
    double lossRate = 0;
    double granted = 0;
    double refused = 0;
    int decided = 0;
    int requests = 0; ///< Datagrams sent that ask for tokens.
    Random random;

private:
    struct Datagram
    {
        std::string from;
        std::string to;
        TokenRequest request;
    };

    TeamBudget::RequestSender sendFrom(const std::string &from)
    {
        return [this, from](const std::string &to, const TokenRequest &request) {
            ++requests;
            if (!isLost(from, to)) {
                inTransit_.push_back({from, to, request});
            }
        };
    }

    bool isLost(const std::string &from, const std::string &to)
    {
        return isPartitioned[from] || isPartitioned[to] || static_cast<double>(randomBelow(random, 1'000)) < lossRate * 1'000;
    }

    void deliver()
    {
        while (!inTransit_.empty()) {
            const Datagram datagram = inTransit_.front();
            inTransit_.pop_front();
            const TokenReply reply = hosts.at(datagram.to)->onRequest(datagram.request, now);
            if (!isLost(datagram.to, datagram.from)) {
                hosts.at(datagram.from)->onReply(reply, now, sendFrom(datagram.from));
            }
        }
    }

    std::deque<Datagram> inTransit_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TeamBudgetTest)

BOOST_AUTO_TEST_CASE(theSumOverAllHostsStaysWithinTheLimitWhateverIsLost)
{
    // A team sends many times its rate to all hosts while datagrams are lost and hosts are partitioned. If a partitioned host granted more
    // than its share, the team would take engine time from other teams, whose responses would be late.
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Fleet fleet(2 + seed % 8, seed);
        fleet.lossRate = static_cast<double>(seed % 4) * 0.2;
        constexpr Duration step = 20ms;
        constexpr int steps = 500;
        for (int i = 0; i < steps; ++i) {
            const std::string host = "h" + std::to_string(randomBelow(fleet.random, fleet.hosts.size()));
            if (randomBelow(fleet.random, 50) == 0) {
                fleet.isPartitioned[host] = !fleet.isPartitioned[host];
            }
            fleet.consume(host, "large", static_cast<double>(1 + randomBelow(fleet.random, 30'000)));
            fleet.advance(step);
        }
        const double seconds = toSeconds(step) * steps;
        // One request may leave each bucket with a debt; a fleet of 8 has 8 own parts and 2 pools.
        BOOST_TEST(fleet.granted <= 100'000 * (seconds + 1) + 30'000.0 * static_cast<double>(fleet.hosts.size() + 2));
    }
}

BOOST_AUTO_TEST_CASE(aTeamWithinItsRateIsServedIfAllItsRequestsReachOneHost)
{
    // The balancer sends all connections of one team to the same host. An even split among eight hosts would refuse seven of eight of its
    // requests although the team is far below its rate.
    Fleet fleet(8, 1);
    fleet.advance(3s);
    for (int i = 0; i < 40; ++i) {
        fleet.consume("h3", "large", 17'000);
        fleet.advance(250ms);
    }
    BOOST_TEST(fleet.granted > 0.95 * 40 * 17'000);
}

BOOST_AUTO_TEST_CASE(aPromptLargerThanAFullBucketIsServed)
{
    // A small team sends one prompt of three times its burst. A bucket whose capacity is smaller would refuse it forever.
    Fleet fleet(8, 1);
    fleet.advance(30s);
    fleet.consume("h0", "small", 15'000);
    BOOST_TEST(fleet.granted == 15'000);
}

BOOST_AUTO_TEST_CASE(aHomeThatIsGoneDelaysARequestByItsTimeoutOnly)
{
    // The homes of the team lose power. Callers whose host asks them must not wait until they give up.
    Fleet fleet(8, 1);
    fleet.advance(30s);
    for (const auto &[name, host] : fleet.hosts) {
        fleet.isPartitioned[name] = name != "h0";
    }
    for (int i = 0; i < 20; ++i) {
        fleet.consume("h0", "large", 17'000);
    }
    fleet.advance(40ms);
    fleet.advance(40ms);
    BOOST_TEST(fleet.decided == 20);
}

BOOST_AUTO_TEST_CASE(aNewHomeStartsEmptyAfterADelay)
{
    // A home fails and its pool moves to another host while other hosts may still use the first. If the new pool were full at once, the team
    // would get a second burst.
    TeamBudget host("a");
    const std::vector<TeamLimit> limits{{"t", 1'000, 1'000}};
    const std::vector<std::string> many{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
    host.setLimits(limits, start);
    host.setHosts(many.size(), many, 0.1, start);
    BOOST_REQUIRE(!host.onRequest({1, "t", 1}, start + 1h).isGranted); // Not a home among ten hosts.
    const TimePoint moved = start + 2h;
    host.setHosts(2, {"a", "b"}, 0.5, moved);
    BOOST_TEST(!host.onRequest({2, "t", 1}, moved + 900ms).isGranted);
    BOOST_TEST(!host.onRequest({3, "t", 1'000}, moved + 1s).isGranted);
    BOOST_TEST(host.onRequest({4, "t", 300}, moved + 10s).isGranted);
}

BOOST_AUTO_TEST_CASE(aFleetThatRestartsServesItsTeamsAtOnceWithoutASecondBurst)
{
    // All hosts lose power under load and come back within a second. With empty pools most requests of the first seconds would be refused
    // although their teams are far below their rates; with full pools a team that had used up its burst would get it again.
    Fleet fleet(8, 1);
    // A quarter of the two pools, in whole requests.
    for (int i = 0; i < 8; ++i) {
        fleet.consume("h" + std::to_string(i), "large", 2'000);
    }
    BOOST_TEST(fleet.granted == 16'000);
    for (int i = 0; i < 200; ++i) {
        fleet.consume("h" + std::to_string(i % 8), "large", 2'000);
    }
    BOOST_TEST(fleet.granted < 45'000);
}

BOOST_AUTO_TEST_CASE(aTeamAboveItsRateGetsNoPromptFromEachOfHundredsOfHosts)
{
    // Guards against a limit that grows with the number of hosts: one team sends 4.6 times its usual tokens, in long prompts, to all hosts.
    constexpr std::size_t hosts = 295;
    constexpr double rate = 300'000;
    constexpr double prompt = 17'000;
    constexpr Duration step = 20ms;
    constexpr double seconds = 8;
    Fleet fleet(hosts, 3);
    for (auto &[name, host] : fleet.hosts) {
        host->setLimits(std::vector<TeamLimit>{{"large", rate, rate}}, fleet.now);
    }
    fleet.advance(10s);
    double pendingTokens = 0;
    for (double at = 0; at < seconds; at += toSeconds(step)) {
        for (pendingTokens += 4.6 * rate / 1.8 * toSeconds(step); pendingTokens >= prompt; pendingTokens -= prompt) {
            fleet.consume("h" + std::to_string(randomBelow(fleet.random, hosts)), "large", prompt);
        }
        fleet.advance(step);
    }
    BOOST_TEST(fleet.granted <= rate * (seconds + 1) + 2 * prompt);
}

BOOST_AUTO_TEST_CASE(aTeamWithinItsRateIsServedByHundredsOfHosts)
{
    // Guards against unused tokens in small shares on hundreds of hosts while prompts within the team's rate are refused.
    constexpr std::size_t hosts = 295;
    constexpr double rate = 300'000;
    constexpr double prompt = 17'000;
    constexpr Duration step = 20ms;
    Fleet fleet(hosts, 4);
    for (auto &[name, host] : fleet.hosts) {
        host->setLimits(std::vector<TeamLimit>{{"large", rate, rate}}, fleet.now);
    }
    fleet.advance(10s);
    double pendingTokens = 0;
    for (int i = 0; i < 1'500; ++i) {
        for (pendingTokens += rate / 1.8 * toSeconds(step); pendingTokens >= prompt; pendingTokens -= prompt) {
            fleet.consume("h" + std::to_string(randomBelow(fleet.random, hosts)), "large", prompt);
        }
        fleet.advance(step);
    }
    BOOST_TEST(fleet.refused < 0.01 * fleet.granted);
}

BOOST_AUTO_TEST_SUITE_END()

/// Measures the wasted part of a team's rate: tokens refused to a team within its rate because they are on other hosts. Traffic within
/// the rate is what a single token bucket for the whole fleet admits; tokens of it that the ledgers refuse count as wasted. Time is
/// virtual, so the results are the same on any machine.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include "coordination/share_ledger.h"
#include "core/random.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seeds = 20;
constexpr Duration messageDelay = 1ms;
constexpr Duration warmUp = 60s;
constexpr Duration measured = 120s;

enum class Skew
{
    Even,
    Half, ///< Half of the team's requests at one host, the rest at any host.
    One, ///< All requests at one host.
};

struct Scenario
{
    const char *name;
    std::size_t hosts;
    Skew skew;
    double load; ///< Offered load as a fraction of the team's rate.
    double burstSeconds; ///< Burst divided by rate.
    bool losesHost; ///< Whether one host dies when the measurement starts.
    Duration removedAfter; ///< When the configuration without the dead host is in force; zero for never.
};

struct Outcome
{
    double offered = 0;
    double wasted = 0;
    double wastedLate = 0; ///< From 10 s after the loss of the host.
    double offeredLate = 0; ///< Likewise.
    std::size_t drawn = 0; ///< Generated requests, before the ideal bucket.
    std::size_t requests = 0; ///< Requests that the ideal bucket admitted.
    std::size_t messages = 0;
    std::size_t asked = 0; ///< Requests that had to wait for replies of other hosts.

    Outcome &operator+=(const Outcome &other)
    {
        offered += other.offered;
        wasted += other.wasted;
        wastedLate += other.wastedLate;
        offeredLate += other.offeredLate;
        drawn += other.drawn;
        requests += other.requests;
        messages += other.messages;
        asked += other.asked;
        return *this;
    }
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, std::uint64_t seed)
        : scenario_(scenario)
        , random_(seed)
        , ideal_(TimePoint{})
    {
        configuration_ = {1, {}, {{"team", rate, rate * scenario.burstSeconds}}};
        for (std::size_t i = 0; i < scenario.hosts; ++i) {
            configuration_.hosts.push_back("h" + std::to_string(i));
        }
        for (const std::string &host : configuration_.hosts) {
            ledgers_.push_back(std::make_unique<ShareLedger>(host, "1", TimePoint{}));
            ledgers_.back()->setFreshUntil(TimePoint{} + 24h, TimePoint{});
            ledgers_.back()->setConfiguration(configuration_, TimePoint{}, true);
        }
        ideal_.setLimits(rate, rate * scenario.burstSeconds, TimePoint{});
        isAlive_.assign(scenario.hosts, true);
    }

    Outcome run()
    {
        scheduleRequest();
        if (scenario_.losesHost) {
            at(warmUp, [this] { isAlive_.back() = false; });
        }
        if (scenario_.removedAfter > 0s) {
            at(warmUp + scenario_.removedAfter, [this] { removeDeadHost(); });
        }
        while (!events_.empty() && events_.top().time < TimePoint{} + warmUp + measured) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        return outcome_;
    }

private:
    static constexpr double rate = 100'000;

    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    struct Request
    {
        double cost = 0;
        double used = 0;
        Duration duration{};
    };

    void at(Duration time, std::function<void()> action)
    {
        events_.push({TimePoint{} + time, ++order_, std::move(action)});
    }

    void later(Duration delay, std::function<void()> action)
    {
        at(now_.time_since_epoch() + delay, std::move(action));
    }

    double unit()
    {
        return boost::random::uniform_01<double>()(random_);
    }

    void removeDeadHost()
    {
        ++configuration_.version;
        configuration_.hosts.pop_back();
        for (const auto &ledger : ledgers_) {
            ledger->setConfiguration(configuration_, now_);
            ledger->onInForce(configuration_.version, now_);
        }
    }

    /// Three quarters are short prompts; the rest are long documents of up to 60,000 tokens.
    double drawCost()
    {
        return unit() < 0.75 ? 100 + 900 * unit() : 2'000 + 58'000 * std::pow(unit(), 3);
    }

    std::size_t drawHost()
    {
        std::size_t host = scenario_.skew == Skew::One || (scenario_.skew == Skew::Half && unit() < 0.5) ? 0 : randomBelow(random_, scenario_.hosts);
        return isAlive_[host] ? host : 0;
    }

    void scheduleRequest()
    {
        constexpr double meanCost = 0.75 * 550 + 0.25 * 16'500;
        constexpr double usedPart = 0.85;
        const double perSecond = rate * scenario_.load / (meanCost * usedPart);
        later(fromSeconds(boost::random::exponential_distribution<double>(perSecond)(random_)), [this] {
            const double cost = drawCost();
            const std::uint64_t id = ++lastRequest_;
            scheduleRequest();
            ++outcome_.drawn;
            if (!ideal_.consume(cost, now_)) {
                return;
            }
            const Request request{cost, cost * (0.7 + 0.3 * unit()), fromSeconds(1 + 4 * unit())};
            requests_[id] = request;
            later(request.duration, [this, request] { ideal_.refund(request.cost - request.used, now_); });
            count(cost, outcome_.offered, outcome_.offeredLate);
            ++outcome_.requests;
            const std::size_t host = drawHost();
            const ShareDecision decision = ledgers_[host]->admit("team", cost, id, now_);
            outcome_.asked += decision.verdict == ShareVerdict::Pending ? 1 : 0;
            handleDecision(host, decision);
        });
    }

    void count(double tokens, double &total, double &late) const
    {
        const Duration time = now_.time_since_epoch();
        total += time >= warmUp ? tokens : 0;
        late += time >= warmUp + 10s ? tokens : 0;
    }

    void handleDecision(std::size_t host, const ShareDecision &decision)
    {
        for (const DebitRequest &debitRequest : decision.debitRequests) {
            send(debitRequest.to, [this, host, debitRequest](ShareLedger &home) {
                const DebitReply reply = home.onDebitRequest(debitRequest, now_);
                send(reply.to, [this, host, reply](ShareLedger &requester) { handleDecision(host, requester.onDebitReply(reply, now_)); });
            });
        }
        settle(decision.settlements);
        const std::uint64_t id = decision.requestId;
        if (decision.verdict == ShareVerdict::Pending) {
            later(decision.deadline - now_, [this, host, id] { handleDecision(host, ledgers_[host]->onTimeout(id, now_)); });
        }
        if (decision.verdict == ShareVerdict::Refuse) {
            count(requests_[id].cost, outcome_.wasted, outcome_.wastedLate);
        }
        if (decision.verdict == ShareVerdict::Admit) {
            later(requests_[id].duration, [this, host, id] { settle(ledgers_[host]->settle(id, requests_[id].used, now_)); });
        }
    }

    void settle(const std::vector<DebitSettlement> &settlements)
    {
        for (const DebitSettlement &settlement : settlements) {
            send(settlement.to, [this, settlement](ShareLedger &home) { home.onSettlement(settlement, now_); });
        }
    }

    void send(const std::string &to, const std::function<void(ShareLedger &)> &deliver)
    {
        const auto target = static_cast<std::size_t>(std::stoi(to.substr(1)));
        ++outcome_.messages;
        if (isAlive_[target]) {
            later(messageDelay, [this, target, deliver] { deliver(*ledgers_[target]); });
        }
    }

    Scenario scenario_;
    Random random_;
    ShareBucket ideal_;
    ShareConfiguration configuration_;
    std::vector<std::unique_ptr<ShareLedger>> ledgers_;
    std::vector<bool> isAlive_;
    TimePoint now_;
    std::uint64_t order_ = 0;
    std::uint64_t lastRequest_ = 0;
    std::priority_queue<Event> events_;
    std::map<std::uint64_t, Request> requests_;
    Outcome outcome_;
};

} // namespace

int main()
{
    const std::vector<Scenario> scenarios = {
        {"healthy, even", 9, Skew::Even, 0.8, 4, false, 0s},
        {"healthy, half at one", 9, Skew::Half, 0.8, 4, false, 0s},
        {"healthy, all at one", 9, Skew::One, 0.8, 4, false, 0s},
        {"healthy, all at one, 95%", 9, Skew::One, 0.95, 4, false, 0s},
        {"healthy, even, 95%", 9, Skew::Even, 0.95, 4, false, 0s},
        {"healthy, 100 hosts, even", 100, Skew::Even, 0.8, 4, false, 0s},
        {"healthy, 100 hosts, all at one", 100, Skew::One, 0.8, 4, false, 0s},
        {"one lost, never removed, even", 9, Skew::Even, 0.8, 4, true, 0s},
        {"one lost, removed in 5 s, even", 9, Skew::Even, 0.8, 4, true, 5s},
        {"one lost, removed in 5 s, half", 9, Skew::Half, 0.8, 4, true, 5s},
        {"one lost, removed in 5 s, one", 9, Skew::One, 0.8, 4, true, 5s},
        {"one lost, removed in 5 s, 95%", 9, Skew::Even, 0.95, 4, true, 5s},
    };
    std::printf("%-32s %9s %9s %9s %12s %9s\n", "scenario", "wasted", "after 10s", "asked", "messages/req", "beyond");
    for (const Scenario &scenario : scenarios) {
        Outcome outcome;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            outcome += Simulation(scenario, seed).run();
        }
        const auto requests = static_cast<double>(outcome.requests);
        std::printf("%-32s %8.3f%% %8.3f%% %8.1f%% %12.2f %8.1f%%\n",
                    scenario.name,
                    100 * outcome.wasted / outcome.offered,
                    100 * outcome.wastedLate / outcome.offeredLate,
                    100 * static_cast<double>(outcome.asked) / requests,
                    static_cast<double>(outcome.messages) / requests,
                    100 * (1 - requests / static_cast<double>(outcome.drawn)));
    }
    return 0;
}

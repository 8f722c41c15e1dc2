#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "gateway/target_directory.h"
#include "tests/gateway/one_engine.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration deadline = 8s;
constexpr TimePoint start{1h};

/// Hosts that hear of weights at once or late, and ask one another. Datagrams take up to 3 ms or are lost.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : random_(seed)
    {
        const std::size_t count = 1 + randomBelow(random_, 8);
        for (std::size_t i = 0; i < count; ++i) {
            hosts_.emplace_back(deadline);
            hosts_.back().setTargets(oneEngine());
        }
        lossPercent_ = randomBelow(random_, 50);
    }

    /// Weights are named at `namedAt`. Half of the hosts at most hear late: they were cut off, stood still, or have just started.
    void name(TimePoint namedAt, std::int64_t version)
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            const bool isLate = i < hosts_.size() / 2 && randomBelow(random_, 2) == 0;
            const Duration delay = isLate ? milliseconds(longestDelay) : milliseconds(400);
            const Duration silence = isLate ? delay + milliseconds(2'000) : delay;
            const bool hasStarted = isLate && randomBelow(random_, 3) == 0;
            hosts_[i].setPublishedWeights({"m", version, namedAt + delay, hasStarted, hasStarted ? Duration::zero() : silence});
            isLate_.push_back(isLate);
        }
    }

    /// Each host that needs to asks three others, four times a second.
    void ask(TimePoint from, TimePoint until)
    {
        for (TimePoint now = from; now < until; now += 250ms) {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                for (int asked = 0; asked < 3 && hosts_[i].needsPublicationTime(now); ++asked) {
                    tell(hosts_[randomBelow(random_, hosts_.size())], hosts_[i], now);
                }
            }
        }
    }

    bool usesOlder(std::size_t host, TimePoint now) const
    {
        return hosts_[host].engines(now).at(0).isServing;
    }

    bool isLate(std::size_t host) const
    {
        return isLate_[host];
    }

    std::size_t size() const
    {
        return hosts_.size();
    }

private:
    static constexpr std::size_t longestDelay = 5'000; ///< Milliseconds. More than the youth of weights and what is left can't be made up for alone.

    Duration milliseconds(std::size_t most)
    {
        return std::chrono::milliseconds(randomBelow(random_, most));
    }

    void tell(const TargetDirectory &from, TargetDirectory &to, TimePoint now)
    {
        for (PublishedWeights weights : from.weightsWithKnownTime()) {
            if (randomBelow(random_, 100) >= lossPercent_ && now >= weights.publishedAt) {
                weights.publishedAt += milliseconds(3);
                to.updatePublicationTime(weights);
            }
        }
    }

    Random random_;
    std::vector<TargetDirectory> hosts_;
    std::vector<bool> isLate_;
    std::size_t lossPercent_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(noHostUsesOlderWeightsAfterTheDeadlineNorStopsLongBefore)
{
    // Any hosts of a fleet stand still, are cut off or restart while weights are named, and datagrams between them get lost. Callers must not
    // get answers of weights that no longer count, nor be refused while older ones may still be used.
    constexpr std::uint64_t seeds = 3'000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(seed);
        fleet.name(start, 2);
        fleet.ask(start + 5s, start + 6s);
        for (std::size_t host = 0; host < fleet.size(); ++host) {
            BOOST_TEST(!fleet.usesOlder(host, start + deadline), "seed " << seed << ": host " << host << " uses older weights");
            const bool isEarly = !fleet.isLate(host) && !fleet.usesOlder(host, start + olderWeightsGracePeriod(deadline) - 50ms);
            BOOST_TEST(!isEarly, "seed " << seed << ": host " << host << " stops too early");
        }
    }
}

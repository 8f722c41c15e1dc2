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

/// Simulates hosts that see publications promptly or late and ask each other for the publication time. Datagrams take up to 3 ms or are lost.
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

    /// Publishes weights at `publishedTime`. At most half of the hosts see them late: they were cut off, stalled or have just started.
    void publish(TimePoint publishedTime, std::int64_t version)
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            const bool isLate = i < hosts_.size() / 2 && randomBelow(random_, 2) == 0;
            const Duration delay = isLate ? randomDuration(maxDelayMilliseconds) : randomDuration(400);
            const Duration silence = isLate ? delay + randomDuration(2'000) : delay;
            const bool hasStarted = isLate && randomBelow(random_, 3) == 0;
            hosts_[i].setPublishedWeights({"m", version, publishedTime + delay, hasStarted, hasStarted ? Duration::zero() : silence});
            isLate_.push_back(isLate);
        }
    }

    /// Each host that needs the publication time asks up to three others, four times a second.
    void exchangeAges(TimePoint from, TimePoint until)
    {
        for (TimePoint now = from; now < until; now += 250ms) {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                for (int asked = 0; asked < 3 && hosts_[i].needsPublicationTime(now); ++asked) {
                    sendAges(hosts_[randomBelow(random_, hosts_.size())], hosts_[i], now);
                }
            }
        }
    }

    bool usesOlderWeights(std::size_t host, TimePoint now) const
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
    static constexpr std::size_t maxDelayMilliseconds =
        5'000; ///< A host alone can't compensate for more than `recentWeightsPeriod` plus the rest of the deadline after `olderWeightsGracePeriod`.

    Duration randomDuration(std::size_t maxMilliseconds)
    {
        return std::chrono::milliseconds(randomBelow(random_, maxMilliseconds));
    }

    void sendAges(const TargetDirectory &from, TargetDirectory &to, TimePoint now)
    {
        for (PublishedWeights weights : from.weightsWithKnownTime()) {
            if (randomBelow(random_, 100) >= lossPercent_ && now >= weights.publishedAt) {
                weights.publishedAt += randomDuration(3);
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

BOOST_AUTO_TEST_CASE(noHostUsesOlderWeightsAfterTheDeadlineOrStopsLongBefore)
{
    // Hosts stall, are cut off or restart while weights are published, and datagrams between them are lost. Callers must neither get results
    // of outdated weights nor be rejected while older weights may still be used.
    constexpr std::uint64_t seeds = 3'000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(seed);
        fleet.publish(start, 2);
        fleet.exchangeAges(start + 5s, start + 6s);
        for (std::size_t host = 0; host < fleet.size(); ++host) {
            BOOST_TEST(!fleet.usesOlderWeights(host, start + deadline), "seed " << seed << ": host " << host << " uses older weights");
            const bool isEarly = !fleet.isLate(host) && !fleet.usesOlderWeights(host, start + olderWeightsGracePeriod(deadline) - 50ms);
            BOOST_TEST(!isEarly, "seed " << seed << ": host " << host << " stops too early");
        }
    }
}

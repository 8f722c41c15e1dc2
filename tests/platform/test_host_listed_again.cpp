#define BOOST_TEST_MODULE host_listed_again
#include <atomic>

#include <boost/test/unit_test.hpp>

#include "coordination/forwarding_store.h"
#include "coordination/memory_store.h"
#include "core/metrics.h"
#include "gateway/gateway.h"
#include "gateway/host_duty.h"
#include "platform/protocols.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr Duration patience = 5s;
constexpr std::string_view hostKey = "fleet/hosts/a";

/// A store in memory whose clock the test moves, and whose watches may be deaf.
class MovedStore final : public ForwardingStore
{
public:
    MovedStore()
        : ForwardingStore(memory)
    {
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        constexpr Duration shortWait = 20ms; // So that the duty ends soon when the test does.
        StoreListReply reply = memory.watch(prefix, afterRevision, std::min(timeout, shortWait));
        if (isDeaf) {
            reply.entries.clear();
        }
        return reply;
    }

    /// Lets the time pass that a host stands still for; leases lapse by it.
    void passTime(Duration time)
    {
        passed = passed.load() + time;
    }

    std::atomic<Duration> passed = Duration::zero();
    std::atomic<bool> isDeaf = false;
    MemoryStore memory{[this] { return BootClock::now() + passed.load(); }};
};

struct HostFixture
{
    /// `earlier`: what an earlier process of the host has left in its key.
    explicit HostFixture(Duration leaseTimeToLive = 1h, std::string_view earlier = {})
        : duty(store, gateway, options(leaseTimeToLive))
    {
        if (!earlier.empty()) {
            store.memory.compareAndSwap(hostKey, 0, earlier, 0);
        }
        duty.start();
    }

    ~HostFixture()
    {
        duty.stop();
        duty.join();
    }

    static HostDuty::Options options(Duration leaseTimeToLive)
    {
        HostDuty::Options options;
        options.prefix = "fleet/";
        options.hostsPrefix = "fleet/hosts/";
        options.weightsPrefix = "fleet/weights/";
        options.hostName = "a";
        options.record.address = {"127.0.0.1", 1};
        options.leaseTimeToLive = leaseTimeToLive;
        options.leaderKey = "fleet/leader";
        options.quarantinePrefix = "fleet/quarantine/";
        options.versionsPrefix = "fleet/versions/";
        options.onLeader = [](const std::string & /*host*/) {};
        options.onHosts = [](const std::vector<std::string> & /*candidates*/, std::size_t /*hosts*/) {};
        return options;
    }

    /// Whether other hosts see this one before the test's patience ends.
    bool isListedInTime()
    {
        const TimePoint limit = BootClock::now() + patience;
        while (BootClock::now() < limit) {
            if (store.get(hostKey).status == StoreStatus::Ok) {
                return true;
            }
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    Metrics metrics;
    PlatformCallerProtocol callerProtocol;
    PlatformTargetProtocol targetProtocol;
    Gateway gateway{GatewayOptions{}, callerProtocol, targetProtocol, metrics};
    MovedStore store;
    HostDuty duty;
};

constexpr Duration shortLifetime = 600ms;

constexpr std::string_view earlierRecord = "127.0.0.2:1";

struct RestartFixture : HostFixture
{
    RestartFixture()
        : HostFixture(1h, earlierRecord)
    {
    }
};

struct ShortLeaseFixture : HostFixture
{
    ShortLeaseFixture()
        : HostFixture(shortLifetime)
    {
    }
};

/// What a host's duty is told of requests in quarantine.
class ToldRequests
{
public:
    HostDuty::Options listen(HostDuty::Options options)
    {
        options.hostName = "b";
        options.onQuarantined = [this](RequestFeature request) { told_ = request; };
        return options;
    }

    /// The request, or none if it isn't told before the test's patience ends.
    RequestFeature wait() const
    {
        const TimePoint limit = BootClock::now() + patience;
        while (told_.load() == RequestFeature{} && BootClock::now() < limit) {
            std::this_thread::sleep_for(5ms);
        }
        return told_;
    }

private:
    std::atomic<RequestFeature> told_{};
};

} // namespace

// Guards against hosts that start, or all of a fleet that restarts, and send a request on that has ended targets before.
BOOST_FIXTURE_TEST_CASE(aRequestInQuarantineIsKnownToHostsThatStartLater, HostFixture)
{
    constexpr RequestFeature request{0xabcdef0123456789};
    duty.recordQuarantine(request);
    const TimePoint limit = BootClock::now() + patience;
    while (store.list("fleet/quarantine/").entries.empty() && BootClock::now() < limit) {
        std::this_thread::sleep_for(5ms);
    }
    const StoreListReply kept = store.list("fleet/quarantine/");
    BOOST_REQUIRE(kept.entries.size() == 1U);
    BOOST_TEST(kept.entries.front().key == "fleet/quarantine/" + featureText(request));
    ToldRequests told;
    HostDuty later(store, gateway, told.listen(options(1h)));
    later.start();
    BOOST_TEST((told.wait() == request));
    later.stop();
    later.join();
}

// Guards against a leader that writes over a version which another one has recorded meanwhile.
BOOST_FIXTURE_TEST_CASE(aServingVersionIsRecordedOnce, HostFixture)
{
    constexpr std::string_view key = "fleet/versions/s";
    duty.recordServingVersions({{"s", "v1"}}, std::chrono::seconds(20));
    const TimePoint limit = BootClock::now() + patience;
    while (store.get(key).status != StoreStatus::Ok && BootClock::now() < limit) {
        std::this_thread::sleep_for(5ms);
    }
    const StoreReply first = store.get(key);
    BOOST_TEST(first.entry.value == "v1");
    store.isDeaf = true;
    store.compareAndSwap(key, first.entry.revision, "v2", 0);
    duty.recordServingVersions({{"s", "v3"}}, std::chrono::seconds(20));
    std::this_thread::sleep_for(600ms);
    BOOST_TEST(store.get(key).entry.value == "v2");
}

BOOST_FIXTURE_TEST_CASE(aHostThatStartsAgainTakesItsKeyOver, RestartFixture)
{
    // Guards against a host that is no longer counted once the lease of its earlier process ends.
    const TimePoint limit = BootClock::now() + patience;
    while (store.get(hostKey).entry.value == earlierRecord && BootClock::now() < limit) {
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST(store.get(hostKey).entry.value == hostRecordText(options(1h).record));
}

BOOST_FIXTURE_TEST_CASE(aHostWhoseKeyWentWithItsLeaseIsListedAgain, HostFixture)
{
    // A host is frozen by its machine for longer than its lease lives. When it goes on, its watch tells it that its own key is deleted
    // before a renewal has told it that the lease is gone, and it writes the key under the lease that no longer exists. A host that goes
    // on doing so is never listed again: the others ignore it and divide the teams' rates among themselves, while it serves callers
    // still, so that teams get more than their limits.
    BOOST_REQUIRE(isListedInTime());
    store.passTime(2h);
    BOOST_TEST(isListedInTime());
}

BOOST_FIXTURE_TEST_CASE(aHostThatHearsOfItsLapsedLeaseByARenewalIsListedAgain, ShortLeaseFixture)
{
    // The same, but the store's watch has not told of the deletion yet when the host renews its lease.
    BOOST_REQUIRE(isListedInTime());
    store.isDeaf = true;
    store.passTime(shortLifetime * 2);
    BOOST_TEST(isListedInTime());
}

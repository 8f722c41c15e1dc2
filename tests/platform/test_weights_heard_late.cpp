#define BOOST_TEST_MODULE weights_heard_late
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/forwarding_store.h"
#include "coordination/memory_store.h"
#include "gateway/configuration_duty.h"
#include "gateway/target_directory.h"
#include "platform/store_records.h"
#include "tests/gateway/one_engine.h"
#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const std::string weightsKey = "op/version/m";

/// A store that one host can be cut off from.
class CutStore final : public ForwardingStore
{
public:
    CutStore()
        : ForwardingStore(memory)
    {
    }

    StoreListReply list(std::string_view prefix) override
    {
        return isCut ? noted() : memory.list(prefix);
    }

    StoreListReply watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout) override
    {
        constexpr Duration shortWait = 20ms; // So that the cut is seen within a watch.
        return isCut ? noted() : memory.watch(prefix, afterRevision, std::min(timeout, shortWait));
    }

    void name(int version)
    {
        const StoreReply known = memory.get(weightsKey);
        const std::string value = R"({"model":"m","version":)" + std::to_string(version) + '}';
        memory.compareAndSwap(weightsKey, known.status == StoreStatus::Ok ? known.entry.revision : 0, value, 0);
    }

    MemoryStore memory;
    std::atomic<bool> isCut = false;
    std::atomic<int> failures = 0;

private:
    StoreListReply noted()
    {
        ++failures;
        return {};
    }
};

/// What a host has heard of named weights.
class Heard
{
public:
    void add(const PublishedWeights &weights)
    {
        const std::lock_guard lock(mutex_);
        all_.push_back(weights);
        changed_.notify_all();
    }

    std::vector<PublishedWeights> waitFor(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 10s, [&] { return all_.size() >= count; });
        return all_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<PublishedWeights> all_;
};

} // namespace

BOOST_AUTO_TEST_CASE(weightsNamedWhileAHostIsCutOffCountFromTheirNaming)
{
    // Weights are named while a host can't reach the store, and an engine is left out of the round. The host hears of them when the cut
    // heals and counted the time for older ones from then: its callers got answers of weights that no longer count for as much longer as
    // the cut had lasted.
    constexpr Duration deadline = 4s;
    PlatformStoreRecords records;
    CutStore store;
    Heard heard;
    ConfigurationFeed feed(records,
                           {[](const auto &, TimePoint) {}, [](std::int64_t, TimePoint) {}, [&heard](const PublishedWeights &weights) { heard.add(weights); }});
    store.name(1);
    ConfigurationDuty duty(store, records, feed);
    duty.start();
    BOOST_REQUIRE(heard.waitFor(1).size() == 1U);
    store.isCut = true;
    while (store.failures == 0) {
        std::this_thread::yield();
    }
    const TimePoint namedAt = BootClock::now();
    store.name(2);
    std::this_thread::sleep_for(1200ms);
    store.isCut = false;
    const auto all = heard.waitFor(2);
    duty.stop();
    duty.join();
    BOOST_REQUIRE(all.size() == 2U);

    TargetDirectory directory(deadline);
    directory.setTargets(oneEngine());
    for (const PublishedWeights &weights : all) {
        directory.setPublishedWeights(weights);
    }
    BOOST_TEST(directory.engines(namedAt + deadline / 2).at(0).isServing);
    BOOST_TEST(!directory.engines(namedAt + deadline).at(0).isServing);
}

BOOST_FIXTURE_TEST_CASE(weightsNamedWhileAHostStandsStillCountFromTheirNaming, GatewayFixture)
{
    // Three hosts stand still for four seconds, one of them the one that orders the engines, and 0.3 s into that new weights are named. The
    // host that takes over stands still as well, so that an engine keeps the older weights. Printers got replies from it 8.3 s after the
    // naming, where operators allow eight: a host that had stood still read the news when it went on, took that moment for the naming and
    // gave older weights the whole time anew. The hosts' readiness checks and traffic showed who stood still when; days of the same kind
    // played with their logs showed hosts that had, and no others, sending to older weights late, and none after the mend.
    constexpr Duration deadline = 4s;
    const std::string text = "Lovageloft-Model: m\r\nLovageloft-Token-Count: 10,1\r\nLovageloft-Prefix-Hash: a:10\r\n";
    onLoop([&](Gateway &gateway) {
        GatewayLimits limits;
        limits.weightsDeadline = deadline;
        limits.configurationWindow = 1h; // No proof of the configuration comes here.
        limits.keyProofWindow = 1h;
        gateway.setLimits(limits);
    });
    addEngine("e", {"m", 1}, [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { connection.answer(request, 200, "old"); });
    const TimePoint namedAt = BootClock::now();
    holdUp(1800ms);
    onLoop([](Gateway &gateway) { gateway.setPublishedWeights({"m", 2, BootClock::now()}); });
    BOOST_TEST(exchange(request("POST", "/safe/x", {}, text)).ends_with("old"));
    std::this_thread::sleep_for(namedAt + deadline - BootClock::now());
    BOOST_TEST(exchange(request("POST", "/safe/x", {}, text)).starts_with("HTTP/1.1 503 "));
}

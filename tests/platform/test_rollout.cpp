#define BOOST_TEST_MODULE rollout
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

void answerWell(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request)
{
    connection.answer(request, 200, "whole");
}

void answerFailing(ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request)
{
    connection.answer(request, 500, "failed");
}

/// A gateway that is the only host and the leader, with a store that takes each record at once; three targets of v1 serve.
class Fixture : public GatewayFixture
{
public:
    Fixture()
    {
        for (const char *id : {"a", "b", "c"}) {
            old_.push_back(&addVersion(id, "v1", answerWell));
        }
        onLoop([this](Gateway &gateway) {
            GatewayLimits limits;
            limits.exposure = {0.1, 50, 5s};
            limits.retries = {0.2, 50};
            limits.keyProofWindow = 60s; // The fixture proves the configuration once.
            gateway.setLimits(limits);
            gateway.setLeader("host");
            gateway.rollouts().setLeaseClock([] { return BootClock::now() + 1s; });
            gateway.rollouts().setWriter([this, &gateway](const std::string &service, const RolloutRecord &record) {
                gateway.post([this, service, record](Gateway &host) {
                    host.rollouts().setRecord(service, record);
                    const std::lock_guard lock(mutex_);
                    records_.push_back(record);
                });
            });
        });
    }

    void addNew(const ScriptedTarget::Script &script)
    {
        for (const char *id : {"x", "y", "z"}) {
            new_.push_back(&addVersion(id, "v2", script));
        }
    }

    void order(Duration duration)
    {
        onLoop([duration](Gateway &gateway) { gateway.rollouts().setOrder("s", {{"s", "v2", duration}, 7, BootClock::now()}); });
    }

    /// Sends requests until the rollout has this phase; returns whether it has come within `timeout`.
    bool serveUntil(RolloutPhase phase, Duration timeout)
    {
        const TimePoint limit = BootClock::now() + timeout;
        while (!hasReached(phase) && BootClock::now() < limit) {
            exchange(request("GET", requests_++ % 2 == 0 ? "/safe/x" : "/once/x"));
            std::this_thread::sleep_for(2ms);
        }
        return hasReached(phase);
    }

    bool hasReached(RolloutPhase phase)
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(records_.begin(), records_.end(), [phase](const RolloutRecord &record) { return record.phase == phase; });
    }

    static int received(const std::vector<ScriptedTarget *> &targets)
    {
        int count = 0;
        for (const ScriptedTarget *target : targets) {
            count += target->requests();
        }
        return count;
    }

    int requests_ = 0;
    std::vector<ScriptedTarget *> old_;
    std::vector<ScriptedTarget *> new_;

private:
    std::mutex mutex_;
    std::vector<RolloutRecord> records_;
};

} // namespace

// Guards against a good version that gets too much before it is trusted, or never gets the traffic.
BOOST_FIXTURE_TEST_CASE(aGoodVersionTakesOverWithinItsLimits, Fixture)
{
    addNew(answerWell);
    order(12s);
    BOOST_TEST(serveUntil(RolloutPhase::Switching, 12s));
    BOOST_TEST(received(new_) <= 0.1 * requests_ + 50);
    BOOST_TEST(received(new_) >= 20);
    BOOST_TEST(serveUntil(RolloutPhase::Completed, 2s));
    const int before = received(old_);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(exchange(request("GET", "/safe/x")).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(received(old_) == before);
}

// Guards against callers that get failures of a new version until the deadline of its rollout, or after it was rolled back.
BOOST_FIXTURE_TEST_CASE(aFailingVersionIsRolledBack, Fixture)
{
    addNew(answerFailing);
    order(12s);
    BOOST_TEST(serveUntil(RolloutPhase::RolledBack, 12s));
    BOOST_TEST(received(new_) <= 50);
    const int before = received(new_);
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(exchange(request("GET", "/safe/x")).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(received(new_) == before);
    BOOST_TEST(!hasReached(RolloutPhase::Switching));
}

// Guards against a call that is cut off as its target stops on completion of the rollout.
BOOST_FIXTURE_TEST_CASE(aRunningCallHoldsTheCompletionBack, Fixture)
{
    RoutingTable patient = table(2);
    patient.routes[1].timeout = 10s;
    configure(patient);
    std::atomic<bool> mayEnd = false;
    for (const char *id : {"d", "e", "f"}) {
        old_.push_back(&addVersion(id, "v1", [&mayEnd](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &sent) {
            while (sent.body == "long" && !mayEnd) {
                std::this_thread::sleep_for(5ms);
            }
            connection.answer(sent, 200, "whole");
        }));
    }
    addNew(answerWell);
    order(12s);
    std::vector<std::thread> calls;
    std::atomic<int> served = 0;
    BOOST_TEST(!serveUntil(RolloutPhase::Switching, 6s));
    constexpr int callCount = 12;
    calls.reserve(callCount);
    for (int i = 0; i < callCount; ++i) {
        calls.emplace_back([this, &served] {
            std::string call = request("POST", "/once/x", "long");
            call.replace(call.find("1500"), 4, "9000");
            served += exchange(call).starts_with("HTTP/1.1 200") ? 1 : 0;
        });
    }
    BOOST_TEST(serveUntil(RolloutPhase::Switching, 6s));
    BOOST_TEST(!serveUntil(RolloutPhase::Completed, 600ms));
    mayEnd = true;
    BOOST_TEST(serveUntil(RolloutPhase::Completed, 2s));
    for (std::thread &call : calls) {
        call.join();
    }
    BOOST_TEST(served == callCount);
}

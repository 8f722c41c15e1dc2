#include <array>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/system/correction_system.h"

using namespace Lovageloft;

namespace
{

constexpr int okStatus = 200;
constexpr std::size_t hosts = 3;
constexpr std::string_view down = R"({"down":true})";
} // namespace

BOOST_FIXTURE_TEST_SUITE(NonIdempotentSystemTest, CorrectionSystem)

BOOST_AUTO_TEST_CASE(retriesAtAllHostsGetTheKeptAnswer)
{
    // A clerk's program lodges a correction, loses the answer on its own side and tries again through other hosts. A second
    // execution would issue the erratum twice.
    Correction lodged = makeCorrection("kept");
    for (std::size_t i = 0; i < 2 * hosts; ++i) {
        const CallerAnswer answer = lodge(lodged, i % hosts);
        BOOST_TEST(answer.status == okStatus, answer.head << answer.body);
    }
    BOOST_TEST(executions(lodged) == 1);
    check(lodged);
}

BOOST_AUTO_TEST_CASE(simultaneousTriesAtAllHostsRunOnce)
{
    // An impatient program sends the same correction through every host at the same moment. Each host finds no claim when it looks.
    std::vector<Correction> tries(hosts, makeCorrection("race"));
    planServiceFault(R"({"delay_ms":300,"times":1})");
    {
        std::array<std::jthread, hosts> callers;
        for (std::size_t i = 0; i < hosts; ++i) {
            callers[i] = std::jthread([&, i] { lodge(tries[i], i); });
        }
    }
    BOOST_TEST(executions(tries[0]) == 1);
    Correction last = makeCorrection("race");
    BOOST_TEST(lodge(last, 0).status == okStatus);
    for (const Correction &lodged : tries) {
        BOOST_TEST((lodged.answers.empty() || lodged.answers == last.answers));
        BOOST_TEST(!lodged.lastWasNotRun);
    }
}

BOOST_AUTO_TEST_CASE(lostAnswersOfTheStoreRunNothingTwice)
{
    // The store takes the claim and its answer is lost. A host that wrote the claim once more would find its own and take it for
    // another's; one that went on without it would let a retry elsewhere run the correction again.
    for (int i = 0; i < 6; ++i) {
        Correction lodged = makeCorrection("lost-" + std::to_string(i));
        planFault(store(), R"({"lose_answers":)" + std::to_string(1 + i % 3) + "}");
        lodge(lodged, static_cast<std::size_t>(i) % hosts);
        planFault(store(), "{}");
        const CallerAnswer answer = lodge(lodged, static_cast<std::size_t>(i + 1) % hosts);
        BOOST_TEST((answer.status == okStatus || answer.body.find("not_run") == std::string::npos), answer.head << answer.body);
        check(lodged);
    }
}

BOOST_AUTO_TEST_CASE(nothingIsSentWhileTheStoreIsDown)
{
    // Without the store no claim can be made, and a correction that was sent all the same could be sent again by another host.
    planFault(store(), down);
    Correction lodged = makeCorrection("down");
    for (std::size_t i = 0; i < hosts; ++i) {
        BOOST_TEST(lodge(lodged, i).status != okStatus);
    }
    BOOST_TEST(executions(lodged) == 0);
    planFault(store(), "{}");
    BOOST_TEST(waitFor(patience, [&] { return lodge(lodged, 0).status == okStatus; }));
    BOOST_TEST(executions(lodged) == 1);
    check(lodged);
}

BOOST_AUTO_TEST_CASE(aHostKilledBetweenSendingAndAnsweringRunsNothingTwice)
{
    // The host dies after it sent the correction and before the answer came. Nobody knows whether it ran; a retry elsewhere must
    // be told so rather than run it again, or be told that it did not run.
    Correction lodged = makeCorrection("killed");
    planServiceFault(R"({"delay_ms":1000,"times":1})");
    {
        const std::jthread caller([&] { lodge(lodged, 0); });
        const auto isReceived = [this] {
            return numberIn(record(service(0)), "received") + numberIn(record(service(1)), "received") > static_cast<std::int64_t>(hosts);
        };
        BOOST_TEST(waitFor(patience, isReceived));
        host(0).kill();
    }
    const CallerAnswer elsewhere = lodge(lodged, 1);
    BOOST_TEST(elsewhere.status != okStatus);
    BOOST_TEST(elsewhere.body.find("may_have_run") != std::string::npos, elsewhere.body);
    restartHost(0);
    BOOST_TEST(waitFor(patience, [this] { return isReady(0); }));
    BOOST_TEST(lodge(lodged, 0).body.find("may_have_run") != std::string::npos);
    BOOST_TEST(waitFor(patience, [&] { return executions(lodged) == 1; }));
    check(lodged);
}

BOOST_AUTO_TEST_CASE(aServiceThatLosesItsAnswerOrFreezesRunsNothingTwice)
{
    // The service carries the correction out and its connection breaks, or goes silent for good. The other service would gladly
    // run it again.
    for (const std::string_view fault : {R"({"lose_answer":true})", R"({"freeze":true})"}) {
        Correction lodged = makeCorrection("answer-" + std::to_string(fault.size()));
        planServiceFault(fault);
        for (std::size_t i = 0; i < 2 * hosts; ++i) {
            const CallerAnswer answer = lodge(lodged, i % hosts);
            BOOST_TEST(answer.status != okStatus);
            BOOST_TEST(answer.body.find("may_have_run") != std::string::npos, answer.head << answer.body);
        }
        BOOST_TEST(executions(lodged) == 1);
        check(lodged);
        planServiceFault(R"({"times":0})");
    }
}

BOOST_AUTO_TEST_SUITE_END()

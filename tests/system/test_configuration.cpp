#include <boost/test/unit_test.hpp>

#include "tests/system/stream_outcome.h"
#include "tests/system/system_fixture.h"

using namespace Lovageloft;

namespace
{

constexpr int okStatus = 200;
constexpr int tokens = 20;
/// What "within seconds" may last.
constexpr std::chrono::seconds withdrawalLimit{5};
constexpr std::string_view secondKey = "lk-desk-second-key";

bool isKeyRefused(const CallerAnswer &answer)
{
    return answer.code() == static_cast<int>(ResultCode::UnknownKey) || answer.code() == static_cast<int>(ResultCode::KeyWithdrawn);
}

/// Calls with a withdrawn key until they are refused for it.
bool isRefusedWithin(const SystemFixture &system, std::size_t host, Duration limit, std::string_view key)
{
    return waitFor(limit, [&] { return isKeyRefused(system.call(host, SystemFixture::chat(1, true, key))); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationSystemTest)

BOOST_FIXTURE_TEST_CASE(aTicketIsInForceAtEveryHostAndEveryHostStreams, SystemFixture)
{
    TeamConfiguration team = desk();
    team.keys.push_back(makeKeyDigest("lk-desk-second", secondKey));
    const TimePoint committed = BootClock::now();
    const std::int64_t sequence = applyTicket(1, {team});
    BOOST_TEST_REQUIRE(sequence == 2);
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(waitFor(std::chrono::seconds(2), [&] { return isInForce(i, sequence); }));
        const CallerAnswer answer = call(i, chat(tokens, true, secondKey));
        BOOST_TEST(judgeStream(answer, tokens) == StreamOutcome::Whole, answer.head << answer.body);
    }
    BOOST_TEST_MESSAGE("in force and served at every host after " << toSeconds(BootClock::now() - committed) << " s");
}

BOOST_FIXTURE_TEST_CASE(aWithdrawnKeyIsRefusedAlsoByAHostThatSleptThroughTheWithdrawal, SystemFixture)
{
    // A host is paused by its machine, and meanwhile an operator withdraws a key. When the host wakes it still holds the old
    // configuration; if it trusted it, whoever stole the key would go on being served there.
    TeamConfiguration team = desk();
    team.keys = {makeKeyDigest("lk-desk-second", secondKey)};
    host(2).freeze();
    const std::int64_t sequence = applyTicket(0, {team});
    BOOST_TEST_REQUIRE(sequence == 2);
    BOOST_TEST(isRefusedWithin(*this, 0, withdrawalLimit, deskKey));
    BOOST_TEST(isRefusedWithin(*this, 1, withdrawalLimit, deskKey));
    BOOST_TEST(waitFor(patience, [&] { return isInForce(0, sequence); }));
    host(2).resume();
    // The entry is in force: from here on not one call may be served with the key, the first one neither.
    const CallerAnswer first = call(2, chat(1));
    BOOST_TEST(first.status != okStatus, first.head << first.body);
    BOOST_TEST(isRefusedWithin(*this, 2, withdrawalLimit, deskKey));
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(waitFor(patience, [&] { return judgeStream(call(i, chat(tokens, true, secondKey)), tokens) == StreamOutcome::Whole; }));
    }
}

BOOST_FIXTURE_TEST_CASE(aKeyWithdrawnJustBeforeTheStoreGoesDownIsRefusedAtEveryHost, SystemFixture)
{
    // The store takes the ticket and goes down before any watch has told the others. They must learn it from the host that committed
    // it; otherwise the key works at them for as long as the outage lasts.
    TeamConfiguration team = desk();
    team.keys = {makeKeyDigest("lk-desk-second", secondKey)};
    const std::int64_t sequence = applyTicket(0, {team});
    planFault(store(), R"({"down":true})");
    BOOST_TEST_REQUIRE(sequence == 2);
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(isRefusedWithin(*this, i, withdrawalLimit, deskKey));
    }
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(waitFor(patience, [&] { return isInForce(i, sequence); }));
        BOOST_TEST(judgeStream(call(i, chat(tokens, true, secondKey)), tokens) == StreamOutcome::Whole);
    }
}

BOOST_FIXTURE_TEST_CASE(aTicketWhileTheStoreIsDownIsRefusedAndChangesNothing, SystemFixture)
{
    // An operator withdraws a key during an outage of the store. Nothing can be committed, and the operator must be told so rather
    // than believe that the key is gone.
    planFault(store(), R"({"down":true})");
    TeamConfiguration team = desk();
    team.keys = {makeKeyDigest("lk-desk-second", secondKey)};
    BOOST_TEST(applyTicket(0, {team}) == 0);
    BOOST_TEST(judgeStream(call(0, chat(tokens)), tokens) == StreamOutcome::Whole);
    planFault(store(), "{}");
    BOOST_TEST(waitFor(patience, [&] { return applyTicket(1, {team}) == 2; }));
    for (std::size_t i = 0; i < hostCount(); ++i) {
        BOOST_TEST(isRefusedWithin(*this, i, withdrawalLimit, deskKey));
    }
}

BOOST_AUTO_TEST_SUITE_END()

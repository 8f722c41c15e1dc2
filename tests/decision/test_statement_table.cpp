#include <boost/test/unit_test.hpp>

#include "decision/statement_table.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const TimePoint start = TimePoint{} + 1h;

struct TableFixture
{
    StatementTable table{"h"};

    std::optional<StatementTable::Update> hear(std::optional<double> value, Duration sent, Duration answered, std::int64_t incarnation = 1)
    {
        return table.onAnswer({"t", incarnation, StatementKind::RateLimit, value.has_value(), value, start + sent}, start + answered);
    }

    std::optional<double> limit(Duration at) const
    {
        return table.rateLimit("t", start + at);
    }
};

StatementTable::Update update(double value, Duration at, bool isEnded = false, std::int64_t incarnation = 1)
{
    return {{"t", incarnation, StatementKind::RateLimit, value, start + at, start + at, "o"}, isEnded};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatementTableTest, TableFixture)

BOOST_AUTO_TEST_CASE(onlyChangesAreTold)
{
    BOOST_TEST(hear(2, 0s, 1s).has_value());
    BOOST_TEST(!hear(2, 1s, 2s).has_value());
    BOOST_TEST(hear(3, 3s, 4s).has_value());
    BOOST_TEST((limit(4s) == 3.0));
}

// Guards against a limit that is taken back by an answer which the target gave before it stated the limit.
BOOST_AUTO_TEST_CASE(anEarlierAnswerDoesNotEndOrRaiseALimit)
{
    hear(2, 0s, 1s);
    BOOST_TEST(!hear(std::nullopt, 900ms, 1500ms).has_value());
    BOOST_TEST(!hear(5, 900ms, 1500ms).has_value());
    BOOST_TEST((limit(2s) == 2.0));
    BOOST_TEST(hear(1, 900ms, 1600ms).has_value());
    BOOST_TEST((limit(2s) == 1.0));
}

// Guards against hosts that all go back to full use of a target in the moment in which its limit ends.
BOOST_AUTO_TEST_CASE(aLimitRisesInStepsAfterItsEnd)
{
    hear(2, 0s, 1s);
    const auto ended = hear(std::nullopt, 2s, 3s);
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(ended->isEnded);
    BOOST_TEST((limit(3s) == 4.0));
    BOOST_TEST((limit(3900ms) == 32.0));
    BOOST_TEST(!limit(5s).has_value());
    table.expire(start + 6s);
    BOOST_TEST(table.isEmpty());
}

BOOST_AUTO_TEST_CASE(anUnreadableValueLeavesTheLimitInForce)
{
    hear(2, 0s, 1s);
    BOOST_TEST(!table.onAnswer({"t", 1, StatementKind::RateLimit, true, std::nullopt, start + 2s}, start + 3s).has_value());
    BOOST_TEST((limit(3s) == 2.0));
}

BOOST_AUTO_TEST_CASE(overtakenUpdatesAndEarlierIncarnationsAreIgnored)
{
    BOOST_TEST(table.onUpdate(update(2, 2s)));
    BOOST_TEST(!table.onUpdate(update(4, 1s)));
    BOOST_TEST(!table.onUpdate(update(4, 3s, false, 0)));
    BOOST_TEST(table.onUpdate(update(5, 1s, false, 2)));
    BOOST_TEST((limit(3s) == 5.0));
    BOOST_TEST(table.onUpdate(update(5, 4s, true, 2)));
    BOOST_TEST(table.find("t", StatementKind::RateLimit) == nullptr);
}

// Guards against a limit that holds for good after the target has got no request that could tell its end.
BOOST_AUTO_TEST_CASE(aLimitThatIsNotHeardAgainLapses)
{
    hear(2, 0s, 1s);
    BOOST_TEST(table.expire(start + 60s).empty());
    table.confirm("t", StatementKind::RateLimit, start + 60s);
    BOOST_TEST(table.expire(start + 120s).empty());
    BOOST_TEST(table.expire(start + 121s).size() == 1U);
    BOOST_TEST(table.find("t", StatementKind::RateLimit) == nullptr);
}

// Guards against a target that has stated that it takes no requests, and is sent none by which to tell the end of that.
BOOST_AUTO_TEST_CASE(aTargetThatTakesNoRequestsIsTriedAgain)
{
    hear(0, 0s, 1s);
    BOOST_TEST((limit(10s) == 0.0));
    BOOST_TEST(table.expire(start + 12s).size() == 1U);
    BOOST_TEST((limit(12s) == 2.0));
}

BOOST_AUTO_TEST_CASE(statementsOfUnlistedTargetsAndFormerIncarnationsAreDropped)
{
    hear(2, 0s, 1s);
    table.retainListed([](std::string_view) { return std::optional<std::int64_t>(1); });
    BOOST_TEST(!table.isEmpty());
    table.retainListed([](std::string_view) { return std::optional<std::int64_t>(2); });
    BOOST_TEST(table.isEmpty());
}

// Guards against a target that comes back, has stated nothing yet and gets more at once than it can reject.
BOOST_AUTO_TEST_CASE(aTargetThatStartsIsTakenToStateWhatOthersDoUntilItAnswers)
{
    table.presumeRejectionLimit("t", 2, 4, start);
    BOOST_TEST(table.find("t", StatementKind::RejectionLimit)->value == 4);
    table.presumeRejectionLimit("t", 2, 9, start + 1s);
    BOOST_TEST(table.find("t", StatementKind::RejectionLimit)->value == 4);
    table.onAnswer({"t", 2, StatementKind::RejectionLimit, false, {}, start + 2s}, start + 3s);
    BOOST_TEST(table.find("t", StatementKind::RejectionLimit) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

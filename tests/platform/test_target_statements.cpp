#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/target_statements.h"
#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;

namespace
{

StatementFacts read(std::vector<HttpField> fields)
{
    HttpHead head;
    head.status = 200;
    head.fields = std::move(fields);
    return readStatements(head);
}

struct ReadableValue
{
    const char *text;
    double value;
};

std::ostream &operator<<(std::ostream &out, const ReadableValue &value)
{
    return out << value.text;
}

const ReadableValue readableValues[] = {{"2.1", 2.1}, {"2,1", 2.1}, {"21e-1", 2.1}, {"0", 0}, {"0.05", 0.05}, {"120", 120}};
const char *const unreadableValues[] = {"", "-1", "-0", "nan", "inf", "1e999", "2.1 a second", "2.1.1", "+2", "0x2"};

} // namespace

BOOST_AUTO_TEST_SUITE(TargetStatementsTest)

BOOST_DATA_TEST_CASE(aStatedRateIsRead, boost::unit_test::data::make(readableValues), expected)
{
    for (const char *name : {"Server-Limit", "lovageloft-server-limit"}) {
        const StatementFacts facts = read({{name, expected.text}});
        BOOST_REQUIRE(facts.statements.size() == 1U);
        BOOST_TEST((facts.statements.front().kind == StatementKind::RateLimit));
        BOOST_TEST(!facts.statements.front().isAmbiguous);
        BOOST_TEST(facts.statements.front().value.value_or(-1) == expected.value);
    }
}

BOOST_DATA_TEST_CASE(anUnreadableRateIsAmbiguous, boost::unit_test::data::make(unreadableValues), text)
{
    const StatementFacts facts = read({{"Server-Limit", text}});
    BOOST_REQUIRE(facts.statements.size() == 1U);
    BOOST_TEST(facts.statements.front().isAmbiguous);
    BOOST_TEST(!facts.statements.front().value.has_value());
}

BOOST_AUTO_TEST_CASE(ofTwoValuesTheSmallerOneHolds)
{
    const StatementFacts facts = read({{"Server-Limit", "5"}, {"Server-Brittle", "7"}, {"Server-Limit", "3"}, {"Server-Limit", "x"}});
    BOOST_REQUIRE(facts.statements.size() == 2U);
    BOOST_TEST(facts.statements[0].value.value_or(-1) == 3);
    BOOST_TEST(facts.statements[0].isAmbiguous);
    BOOST_TEST((facts.statements[1].kind == StatementKind::RejectionLimit));
}

// Guards against a new line of the targets' contract that nobody reads and nothing shows.
BOOST_AUTO_TEST_CASE(anUnknownStatementIsCountedAndShown)
{
    GatewayFixture gateway;
    gateway.addTarget("a", [](GatewayFixture::Connection &connection, const GatewayFixture::Request &request) {
        connection.answer(request, 200, "whole", "Lovageloft-Server-Mood: 3\r\nServer: stand-in\r\nServer-Limit: 50\r\n");
    });
    const std::string answer = gateway.exchange(GatewayFixture::request("GET", "/safe/x"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(!contains(answer, "Server-Limit"));
    const std::string metrics = gateway.askOperator("/metrics");
    BOOST_TEST(contains(metrics, "lovageloft_target_fields_unknown_total{field=\"Lovageloft-Server-Mood\"} 1"));
    BOOST_TEST(contains(metrics, "lovageloft_target_statements_total{kind=\"rate_limit\"} 1"));
    BOOST_TEST(!contains(metrics, "field=\"Server\""));
}

BOOST_AUTO_TEST_SUITE_END()

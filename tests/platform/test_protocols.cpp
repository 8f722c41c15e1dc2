#include <boost/test/unit_test.hpp>

#include "platform/protocols.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

const PlatformCallerProtocol callers;
const PlatformTargetProtocol targets;

HttpHead head(std::vector<HttpField> fields)
{
    HttpHead head;
    head.method = "POST";
    head.path = "/a?b";
    head.fields = std::move(fields);
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProtocolsTest)

BOOST_AUTO_TEST_CASE(aRequestIsReadWithItsParts)
{
    Reason reason;
    const auto request = callers.read(head({{"Lovageloft-Request-Id", "r1"},
                                            {"Lovageloft-Deadline-Ms", "6000"},
                                            {"Lovageloft-Token-Count", "1460,80"},
                                            {"lovageloft-prefix-hash", "5c1e07a2:800,ffffffffffffffff:410"},
                                            {"Api-Key", "k"}}),
                                      reason);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST((request->timeout == 6s));
    BOOST_TEST((request->promptTokens == 1460U));
    BOOST_TEST(request->outputTokens == 80U);
    BOOST_REQUIRE(request->parts.size() == 2U);
    BOOST_TEST(request->parts[0].hash == 0x5c1e07a2U);
    BOOST_TEST(request->parts[1].tokens == 410U);
}

BOOST_AUTO_TEST_CASE(aFieldThatCannotBeReadRefusesTheRequest)
{
    Reason reason;
    BOOST_TEST(!callers.read(head({{"Lovageloft-Deadline-Ms", "6000"}}), reason).has_value());
    BOOST_TEST(!callers.read(head({{"Lovageloft-Request-Id", "r"}, {"Lovageloft-Deadline-Ms", "-1"}}), reason).has_value());
    BOOST_TEST(!callers.read(head({{"Lovageloft-Request-Id", "r"}, {"Lovageloft-Token-Count", "10"}}), reason).has_value());
    BOOST_TEST(!callers.read(head({{"Lovageloft-Request-Id", "r"}, {"Lovageloft-Prefix-Hash", "xyz:1"}}), reason).has_value());
}

BOOST_AUTO_TEST_CASE(whatMayHaveRunIsNeverSaidNotToHave)
{
    // A clerk whose correction may have run reads "busy, come back": the correction is lodged again and printed twice.
    for (const ResultCodeInfo &info : resultCodeTable()) {
        const int status = callers.statusOf({info.code, {}}, RunState::MayHaveRun);
        BOOST_TEST((status != 503 && status != 429 && status != 408 && status != 421));
    }
}

BOOST_AUTO_TEST_CASE(aTargetSeesTheTeamAndNeitherTheKeyNorWhatACallerMadeUp)
{
    // A caller sets the fields that are the router's: it would read another team's cache, hold memory, or run as another team.
    const std::string text =
        targets.writeHead(head({{"Host", "h"},
                                {"Lovageloft-Request-Id", "r"},
                                {"Lovageloft-Model", "m"},
                                {"Api-Key", "secret"},
                                {"Lovageloft-Tenant", "forged"},
                                {"Lovageloft-Cache-Salt", "forged"},
                                {"Lovageloft-Kv-Hold", "forged"},
                                {"Lovageloft-Kv-Fetch", "forged"},
                                {"Lovageloft-Pin-Ms", "forged"},
                                {"Lovageloft-Kv-Backup", "forged"},
                                {"Kv-From", "forged"},
                                {"Lovageloft-Expect-Instance", "forged"},
                                {"Lovageloft-Deadline-Ms", "6000"},
                                {"Connection", "x-private"},
                                {"X-Private", "forged"},
                                {"Transfer-Encoding", "chunked"},
                                {"X-Kept", "y"}}),
                          {.targetId = "i-1", .team = "team", .timeLeft = 1500ms, .isForEngine = true, .weightsVersion = 3, .cacheSalt = "3/team"},
                          4);
    BOOST_TEST((text.find("secret") == std::string::npos));
    BOOST_TEST((text.find("forged") == std::string::npos));
    for (const std::string_view line : {"POST /a?b HTTP/1.1\r\n",
                                        "\r\nHost: h\r\n",
                                        "\r\nLovageloft-Request-Id: r\r\n",
                                        "\r\nLovageloft-Tenant: team\r\n",
                                        "\r\nLovageloft-Expect-Instance: i-1\r\n",
                                        "\r\nLovageloft-Expect-Version: 3\r\n",
                                        "\r\nLovageloft-Cache-Salt: 3/team\r\n",
                                        "\r\nLovageloft-Deadline-Ms: 1500\r\n",
                                        "\r\nContent-Length: 4\r\n",
                                        "\r\nX-Kept: y\r\n"}) {
        BOOST_TEST_CONTEXT(line)
        {
            BOOST_TEST((text.find(line) != std::string::npos));
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyAPromiseCountsAsNotExecuted)
{
    HttpHead answer;
    answer.status = 503;
    BOOST_TEST(!targets.readAnswer(answer).isNotExecuted);
    answer.fields = {{"Lovageloft-Not-Executed", "1"}, {"Lovageloft-Server-Load", "3,1,8"}};
    const AnswerFacts full = targets.readAnswer(answer);
    BOOST_TEST((full.isNotExecuted && !full.isTargetMismatch));
    BOOST_REQUIRE(full.load.has_value());
    BOOST_TEST(full.load->waiting == 1U);
    answer.status = 421;
    BOOST_TEST(targets.readAnswer(answer).isTargetMismatch);
}

// Guards against load headers with a pace being dropped whole, and against malformed ones being taken for none.
BOOST_AUTO_TEST_CASE(aLoadOfThreeOrFourFiguresIsRead)
{
    const auto read = [](const std::string &value) {
        HttpHead answer;
        answer.status = 200;
        answer.fields = {{"Lovageloft-Server-Load", value}};
        return targets.readAnswer(answer);
    };
    const AnswerFacts three = read("8,0,24");
    BOOST_REQUIRE(three.load.has_value());
    BOOST_TEST((three.load->running == 8U && three.load->slots == 24U && !three.load->pace && !three.isLoadMalformed));
    const AnswerFacts four = read("8,2,24,130");
    BOOST_REQUIRE(four.load.has_value());
    BOOST_TEST(four.load->waiting == 2U);
    BOOST_TEST(four.load->pace.value_or(0) == 1.3);
    for (const char *malformed : {"8", "8,0", "8,0,x", "-8,0,24"}) {
        BOOST_TEST(!read(malformed).load.has_value());
        BOOST_TEST(read(malformed).isLoadMalformed);
    }
    for (const char *malformed : {"8,0,24,x", "8,0,24,0", "8,0,24,-5"}) {
        BOOST_TEST(read(malformed).load.has_value());
        BOOST_TEST(read(malformed).isLoadMalformed);
    }
    BOOST_TEST(!read("").isLoadMalformed);
}

// Guards against callers that come back a moment too early, and are refused once more.
BOOST_AUTO_TEST_CASE(retryAfterIsNeverShorterThanTheWait)
{
    BOOST_TEST(PlatformCallerProtocol().retryAfter(2'999'400us) == "3.000");
    BOOST_TEST(PlatformCallerProtocol().retryAfter(3s) == "3.000");
}

BOOST_AUTO_TEST_CASE(targetsAskForRestWithARejectionAndInSeconds)
{
    HttpHead answer;
    answer.status = 503;
    const auto retryAfter = [&answer](const std::string &text) {
        answer.fields = {{"Retry-After", text}};
        return targets.readAnswer(answer).retryAfter;
    };
    BOOST_TEST((retryAfter("3") == Duration(3s)));
    BOOST_TEST((retryAfter("0.5") == Duration(500ms)));
    BOOST_TEST((retryAfter("604800") == Duration(1h)));
    for (const char *text : {"", "0", "-1", "3 s", "inf", "nan", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(!retryAfter(text).has_value());
        }
    }
    answer.status = 200;
    BOOST_TEST(!retryAfter("3").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

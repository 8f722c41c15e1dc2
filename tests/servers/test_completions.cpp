#include <array>

#include <boost/test/unit_test.hpp>

#include "tests/servers/router_fixture.h"

using namespace Lovageloft;

namespace
{

const std::string chatPath = "/v1/chat/completions";

void useShortSilence(Settings &settings)
{
    settings.engineTimeout = 300;
}

/// Faults after which the answer is not whole, each in a stream of 20 tokens.
constexpr std::array streamFaults = std::to_array<std::string_view>({
    R"({"drop_after_tokens":7})",
    R"({"malformed_after_tokens":7})",
    R"({"freeze_after_tokens":7})",
    R"({"crossed":true})",
    R"({"no_done":true})",
    R"({"refuse":true})",
});

} // namespace

BOOST_AUTO_TEST_SUITE(CompletionsTest)

BOOST_AUTO_TEST_CASE(answersAreWholeAndInOrder)
{
    RouterFixture router;
    const CallerAnswer streamed = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, true)));
    BOOST_TEST(streamed.status == 200);
    BOOST_TEST(streamed.isWhole);
    BOOST_TEST(streamedText(streamed) == expectedText(20));
    BOOST_TEST(streamed.body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(streamed.body.find("\"usage\"") == std::string::npos);
    const CallerAnswer whole = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, false)));
    BOOST_TEST(whole.status == 200);
    BOOST_TEST(streamedText(whole) == expectedText(20));
    const CallerAnswer text = router.call(RouterFixture::post("/v1/completions", R"({"model":"model","prompt":"x","max_tokens":3})"));
    BOOST_TEST(text.status == 200);
    BOOST_TEST(text.body.find(expectedText(3)) != std::string::npos);
    BOOST_TEST(router.engineRecord(0, "saw_authorization") == 0);
}

BOOST_AUTO_TEST_CASE(theUsageOfAStreamComesWhereItWasAskedFor)
{
    RouterFixture router;
    const auto ask = [&router](std::string_view fields) { return router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(2, true, fields))).body; };
    BOOST_TEST(ask(R"(,"stream_options":{"include_usage":true})").find("\"completion_tokens\":2") != std::string::npos);
    BOOST_TEST(ask(R"(,"stream_options":{"include_usage":false})").find("\"completion_tokens\"") == std::string::npos);
    BOOST_TEST(ask("").find("\"completion_tokens\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(aClientMayUseTheUsualWaysOfSending)
{
    RouterFixture router;
    RawCaller caller(router.port());
    for (int i = 0; i < 5; ++i) {
        caller.send(RouterFixture::post(chatPath, RouterFixture::chatBody(3, i % 2 == 0)));
        BOOST_TEST(streamedText(caller.readAnswer()) == expectedText(3));
    }
    const std::string body = RouterFixture::chatBody(3, false);
    std::string chunked = RouterFixture::post(chatPath, "");
    chunked.replace(chunked.find("Content-Length: 0"), 17, "Transfer-Encoding: chunked");
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    caller.send(chunked + size.data() + body + "\r\n0\r\n\r\n");
    BOOST_TEST(streamedText(caller.readAnswer()) == expectedText(3));
    const std::string expecting = RouterFixture::post(chatPath, body, "Expect: 100-continue\r\n");
    caller.send(expecting.substr(0, expecting.size() - body.size()));
    BOOST_TEST(caller.readAnswer().status == 100);
    caller.send(body);
    BOOST_TEST(streamedText(caller.readAnswer()) == expectedText(3));
    const std::string large = R"({"model":"model","max_tokens":2,"prompt":")" + std::string(8'000'000, 'x') + "\"}";
    caller.send(RouterFixture::post("/v1/completions", large));
    BOOST_TEST(caller.readAnswer().status == 200);
    caller.send("GET /v1/models HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + std::string(RouterFixture::key) + "\r\n\r\n");
    BOOST_TEST(caller.readAnswer().body.find(R"("id":"model")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aBrokenStreamIsCarriedOnByAnotherEngine)
{
    // An engine crashes, freezes or sends garbage in the middle of an answer. Without the resumption the caller sees half an
    // answer, and if it asks again pays for the whole.
    for (const std::string_view fault : streamFaults) {
        RouterFixture router(2, &useShortSilence);
        router.planFault(0, fault);
        router.planFault(1, fault);
        // One of the two gets the first attempt and shows its fault; the other must not.
        const CallerAnswer first = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, true)));
        BOOST_TEST((first.status != 200 || first.body.find("\"error\"") != std::string::npos || !first.body.ends_with("data: [DONE]\n\n")),
                   fault << " on both engines passed as a whole answer: " << first.body);
        const CallerAnswer second = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, true)));
        BOOST_TEST(streamedText(second) == expectedText(20), fault);
        router.planFault(0, fault);
        const CallerAnswer third = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, true)));
        const CallerAnswer fourth = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, true)));
        for (const CallerAnswer &answer : {third, fourth}) {
            BOOST_TEST(streamedText(answer) == expectedText(20), fault << ": " << answer.head << answer.body);
            BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"), fault);
        }
    }
}

BOOST_AUTO_TEST_CASE(aBrokenAnswerOfTheOnlyEngineIsNeverASuccess)
{
    // The only engine breaks its answer. Without the checks a caller takes a cut or foreign answer for its own.
    for (const std::string_view fault : streamFaults) {
        for (const bool isStream : {true, false}) {
            RouterFixture router(1, &useShortSilence);
            router.planFault(0, fault);
            const CallerAnswer answer = router.call(RouterFixture::post(chatPath, RouterFixture::chatBody(20, isStream)));
            const bool isSuccess = answer.status == 200 && answer.isWhole && answer.body.find("\"error\"") == std::string::npos;
            const bool saysNoDone = fault.find("no_done") != std::string_view::npos && !isStream;
            BOOST_TEST((!isSuccess || saysNoDone), fault << ": " << answer.head << answer.body);
            BOOST_TEST((saysNoDone || answer.code() >= 2'000), fault << ": " << answer.body);
            BOOST_TEST((answer.code() == 0 || answer.body.find("\"run\":") != std::string::npos));
        }
    }
}

BOOST_AUTO_TEST_CASE(aCallerThatHangsUpCancelsTheEnginesStream)
{
    // A caller leaves in the middle of a long answer. Without the watch on its connection the engine works on for nobody,
    // which others notice as waiting.
    StandIns::StandInEngineOptions slow;
    slow.tokenDelay = std::chrono::milliseconds(20);
    RouterFixture router(1, nullptr, slow);
    RawCaller caller(router.port());
    caller.send(RouterFixture::post(chatPath, RouterFixture::chatBody(10'000, true)));
    caller.readUntil("tok2 ");
    caller.close();
    BOOST_TEST(router.waitForRecord(0, "cancelled", 1));
}

BOOST_AUTO_TEST_SUITE_END()

#include <array>

#include <boost/test/unit_test.hpp>

#include "tests/servers/router_fixture.h"

using namespace Lovageloft;

namespace
{

void useTightLimits(Settings &settings)
{
    settings.bodyLimit = 4'096;
    settings.headerTimeout = 300;
}

struct TightRouter : RouterFixture
{
    TightRouter()
        : RouterFixture(1, &useTightLimits)
    {
    }
};

std::string withKey(std::string_view key)
{
    const std::string body = RouterFixture::chatBody(1, false);
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n" + std::string(key) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string manyFields(int count)
{
    std::string fields;
    for (int i = 0; i < count; ++i) {
        fields += "X-Field-" + std::to_string(i) + ": v\r\n";
    }
    return fields;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(BadInputTest, TightRouter)

BOOST_AUTO_TEST_CASE(eachMistakeGetsItsNumberAndNothingReachesAnEngine)
{
    const std::string path = "/v1/chat/completions";

    struct Example
    {
        std::string request;
        ResultCode code;
    };

    const std::array examples = std::to_array<Example>({
        {post(path, "{\"model\":"), ResultCode::MalformedJson},
        {post(path, "[]"), ResultCode::MalformedJson},
        {post(path, R"({"model":"model","messages":[{"role":"user" "content":"x"}]})"), ResultCode::MalformedJson},
        {post(path, R"({"messages":[{"role":"user","content":"x"}]})"), ResultCode::InvalidField},
        {post(path, R"({"model":"model","messages":[]})"), ResultCode::InvalidField},
        {post(path, R"({"model":"model","max_tokens":-1,"messages":[{"role":"user","content":"x"}]})"), ResultCode::InvalidField},
        {post(path, R"({"model":"model","stream":"yes","messages":[{"role":"user","content":"x"}]})"), ResultCode::InvalidField},
        {post("/v1/completions", R"({"model":"model"})"), ResultCode::InvalidField},
        {post(path, R"({"model":"other","messages":[{"role":"user","content":"x"}]})"), ResultCode::UnknownModel},
        {post(path, std::string(5'000, ' ')), ResultCode::BodyTooLarge},
        {post("/v2/nothing", "{}"), ResultCode::UnknownPath},
        {"GET /v1/chat/completions HTTP/1.1\r\nHost: r\r\n\r\n", ResultCode::MethodNotAllowed},
        {withKey(""), ResultCode::MissingKey},
        {withKey("Authorization: Basic abc\r\n"), ResultCode::MissingKey},
        {withKey("Authorization: Bearer wrong\r\n"), ResultCode::UnknownKey},
        {post(path, chatBody(1, false), manyFields(80)), ResultCode::HeaderTooLarge},
        {post(path, chatBody(1, false), manyFields(2'000)), ResultCode::HeaderTooLarge},
        {post(path, chatBody(1, false), "X-Long: " + std::string(20'000, 'x') + "\r\n"), ResultCode::HeaderTooLarge},
        {"\x01\x02\x03 nonsense\r\n\r\n", ResultCode::MalformedHttp},
    });
    for (const Example &example : examples) {
        const CallerAnswer answer = call(example.request);
        const ResultCodeInfo &info = resultCodeInfo(example.code);
        BOOST_TEST(answer.code() == static_cast<int>(example.code), "expected " << info.name << ", got " << answer.head << answer.body);
        BOOST_TEST(answer.status == info.httpStatus);
        BOOST_TEST(answer.body.find(R"("run":"not_run")") != std::string::npos);
    }
    BOOST_TEST(engineRecord(0, "started") == 0);
}

BOOST_AUTO_TEST_CASE(aChunkedBodyOverTheLimitIsRefused)
{
    // A caller does not say how long its body is and sends without end. Without the limit one caller could fill the memory.
    RawCaller caller(port());
    caller.send("POST /v1/completions HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 70; ++i) {
        caller.send("400\r\n" + std::string(0x400, 'x') + "\r\n");
    }
    BOOST_TEST(caller.readAnswer().code() == static_cast<int>(ResultCode::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(aCallerThatSendsTooSlowlyIsRefused)
{
    // A caller opens connections and sends a byte now and then. Each byte satisfies the socket's own timeout, so that without
    // the deadline the connection is held for ever and others get none.
    RawCaller header(port());
    header.send("POST /v1/completions HT");
    BOOST_TEST(header.readAnswer().code() == static_cast<int>(ResultCode::CallerTooSlow));
    RawCaller body(port());
    body.send("POST /v1/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 100\r\n\r\n{");
    BOOST_TEST(body.readAnswer().code() == static_cast<int>(ResultCode::CallerTooSlow));
}

BOOST_AUTO_TEST_SUITE_END()

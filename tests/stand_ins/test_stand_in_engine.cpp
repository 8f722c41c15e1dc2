#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <boost/test/unit_test.hpp>

#include "tests/stand_ins/prefix_cache.h"
#include "tests/stand_ins/stand_in_caller.h"
#include "tests/stand_ins/stand_in_engine.h"

using namespace Lovageloft;
using namespace Lovageloft::StandIns;
using namespace std::chrono_literals;

namespace
{

StandInEngineOptions fastEngine()
{
    StandInEngineOptions options;
    options.tokenDelay = Duration::zero();
    options.checksFencing = true;
    return options;
}

struct Fixture
{
    std::string post(const std::string &path, const std::string &body, const std::string &resumeFrom = "") const
    {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(engine.server().address())};
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        if (!resumeFrom.empty()) {
            request.set("X-Resume-From", resumeFrom);
        }
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
        return std::to_string(response.getStatus()) + ' ' + answer;
    }

    StandInEngine engine{fastEngine()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StandInEngineTest, Fixture)

BOOST_AUTO_TEST_CASE(callersGetWholeAnswersInOrder)
{
    for (const bool isStream : {false, true}) {
        StandInCallerOptions options;
        options.address = engine.server().address();
        options.streams = 8;
        options.requests = 64;
        options.maxCompletionTokens = 50;
        options.isStream = isStream;
        const StandInCallerResult result = runStandInCallers(options);
        BOOST_TEST(result.complete == options.requests);
        BOOST_TEST(result.chunks == (isStream ? options.requests * options.maxCompletionTokens : options.requests));
    }
}

BOOST_AUTO_TEST_CASE(callersDetectEachFault)
{
    // Guards against callers that count a faulty response as complete, which would invalidate all benchmarks and tests of the router.
    struct Example
    {
        std::string fault;
        std::string error;
    };

    const Example examples[] = {
        {R"({"drop_after_tokens":2})", "cut_off"},
        {R"({"malformed_after_tokens":1})", "malformed"},
        {R"({"crossed":true})", "wrong_id"},
        {R"({"freeze_after_tokens":1})", "timeout"},
        {R"({"refuse":true})", "503"},
        {R"({"no_done":true})", "truncated"},
    };
    for (const Example &example : examples) {
        post("/test/faults", example.fault);
        StandInCallerOptions options;
        options.address = engine.server().address();
        options.requests = 2;
        options.isStream = true;
        options.timeout = 200ms;
        const StandInCallerResult result = runStandInCallers(options);
        BOOST_TEST(result.complete == 1);
        BOOST_TEST(result.errors.contains(example.error), example.fault + " gave " + result.toJson());
    }
}

BOOST_AUTO_TEST_CASE(resumedAnswerContinuesFromTheRequestedToken)
{
    const std::string answer = post("/v1/completions", R"({"prompt":"x","max_tokens":4})", "2");
    BOOST_TEST(answer.find(R"("text":"tok2 tok3 ")") != std::string::npos);
    BOOST_TEST(answer.find(R"("completion_tokens":4)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(oldFencingNumberIsRefused)
{
    BOOST_TEST(post("/control/orders", R"({"kind":"load_weights","fencing":5,"value":"2"})").starts_with("200"));
    BOOST_TEST(post("/control/orders", R"({"kind":"load_weights","fencing":4,"value":"1"})").starts_with("409"));
    BOOST_TEST(post("/control/orders", R"({"kind":"set_role","fencing":5,"value":"decode"})").starts_with("200"));
}

BOOST_AUTO_TEST_CASE(cacheEvictsTheLeastRecentlyUsedAndKeepsSaltsApart)
{
    constexpr std::size_t block = PrefixCache::blockBytes;
    PrefixCache cache(2);
    const std::string first(block + 1, 'a');
    const std::string second(block, 'b');
    BOOST_TEST(cache.use("salt", first) == 0);
    BOOST_TEST(cache.use("salt", first) == block);
    BOOST_TEST(cache.use("other", first) == 0);
    BOOST_TEST(cache.use("salt", first) == block);
    BOOST_TEST(cache.use("salt", second) == 0);
    BOOST_TEST(cache.use("salt", first) == block);
    BOOST_TEST(cache.use("other", first) == 0);
    const std::vector<CacheEvent> events = cache.eventsAfter(2);
    BOOST_REQUIRE(events.size() == 4);
    BOOST_TEST(!events[0].isStored);
    BOOST_TEST(events[0].parent == PrefixCache::rootHash("other"));
    BOOST_TEST(events[3].sequence == cache.lastSequence());
}

BOOST_AUTO_TEST_SUITE_END()

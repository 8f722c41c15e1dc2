#include <algorithm>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "drivers/http_parser.h"

using namespace Lovageloft;

namespace
{

struct Message
{
    HttpHead head;
    std::optional<std::uint64_t> length;
    std::string body;
    bool isEnded = false;
};

class Collector final : public HttpEvents
{
public:
    void onHead(HttpHead &&head, std::optional<std::uint64_t> length) override
    {
        messages.push_back({std::move(head), length, {}, false});
    }

    void onBody(std::string_view bytes) override
    {
        messages.back().body.append(bytes);
    }

    void onEnd() override
    {
        messages.back().isEnded = true;
    }

    std::vector<Message> messages;
};

/// Feeds all bytes in pieces and reads as many messages as there are; false at the first that can't be read.
bool readAll(HttpParser &parser, std::string_view bytes, std::size_t piece, Reason &reason)
{
    while (!bytes.empty()) {
        const std::size_t size = std::min(piece, bytes.size());
        if (!parser.read(bytes.substr(0, size), reason)) {
            return false;
        }
        while (parser.isComplete()) {
            if (!parser.startNext(reason)) {
                return false;
            }
        }
        bytes.remove_prefix(size);
    }
    return true;
}

const std::vector<std::string> smuggled{
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4, 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nX: b\r\n\tc\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\nContent-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nab\r\n0\r\n\r\n",
    "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
    "G\x01T / HTTP/1.1\r\nHost: a\r\n\r\n",
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpParserTest)

BOOST_DATA_TEST_CASE(aRequestThatTwoReadersCouldSeeDifferentlyIsRefused, boost::unit_test::data::make(smuggled), text)
{
    // A caller hides a second request in the body of a first one by framing that readers understand differently. A target would
    // run the hidden one under whatever team the router put on the connection, and another caller would get its answer.
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, text.size()}) {
        Collector collector;
        HttpParser parser(HttpMessageKind::Request, {}, collector);
        Reason reason;
        BOOST_TEST(!readAll(parser, text, piece, reason));
        BOOST_TEST((reason.code == ResultCode::MalformedHttp));
        for (const Message &message : collector.messages) {
            BOOST_TEST(!message.isEnded);
        }
    }
}

BOOST_AUTO_TEST_CASE(requestsOnOneConnectionAreReadOneByOneWhateverThePieces)
{
    const std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
                             "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: r\r\n\r\n"
                             "GET /c HTTP/1.1\r\nHost: h\r\nX-Y:  z \r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        Collector collector;
        HttpParser parser(HttpMessageKind::Request, {}, collector);
        Reason reason;
        BOOST_REQUIRE(readAll(parser, text, piece, reason));
        BOOST_REQUIRE(collector.messages.size() == 3U);
        BOOST_TEST(collector.messages[0].head.path == "/a?b=c");
        BOOST_TEST(collector.messages[0].body == "hello");
        BOOST_TEST((collector.messages[0].length == 5U));
        BOOST_TEST(collector.messages[1].body == "abcde");
        BOOST_TEST(!collector.messages[1].length.has_value());
        BOOST_TEST(collector.messages[2].head.find("x-y") == "z");
        BOOST_TEST(collector.messages[2].isEnded);
        BOOST_TEST(!parser.isWithinMessage());
    }
}

BOOST_AUTO_TEST_CASE(limitsAreKeptBeforeTheWholeMessageIsThere)
{
    // A caller sends a head without end, or announces a body of gigabytes. Without the limits one connection takes all memory of
    // the host, and all callers notice that it is gone.
    Reason reason;
    Collector collector;
    HttpParser heads(HttpMessageKind::Request, {100, 10}, collector);
    BOOST_TEST(!heads.read("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x'), reason));
    BOOST_TEST((reason.code == ResultCode::HeaderTooLarge));
    HttpParser lengths(HttpMessageKind::Request, {100, 10}, collector);
    BOOST_TEST(!lengths.read("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", reason));
    BOOST_TEST((reason.code == ResultCode::BodyTooLarge));
    HttpParser chunks(HttpMessageKind::Request, {100, 10}, collector);
    BOOST_TEST(!chunks.read("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string("b\r\nabcdefghijk\r\n"), reason));
    BOOST_TEST((reason.code == ResultCode::BodyTooLarge));
}

/// Framing that never ends: the start of a message, and what its sender repeats.
struct EndlessFraming
{
    std::string_view start;
    std::string_view repeated;
};

std::ostream &operator<<(std::ostream &out, const EndlessFraming &framing)
{
    return out << framing.start << '|' << framing.repeated;
}

constexpr std::string_view chunkedRequest = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessFraming> endlessRequests{
    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "y"},
    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "T: r\r\n"},
    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: ", "r"},
    {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "y"},
    {"", "\r\n"},
};

const std::vector<EndlessFraming> endlessAnswers{
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "y"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "T: r\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: ", "r"},
    {"HTTP/1.1 200 OK\r\nX: ", "y"},
    {"", "\r\n"},
};

/// Feeds `framing` until the parser rejects it; returns the most bytes that were buffered, or nothing if `maxBytes` were taken.
std::optional<std::size_t> bufferedBeforeRejection(HttpMessageKind kind, const EndlessFraming &framing, std::size_t piece, std::size_t maxBytes)
{
    Collector collector;
    HttpParser parser(kind, {.head = 4'096, .body = 0}, collector);
    Reason reason;
    parser.read(framing.start, reason);
    std::string bytes;
    while (bytes.size() < piece) {
        bytes.append(framing.repeated);
    }
    std::size_t most = 0;
    for (std::size_t taken = 0; taken < maxBytes; taken += bytes.size()) {
        if (!parser.read(bytes, reason)) {
            BOOST_TEST((reason.code == ResultCode::HeaderTooLarge || reason.code == ResultCode::MalformedHttp));
            return most;
        }
        most = std::max(most, parser.bufferedBytes());
    }
    return std::nullopt;
}

void checkRejected(HttpMessageKind kind, const EndlessFraming &framing)
{
    for (const std::size_t piece : {std::size_t{1}, std::size_t{1'000}, std::size_t{16'384}}) {
        const auto most = bufferedBeforeRejection(kind, framing, piece, 100'000);
        BOOST_TEST(most.has_value());
        BOOST_TEST(most.value_or(0) <= 4'096U);
    }
}

BOOST_DATA_TEST_CASE(aRequestWhoseFramingNeverEndsIsRejected, boost::unit_test::data::make(endlessRequests), framing)
{
    // Guards against callers that fill a host's memory with the line of a chunk's size, a chunk's extension or trailers without end.
    checkRejected(HttpMessageKind::Request, framing);
}

BOOST_DATA_TEST_CASE(anAnswerWhoseFramingNeverEndsIsRejected, boost::unit_test::data::make(endlessAnswers), framing)
{
    // Guards against targets in trouble that fill a host's memory with bytes that are no answer.
    checkRejected(HttpMessageKind::Answer, framing);
}

BOOST_AUTO_TEST_CASE(aLongBodyInOneReadIsNotTakenForFraming)
{
    Collector collector;
    HttpParser parser(HttpMessageKind::Request, {.head = 4'096, .body = 0}, collector);
    Reason reason;
    const std::string body(100'000, 'b');
    BOOST_TEST(parser.read(std::string(chunkedRequest) + "186a0\r\n" + body + "\r\n0\r\nT: r\r\n\r\n" + std::string(50'000, 'n'), reason));
    BOOST_TEST(parser.isComplete());
    BOOST_TEST(collector.messages.back().body.size() == body.size());
    BOOST_TEST(parser.bufferedBytes() == 50'000U);
}

BOOST_AUTO_TEST_CASE(anAnswerWithoutLengthEndsWithItsConnectionAndAShortOneDoesNot)
{
    // A target that crashes closes its connection in the middle of an answer. Taken for complete, a caller would print half a table.
    Reason reason;
    Collector collector;
    HttpParser unframed(HttpMessageKind::Answer, {}, collector);
    BOOST_TEST(unframed.read("HTTP/1.1 200 OK\r\nX: y\r\n\r\nhalf", reason));
    BOOST_TEST(!unframed.isComplete());
    BOOST_TEST(unframed.readEnd());
    BOOST_TEST(collector.messages.back().isEnded);
    HttpParser framed(HttpMessageKind::Answer, {}, collector);
    BOOST_TEST(framed.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", reason));
    BOOST_TEST(!framed.readEnd());
    BOOST_TEST(!collector.messages.back().isEnded);
    HttpParser chunked(HttpMessageKind::Answer, {}, collector);
    BOOST_TEST(chunked.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", reason));
    BOOST_TEST(!chunked.readEnd());
    BOOST_TEST(!collector.messages.back().isEnded);
}

BOOST_AUTO_TEST_CASE(randomChangesOfARequestNeverReadAsTwo)
{
    // Faulty or hostile callers send bytes that are almost a request. Whatever is read from them, the body's own bytes must never
    // be taken for a request of their own while the framing says that they belong to the first.
    Random random(20);
    const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 34\r\n\r\nGET /hidden HTTP/1.1\r\nHost: hid\r\n\r\n\r\n";
    for (int round = 0; round < 20'000; ++round) {
        std::string changed = text;
        const std::size_t headEnd = text.find("\r\n\r\n");
        for (std::size_t i = 0; i < 1 + randomBelow(random, 2); ++i) {
            changed[randomBelow(random, headEnd)] = static_cast<char>(randomBelow(random, 256));
        }
        const bool keepsLength = changed.find("\r\nContent-Length: 34\r\n") != std::string::npos;
        Collector collector;
        HttpParser parser(HttpMessageKind::Request, {}, collector);
        Reason reason;
        readAll(parser, changed, changed.size(), reason);
        for (const Message &message : collector.messages) {
            BOOST_TEST((!keepsLength || message.head.path != "/hidden"));
        }
    }
}

BOOST_AUTO_TEST_CASE(randomChangesOfAnAnswerNeverLengthenIt)
{
    // A failing target spoils its answer's bytes, and another one's answer follows on the same connection. Whatever is read, no body may be
    // longer than its framing says, and what follows must not become part of it; a caller would get another caller's figures.
    Random random(21);
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nfirst";
    const std::string second = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n";
    for (int round = 0; round < 20'000; ++round) {
        std::string changed = first;
        const std::size_t headEnd = first.find("\r\n\r\n");
        for (std::size_t i = 0; i < 1 + randomBelow(random, 3); ++i) {
            changed[randomBelow(random, headEnd)] = static_cast<char>(randomBelow(random, 256));
        }
        const bool keepsLength = changed.find("\r\nContent-Length: 5\r\n") != std::string::npos;
        const auto isWithoutBody = [](int status) { return status < 200 || status == 204 || status == 304; };
        Collector collector;
        HttpParser parser(HttpMessageKind::Answer, {}, collector);
        Reason reason;
        const std::string bytes = changed + second;
        readAll(parser, bytes, 1 + randomBelow(random, bytes.size()), reason);
        if (keepsLength && !collector.messages.empty() && collector.messages[0].isEnded) {
            BOOST_TEST(collector.messages[0].body == (isWithoutBody(collector.messages[0].head.status) ? "" : "first"));
        }
        for (const Message &message : collector.messages) {
            BOOST_TEST((!keepsLength || !message.isEnded || message.body == "first" || message.body == "second" || isWithoutBody(message.head.status)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

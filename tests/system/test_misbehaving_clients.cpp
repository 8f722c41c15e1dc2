#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

#include <Poco/TemporaryFile.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/platform/soak_seeds.h"
#include "tests/servers/raw_caller.h"
#include "tests/system/crowd.h"
#include "tests/system/platform_fleet.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// What the host is told of its machine.
constexpr std::size_t memoryBytes = 64'000'000;
constexpr std::size_t descriptorLimit = 700;

constexpr std::size_t bodyBytes = 4'194'304;

const std::string fields = "Host: h.example\r\nApi-Key: k\r\nLovageloft-Deadline-Ms: 4000\r\n";

/// Time by which plays by hand are longer.
Duration longerPlay()
{
    return std::chrono::seconds(numberFromEnvironment("MISBEHAVING_CLIENTS_LONGER_SECONDS", 0));
}

std::string withLength(std::size_t declared, std::size_t sent)
{
    return "POST /once/x HTTP/1.1\r\n" + fields + "Lovageloft-Request-Id: b\r\nContent-Length: " + std::to_string(declared) + "\r\n\r\n"
        + std::string(sent, 'x');
}

std::string inChunks(std::size_t bytes)
{
    constexpr std::size_t chunkBytes = 65'536;
    std::string text = "POST /once/x HTTP/1.1\r\n" + fields + "Lovageloft-Request-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < bytes; sent += chunkBytes) {
        text += "10000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    }
    return text;
}

/// Many requests, one behind the other.
std::string ahead(const std::string &moreFields)
{
    constexpr int requests = 10'000;
    std::string text;
    for (int i = 0; i < requests; ++i) {
        text += "GET /safe/x HTTP/1.1\r\n" + moreFields + "Lovageloft-Request-Id: p" + std::to_string(i) + "\r\n\r\n";
    }
    return text;
}

struct Play
{
    const char *name;
    std::size_t callers;
    std::function<std::string()> bytes;
};

std::ostream &operator<<(std::ostream &out, const Play &play)
{
    return out << play.name;
}

const std::vector<Play> &plays()
{
    static const std::vector<Play> all{
        {"bodies of a stated length, one byte short", 60, [] { return withLength(bodyBytes, bodyBytes - 1); }},
        {"bodies in chunks without an end", 60, [] { return inChunks(bodyBytes - 65'536); }},
        {"whole bodies", 60, [] { return withLength(bodyBytes, bodyBytes); }},
        {"small bodies, one byte short", 1'500, [] { return withLength(16'384, 16'383); }},
        {"small bodies in chunks without an end", 1'500, [] { return inChunks(65'536).substr(0, 16'000); }},
        {"heads without an end", 1'500, [] { return "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Fill: " + std::string(15'000, 'x'); }},
        {"idle connections", 1'500, [] { return std::string(); }},
        {"pipelined requests, answers unread", 40, [] { return ahead(fields); }},
        {"pipelined requests without the usual fields, answers unread", 40, [] { return ahead({}); }},
        {"pipelined requests of a crowd, answers unread", 600, [] { return ahead(fields).substr(0, 400'000); }},
    };
    return all;
}

/// One host of 64 MB with a target that answers 2,000 bytes.
struct SmallHost : PlatformFleet
{
    SmallHost()
        : PlatformFleet({1,
                         "memoryMb = " + std::to_string(memoryBytes / 1'000'000) + "\nmaxFds = " + std::to_string(descriptorLimit) + "\n",
                         R"({"maxHeaderBytes":16384,"maxBodyBytes":)" + std::to_string(bodyBytes) + R"(,"headerTimeoutMs":10000,"idleTimeoutMs":30000})"})
    {
        addTarget("a", "v1", [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
            connection.answer(request, 200, std::string(2'000, 'a'));
        });
        start();
    }

    /// Samples the process for a time, with what the kernel holds for it; nothing of it may exceed what its machine has.
    void watch(
        Duration time, const std::function<void()> &act = [] {})
    {
        std::size_t mostBytes = 0;
        std::size_t mostUnread = 0;
        std::size_t mostDescriptors = 0;
        const TimePoint end = BootClock::now() + time;
        while (BootClock::now() < end) {
            const std::size_t unread = unreadBytes(callerPort(0)) + unreadBytes(readinessPort(0)) + unreadBytes(peerPort(0));
            mostUnread = std::max(mostUnread, unread);
            mostBytes = std::max(mostBytes, host(0).residentBytes() + unread);
            mostDescriptors = std::max(mostDescriptors, host(0).openDescriptors());
            act();
            std::this_thread::sleep_for(20ms);
        }
        BOOST_TEST_MESSAGE(mostBytes / 1'000'000 << " MB, of which unread at most " << mostUnread / 1'000'000 << ", " << mostDescriptors << " descriptors");
        BOOST_TEST(mostBytes <= memoryBytes);
        BOOST_TEST(mostDescriptors <= descriptorLimit);
    }

    void checkServes()
    {
        BOOST_TEST(host(0).isRunning());
        BOOST_TEST(waitFor(20s, [this] { return ask(0, "safe") == 200; }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MisbehavingClients, SmallHost)

// Guards against a host that ends, or serves nobody, because callers have it hold more memory or descriptors than its machine has.
BOOST_DATA_TEST_CASE(aCrowdOfCallersTakesNoMoreThanTheHostHas, boost::unit_test::data::make(plays()), play)
{
    Crowd crowd;
    std::thread callers([&] { crowd.open(callerPort(0), play.callers, play.bytes()); });
    watch(6s);
    callers.join();
    watch(longerPlay());
    checkServes();
}

// Guards against answers that callers read a few bytes at a time, so that they seem to read and never do.
BOOST_AUTO_TEST_CASE(aCrowdThatSipsItsAnswersTakesNoMoreThanTheHostHas)
{
    constexpr std::size_t callers = 200;
    Crowd crowd;
    crowd.open(callerPort(0), callers, ahead(fields).substr(0, 400'000));
    watch(6s + longerPlay(), [&crowd] { crowd.sip(); });
    checkServes();
}

// Guards against kinds of memory that are each within their bound and together exceed the host's.
BOOST_AUTO_TEST_CASE(aMixedCrowdTakesNoMoreThanTheHostHas)
{
    constexpr std::size_t bodies = 60;
    constexpr std::size_t readers = 200;
    Crowd withBodies;
    withBodies.open(callerPort(0), bodies, inChunks(bodyBytes - 65'536));
    Crowd sentAhead;
    std::thread callers([&] { sentAhead.open(callerPort(0), readers, ahead(fields).substr(0, 400'000)); });
    watch(6s);
    callers.join();
    watch(longerPlay());
    checkServes();
}

// Guards against connections to the readiness port that nobody bounds.
BOOST_AUTO_TEST_CASE(aCrowdAtTheReadinessPortTakesNoMoreThanTheHostHas)
{
    Crowd crowd;
    std::thread callers([&] { crowd.open(readinessPort(0), 1'500, "GET /ready HTTP/1.1\r\nX-Fill: " + std::string(15'000, 'x')); });
    watch(3s);
    callers.join();
    checkServes();
}

// Guards against connections to the port for other hosts that nobody bounds.
BOOST_AUTO_TEST_CASE(aCrowdAtThePeersPortTakesNoMoreThanTheHostHas)
{
    Crowd crowd;
    std::thread callers([&] { crowd.open(peerPort(0), 1'500, std::string(15'000, 'x')); });
    watch(3s);
    callers.join();
    checkServes();
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/// What the router with the memory store may hold for callers, and for itself.
constexpr std::size_t callerMemoryBytes = 48'000'000;
constexpr std::size_t ownBytes = 64'000'000;

std::string completion(const std::string &framing, const std::string &body)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n" + framing + "\r\n" + body;
}

std::string chunked(std::size_t bytes, bool isWhole)
{
    const std::string text = inChunks(bytes);
    return completion("Transfer-Encoding: chunked\r\n", text.substr(text.find("\r\n\r\n") + 4) + (isWhole ? "0\r\n\r\n" : ""));
}

std::string fieldsWithoutEnd(int fields)
{
    constexpr std::size_t fieldBytes = 7'500;
    std::string text = "GET /v1/models HTTP/1.1\r\nHost: h.example\r\n";
    for (int i = 0; i < fields; ++i) {
        text += "X-Fill-" + std::to_string(i) + ": " + std::string(fieldBytes, 'x') + "\r\n";
    }
    return text;
}

const std::vector<Play> &routerPlays()
{
    static const std::vector<Play> all{
        {"bodies of a stated length, one byte short", 60, [] { return completion("Content-Length: 4194304\r\n", std::string(bodyBytes - 1, 'x')); }},
        {"bodies in chunks without an end", 60, [] { return chunked(bodyBytes - 65'536, false); }},
        {"whole bodies", 60, [] { return completion("Content-Length: 4194304\r\n", std::string(bodyBytes, 'x')); }},
        {"whole bodies in chunks", 60, [] { return chunked(bodyBytes, true); }},
        {"small bodies, one byte short", 1'500, [] { return completion("Content-Length: 16384\r\n", std::string(16'383, 'x')); }},
        {"heads without an end", 1'500, [] { return fieldsWithoutEnd(2); }},
        {"large heads without an end", 300, [] { return fieldsWithoutEnd(90); }},
        {"idle connections", 1'500, [] { return std::string(); }},
    };
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MisbehavingClientsOfTheRouter)

// Guards against a router that grows with each connection, head or body which callers begin, and keeps the memory of those that have ended.
BOOST_DATA_TEST_CASE(callersTakeNoMoreThanTheirMemory, boost::unit_test::data::make(routerPlays()), play)
{
    const std::string folder = Poco::TemporaryFile::tempName();
    std::filesystem::create_directories(folder);
    std::ofstream(folder + "/host.toml") << "[host]\nname = \"a\"\n[callers]\nport = 0\nmemory = " << callerMemoryBytes
                                         << "\n[operators]\nport = 0\n[peers]\nport = 0\n";
    ChildProcess router(LOVAGELOFTD_PROGRAM, {folder + "/host.toml"}, folder + "/host.log");
    const auto port = static_cast<std::uint16_t>(std::stoi(router.waitForOutput(R"re("caller_port":([0-9]+))re")));
    const auto status = [port] {
        RawCaller caller(port, 3s);
        caller.send(completion("Content-Length: 2\r\n", "{}"));
        return caller.readAnswer().status;
    };
    const int expected = status();
    BOOST_TEST(expected != 0);
    {
        Crowd crowd;
        std::thread callers([&] { crowd.open(port, play.callers, play.bytes()); });
        std::size_t most = 0;
        for (int i = 0; i < 200; ++i) {
            most = std::max(most, router.residentBytes());
            std::this_thread::sleep_for(20ms);
        }
        callers.join();
        BOOST_TEST_MESSAGE(most / 1'000'000 << " MB");
        BOOST_TEST(most <= callerMemoryBytes + ownBytes);
        BOOST_TEST(waitFor(20s, [&] { return status() == expected; }));
    }
    BOOST_TEST(router.isRunning());
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE link_soak
#include <atomic>
#include <charconv>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>

#include <Poco/Exception.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "tests/platform/fleet_fixture.h"
#include "tests/platform/soak_seeds.h"

using namespace Lovageloft;
using namespace std::chrono_literals;
using StandIns::LinkMode;

namespace
{

constexpr std::size_t hostCount = 4;
constexpr std::size_t targetCount = 5;
constexpr std::size_t callerCount = 8;
constexpr int eventCount = 5;
constexpr std::size_t longBodyBytes = 400'000;

/// From the end of the last cut until all requests go over direct connections again.
constexpr Duration restoreTime = 5s;

std::size_t openDescriptors()
{
    const std::filesystem::directory_iterator entries("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string bodyFor(const std::string &id, const std::string &path)
{
    return "whole:" + id + (path.ends_with("long") ? std::string(longBodyBytes, 'x') : std::string());
}

/// Joins the chunks of a chunked body; nothing if it does not end with the last chunk.
std::optional<std::string> joinChunks(std::string_view text)
{
    std::string body;
    while (true) {
        const std::size_t lineEnd = text.find("\r\n");
        std::size_t size = 0;
        if (lineEnd == std::string_view::npos || std::from_chars(text.data(), text.data() + lineEnd, size, 16).ec != std::errc{}) {
            return std::nullopt;
        }
        text.remove_prefix(lineEnd + 2);
        if (size == 0) {
            return body;
        }
        if (text.size() < size + 2) {
            return std::nullopt;
        }
        body.append(text.substr(0, size));
        text.remove_prefix(size + 2);
    }
}

/// The body of a complete answer; nothing if the answer is incomplete.
std::optional<std::string> completeBody(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view head = std::string_view(answer).substr(0, end);
    const std::string_view body = std::string_view(answer).substr(end + 4);
    const std::size_t length = head.find("Content-Length: ");
    if (length == std::string_view::npos) {
        return joinChunks(body);
    }
    const std::size_t size = std::strtoull(head.data() + length + 16, nullptr, 10);
    return body.size() == size ? std::optional<std::string>(body) : std::nullopt;
}

/// Callers, targets and links that change at random, with checks of what callers and targets see.
class Soak : public FleetFixture
{
public:
    explicit Soak(std::uint64_t seed)
        : FleetFixture(hostCount)
        , random_(seed)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            addTarget("t" + std::to_string(i), [this](Connection &connection, const Request &request) { serve(connection, request); });
        }
    }

    void run(Duration time)
    {
        std::atomic<bool> isStopped = false;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.emplace_back([this, &isStopped, seed = random_()] { call(isStopped, Random(seed)); });
        }
        const TimePoint end = BootClock::now() + time;
        while (BootClock::now() < end) {
            changeLinks();
            std::this_thread::sleep_for(randomUpTo(random_, 400ms));
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            setLinks(host, LinkMode::Up);
        }
        isStopped = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    /// What was seen that must not be.
    std::vector<std::string> violations() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> found = violations_;
        for (const std::string &id : notRun_) {
            if (runs_.contains(id)) {
                found.push_back(id + " ran, though its caller was told that it had not");
            }
        }
        return found;
    }

    std::size_t answered() const
    {
        return answered_;
    }

private:
    void changeLinks()
    {
        constexpr auto modes =
            std::to_array<LinkMode>({LinkMode::Up, LinkMode::Up, LinkMode::Silent, LinkMode::Reset, LinkMode::RefusesNew, LinkMode::LosesAnswers});
        const std::size_t host = randomBelow(random_, hostCount);
        const LinkMode mode = modes.at(randomBelow(random_, modes.size()));
        if (randomBelow(random_, 2) == 0) {
            setLinks(host, mode);
        } else {
            setLink(host, "t" + std::to_string(randomBelow(random_, targetCount)), mode);
        }
    }

    void serve(Connection &connection, const Request &request)
    {
        const std::string id = request.field("Lovageloft-Request-Id");
        const std::string path = request.head.substr(0, request.head.find(" HTTP/1.1"));
        {
            const std::lock_guard lock(mutex_);
            if (++runs_[id] > 1 && path.find("/once/") != std::string::npos) {
                violations_.push_back(id + " ran twice");
            }
        }
        if (path.find("/stream/") != std::string::npos) {
            connection.beginStream(request);
            for (int event = 1; event <= eventCount; ++event) {
                std::this_thread::sleep_for(5ms);
                connection.sendEvent(event);
            }
            connection.endStream();
        } else if (path.ends_with("unframed")) {
            connection.send("HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + id + "\r\nLovageloft-Response-Stamp: s\r\n\r\n" + bodyFor(id, path));
            connection.close();
        } else {
            connection.answer(request, 200, bodyFor(id, path));
        }
    }

    void call(const std::atomic<bool> &isStopped, Random random)
    {
        constexpr auto calls =
            std::to_array<std::string_view>({"GET /safe/x", "GET /safe/long", "GET /safe/unframed", "POST /once/x", "POST /once/unframed", "POST /stream/x"});
        while (!isStopped) {
            const std::string call(calls.at(randomBelow(random, calls.size())));
            const std::string method = call.substr(0, call.find(' '));
            const std::string path = call.substr(call.find(' ') + 1);
            const std::string text = GatewayFixture::request(method, path, method == "GET" ? "" : "body");
            const std::size_t idStart = text.find("Request-Id: ") + 12;
            const std::string id = text.substr(idStart, text.find("\r\n", idStart) - idStart);
            check(id, path, exchange(randomBelow(random, hostCount), text));
        }
    }

    void check(const std::string &id, const std::string &path, const std::string &answer)
    {
        const std::lock_guard lock(mutex_);
        if (answer.starts_with("HTTP/1.1 503 ")) {
            notRun_.push_back(id);
            return;
        }
        const auto body = completeBody(answer);
        if (!answer.starts_with("HTTP/1.1 200 ") || !body) {
            return;
        }
        ++answered_;
        if (!path.starts_with("/stream/")) {
            if (*body != bodyFor(id, path)) {
                violations_.push_back(id + " got a complete answer that is not its own: " + body->substr(0, 80));
            }
            return;
        }
        std::size_t at = 0;
        for (int event = 1; event <= eventCount; ++event) {
            at = body->find("piece" + std::to_string(event), at);
            if (at == std::string::npos) {
                violations_.push_back(id + " got a complete stream without event " + std::to_string(event));
                return;
            }
        }
    }

    Random random_;
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_; ///< Times that a target received a request, by its id.
    std::vector<std::string> notRun_; ///< Ids whose callers were told that they had not run.
    std::vector<std::string> violations_;
    std::size_t answered_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LinkSoak)

// Guards against answers and promises that are wrong while links between hosts and targets come and go, and against connections that are left over.
BOOST_DATA_TEST_CASE(promisesHoldWhileLinksComeAndGo, boost::unit_test::data::make(soakSeeds("LINK_SOAK")), seed)
{
    Soak soak(seed);
    const std::size_t descriptorsBefore = openDescriptors();
    soak.run(std::chrono::seconds(numberFromEnvironment("LINK_SOAK_SECONDS", 10)));
    std::this_thread::sleep_for(restoreTime);
    for (const std::string &violation : soak.violations()) {
        BOOST_ERROR("seed " << seed << ": " << violation);
    }
    BOOST_TEST(soak.answered() > 100U);
    for (std::size_t host = 0; host < hostCount; ++host) {
        BOOST_TEST(soak.servedShare(host, "POST", "/once/x", 300ms) == 1, "host " << host << " does not serve after the last cut");
        std::size_t lost = 0;
        std::size_t relayed = 0;
        soak.onLoop(host, [&](Gateway &gateway) {
            lost = gateway.paths().links().lostCount();
            relayed = gateway.relayServer().count();
        });
        BOOST_TEST(lost == 0U);
        BOOST_TEST(relayed == 0U);
    }
    // Kept connections, on both sides of each link's proxy.
    BOOST_TEST(openDescriptors() < descriptorsBefore + 8 * hostCount * targetCount * 4);
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE slow_readers
#include <algorithm>
#include <array>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t longBodyBytes = 1'000'000;

/// A response that a target completes although its caller reads nothing.
constexpr std::size_t mediumBodyBytes = 200'000;
constexpr int targetCount = 30;

std::string requestText(const std::string &path, const std::string &version = "HTTP/1.1", const std::string &fields = {})
{
    static std::atomic<int> next = 0;
    return "GET " + path + ' ' + version + "\r\nHost: h.example\r\nLovageloft-Request-Id: slow" + std::to_string(next++)
        + "\r\nLovageloft-Deadline-Ms: 25000\r\nApi-Key: k\r\n" + fields + "\r\n";
}

/// A caller with a small receive buffer, which reads only when it is told to.
class SlowCaller
{
public:
    SlowCaller(std::uint16_t port, const std::string &request)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int bytes = 4'096;
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
        BOOST_REQUIRE(::send(socket_, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size()));
    }

    ~SlowCaller()
    {
        ::close(socket_);
    }

    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    /// Reads what has arrived, at most this much.
    void read(std::size_t bytes)
    {
        std::vector<char> buffer(bytes);
        const ssize_t got = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        received_ += got > 0 ? static_cast<std::size_t>(got) : 0;
    }

    /// Reads to the end. Returns whether the connection was reset.
    bool readToReset()
    {
        std::array<char, 16'384> buffer{};
        while (true) {
            const ssize_t got = ::recv(socket_, buffer.data(), buffer.size(), 0);
            if (got <= 0) {
                return got < 0;
            }
            received_ += static_cast<std::size_t>(got);
        }
    }

    bool isReset() const
    {
        pollfd entry{socket_, 0, 0};
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLERR) != 0;
    }

    std::size_t received() const
    {
        return received_;
    }

private:
    int socket_;
    std::size_t received_ = 0;
};

class SlowReadersFixture : public GatewayFixture
{
public:
    using Callers = std::vector<std::unique_ptr<SlowCaller>>;

    SlowReadersFixture()
    {
        RoutingTable changed = table(2);
        for (Route &route : changed.routes) {
            route.timeout = 30s;
        }
        changed.limits.idleTimeout = 30s;
        changed.limits.bodyBytes = 100'000;
        configure(changed);
        for (int i = 0; i < targetCount; ++i) {
            addTarget("t" + std::to_string(i), [](Connection &connection, const Request &request) {
                const std::size_t bytes = contains(request.head, "/safe/long") ? longBodyBytes : mediumBodyBytes;
                connection.answer(request, 200, contains(request.head, "/short") ? "short" : std::string(bytes, 'x'));
            });
        }
    }

    void setBudget(std::size_t bytes)
    {
        onLoop([bytes](Gateway &gateway) { gateway.callerBuffers().setTotal(bytes); });
    }

    std::size_t held()
    {
        std::size_t bytes = 0;
        onLoop([&bytes](Gateway &gateway) { bytes = gateway.callerBuffers().reserved(); });
        return bytes;
    }

    Callers slowCallers(std::size_t count, const std::string &request) const
    {
        Callers callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<SlowCaller>(port(), request));
        }
        return callers;
    }

    /// Sends short requests, each 10 ms after the one before, and returns the fraction that is answered within a time.
    double shareServed(Duration time, Duration limit)
    {
        int sent = 0;
        int served = 0;
        const TimePoint start = BootClock::now();
        while (BootClock::now() < start + time) {
            std::this_thread::sleep_until(std::chrono::steady_clock::now() + std::max<Duration>(start + 10ms * sent - BootClock::now(), Duration::zero()));
            onLoop([](Gateway &gateway) { gateway.confirmTable(2, BootClock::now()); });
            const TimePoint sentAt = BootClock::now();
            const std::string answer = exchange(requestText("/safe/short", "HTTP/1.1", "Connection: close\r\n"));
            served += answer.ends_with("\r\n\r\nshort") && BootClock::now() - sentAt < limit ? 1 : 0;
            ++sent;
        }
        return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(static_cast<int>(toSeconds(time) * 100));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlowReadersTest, SlowReadersFixture)

// Guards against slow callers that take the memory and the share of the others. Load: 160 callers with responses of 1 MB, half of which read nothing
// and give up after 1.5 s, and half of which read 2 KB ten times a second; 100 short requests a second beside them.
BOOST_AUTO_TEST_CASE(slowCallersTakeNeitherTheMemoryNorTheShareOfOthers)
{
    constexpr std::size_t budget = 16'000'000;
    constexpr std::size_t callerCount = 160;
    setBudget(budget);
    const double usual = shareServed(2s, 300ms);
    Callers callers = slowCallers(callerCount, requestText("/safe/long"));
    std::atomic<bool> isEnded = false;
    std::size_t most = 0;
    std::thread readers([&] {
        for (int turn = 1; !isEnded; ++turn) {
            for (std::size_t i = 1; i < callers.size() && turn % 15 == 0; i += 2) {
                callers[i] = std::make_unique<SlowCaller>(port(), requestText("/safe/long"));
            }
            for (std::size_t i = 0; i < callers.size(); i += 2) {
                callers[i]->read(2'000);
            }
            most = std::max(most, held());
            std::this_thread::sleep_for(100ms);
        }
    });
    const double beside = shareServed(5s, 300ms);
    isEnded = true;
    readers.join();
    BOOST_TEST_MESSAGE("usual share " << usual << ", beside slow callers " << beside << ", bytes held at most " << most);
    BOOST_TEST(usual > 0.9);
    BOOST_TEST(beside >= 0.95 * usual);
    BOOST_TEST(most > 1'000'000U); // Else the callers were not slow.
    BOOST_TEST(most <= budget);
    for (std::size_t i = 0; i < callers.size(); i += 2) {
        BOOST_TEST(!callers[i]->isReset(), "caller " << i << " reads and was reset");
    }
    BOOST_TEST(contains(askOperator("/metrics"), "lovageloft_caller_buffer_bytes"));
    callers.clear();
    for (int i = 0; i < 50 && held() > 0; ++i) {
        std::this_thread::sleep_for(100ms);
    }
    BOOST_TEST(held() == 0U);
}

// Guards against stalled callers that keep the budget used up, and against a truncated response that looks complete: one without a length or chunks
// must end with a reset.
BOOST_AUTO_TEST_CASE(stalledCallersAreResetWhenTheBudgetRunsOut)
{
    constexpr std::size_t budget = 300'000;
    constexpr std::size_t high = budget * 9 / 10;
    setBudget(budget);
    const auto isReset = [](const auto &caller) { return caller->isReset(); };
    // The kernel ends connections with a closed window 0.2 s later, and stalled ones are looked for every 0.25 s: one of two groups is found first.
    Callers callers = slowCallers(20, requestText("/safe/long", "HTTP/1.0"));
    std::this_thread::sleep_for(120ms);
    for (auto &caller : slowCallers(20, requestText("/safe/long", "HTTP/1.0"))) {
        callers.push_back(std::move(caller));
    }
    std::this_thread::sleep_for(1s);
    BOOST_TEST(held() > high);
    BOOST_TEST(std::none_of(callers.begin(), callers.end(), isReset));
    std::this_thread::sleep_for(1'800ms);
    BOOST_TEST(held() <= high);
    const auto reset = std::find_if(callers.begin(), callers.end(), isReset);
    BOOST_REQUIRE(reset != callers.end());
    BOOST_TEST((*reset)->readToReset());
    BOOST_TEST((*reset)->received() < longBodyBytes);
}

// Guards against a connection that is held for ever: its request is finished, it is to be closed, and the caller never reads the rest.
BOOST_AUTO_TEST_CASE(aCallerThatNeverReadsTheRestIsNotHeldForEver)
{
    setBudget(30'000'000);
    const Callers callers = slowCallers(1, requestText("/safe/medium", "HTTP/1.1", "Connection: close\r\n"));
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(held() > 0U);
    for (int i = 0; i < 140 && held() > 0; ++i) {
        std::this_thread::sleep_for(100ms);
    }
    BOOST_TEST(held() == 0U);
}

// Guards against request bodies that take the memory that is used up: their requests are refused, and have not run.
BOOST_AUTO_TEST_CASE(aBodyIsRefusedWhenNoMemoryIsLeft)
{
    constexpr std::size_t bodyBytes = 90'000;
    const std::string text = request("POST", "/once/short", std::string(bodyBytes, 'x'), "Connection: close\r\n");
    BOOST_TEST(exchange(text).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(held() == 0U);
    setBudget(50'000);
    const std::string answer = exchange(text);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(answer, "not_run"));
    BOOST_TEST(contains(answer, "Retry-After"));
    BOOST_TEST(exchange(request("POST", "/once/short", "short")).starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_SUITE_END()

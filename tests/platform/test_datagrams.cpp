#define BOOST_TEST_MODULE datagrams
#include <atomic>
#include <future>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "coordination/memory_store.h"
#include "coordination/store_position.h"
#include "gateway/peer_socket.h"
#include "tests/platform/gateway_fixture.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

/// Another host of the fleet, which talks to the gateway under test in datagrams.
class OtherHost final : private PeerEvents
{
public:
    explicit OtherHost(GatewayFixture &gateway)
        : socket_(loop_, *this)
    {
        Reason reason;
        BOOST_REQUIRE(socket_.open({"127.0.0.1", 0}, reason));
        std::uint16_t gatewayPort = 0;
        gateway.onLoop([&](Gateway &host) {
            gatewayPort = host.fleet().port();
            host.setHosts({{"host", {{"127.0.0.1", gatewayPort}, {}, {}}}, {"other", {{"127.0.0.1", socket_.port()}, {}, {}}}}, 0.5);
        });
        socket_.setPeers({{"host", {{"127.0.0.1", gatewayPort}, {}, {}}}});
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~OtherHost() override
    {
        loop_.stop();
        thread_.join();
    }

    /// Answers each question with this age of version 2.
    void setAge(Duration age)
    {
        age_ = age;
    }

    template <typename Message>
    void send(const Message &message)
    {
        boost::asio::post(loop_, [this, message] { tell(message); });
    }

    /// The age that the gateway tells; nothing within two seconds.
    std::optional<Duration> ask()
    {
        send(WeightsRequest{});
        auto told = told_.get_future();
        return told.wait_for(2s) == std::future_status::ready ? std::optional(told.get()) : std::nullopt;
    }

    std::atomic<int> reports = 0;
    std::atomic<int> changes = 0; ///< Notices of changes received.
    ProofReply proof; ///< What it has in force; to be set before anybody asks.

private:
    void tell(const WeightsRequest &question)
    {
        socket_.send("host", question);
    }

    void tell(const LoadingNotice &notice)
    {
        socket_.broadcast(notice);
    }

    void onWeightsRequest(const std::string &host) override
    {
        if (age_.load() != Duration::zero()) {
            socket_.send(host, WeightsAge{"m", 2, age_});
        }
    }

    void onWeightsAge(const WeightsAge &age) override
    {
        told_.set_value(age.age);
    }

    void onDispatchNotice(const DispatchNotice & /*notice*/) override
    {
    }

    void onLoadingNotice(const LoadingNotice & /*notice*/) override
    {
    }

    void onTokenRequest(const std::string & /*host*/, const TokenRequest & /*request*/) override
    {
    }

    void onTokenReply(const TokenReply & /*reply*/) override
    {
    }

    void onTokenReturn(const TokenReturn & /*tokens*/) override
    {
    }

    void onStreamRecord(const StreamRecord & /*record*/) override
    {
    }

    void onStreamQuery(const std::string & /*host*/, const StreamQuery & /*query*/) override
    {
    }

    void onStreamReply(const std::string & /*host*/, const StreamRecord & /*reply*/) override
    {
    }

    void onChangesNotice(const ChangesNotice & /*notice*/) override
    {
        ++changes;
    }

    void onChangesRequest(const std::string & /*host*/, const ChangesRequest & /*request*/) override
    {
    }

    void onChangesReply(const ChangesReply & /*reply*/) override
    {
    }

    void onPermitRequest(const std::string & /*host*/, const PermitRequest & /*request*/) override
    {
    }

    void onPermitReply(const PermitReply & /*reply*/) override
    {
    }

    void onSlotReport(const std::string & /*host*/, const SlotReport & /*report*/) override
    {
    }

    void onSlotGrant(const std::string & /*host*/, const SlotGrant & /*grant*/) override
    {
    }

    void onStatements(const std::vector<StatementTable::Update> & /*updates*/) override
    {
    }

    void onStatementsQuery(const std::string & /*host*/) override
    {
    }

    void onRolloutReport(const std::string & /*host*/, RolloutReport && /*report*/) override
    {
    }

    void onRolloutReply(const RolloutReply & /*reply*/) override
    {
    }

    bool mayHaveStaleMessages() const override
    {
        return false;
    }

    void onCrashReport(const std::string &host, const CrashReport &report) override
    {
        socket_.send(host, QuarantineNotice{report.feature, {}, false}); // It has heard of enough targets already.
        ++reports;
    }

    void onQuarantined(const std::string & /*host*/, const QuarantineNotice & /*notice*/) override
    {
    }

    void onQuarantineLifted(RequestFeature /*feature*/) override
    {
    }

    void onQuarantineObjection(const QuarantineObjection & /*objection*/) override
    {
    }

    void onProofRequest(const std::string &host, const ProofRequest &request) override
    {
        if (proof.version != 0) {
            socket_.send(host, ProofReply{request.id, proof.revision, {}, proof.version});
        }
    }

    void onProofReply(const ProofReply & /*reply*/) override
    {
    }

    void onCacheStoreNotice(const CacheStoreNotice & /*notice*/) override
    {
    }

    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(loop_);
    PeerSocket socket_;
    std::atomic<Duration> age_ = Duration::zero();
    std::promise<Duration> told_;
    std::thread thread_;
};

/// A gateway and another host.
struct TwoHosts : GatewayFixture
{
    TwoHosts()
        : other(*this)
    {
        onLoop([](Gateway &gateway) {
            GatewayLimits limits;
            limits.configurationWindow = 1h; // No proof of the configuration comes here.
            limits.keyProofWindow = 1h;
            gateway.setLimits(limits);
        });
    }

    OtherHost other;
};

/// The same with one engine that has version 1.
struct Fixture : TwoHosts
{
    Fixture()
    {
        addEngine(
            "e", {"m", 1}, [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { connection.answer(request, 200, "old"); });
    }

    bool isServed()
    {
        const std::string fields = "Lovageloft-Model: m\r\nLovageloft-Token-Count: 10,1\r\nLovageloft-Prefix-Hash: a:10\r\n";
        return exchange(request("POST", "/safe/x", {}, fields)).starts_with("HTTP/1.1 200 ");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DatagramsTest, Fixture)

BOOST_AUTO_TEST_CASE(aHostThatHeardLateDoesNotTellItsGuessAndIsToldTheAge)
{
    // A host hears of weights after a standstill of three seconds. Another one knows that they were named more than seven seconds ago.
    onLoop([](Gateway &gateway) { gateway.setPublishedWeights({"m", 2, BootClock::now(), false, 3s}); });
    BOOST_TEST(isServed());
    BOOST_TEST(!other.ask().has_value());
    other.setAge(7200ms);
    const TimePoint limit = BootClock::now() + 3s;
    while (isServed() && BootClock::now() < limit) {
        std::this_thread::yield();
    }
    BOOST_TEST(!isServed());
}

BOOST_AUTO_TEST_CASE(aHostTellsAnAgeThatItKnows)
{
    onLoop([](Gateway &gateway) { gateway.setPublishedWeights({"m", 2, BootClock::now() - 2s}); });
    const auto age = other.ask();
    BOOST_REQUIRE(age.has_value());
    BOOST_TEST((*age >= 2s && *age < 4s));
}

BOOST_AUTO_TEST_CASE(aLoadThatIsHeardOfAfterAStandstillCountsFromBefore)
{
    // The host that orders the engines tells that one is going to load and is to be left alone for two seconds. The notice lies unread while
    // a host stands still. That one left the engine alone for two seconds more, though it had long loaded: after a change of weights it
    // used few engines for seconds, and its callers waited or were refused.
    BOOST_TEST(isServed());
    holdUp(1500ms);
    const TimePoint sentAt = BootClock::now();
    other.send(LoadingNotice{"e", {}, 2s});
    settle();
    std::this_thread::sleep_for(sentAt + 2200ms - BootClock::now());
    BOOST_TEST(isServed());
}

// Guards against withdrawn keys that work again on a host which starts after the store came back from an older copy.
BOOST_AUTO_TEST_CASE(aHostThatStartsOnAnOlderCopyOfTheStoreServesNobody)
{
    GatewayFixture started(false);
    started.addTarget("t", [](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) { connection.answer(request, 200, "old"); });
    OtherHost fleet(started);
    fleet.proof = {0, positionOf(1, 812), {}, 7};
    const auto isServed = [&started] { return started.exchange(request("GET", "/public/x")).starts_with("HTTP/1.1 200 "); };
    const auto configureAs = [&started](std::int64_t version, std::int64_t position) {
        RoutingTable table = GatewayFixture::table(version);
        table.revision = position;
        started.configure(table);
    };
    configureAs(5, positionOf(2, 800));
    const TimePoint limit = BootClock::now() + 3s;
    while (isServed() && BootClock::now() < limit) {
        std::this_thread::yield();
    }
    BOOST_TEST(!isServed());
    configureAs(7, positionOf(2, 801)); // The operators have written it again.
    BOOST_TEST(isServed());
}

// Guards against hosts that hear from a relay about one prefix only, and call the store for the others.
BOOST_AUTO_TEST_CASE(aHeartbeatTellsOfAllPrefixesInOneDatagram)
{
    MemoryStore memory;
    RelayedStore relay(memory, "host");
    GatewayFixture gateway;
    gateway.onLoop([&relay](Gateway &host) { host.fleet().setRelayedStore(relay); });
    OtherHost other(gateway);
    relay.list("x/");
    relay.list("y/");
    relay.sendHeartbeat();
    const TimePoint limit = BootClock::now() + 2s;
    while (other.changes < 2 && BootClock::now() < limit) {
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST(other.changes == 2);
    gateway.onLoop([](Gateway &host) {
        std::uint64_t sent = 0;
        for (const PeerTraffic &row : host.fleet().traffic().rows()) {
            sent += row.message == "bundle" || row.message == "changes" ? row.sentDatagrams : 0;
        }
        BOOST_TEST(sent == 1U);
    });
}

// Guards against a host that goes on sending a request which other hosts have in quarantine.
BOOST_FIXTURE_TEST_CASE(aRequestThatAnotherHostHasInQuarantineIsNotSent, TwoHosts)
{
    std::atomic<int> crashes = 0;
    addTarget("t", [&crashes](ScriptedTarget::Connection &connection, const ScriptedTarget::Request & /*request*/) {
        ++crashes;
        connection.reset();
    });
    const auto answer = [this] { return exchange(request("POST", "/once/x", "crash")); };
    BOOST_TEST(answer().starts_with("HTTP/1.1 502 "));
    const TimePoint limit = BootClock::now() + 3s;
    std::string last;
    while (!last.starts_with("HTTP/1.1 503 ") && BootClock::now() < limit) {
        last = answer();
    }
    BOOST_TEST(contains(last, "\"code\":2010"));
    BOOST_TEST(contains(last, "not_run"));
    BOOST_TEST(other.reports >= 1);
    BOOST_TEST(crashes <= static_cast<int>(CrashQuarantine::maxCrashes));
}

BOOST_AUTO_TEST_SUITE_END()

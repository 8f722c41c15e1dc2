#include "tests/platform/gateway_fixture.h"

#include <array>
#include <future>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

namespace Lovageloft
{

namespace
{

constexpr Duration patience = std::chrono::seconds(5);

Route route(const std::string &path, RouteKind kind, int attempts)
{
    Route route;
    route.name = path;
    route.host = "h.example";
    route.pathPrefix = path;
    route.kind = kind;
    route.timeout = std::chrono::seconds(2);
    route.latencyTarget = std::chrono::milliseconds(300);
    route.eventGap = std::chrono::milliseconds(250);
    route.maxAttempts = attempts;
    route.split = {{"s", 1}};
    return route;
}

/// Whether a whole answer, framed by a length or by chunks, stands in `text`.
bool isComplete(const std::string &text)
{
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const std::size_t length = text.find("Content-Length: ");
    if (length != std::string::npos && length < end) {
        return text.size() >= end + 4 + std::stoul(text.substr(length + 16));
    }
    return text.ends_with("0\r\n\r\n");
}

} // namespace

GatewayFixture::GatewayFixture(bool isConfigured)
{
    GatewayOptions options;
    options.callers = {"127.0.0.1", 0};
    options.readiness = {"127.0.0.1", 0};
    options.peers = {"127.0.0.1", 0};
    options.metrics = HostAddress{"127.0.0.1", 0};
    options.hostName = "host";
    options.limits.drainNotice = std::chrono::milliseconds(300);
    options.limits.drainLimit = std::chrono::seconds(4);
    options.limits.retries = {0.2, 50};
    gateway_ = std::make_unique<Gateway>(options, callerProtocol_, targetProtocol_, metrics_);
    Reason reason;
    BOOST_REQUIRE_MESSAGE(gateway_->open(reason), reason.text);
    gateway_->setHosts({{"host", {{"127.0.0.1", 1}, {}, {}}}}, 1);
    thread_ = std::thread([this] {
        gateway_->run();
        hasStopped_ = true;
    });
    if (isConfigured) {
        configure(table());
        publishTargets();
    }
}

GatewayFixture::~GatewayFixture()
{
    gateway_->post([](Gateway &gateway) { gateway.loop().stop(); });
    thread_.join();
}

ScriptedTarget &GatewayFixture::addTarget(const std::string &id, ScriptedTarget::Script script)
{
    Target entry;
    entry.id = id;
    return add(std::move(entry), std::move(script));
}

ScriptedTarget &GatewayFixture::addEngine(const std::string &id, const ServedModel &model, ScriptedTarget::Script script)
{
    Target entry;
    entry.id = id;
    entry.models = {model};
    return add(std::move(entry), std::move(script));
}

ScriptedTarget &GatewayFixture::addVersion(const std::string &id, const std::string &version, ScriptedTarget::Script script)
{
    Target entry;
    entry.id = id;
    entry.softwareVersion = version;
    return add(std::move(entry), std::move(script));
}

ScriptedTarget &GatewayFixture::add(Target entry, ScriptedTarget::Script script)
{
    auto &target = targets_[entry.id] = std::make_unique<ScriptedTarget>(std::move(script));
    list(std::move(entry), target->port());
    return *target;
}

void GatewayFixture::addTargetAt(const std::string &id, std::uint16_t port)
{
    Target entry;
    entry.id = id;
    list(std::move(entry), port);
}

void GatewayFixture::list(Target entry, std::uint16_t port)
{
    entry.service = "s";
    entry.address = {"127.0.0.1", port};
    entry.slots = 8;
    entry.incarnation = 1;
    list_[entry.id] = entry;
    publishTargets();
}

void GatewayFixture::addGone(const std::string &id)
{
    addTarget(id, {});
    targets_.erase(id);
}

void GatewayFixture::publishTargets()
{
    gateway_->post([targets = std::make_shared<const TargetMap>(list_)](Gateway &gateway) { gateway.setTargets(targets); });
    settle();
}

void GatewayFixture::configure(const RoutingTable &table, Duration age)
{
    auto shared = std::make_shared<const RoutingTable>(table);
    gateway_->post([shared, provenAt = BootClock::now() - age](Gateway &gateway) { gateway.setTable(shared, provenAt); });
    settle();
}

RoutingTable GatewayFixture::table(std::int64_t version)
{
    RoutingTable table;
    table.version = version;
    table.revision = version;
    table.routes = {route("/safe/", RouteKind::Idempotent, 2),
                    route("/once/", RouteKind::NonIdempotent, 2),
                    route("/stream/", RouteKind::Stream, 2),
                    route("/resume/", RouteKind::Stream, 2),
                    route("/public/", RouteKind::Idempotent, 2)};
    table.routes[3].isResumable = true;
    table.routes[4].isPublic = true;
    table.teams = {{.name = "t"}};
    table.teamOfKey = {{"k", 0}};
    table.limits.headBytes = 1'000;
    table.limits.bodyBytes = 1'000;
    table.limits.headTimeout = std::chrono::milliseconds(300);
    table.limits.idleTimeout = std::chrono::seconds(2);
    table.buildIndex();
    return table;
}

void GatewayFixture::settle()
{
    std::promise<void> done;
    gateway_->post([&done](Gateway &) { done.set_value(); });
    done.get_future().wait();
}

void GatewayFixture::drain()
{
    gateway_->post([](Gateway &gateway) { gateway.drain(); });
    settle();
}

void GatewayFixture::holdUp(Duration time)
{
    std::promise<void> begun;
    gateway_->post([&begun, time](Gateway &) {
        begun.set_value();
        const TimePoint end = BootClock::now() + time;
        while (BootClock::now() < end) {
            std::this_thread::yield();
        }
    });
    begun.get_future().wait();
}

void GatewayFixture::drainWhileHeldUp()
{
    constexpr Duration twoTicks = std::chrono::milliseconds(500);
    holdUp(twoTicks);
    drain();
}

bool GatewayFixture::hasStopped()
{
    const TimePoint limit = BootClock::now() + patience;
    while (!hasStopped_ && BootClock::now() < limit) {
        std::this_thread::yield();
    }
    return hasStopped_;
}

std::uint16_t GatewayFixture::port() const
{
    return gateway_->callerPort();
}

std::string GatewayFixture::request(const std::string &method, const std::string &path, const std::string &body, const std::string &fields)
{
    static std::atomic<int> next = 0;
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\nLovageloft-Request-Id: r" + std::to_string(next++)
        + "\r\nLovageloft-Deadline-Ms: 1500\r\nApi-Key: k\r\n" + fields;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

void GatewayFixture::onLoop(const std::function<void(Gateway &)> &task)
{
    gateway_->post(task);
    settle();
}

std::string GatewayFixture::askOperator(const std::string &path) const
{
    const std::string answer = exchangeAt(gateway_->metricsPort(), "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::size_t end = answer.find("\r\n\r\n");
    return answer.starts_with("HTTP/1.1 200 ") && end != std::string::npos ? answer.substr(end + 4) : std::string();
}

std::string GatewayFixture::exchange(const std::string &bytes) const
{
    return exchangeAt(port(), bytes);
}

std::string GatewayFixture::exchangeAt(std::uint16_t port, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(patience).count()));
    std::string answer;
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::array<char, 16'384> buffer{};
        while (!isComplete(answer)) {
            const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (got <= 0) {
                break;
            }
            answer.append(buffer.data(), static_cast<std::size_t>(got));
        }
    } catch (const Poco::Exception &error) {
        answer += " [" + error.displayText() + ']'; // A reset is an outcome that tests look at.
    }
    return answer;
}

} // namespace Lovageloft

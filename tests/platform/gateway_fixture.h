#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>

#include "core/metrics.h"
#include "gateway/gateway.h"
#include "platform/protocols.h"
#include "tests/stand_ins/scripted_target.h"

namespace Lovageloft
{

/// Whether a text has a part, for checks of answers.
inline bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// A gateway on the loopback interface that speaks the platform's protocols, with scripted targets. Its host is h.example; the routes are
/// /safe/, /once/, /stream/ (at most once), /resume/ and /public/, all of them to service s; team t has key k.
class GatewayFixture
{
public:
    using Connection = ScriptedTarget::Connection;
    using Request = ScriptedTarget::Request;

    /// A gateway that has its configuration, or has just started and knows nothing.
    explicit GatewayFixture(bool isConfigured = true);
    ~GatewayFixture();

    /// Adds a target of service s; the scheduler chooses freely among them.
    ScriptedTarget &addTarget(const std::string &id, ScriptedTarget::Script script);

    /// Adds an engine of service s that serves a model.
    ScriptedTarget &addEngine(const std::string &id, const ServedModel &model, ScriptedTarget::Script script);

    /// Adds a target of service s that runs this version of its software.
    ScriptedTarget &addVersion(const std::string &id, const std::string &version, ScriptedTarget::Script script);

    /// Lists a target at a port of the loopback interface.
    void addTargetAt(const std::string &id, std::uint16_t port);

    /// Lists a target at whose address nobody listens.
    void addGone(const std::string &id);

    /// Puts a configuration in force that was proven `age` ago.
    void configure(const RoutingTable &table, Duration age = {});

    static RoutingTable table(std::int64_t version = 1);

    /// Waits until all that was posted to the gateway so far is done.
    void settle();

    void drain();

    /// Holds the event loop up, as a host does that stands still; returns once it is.
    void holdUp(Duration time);

    /// The same as drain(), asked for while the event loop is held up for longer than its ticks are apart.
    void drainWhileHeldUp();

    /// Whether the gateway has ended by itself within five seconds.
    bool hasStopped();

    std::uint16_t port() const;

    /// Runs a task on the gateway's event loop, and waits for it.
    void onLoop(const std::function<void(Gateway &)> &task);

    /// The body of the answer on the address for metrics and operators' calls.
    std::string askOperator(const std::string &path) const;

    /// The text of a request with key k.
    static std::string request(const std::string &method, const std::string &path, const std::string &body = {}, const std::string &fields = {});

    /// Sends bytes on a new connection and reads until the answer is complete or the connection ends, for five seconds at most.
    std::string exchange(const std::string &bytes) const;

    /// The same, to a port of the loopback interface.
    static std::string exchangeAt(std::uint16_t port, const std::string &bytes);

private:
    ScriptedTarget &add(Target entry, ScriptedTarget::Script script);
    void list(Target entry, std::uint16_t port);
    void publishTargets();

    Metrics metrics_;
    PlatformCallerProtocol callerProtocol_;
    PlatformTargetProtocol targetProtocol_;
    std::unique_ptr<Gateway> gateway_;
    std::map<std::string, std::unique_ptr<ScriptedTarget>> targets_;
    TargetMap list_;
    std::thread thread_;
    std::atomic<bool> hasStopped_ = false;
};

} // namespace Lovageloft

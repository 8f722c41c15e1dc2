#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/metrics.h"
#include "gateway/gateway.h"
#include "platform/protocols.h"
#include "tests/platform/gateway_fixture.h"
#include "tests/stand_ins/link_proxy.h"
#include "tests/stand_ins/scripted_target.h"

namespace Lovageloft
{

/// Several gateways on the loopback interface that know each other, with the routes of GatewayFixture and scripted targets of service s. Each
/// gateway has a link of its own to each target.
class FleetFixture
{
public:
    using Connection = ScriptedTarget::Connection;
    using Request = ScriptedTarget::Request;
    using LinkMode = StandIns::LinkMode;

    explicit FleetFixture(std::size_t hostCount = 2);
    ~FleetFixture();

    /// Adds a target that all gateways list, with the version of its software.
    ScriptedTarget &addTarget(const std::string &id, ScriptedTarget::Script script, const std::string &version = {});

    /// Changes a target's entry on all gateways.
    void changeTarget(const std::string &id, const std::function<void(Target &)> &change);

    /// Changes a target's entry as one gateway has it.
    void changeTargetAt(std::size_t host, const std::string &id, const std::function<void(Target &)> &change);

    /// Removes a target's entry from all gateways.
    void unlistTarget(const std::string &id);

    /// Sets the mode of the links from a host to all targets, or to one.
    void setLinks(std::size_t host, LinkMode mode);
    void setLink(std::size_t host, const std::string &targetId, LinkMode mode);

    /// Sends a request to a host on a new connection and reads the answer.
    std::string exchange(std::size_t host, const std::string &bytes) const;

    /// Sends such requests for a time, one after the other, and returns the share of them that is answered with status 200.
    double servedShare(std::size_t host, const std::string &method, const std::string &path, Duration time) const;

    /// The same with several callers of each of these hosts at once, which send GET requests.
    double servedShare(const std::vector<std::size_t> &hosts,
                       std::size_t callersPerHost,
                       const std::function<std::string(std::size_t host)> &pathOf,
                       Duration time) const;

    /// Runs a task on the event loop of a gateway, and waits for it.
    void onLoop(std::size_t host, const std::function<void(Gateway &)> &task);

    /// Ends a gateway at once, as a kill does.
    void kill(std::size_t host);

    /// Tells the other gateways that a host has gone, as the end of its lease does.
    void unlistHost(std::size_t host);

    std::uint16_t callerPort(std::size_t host) const;
    std::uint16_t metricsPort(std::size_t host) const;

private:
    struct Host
    {
        std::string name;
        Metrics metrics;
        std::unique_ptr<Gateway> gateway;
        std::thread thread;
        std::map<std::string, std::unique_ptr<StandIns::LinkProxy>> links; ///< By target id.
        TargetMap targets;
    };

    void publishTargets(std::size_t host);

    PlatformCallerProtocol callerProtocol_;
    PlatformTargetProtocol targetProtocol_;
    std::map<std::string, std::unique_ptr<ScriptedTarget>> targets_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::map<std::string, HostRecord> records_; ///< Of the listed hosts.
};

} // namespace Lovageloft

#include "tests/platform/fleet_fixture.h"

#include <future>
#include <numeric>

#include <boost/test/unit_test.hpp>

namespace Lovageloft
{

FleetFixture::FleetFixture(std::size_t hostCount)
{
    for (std::size_t i = 0; i < hostCount; ++i) {
        auto host = std::make_unique<Host>();
        host->name = "host-" + std::to_string(i);
        GatewayOptions options;
        options.callers = {"127.0.0.1", 0};
        options.readiness = {"127.0.0.1", 0};
        options.peers = {"127.0.0.1", 0};
        options.metrics = HostAddress{"127.0.0.1", 0};
        options.hostName = host->name;
        options.limits.keyProofWindow = std::chrono::hours(1); // Nothing proves the configuration again.
        options.limits.drainNotice = std::chrono::milliseconds(300);
        options.limits.drainLimit = std::chrono::seconds(4);
        options.limits.retries = {0.2, 50};
        host->gateway = std::make_unique<Gateway>(options, callerProtocol_, targetProtocol_, host->metrics);
        Reason reason;
        BOOST_REQUIRE_MESSAGE(host->gateway->open(reason), reason.text);
        records_.emplace(host->name, HostRecord{{"127.0.0.1", host->gateway->fleet().port()}, {}, "z"});
        hosts_.push_back(std::move(host));
    }
    const auto table = std::make_shared<const RoutingTable>(GatewayFixture::table());
    for (const auto &host : hosts_) {
        host->gateway->setHosts(records_, 1.0 / static_cast<double>(hostCount));
        host->thread = std::thread([gateway = host->gateway.get()] { gateway->run(); });
        host->gateway->post([table](Gateway &gateway) {
            gateway.setTable(table, BootClock::now());
            gateway.setTargets(std::make_shared<const TargetMap>());
        });
    }
}

FleetFixture::~FleetFixture()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        kill(i);
    }
}

ScriptedTarget &FleetFixture::addTarget(const std::string &id, ScriptedTarget::Script script, const std::string &version)
{
    ScriptedTarget &target = *(targets_[id] = std::make_unique<ScriptedTarget>(std::move(script)));
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        Host &host = *hosts_[i];
        auto &link = host.links[id] = std::make_unique<StandIns::LinkProxy>(target.port());
        Target entry;
        entry.id = id;
        entry.service = "s";
        entry.address = {"127.0.0.1", link->port()};
        entry.slots = 8;
        entry.incarnation = 1;
        entry.softwareVersion = version;
        host.targets[id] = entry;
        publishTargets(i);
    }
    return target;
}

void FleetFixture::changeTarget(const std::string &id, const std::function<void(Target &)> &change)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        changeTargetAt(i, id, change);
    }
}

void FleetFixture::changeTargetAt(std::size_t host, const std::string &id, const std::function<void(Target &)> &change)
{
    change(hosts_[host]->targets.at(id));
    publishTargets(host);
}

void FleetFixture::unlistTarget(const std::string &id)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i]->targets.erase(id);
        publishTargets(i);
    }
}

/// A killed host hears nothing.
void FleetFixture::publishTargets(std::size_t host)
{
    if (hosts_[host]->gateway != nullptr) {
        onLoop(host, [targets = std::make_shared<const TargetMap>(hosts_[host]->targets)](Gateway &gateway) { gateway.setTargets(targets); });
    }
}

void FleetFixture::setLinks(std::size_t host, LinkMode mode)
{
    for (const auto &[id, link] : hosts_[host]->links) {
        link->setMode(mode);
    }
}

void FleetFixture::setLink(std::size_t host, const std::string &targetId, LinkMode mode)
{
    hosts_[host]->links.at(targetId)->setMode(mode);
}

std::string FleetFixture::exchange(std::size_t host, const std::string &bytes) const
{
    return GatewayFixture::exchangeAt(callerPort(host), bytes);
}

double FleetFixture::servedShare(std::size_t host, const std::string &method, const std::string &path, Duration time) const
{
    constexpr Duration pause = std::chrono::milliseconds(10);
    const TimePoint end = BootClock::now() + time;
    int sent = 0;
    int served = 0;
    while (BootClock::now() < end) {
        ++sent;
        served += exchange(host, GatewayFixture::request(method, path, method == "GET" ? "" : "body")).starts_with("HTTP/1.1 200 ") ? 1 : 0;
        std::this_thread::sleep_for(pause);
    }
    return static_cast<double>(served) / sent;
}

double FleetFixture::servedShare(const std::vector<std::size_t> &hosts,
                                 std::size_t callersPerHost,
                                 const std::function<std::string(std::size_t host)> &pathOf,
                                 Duration time) const
{
    std::vector<double> served(hosts.size() * callersPerHost);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < served.size(); ++i) {
        const std::size_t host = hosts[i % hosts.size()];
        callers.emplace_back([this, host, time, &pathOf, &share = served[i]] { share = servedShare(host, "GET", pathOf(host), time); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return std::accumulate(served.begin(), served.end(), 0.0) / static_cast<double>(served.size());
}

void FleetFixture::onLoop(std::size_t host, const std::function<void(Gateway &)> &task)
{
    std::promise<void> done;
    hosts_[host]->gateway->post([&](Gateway &gateway) {
        task(gateway);
        done.set_value();
    });
    done.get_future().wait();
}

void FleetFixture::kill(std::size_t host)
{
    Host &killed = *hosts_[host];
    if (killed.gateway == nullptr) {
        return;
    }
    killed.gateway->post([](Gateway &gateway) { gateway.loop().stop(); });
    killed.thread.join();
    killed.gateway.reset();
}

void FleetFixture::unlistHost(std::size_t host)
{
    records_.erase(hosts_[host]->name);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i]->gateway != nullptr) {
            onLoop(i, [this](Gateway &gateway) { gateway.setHosts(records_, 1.0 / static_cast<double>(records_.size())); });
        }
    }
}

std::uint16_t FleetFixture::callerPort(std::size_t host) const
{
    return hosts_[host]->gateway->callerPort();
}

std::uint16_t FleetFixture::metricsPort(std::size_t host) const
{
    return hosts_[host]->gateway->metricsPort();
}

} // namespace Lovageloft

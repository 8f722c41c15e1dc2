#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "tests/stand_ins/port_reservation.h"
#include "tests/stand_ins/scripted_target.h"
#include "tests/stand_ins/stand_in_kv_store.h"
#include "tests/system/child_process.h"

namespace Lovageloft
{

/// Hosts of the users' platform in processes of their own, and a store, on the loopback address. The host name of the routes is h.example; the routes are
/// /safe/, /once/ and /resume/, all of them to service s; team t has key k.
class PlatformFleet
{
public:
    struct Options
    {
        std::size_t hosts = 1;
        std::string hostLimits; ///< Lines of the table `limits` of each host's settings.
        std::string callerLimits = "{}"; ///< JSON: the configuration's limits for callers.
    };

    /// Does not start the hosts, so that targets can be added before.
    explicit PlatformFleet(Options options);
    ~PlatformFleet();
    PlatformFleet(const PlatformFleet &) = delete;
    PlatformFleet &operator=(const PlatformFleet &) = delete;

    /// Starts all hosts and waits until each serves.
    void start();

    /// Adds a target of service s.
    void addTarget(const std::string &id, const std::string &version, ScriptedTarget::Script script);

    /// Takes a target's entry from the store.
    void unlistTarget(const std::string &id);

    ChildProcess &host(std::size_t index);
    std::uint16_t callerPort(std::size_t host) const;
    std::uint16_t readinessPort(std::size_t host) const;
    std::uint16_t peerPort(std::size_t host) const;

    /// The host that holds the lead; waits until one does.
    std::size_t leader();

    /// Status of a GET request on a route, on a connection of its own; 0 without an answer.
    int ask(std::size_t host, const std::string &route) const;

private:
    void write(const std::string &key, const std::string &value);

    Options options_;
    StandInKvStore store_;
    StandIns::PortReservation ports_;
    std::string folder_;
    std::vector<std::unique_ptr<ScriptedTarget>> targets_;
    std::vector<std::unique_ptr<ChildProcess>> hosts_;
};

} // namespace Lovageloft

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/configuration.h"
#include "tests/servers/raw_caller.h"
#include "tests/stand_ins/port_reservation.h"
#include "tests/system/child_process.h"

namespace Lovageloft
{

/// What a deployment under test is made of.
struct SystemOptions
{
    std::size_t hosts = 3;
    std::size_t engines = 2;
    std::size_t services = 0;
    std::vector<std::string> engineArguments = {}; ///< As the stand-in engine takes them.
    std::string moreSettings = {}; ///< Sections of TOML for every host's settings file.
    std::vector<TeamConfiguration> moreTeams = {};
    double rate = 1e9; ///< Tokens a second of the team "desk".
};

/// A stand-in process, and where it listens.
struct StandInProcess
{
    std::unique_ptr<ChildProcess> process;
    std::uint16_t port = 0;
};

/// A deployment of real processes on the loopback address: a store, hosts, engines and services. The constructor starts them,
/// commits ticket 1, and waits until every host serves under it.
class SystemFixture
{
public:
    explicit SystemFixture(const SystemOptions &options = {});
    ~SystemFixture();
    SystemFixture(const SystemFixture &) = delete;
    SystemFixture &operator=(const SystemFixture &) = delete;

    std::size_t hostCount() const;
    ChildProcess &host(std::size_t index);
    StandInProcess &store();
    StandInProcess &engine(std::size_t index);
    StandInProcess &service(std::size_t index);

    /// Starts a host on the same peer address again, after its end. The callers' port is another one.
    void restartHost(std::size_t index);

    /// Starts an engine or service again on its port, after its end.
    void restartEngine(std::size_t index);

    /// One caller's request on a connection of its own; status 0 if no answer came.
    CallerAnswer call(std::size_t host, std::string_view request, std::chrono::milliseconds silenceLimit = std::chrono::seconds(10)) const;

    /// The port on which a host serves callers.
    std::uint16_t callerPort(std::size_t host) const;

    /// One operator's request with the operators' key; status 0 if no answer came.
    CallerAnswer callOperator(std::size_t host, std::string_view method, std::string_view path, std::string_view body = {}) const;

    /// Commits a ticket with the next number at a host. Returns its sequence in the log, 0 if it was refused.
    std::int64_t applyTicket(std::size_t host, std::vector<ConfigurationObject> objects);

    /// Whether a host says that an entry of the log is in force.
    bool isInForce(std::size_t host, std::int64_t sequence) const;

    /// Whether a host's health check for new work passes.
    bool isReady(std::size_t host) const;

    /// Tells a stand-in to show a fault, as JSON.
    static void planFault(const StandInProcess &standIn, std::string_view json);

    /// A stand-in's record, as JSON.
    static std::string record(const StandInProcess &standIn);

    /// The team that every deployment has, with a key called `keyId`.
    TeamConfiguration desk() const;

    /// Targets as ticket 1 has them.
    TargetConfiguration engineTarget(std::size_t index) const;
    TargetConfiguration serviceTarget(std::size_t index) const;

    /// A request with a key and a JSON body.
    static std::string post(std::string_view path, std::string_view body, std::string_view key = deskKey, std::string_view moreFields = {});

    /// A chat completion of `tokens` tokens.
    static std::string chat(int tokens, bool isStream = true, std::string_view key = deskKey);

    static constexpr std::string_view deskKey = "lk-desk-key";

    /// For conditions that come about by themselves, also on a busy machine.
    static constexpr std::chrono::seconds patience{20};

private:
    void startStandIns();
    void startHost(std::size_t index);
    void writeSettings(std::size_t index);
    StandInProcess startStandIn(const char *program, const std::string &name, const std::vector<std::string> &arguments);
    void configure();
    void printLogs() const;

    struct Host
    {
        std::unique_ptr<ChildProcess> process;
        std::atomic<std::uint16_t> callerPort = 0; ///< Atomic, as callers go on while a host is started again.
        std::atomic<std::uint16_t> operatorPort = 0;
        std::uint16_t peerPort = 0;
        int starts = 0;
    };

    SystemOptions options_;
    std::string folder_;
    std::vector<KeyDigest> deskKeys_;
    StandInProcess store_;
    std::vector<StandInProcess> engines_;
    std::vector<StandInProcess> services_;
    std::vector<Host> hosts_;
    StandIns::PortReservation ports_; ///< The hosts' list must name them before the hosts are up.
    std::int64_t lastTicket_ = 0;
    int standInStarts_ = 0;
};

/// A whole number `"name":N` in JSON text, -1 if there is none.
std::int64_t numberIn(std::string_view json, std::string_view name);

} // namespace Lovageloft

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "tests/stand_ins/scripted_target.h"
#include "tests/stand_ins/stand_in_kv_store.h"
#include "tests/system/child_process.h"

namespace Review2
{

/// Exit codes of a case.
enum class Verdict : std::uint8_t
{
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// Writes what was sent, answered and run to the case's record, with the time since its start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    void add(std::string_view line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
};

/// A server's part in a case: how it is listed, and how it answers.
struct Server
{
    std::string id;
    std::string service;
    std::string models; ///< JSON of the field `models`; empty to leave it out.
    Lovageloft::ScriptedTarget::Script script;
};

/// An answer as a client sees it.
struct Answer
{
    int status = 0; ///< 0 without an answer.
    std::string text; ///< All bytes received.
};

/// Hosts in processes of their own, started with the words of the deploy file's `run` line, beside stand-ins of the platform's store and of servers.
/// Each host has a loopback address of its own, as `run` names one port for all.
class Deployment
{
public:
    Deployment(std::vector<std::string> runWords, std::size_t hosts, Record &record);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Writes a key as the operator or a server does.
    void write(const std::string &key, const std::string &value);

    /// Starts a server and lists it.
    void addServer(Server server);

    /// Text of a server's entry; `models` is its JSON, or empty to leave the field out.
    std::string entryOf(const std::string &id, const std::string &models) const;

    std::uint16_t storePort() const;

    /// Has the hosts that are started later reach the store through another port, as that of a proxy.
    void setStorePort(std::uint16_t port);

    /// Starts all hosts and waits until each says that it is ready; false if one does not.
    bool start();

    Lovageloft::ChildProcess &host(std::size_t index);
    std::string hostLog(std::size_t index) const;

    /// Sends one request to a host on a connection of its own and reads the answer, for five seconds at most.
    Answer ask(std::size_t host, const std::string &request) const;

    /// Whether the host's readiness check is good.
    bool isReady(std::size_t host) const;

private:
    struct Listed
    {
        std::string id;
        std::string service;
        std::unique_ptr<Lovageloft::ScriptedTarget> target;
    };

    std::string settingsOf(std::size_t host) const;

    std::vector<std::string> runWords_;
    std::size_t hostCount_;
    Record &record_;
    std::string folder_;
    std::string network_; ///< The first three numbers of the hosts' addresses.
    Lovageloft::StandInKvStore store_;
    std::uint16_t storePort_ = 0; ///< Where the hosts reach the store.
    std::vector<Listed> servers_;
    std::vector<std::unique_ptr<Lovageloft::ChildProcess>> hosts_;
};

/// Status of an answer's text; 0 if there is none.
int statusOf(std::string_view text);

/// The texts one after the other.
std::string joined(std::initializer_list<std::string_view> texts);

/// A request without a body, as a client of a route of h.example sends it. `fields` are whole lines.
std::string getRequest(const std::string &path, const std::string &id, const std::string &fields);

/// A request with the body `x`.
std::string postRequest(const std::string &path, const std::string &id, const std::string &fields);

/// A route of h.example in the configuration. `more` continues the JSON object, and begins with a comma unless it is empty.
std::string route(const std::string &path, const std::string &kind, const std::string &service, const std::string &more = {});

/// Whether the case is run with its disruption: the variable TROUBLE is not 0.
bool hasTrouble();

/// Runs a case with the arguments `RECORD WORD...`: the record's path and the words of the deploy file's `run` line. A case that throws could not run.
int runCase(int argc, char **argv, const std::function<Verdict(const std::vector<std::string> &runWords, Record &record)> &run);

} // namespace Review2

#include "tests/system/platform_fleet.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <unistd.h>

#include "tests/servers/raw_caller.h"

namespace Lovageloft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t portsPerHost = 3; ///< For callers, readiness, and datagrams of other hosts.

std::string route(const std::string &path, const std::string &kind)
{
    return R"({"name":")" + path + R"(","host":"h.example","pathPrefix":"/)" + path + R"(/","kind":")" + kind
        + R"(","timeoutMs":4000,"targetLatencyMs":200,"priority":1,"service":"s","maxAttempts":2,"resumable":)" + (path == "resume" ? "true" : "false") + "}";
}

} // namespace

PlatformFleet::PlatformFleet(Options options)
    : options_(std::move(options))
    , ports_(portsPerHost * options_.hosts, static_cast<std::size_t>(::getpid()) * 40)
    , folder_(Poco::TemporaryFile::tempName())
{
    std::filesystem::create_directories(folder_);
    write("op/config",
          R"({"version":1,"routes":[)" + route("safe", "safe") + "," + route("once", "unsafe") + "," + route("resume", "streaming")
              + R"(],"services":[{"name":"s"}],"limits":)" + options_.callerLimits + R"(,"tenants":[{"name":"t","apiKeys":["k"]}]})");
}

PlatformFleet::~PlatformFleet()
{
    hosts_.clear();
    std::filesystem::remove_all(folder_);
}

void PlatformFleet::start()
{
    for (std::size_t i = 0; i < options_.hosts; ++i) {
        const std::string path = folder_ + "/" + std::to_string(i) + ".toml";
        std::ofstream(path) << "nodeName = \"host-" << i << "\"\nzone = \"z\"\nip = \"127.0.0.1\"\ninternalPorts = [" << peerPort(i)
                            << "]\n[listen]\nfront = \"127.0.0.1:" << callerPort(i) << "\"\nreadinessAddr = \"127.0.0.1:" << readinessPort(i)
                            << "\"\n[bounds]\nconfigMs = 3000\nrevokeMs = 5000\nversionMs = 10000\nleaseMs = 3000\ngraceS = 8\nretryBudgetRatio = 0.2\n"
                               "budgetSlack = 50\nquotaOver = 0.1\nquotaSlack = 10\nrequireFencing = true\n[platform]\naddr = \"127.0.0.1:"
                            << store_.port() << "\"\nttlMinMs = 1000\n[limits]\n"
                            << options_.hostLimits;
        hosts_.push_back(
            std::make_unique<ChildProcess>(LOVAGELOFTD_PROGRAM, std::vector<std::string>{"--platform", path}, folder_ + "/" + std::to_string(i) + ".log"));
    }
    for (std::size_t i = 0; i < options_.hosts; ++i) {
        if (!waitFor(20s, [this, i] { return ask(i, "safe") == 200; })) {
            throw std::runtime_error("a host does not serve: " + hosts_[i]->output());
        }
    }
}

void PlatformFleet::addTarget(const std::string &id, const std::string &version, ScriptedTarget::Script script)
{
    targets_.push_back(std::make_unique<ScriptedTarget>(std::move(script)));
    write("servers/" + id,
          R"({"service":"s","zone":"z","slots":16,"state":"ready","coldLeftMs":0,"seq":1,"addr":"127.0.0.1:)" + std::to_string(targets_.back()->port())
              + R"(","version":")" + version + "\"}");
}

void PlatformFleet::unlistTarget(const std::string &id)
{
    const std::string key = "servers/" + id;
    store_.memory().compareAndDelete(key, store_.memory().get(key).entry.revision);
}

ChildProcess &PlatformFleet::host(std::size_t index)
{
    return *hosts_.at(index);
}

std::uint16_t PlatformFleet::callerPort(std::size_t host) const
{
    return ports_.ports().at(portsPerHost * host);
}

std::uint16_t PlatformFleet::readinessPort(std::size_t host) const
{
    return ports_.ports().at(portsPerHost * host + 1);
}

std::uint16_t PlatformFleet::peerPort(std::size_t host) const
{
    return ports_.ports().at(portsPerHost * host + 2);
}

std::size_t PlatformFleet::leader()
{
    constexpr std::string_view prefix = "host-";
    const auto holder = [this] { return store_.memory().get("lovageloft/leader").entry.value; };
    if (!waitFor(10s, [&] { return holder().starts_with(prefix); })) {
        throw std::runtime_error("no host holds the lead");
    }
    return std::stoul(holder().substr(prefix.size()));
}

int PlatformFleet::ask(std::size_t host, const std::string &route) const
{
    try {
        RawCaller caller(callerPort(host), 3s);
        caller.send("GET /" + route
                    + "/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nLovageloft-Request-Id: ask\r\nLovageloft-Deadline-Ms: 2500\r\n"
                      "Api-Key: k\r\n\r\n");
        return caller.readAnswer().status;
    } catch (const Poco::Exception &) {
        return 0;
    }
}

void PlatformFleet::write(const std::string &key, const std::string &value)
{
    const StoreReply known = store_.memory().get(key);
    store_.memory().compareAndSwap(key, known.status == StoreStatus::Ok ? known.entry.revision : 0, value, 0);
}

} // namespace Lovageloft

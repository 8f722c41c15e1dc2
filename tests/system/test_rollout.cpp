#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "tests/servers/raw_caller.h"
#include "tests/stand_ins/port_reservation.h"
#include "tests/stand_ins/stand_in_kv_store.h"
#include "tests/system/child_process.h"

using namespace Lovageloft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hostCount = 9;
constexpr std::size_t portsPerHost = 3; ///< For callers, readiness, and datagrams of other hosts.
constexpr std::size_t callerCount = 4;

/// Nine hosts of the users' platform in processes of their own, a store, and three targets each of the versions v1 and v2 of a service, which answer
/// in 20 ms. Callers send requests all the while.
class Fleet
{
public:
    explicit Fleet(std::function<void(std::string &version, int &status, Duration &time)> applyFaults)
        : applyFaults_(std::move(applyFaults))
        , ports_(portsPerHost * hostCount, static_cast<std::size_t>(::getpid()) * 40)
        , folder_(Poco::TemporaryFile::tempName())
    {
        std::filesystem::create_directories(folder_);
        write("op/config",
              R"({"version":1,"routes":[)" + route("safe") + "," + route("unsafe")
                  + R"(],"services":[{"name":"s"}],"limits":{},"tenants":[{"name":"t","apiKeys":["k"]}]})");
        addTargets("v1");
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts_.push_back(nullptr);
            start(i);
        }
        for (std::size_t i = 0; i < hostCount; ++i) {
            const bool isServing = waitFor(10s, [this, i] { return ask(i, "safe") == 200; });
            BOOST_REQUIRE_MESSAGE(isServing, "a host does not serve: " << hosts_[i]->output());
        }
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers_.emplace_back([this, i] { call(i); });
        }
    }

    ~Fleet()
    {
        isStopped_ = true;
        for (std::thread &caller : callers_) {
            caller.join();
        }
        hosts_.clear();
        std::filesystem::remove_all(folder_);
    }

    void start(std::size_t index)
    {
        const std::string path = folder_ + "/" + std::to_string(index) + ".toml";
        std::ofstream(path) << "nodeName = \"host-" << index << "\"\nzone = \"z\"\nip = \"127.0.0.1\"\ninternalPorts = [" << port(index, 2)
                            << "]\n[listen]\nfront = \"127.0.0.1:" << port(index, 0) << "\"\nreadinessAddr = \"127.0.0.1:" << port(index, 1)
                            << "\"\n[bounds]\nconfigMs = 3000\nrevokeMs = 5000\nversionMs = 10000\nleaseMs = 3000\ngraceS = 8\nretryBudgetRatio = 0.2\n"
                               "budgetSlack = 50\nquotaOver = 0.1\nquotaSlack = 10\nexposeShare = 0.1\nexposeSlack = 50\nrollbackMs = 5000\n"
                               "requireFencing = true\n[platform]\naddr = \"127.0.0.1:"
                            << store_.port() << "\"\nttlMinMs = 1000\n";
        hosts_[index].reset();
        hosts_[index] =
            std::make_unique<ChildProcess>(LOVAGELOFTD_PROGRAM, std::vector<std::string>{"--platform", path}, folder_ + "/" + std::to_string(index) + ".log");
    }

    void addTargets(const std::string &version)
    {
        for (int i = 0; i < 3; ++i) {
            const std::string id = version + "-" + std::to_string(i);
            targets_.push_back(
                std::make_unique<ScriptedTarget>([this, version, id](ScriptedTarget::Connection &connection, const ScriptedTarget::Request &request) {
                    if (request.field("Lovageloft-Expect-Instance") != id) {
                        connection.answer(request, 421, "", "Lovageloft-Not-Executed: 1\r\n");
                        return;
                    }
                    int status = 200;
                    Duration time = 20ms;
                    std::string served = version;
                    ++(version == "v1" ? atOld_ : atNew_);
                    applyFaults_(served, status, time);
                    std::this_thread::sleep_for(time);
                    connection.answer(request, status, "whole");
                }));
            std::string entry = R"({"service":"s","zone":"z","slots":16,"state":"ready","coldLeftMs":0,"seq":1,"addr":"127.0.0.1:)";
            entry += std::to_string(targets_.back()->port());
            entry += R"(","version":")";
            entry += version;
            entry += "\"}";
            write("servers/" + id, entry);
        }
    }

    void order(int seconds)
    {
        orderedAt_ = requests_.load();
        write("op/rollout/s", R"({"service":"s","target":"v2","durationS":)" + std::to_string(seconds) + "}");
    }

    std::string status()
    {
        return store_.memory().get("status/rollout/s").entry.value;
    }

    /// The host that holds the lead; nothing if there is none.
    std::optional<std::size_t> leader()
    {
        const std::string holder = store_.memory().get("lovageloft/leader").entry.value;
        return holder.starts_with("host-") ? std::optional<std::size_t>(std::stoul(holder.substr(5))) : std::nullopt;
    }

    ChildProcess &host(std::size_t index)
    {
        return *hosts_[index];
    }

    int atOld() const
    {
        return atOld_;
    }

    int atNew() const
    {
        return atNew_;
    }

    /// What the ordered version may get by now.
    double allowed() const
    {
        return 0.1 * (requests_ - orderedAt_) + 50;
    }

private:
    static std::string route(const std::string &kind)
    {
        return R"({"name":")" + kind + R"(","host":"h","pathPrefix":"/)" + kind + R"(/","kind":")" + kind
            + R"(","timeoutMs":2000,"targetLatencyMs":200,"priority":1,"service":"s","maxAttempts":2})";
    }

    void write(const std::string &key, const std::string &value)
    {
        const StoreReply known = store_.memory().get(key);
        store_.memory().compareAndSwap(key, known.status == StoreStatus::Ok ? known.entry.revision : 0, value, 0);
    }

    std::uint16_t port(std::size_t host, std::size_t number) const
    {
        return ports_.ports().at(portsPerHost * host + number);
    }

    int ask(std::size_t host, const std::string &kind)
    {
        try {
            RawCaller caller(port(host, 0), 3s);
            caller.send("GET /" + kind + "/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nLovageloft-Request-Id: r" + std::to_string(++ids_)
                        + "\r\nLovageloft-Deadline-Ms: 1500\r\nApi-Key: k\r\n\r\n");
            return caller.readAnswer().status;
        } catch (const Poco::Exception &) {
            return 0;
        }
    }

    void call(std::size_t number)
    {
        for (std::size_t i = number; !isStopped_; ++i) {
            const int status = ask(i % hostCount, i % 3 == 0 ? "unsafe" : "safe");
            requests_ += status != 0 ? 1 : 0;
            std::this_thread::sleep_for(2ms);
        }
    }

    std::function<void(std::string &, int &, Duration &)> applyFaults_;
    StandIns::PortReservation ports_;
    std::string folder_;
    StandInKvStore store_;
    std::atomic<int> atOld_ = 0;
    std::atomic<int> atNew_ = 0;
    std::atomic<int> ids_ = 0;
    std::atomic<int> requests_ = 0;
    std::atomic<int> orderedAt_ = 0;
    std::atomic<bool> isStopped_ = false;
    std::vector<std::unique_ptr<ScriptedTarget>> targets_;
    std::vector<std::unique_ptr<ChildProcess>> hosts_;
    std::vector<std::thread> callers_;
};

void killLeader(Fleet &fleet)
{
    BOOST_REQUIRE(waitFor(10s, [&fleet] { return fleet.leader().has_value(); }));
    const std::size_t leader = *fleet.leader();
    fleet.host(leader).kill();
    fleet.start(leader);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutSystemTest)

// Guards against a good version that is not completed in time as the leader is killed and another host stands still midway.
BOOST_AUTO_TEST_CASE(aGoodVersionIsCompletedBesideFaults)
{
    Fleet fleet([](std::string &, int &, Duration &) {});
    fleet.addTargets("v2");
    fleet.order(24);
    std::this_thread::sleep_for(3s);
    killLeader(fleet);
    BOOST_REQUIRE(waitFor(10s, [&fleet] { return fleet.leader().has_value(); }));
    const std::size_t paused = (*fleet.leader() + 1) % hostCount;
    fleet.host(paused).freeze();
    std::this_thread::sleep_for(8s);
    fleet.host(paused).resume();
    BOOST_TEST(fleet.status() == R"({"state":"running","target":"v2"})");
    BOOST_TEST(fleet.atNew() <= fleet.allowed());
    BOOST_TEST(waitFor(14s, [&fleet] { return fleet.status() == R"({"state":"completed","target":"v2"})"; }));
    const int before = fleet.atOld();
    std::this_thread::sleep_for(1s);
    BOOST_TEST(fleet.atOld() == before);
    BOOST_TEST(fleet.atNew() > 100);
}

// Guards against callers that get failures, or late answers, of a version until its deadline, and of one that turns bad under a new leader.
BOOST_AUTO_TEST_CASE(aBadVersionIsRolledBackBesideFaults)
{
    std::atomic<bool> isBad = false;
    Fleet fleet([&isBad](std::string &version, int &status, Duration &time) {
        const bool isHit = version == "v2" && isBad;
        status = isHit && time > 0ms ? 500 : status;
    });
    fleet.addTargets("v2");
    fleet.order(24);
    std::this_thread::sleep_for(3s);
    killLeader(fleet);
    isBad = true;
    BOOST_TEST(waitFor(14s, [&fleet] { return fleet.status() == R"({"state":"rolled_back","target":"v2"})"; }));
    BOOST_TEST(fleet.atNew() <= fleet.allowed());
    std::this_thread::sleep_for(2s);
    const int before = fleet.atNew();
    std::this_thread::sleep_for(2s);
    BOOST_TEST(fleet.atNew() == before);
}

// Guards against a version whose answers are several times slower and no failures.
BOOST_AUTO_TEST_CASE(aSlowVersionIsRolledBack)
{
    Fleet fleet([](std::string &version, int &, Duration &time) { time = version == "v2" ? 5 * time : time; });
    fleet.addTargets("v2");
    fleet.order(16);
    BOOST_TEST(waitFor(16s, [&fleet] { return fleet.status() == R"({"state":"rolled_back","target":"v2"})"; }));
    BOOST_TEST(fleet.atNew() <= fleet.allowed());
}

BOOST_AUTO_TEST_SUITE_END()

#include "tests/system/system_fixture.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <regex>
#include <stdexcept>

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include <Poco/Exception.h>
#include <Poco/TemporaryFile.h>
#include <unistd.h>

#include "core/digest.h"

namespace Lovageloft
{

namespace
{

constexpr std::string_view operatorKey = "operators-key";
constexpr std::string_view modelName = "model";
constexpr std::string_view serviceName = "archive";
constexpr int okStatus = 200;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Where a program begins to look for ports.
std::size_t firstPort()
{
    constexpr std::size_t step = 40;
    return static_cast<std::size_t>(::getpid()) * step;
}

CallerAnswer exchange(std::uint16_t port, std::string_view request, std::chrono::milliseconds silenceLimit)
{
    try {
        RawCaller caller(port, silenceLimit);
        caller.send(request);
        return caller.readAnswer();
    } catch (const Poco::Exception &) {
        return {};
    }
}

std::string plainRequest(std::string_view method, std::string_view path, std::string_view fields, std::string_view body)
{
    return std::string(method) + " " + std::string(path) + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n" + std::string(fields)
        + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

constexpr std::chrono::seconds standInLimit{10};

} // namespace

std::int64_t numberIn(std::string_view json, std::string_view name)
{
    const std::string field = "\"" + std::string(name) + "\":";
    const std::size_t at = json.find(field);
    return at == std::string_view::npos ? -1 : std::atoll(json.data() + at + field.size());
}

SystemFixture::SystemFixture(const SystemOptions &options)
    : options_(options)
    , folder_(Poco::TemporaryFile::tempName())
    , deskKeys_{makeKeyDigest("lk-desk", deskKey)}
    , hosts_(options.hosts)
    , ports_(options.hosts, firstPort())
{
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::create_directories(folder_);
    startStandIns();
    const std::vector<std::uint16_t> &ports = ports_.ports();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].peerPort = ports[i];
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        writeSettings(i);
        startHost(i);
    }
    configure();
}

SystemFixture::~SystemFixture()
{
    const auto &results = boost::unit_test::results_collector.results(boost::unit_test::framework::current_test_case().p_id);
    if (!results.passed()) {
        printLogs();
    }
    hosts_.clear();
    services_.clear();
    engines_.clear();
    store_ = {};
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void SystemFixture::startStandIns()
{
    store_ = startStandIn(STAND_IN_STORE_PROGRAM, "store", {});
    for (std::size_t i = 0; i < options_.engines; ++i) {
        std::vector<std::string> arguments{"--name", "engine-" + std::to_string(i)};
        arguments.insert(arguments.end(), options_.engineArguments.begin(), options_.engineArguments.end());
        engines_.push_back(startStandIn(STAND_IN_ENGINE_PROGRAM, "engine-" + std::to_string(i), arguments));
    }
    for (std::size_t i = 0; i < options_.services; ++i) {
        services_.push_back(startStandIn(STAND_IN_SERVICE_PROGRAM, "service-" + std::to_string(i), {}));
    }
}

StandInProcess SystemFixture::startStandIn(const char *program, const std::string &name, const std::vector<std::string> &arguments)
{
    const std::string outputPath = folder_ + "/" + name + "." + std::to_string(++standInStarts_);
    StandInProcess standIn;
    standIn.process = std::make_unique<ChildProcess>(program, arguments, outputPath);
    standIn.port = static_cast<std::uint16_t>(std::stoi(standIn.process->waitForOutput("listening 127.0.0.1:([0-9]+)\n")));
    return standIn;
}

void SystemFixture::restartEngine(std::size_t index)
{
    std::vector<std::string> arguments{"--name", "engine-" + std::to_string(index), "--port", std::to_string(engines_[index].port)};
    arguments.insert(arguments.end(), options_.engineArguments.begin(), options_.engineArguments.end());
    engines_[index].process.reset();
    engines_[index] = startStandIn(STAND_IN_ENGINE_PROGRAM, "engine-" + std::to_string(index), arguments);
}

void SystemFixture::writeSettings(std::size_t index)
{
    std::string peers;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (i != index) {
            peers += (peers.empty() ? "\"" : ", \"") + loopback(hosts_[i].peerPort) + "\"";
        }
    }
    std::ofstream(folder_ + "/host-" + std::to_string(index) + ".toml")
        << "[host]\nname = \"host-" << index << "\"\n[callers]\nport = 0\n[operators]\nport = 0\nkey_digest = \"" << sha256Hex(operatorKey)
        << "\"\n[peers]\nport = " << hosts_[index].peerPort << "\nsecret = \"peers-secret\"\nknown = [" << peers
        << "]\n[store]\nkind = \"etcd\"\nendpoints = [\"" << loopback(store_.port) << "\"]\n"
        << options_.moreSettings;
}

void SystemFixture::startHost(std::size_t index)
{
    Host &host = hosts_[index];
    const std::string path = folder_ + "/host-" + std::to_string(index);
    host.process = std::make_unique<ChildProcess>(LOVAGELOFTD_PROGRAM, std::vector<std::string>{path + ".toml"}, path + "." + std::to_string(++host.starts));
    host.callerPort = static_cast<std::uint16_t>(std::stoi(host.process->waitForOutput("\"caller_port\":([0-9]+)")));
    host.operatorPort = static_cast<std::uint16_t>(std::stoi(host.process->waitForOutput("\"operator_port\":([0-9]+)")));
}

void SystemFixture::restartHost(std::size_t index)
{
    hosts_[index].process->kill();
    startHost(index);
}

void SystemFixture::configure()
{
    HostsConfiguration hosts;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts.hosts.push_back({"host-" + std::to_string(i), loopback(hosts_[i].peerPort), "dc1"});
    }
    std::vector<ConfigurationObject> objects{hosts, desk(), ModelConfiguration{std::string(modelName), "1"}};
    objects.insert(objects.end(), options_.moreTeams.begin(), options_.moreTeams.end());
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        objects.emplace_back(engineTarget(i));
    }
    for (std::size_t i = 0; i < services_.size(); ++i) {
        objects.emplace_back(serviceTarget(i));
    }
    const std::int64_t sequence = applyTicket(0, std::move(objects));
    if (sequence != 1) {
        throw std::runtime_error("ticket 1 was refused");
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        // A bucket begins empty; a first call that passes tells that it has filled.
        const auto serves = [&] { return isInForce(i, sequence) && isReady(i) && (engines_.empty() || call(i, chat(1)).status == okStatus); };
        if (!waitFor(patience, serves)) {
            printLogs();
            throw std::runtime_error("host " + std::to_string(i) + " does not serve");
        }
    }
}

std::size_t SystemFixture::hostCount() const
{
    return hosts_.size();
}

ChildProcess &SystemFixture::host(std::size_t index)
{
    return *hosts_.at(index).process;
}

StandInProcess &SystemFixture::store()
{
    return store_;
}

StandInProcess &SystemFixture::engine(std::size_t index)
{
    return engines_.at(index);
}

StandInProcess &SystemFixture::service(std::size_t index)
{
    return services_.at(index);
}

CallerAnswer SystemFixture::call(std::size_t host, std::string_view request, std::chrono::milliseconds silenceLimit) const
{
    return exchange(hosts_.at(host).callerPort, request, silenceLimit);
}

std::uint16_t SystemFixture::callerPort(std::size_t host) const
{
    return hosts_.at(host).callerPort;
}

CallerAnswer SystemFixture::callOperator(std::size_t host, std::string_view method, std::string_view path, std::string_view body) const
{
    const std::string fields = "Authorization: Bearer " + std::string(operatorKey) + "\r\n";
    return exchange(hosts_.at(host).operatorPort, plainRequest(method, path, fields, body), standInLimit);
}

std::int64_t SystemFixture::applyTicket(std::size_t host, std::vector<ConfigurationObject> objects)
{
    const Ticket ticket{++lastTicket_, "test", std::move(objects)};
    const CallerAnswer answer = callOperator(host, "POST", "/operator/tickets", formatTicket(ticket));
    return answer.status == okStatus ? numberIn(answer.body, "sequence") : 0;
}

bool SystemFixture::isInForce(std::size_t host, std::int64_t sequence) const
{
    return numberIn(callOperator(host, "GET", "/operator/status").body, "in_force") >= sequence;
}

bool SystemFixture::isReady(std::size_t host) const
{
    return callOperator(host, "GET", "/ready").status == okStatus;
}

void SystemFixture::planFault(const StandInProcess &standIn, std::string_view json)
{
    const CallerAnswer answer = exchange(standIn.port, plainRequest("POST", "/test/faults", {}, json), standInLimit);
    if (answer.status != okStatus) {
        throw std::runtime_error("a stand-in does not take a fault");
    }
}

std::string SystemFixture::record(const StandInProcess &standIn)
{
    return exchange(standIn.port, plainRequest("GET", "/test/record", {}, {}), standInLimit).body;
}

TeamConfiguration SystemFixture::desk() const
{
    return {"desk", options_.rate, options_.rate, deskKeys_};
}

TargetConfiguration SystemFixture::engineTarget(std::size_t index) const
{
    TargetConfiguration target;
    target.name = "engine-" + std::to_string(index);
    target.address = loopback(engines_.at(index).port);
    target.model = modelName;
    return target;
}

TargetConfiguration SystemFixture::serviceTarget(std::size_t index) const
{
    TargetConfiguration target;
    target.name = "service-" + std::to_string(index);
    target.kind = TargetKind::Service;
    target.service = serviceName;
    target.address = loopback(services_.at(index).port);
    target.nonIdempotent = {{"POST", "/corrections"}};
    return target;
}

std::string SystemFixture::post(std::string_view path, std::string_view body, std::string_view key, std::string_view moreFields)
{
    return plainRequest("POST", path, "Authorization: Bearer " + std::string(key) + "\r\n" + std::string(moreFields), body);
}

std::string SystemFixture::chat(int tokens, bool isStream, std::string_view key)
{
    const std::string body = R"({"model":"model","max_tokens":)" + std::to_string(tokens) + R"(,"stream":)" + (isStream ? "true" : "false")
        + R"(,"messages":[{"role":"user","content":"What is a household?"}]})";
    return post("/v1/chat/completions", body, key);
}

void SystemFixture::printLogs() const
{
    for (const Host &host : hosts_) {
        constexpr std::size_t tailSize = 3'000;
        const std::string log = host.process ? host.process->output() : "";
        std::cerr << "... " << log.substr(log.size() - std::min(log.size(), tailSize)) << '\n';
    }
}

} // namespace Lovageloft

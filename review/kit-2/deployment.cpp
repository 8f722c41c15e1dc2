#include "review/kit-2/deployment.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <unistd.h>

namespace Review2
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint16_t callerPort = 8606;
constexpr std::uint16_t readinessPort = 8605;
constexpr std::uint16_t controlPort = 8608;
constexpr std::uint16_t peerPort = 7600;

constexpr std::chrono::seconds startLimit{20};
constexpr std::chrono::seconds answerLimit{5};

/// Loopback addresses that differ between cases that run at the same time.
std::string networkOfThisProcess()
{
    constexpr int numbers = 200;
    const int pid = ::getpid();
    return "127." + std::to_string(40 + pid / numbers % numbers) + '.' + std::to_string(20 + pid % numbers) + '.';
}

Poco::Timespan toTimespan(std::chrono::milliseconds time)
{
    return {std::chrono::duration_cast<std::chrono::microseconds>(time).count()};
}

/// Whether the text holds a whole answer with a length, or the end of a chunked one.
bool isWhole(std::string_view text)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    const std::size_t head = text.find(headEnd);
    if (head == std::string_view::npos) {
        return false;
    }
    constexpr std::string_view lengthField = "Content-Length: ";
    const std::size_t length = text.substr(0, head).find(lengthField);
    if (length == std::string_view::npos) {
        return text.ends_with("0\r\n\r\n");
    }
    std::size_t size = 0;
    const char *digits = text.data() + length + lengthField.size();
    std::from_chars(digits, text.data() + text.size(), size);
    return text.size() >= head + headEnd.size() + size;
}

Answer exchange(const std::string &host, std::uint16_t port, const std::string &request)
{
    Answer answer;
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(host, port), toTimespan(1s));
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        const auto deadline = std::chrono::steady_clock::now() + answerLimit;
        std::array<char, 4'096> bytes{};
        while (!isWhole(answer.text) && std::chrono::steady_clock::now() < deadline) {
            if (!socket.poll(toTimespan(100ms), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            const int got = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (got <= 0) {
                break;
            }
            answer.text.append(bytes.data(), static_cast<std::size_t>(got));
        }
    } catch (const Poco::Exception &) {
        answer.text.clear();
    }
    answer.status = statusOf(answer.text);
    return answer;
}

} // namespace

Record::Record(const std::string &path)
    : out_(path)
{
}

void Record::add(std::string_view line)
{
    const std::lock_guard lock(mutex_);
    const auto elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt_).count();
    out_ << std::fixed << std::setprecision(3) << elapsed << ' ' << line << std::endl;
}

Deployment::Deployment(std::vector<std::string> runWords, std::size_t hosts, Record &record)
    : runWords_(std::move(runWords))
    , hostCount_(hosts)
    , record_(record)
    , folder_(Poco::TemporaryFile::tempName())
    , network_(networkOfThisProcess())
    , storePort_(store_.port())
{
    std::filesystem::create_directories(folder_);
}

Deployment::~Deployment()
{
    hosts_.clear();
    std::filesystem::remove_all(folder_);
}

void Deployment::write(const std::string &key, const std::string &value)
{
    const auto known = store_.memory().get(key);
    const std::int64_t revision = known.status == Lovageloft::StoreStatus::Ok ? known.entry.revision : 0;
    store_.memory().compareAndSwap(key, revision, value, 0);
    record_.add("written " + key + ' ' + value);
}

void Deployment::addServer(Server server)
{
    servers_.push_back({server.id, server.service, std::make_unique<Lovageloft::ScriptedTarget>(std::move(server.script))});
    write("servers/" + server.id, entryOf(server.id, server.models));
}

std::string Deployment::entryOf(const std::string &id, const std::string &models) const
{
    for (const Listed &listed : servers_) {
        if (listed.id != id) {
            continue;
        }
        const std::string modelsField = models.empty() ? std::string() : ",\"stage\":\"colocated\",\"models\":" + models;
        return R"({"service":")" + listed.service + R"(","addr":"127.0.0.1:)" + std::to_string(listed.target->port())
            + R"(","zone":"z","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":1,"born":1764547200000)" + modelsField + '}';
    }
    throw std::runtime_error("no server " + id);
}

std::string Deployment::settingsOf(std::size_t host) const
{
    const std::string ip = network_ + std::to_string(host + 1);
    const auto address = [&ip](std::uint16_t port) { return '"' + ip + ':' + std::to_string(port) + '"'; };
    return "nodeName = \"front-z-" + std::to_string(host + 1) + "\"\nrole = \"router\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"" + ip
        + "\"\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [" + std::to_string(peerPort) + ',' + std::to_string(peerPort + 15)
        + "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
          "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n"
          "[listen]\nfront = "
        + address(callerPort) + "\nreadinessAddr = " + address(readinessPort) + "\ncontrol = " + address(controlPort)
        + "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
          "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n"
          "configMs = 2000\ndowngradeSlackMs = 250\nmaxSkewMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
          "budgetSlack = 58\nquotaWindowS = 8\nquotaOver = 0.1\nquotaSlack = 190000\nrecoverS = 12\neventLagMs = 120\nretryAfterS = 10\n"
          "requireFencing = true\nleaseMs = 3000\nthawMs = 300\nversionMs = 8000\nversionAllMs = 11000\n"
          "[platform]\naddr = \"127.0.0.1:"
        + std::to_string(storePort_) + "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
}

std::uint16_t Deployment::storePort() const
{
    return store_.port();
}

void Deployment::setStorePort(std::uint16_t port)
{
    storePort_ = port;
}

bool Deployment::start()
{
    for (std::size_t i = 0; i < hostCount_; ++i) {
        const std::string path = folder_ + '/' + std::to_string(i) + ".toml";
        std::ofstream(path) << settingsOf(i);
        ::setenv("LOVAGELOFT_NODE_FILE", path.c_str(), 1); // NOLINT(concurrency-mt-unsafe): only this thread reads or sets variables.
        hosts_.push_back(std::make_unique<Lovageloft::ChildProcess>(
            runWords_.front(), std::vector<std::string>(runWords_.begin() + 1, runWords_.end()), folder_ + '/' + std::to_string(i) + ".log"));
        record_.add("started host " + std::to_string(i));
    }
    for (std::size_t i = 0; i < hostCount_; ++i) {
        if (!Lovageloft::waitFor(startLimit, [this, i] { return isReady(i); })) {
            record_.add("host " + std::to_string(i) + " is not ready: " + hostLog(i));
            return false;
        }
    }
    record_.add("all hosts are ready");
    return true;
}

Lovageloft::ChildProcess &Deployment::host(std::size_t index)
{
    return *hosts_.at(index);
}

std::string Deployment::hostLog(std::size_t index) const
{
    return hosts_.at(index)->output();
}

Answer Deployment::ask(std::size_t host, const std::string &request) const
{
    return exchange(network_ + std::to_string(host + 1), callerPort, request);
}

bool Deployment::isReady(std::size_t host) const
{
    constexpr int ok = 200;
    return exchange(network_ + std::to_string(host + 1), readinessPort, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n").status == ok;
}

int statusOf(std::string_view text)
{
    constexpr std::string_view start = "HTTP/1.1 ";
    int status = 0;
    if (text.starts_with(start)) {
        std::from_chars(text.data() + start.size(), text.data() + text.size(), status);
    }
    return status;
}

std::string joined(std::initializer_list<std::string_view> texts)
{
    std::string all;
    for (const std::string_view text : texts) {
        all.append(text);
    }
    return all;
}

std::string getRequest(const std::string &path, const std::string &id, const std::string &fields)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nLovageloft-Request-Id: " + id + "\r\nLovageloft-Deadline-Ms: 4000\r\n" + fields + "\r\n";
}

std::string postRequest(const std::string &path, const std::string &id, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nLovageloft-Request-Id: " + id + "\r\nLovageloft-Deadline-Ms: 4000\r\nContent-Length: 1\r\n"
        + fields + "\r\nx";
}

std::string route(const std::string &path, const std::string &kind, const std::string &service, const std::string &more)
{
    return R"({"name":")" + path + R"(","host":"h.example","pathPrefix":"/)" + path + R"(/","kind":")" + kind
        + R"(","timeoutMs":4000,"targetLatencyMs":300,"gapAimMs":250,"priority":1,"maxAttempts":2,"service":")" + service + '"' + more + '}';
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe): only this thread reads or sets variables.
    return trouble == nullptr || std::string_view(trouble) != "0";
}

int runCase(int argc, char **argv, const std::function<Verdict(const std::vector<std::string> &runWords, Record &record)> &run)
{
    constexpr int minArguments = 3;
    if (argc < minArguments) {
        std::cerr << "usage: " << *argv << " RECORD WORD...\n";
        return static_cast<int>(Verdict::NotRun);
    }
    Record record(argv[1]);
    const std::vector<std::string> runWords(argv + 2, argv + argc);
    try {
        record.add(hasTrouble() ? "with the disruption" : "without the disruption");
        const Verdict verdict = run(runWords, record);
        constexpr std::array<std::string_view, 3> texts{"the rule held", "the rule was broken", "the case could not run"};
        record.add(texts.at(static_cast<std::size_t>(verdict)));
        std::cout << texts.at(static_cast<std::size_t>(verdict)) << '\n';
        return static_cast<int>(verdict);
    } catch (const std::exception &error) {
        record.add(error.what());
        std::cerr << error.what() << '\n';
        return static_cast<int>(Verdict::NotRun);
    }
}

} // namespace Review2

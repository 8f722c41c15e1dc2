#include "tests/servers/router_fixture.h"

#include <cstdio>
#include <fstream>
#include <regex>
#include <stdexcept>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>

namespace Lovageloft
{

int CallerAnswer::code() const
{
    const std::regex pattern("\"code\":([0-9]+)");
    std::smatch match;
    return std::regex_search(body, match, pattern) ? std::stoi(match[1]) : 0;
}

RawCaller::RawCaller(std::uint16_t port)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
{
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
}

void RawCaller::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const int count = socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool RawCaller::receive()
{
    std::array<char, 65'536> buffer{};
    try {
        const int count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        received_.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
        return count > 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void RawCaller::readUntil(std::string_view text)
{
    while (received_.find(text) == std::string::npos && receive()) {
    }
}

std::string RawCaller::decodeChunks(bool &isWhole)
{
    std::string body;
    while (true) {
        std::size_t end = 0;
        while ((end = received_.find("\r\n")) == std::string::npos) {
            if (!receive()) {
                return body;
            }
        }
        const std::size_t size = std::stoul(received_.substr(0, end), nullptr, 16);
        while (received_.size() < end + 2 + size + 2) {
            if (!receive()) {
                return body;
            }
        }
        body += received_.substr(end + 2, size);
        received_.erase(0, end + 2 + size + 2);
        if (size == 0) {
            isWhole = true;
            return body;
        }
    }
}

CallerAnswer RawCaller::readAnswer()
{
    CallerAnswer answer;
    readUntil("\r\n\r\n");
    const std::size_t end = received_.find("\r\n\r\n");
    if (end == std::string::npos) {
        return answer;
    }
    answer.head = received_.substr(0, end + 2);
    answer.status = std::stoi(answer.head.substr(9, 3));
    received_.erase(0, end + 4);
    std::smatch match;
    if (answer.status == 100) {
        return answer;
    }
    if (std::regex_search(answer.head, match, std::regex("Content-Length: ([0-9]+)"))) {
        const std::size_t size = std::stoul(match[1]);
        while (received_.size() < size && receive()) {
        }
        answer.isWhole = received_.size() >= size;
        answer.body = received_.substr(0, size);
        received_.erase(0, size);
    } else if (answer.head.find("chunked") != std::string::npos) {
        answer.body = decodeChunks(answer.isWhole);
    } else {
        while (receive()) {
        }
        answer.body = received_;
        answer.isWhole = true;
    }
    return answer;
}

void RawCaller::close()
{
    socket_.close();
}

RouterFixture::RouterFixture(std::size_t engineCount, void (*prepare)(Settings &), const StandIns::StandInEngineOptions &engineOptions)
    : ticketPath_(Poco::TemporaryFile::tempName())
{
    Ticket ticket{1, "test", {}};
    ticket.objects.emplace_back(TeamConfiguration{"desk", 1e9, 1e9, {makeKeyDigest("k1", key)}});
    ticket.objects.emplace_back(ModelConfiguration{"model", "1"});
    for (std::size_t i = 0; i < engineCount; ++i) {
        StandIns::StandInEngineOptions options = engineOptions;
        options.name = "engine-" + std::to_string(i);
        engines_.push_back(std::make_unique<StandIns::StandInEngine>(options));
        TargetConfiguration target;
        target.name = options.name;
        target.address = engines_.back()->server().address();
        target.model = options.model;
        ticket.objects.emplace_back(target);
    }
    std::ofstream(ticketPath_) << formatTicket(ticket);
    Settings settings;
    settings.hostName = "router";
    settings.callerPort = 0;
    settings.operatorPort = 0;
    settings.peerPort = 0;
    settings.drainNotice = 0;
    settings.seedTickets = {ticketPath_};
    if (prepare != nullptr) {
        prepare(settings);
    }
    host_ = std::make_unique<RouterHost>(settings);
    Reason reason;
    if (!host_->start(reason)) {
        throw std::runtime_error(reason.text);
    }
    // A bucket begins empty; the first call that passes tells that it has filled.
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (engineCount > 0 && call(post("/v1/completions", R"({"model":"model","prompt":"x","max_tokens":1})")).status != 200) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("the router does not serve");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (std::size_t i = 0; i < engineCount; ++i) {
        startedBefore_.push_back(engineRecord(i, "started"));
    }
}

RouterFixture::~RouterFixture()
{
    host_->drain();
    host_.reset();
    std::remove(ticketPath_.c_str());
}

RouterHost &RouterFixture::host()
{
    return *host_;
}

std::uint16_t RouterFixture::port() const
{
    return host_->callerPort();
}

std::string RouterFixture::callEngine(std::size_t engine, std::string_view method, std::string_view path, std::string_view body)
{
    const auto address = parseHostAddress(engines_.at(engine)->server().address());
    RawCaller caller(address->port);
    caller.send(std::string(method) + " " + std::string(path) + " HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + std::string(body));
    return caller.readAnswer().body;
}

void RouterFixture::planFault(std::size_t engine, std::string_view json)
{
    callEngine(engine, "POST", "/test/faults", json);
}

std::int64_t RouterFixture::engineRecord(std::size_t engine, std::string_view field)
{
    const std::string record = callEngine(engine, "GET", "/test/record", {});
    const std::regex pattern("\"" + std::string(field) + "\":([0-9]+|true|false)");
    std::smatch match;
    if (!std::regex_search(record, match, pattern)) {
        return -1;
    }
    if (match[1] == "true" || match[1] == "false") {
        return match[1] == "true" ? 1 : 0;
    }
    const bool isAdjusted = field == "started" && engine < startedBefore_.size();
    return std::stol(match[1]) - (isAdjusted ? startedBefore_[engine] : 0);
}

bool RouterFixture::waitForRecord(std::size_t engine, std::string_view field, std::int64_t least)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (engineRecord(engine, field) < least) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

std::string RouterFixture::post(std::string_view path, std::string_view body, std::string_view moreFields)
{
    std::string request = "POST " + std::string(path) + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + std::string(key) + "\r\n";
    request += std::string(moreFields) + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return request + std::string(body);
}

std::string RouterFixture::chatBody(int tokens, bool isStream, std::string_view moreFields)
{
    return R"({"model":"model","max_tokens":)" + std::to_string(tokens) + R"(,"stream":)" + (isStream ? "true" : "false") + std::string(moreFields)
        + R"(,"messages":[{"role":"user","content":"What is a household?"}]})";
}

CallerAnswer RouterFixture::call(std::string_view request)
{
    RawCaller caller(port());
    caller.send(request);
    return caller.readAnswer();
}

std::string streamedText(const CallerAnswer &answer)
{
    std::string text;
    const std::regex pattern("\"content\":\"([^\"]*)\"");
    for (auto match = std::sregex_iterator(answer.body.begin(), answer.body.end(), pattern); match != std::sregex_iterator(); ++match) {
        text += (*match)[1];
    }
    return text;
}

std::string expectedText(int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        text += "tok" + std::to_string(i) + " ";
    }
    return text;
}

} // namespace Lovageloft

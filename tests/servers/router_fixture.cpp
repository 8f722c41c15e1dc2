#include "tests/servers/router_fixture.h"

#include <cstdio>
#include <fstream>
#include <regex>
#include <stdexcept>
#include <thread>

#include <Poco/TemporaryFile.h>

namespace Lovageloft
{

RouterFixture::RouterFixture(std::size_t engineCount, void (*prepare)(Settings &), const StandIns::StandInEngineOptions &engineOptions)
    : ticketPath_(Poco::TemporaryFile::tempName())
{
    Ticket ticket{1, "test", {}};
    ticket.objects.emplace_back(TeamConfiguration{"desk", 1e9, 1e9, {makeKeyDigest("lk-test", key)}});
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

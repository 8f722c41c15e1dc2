#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "main/router_host.h"
#include "tests/servers/raw_caller.h"
#include "tests/stand_ins/stand_in_engine.h"

namespace Lovageloft
{

/// One router in this process, with engines in this process, all on the loopback address.
class RouterFixture
{
public:
    /// `prepare` may change the settings before the start.
    explicit RouterFixture(std::size_t engineCount = 1, void (*prepare)(Settings &) = nullptr, const StandIns::StandInEngineOptions &engineOptions = {});
    ~RouterFixture();

    RouterHost &host();
    std::uint16_t port() const;

    /// Plans a fault on an engine, as JSON.
    void planFault(std::size_t engine, std::string_view json);

    /// A number in an engine's record; "started" leaves out what the fixture's own start sent.
    std::int64_t engineRecord(std::size_t engine, std::string_view field);

    /// Waits until a number in an engine's record has come to `least`; false if it does not in five seconds.
    bool waitForRecord(std::size_t engine, std::string_view field, std::int64_t least);

    /// A POST with the team's key.
    static std::string post(std::string_view path, std::string_view body, std::string_view moreFields = {});

    /// A chat completion of `tokens` tokens.
    static std::string chatBody(int tokens, bool isStream, std::string_view moreFields = {});

    /// One request on a connection of its own.
    CallerAnswer call(std::string_view request);

    static constexpr std::string_view key = "lk-test-key";

private:
    std::string callEngine(std::size_t engine, std::string_view method, std::string_view path, std::string_view body);

    std::vector<std::unique_ptr<StandIns::StandInEngine>> engines_;
    std::vector<std::int64_t> startedBefore_;
    std::string ticketPath_;
    std::unique_ptr<RouterHost> host_;
};

/// The texts of a stream's content chunks in order, joined.
std::string streamedText(const CallerAnswer &answer);

/// "tok0 tok1 ... " as a stand-in engine answers with.
std::string expectedText(int tokens);

} // namespace Lovageloft

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Net/StreamSocket.h>

namespace Lovageloft
{

/// An event of a stream as a caller receives it.
struct ReceivedEvent
{
    std::string id;
    std::string data;
};

/// A caller's stream over all of its attempts: it resumes the stream where the last attempt broke off, and names the attempt that received
/// the first event.
class StreamCaller
{
public:
    /// `id` is the beginning of the ids of its attempts.
    explicit StreamCaller(std::string id);

    /// Sends an attempt to a port of the loopback interface, on a new connection.
    void send(std::uint16_t port);

    /// Reads until the stream has `count` events or the attempt has ended, for five seconds at most. Returns whether it has them.
    bool readEvents(std::size_t count);

    /// Reads until the attempt has ended.
    void readAll();

    /// Status of the newest attempt; 0 before its head was read.
    int status() const;

    /// What the newest attempt has received.
    const std::string &answer() const;

    /// Whether the newest attempt's answer is complete.
    bool isComplete() const;

    const std::vector<ReceivedEvent> &events() const;

    /// Whether events differ in their data, which names the version that wrote them.
    bool isMixed() const;

    /// Id of the attempt that received the first event; empty before.
    const std::string &beganAs() const;

    /// Replaces what the next attempt states about the attempt that began the stream; nothing to omit it.
    void setResumes(std::optional<std::string> id);

private:
    bool read();
    void parse();

    std::string id_;
    int attempts_ = 0;
    std::string attemptId_;
    Poco::Net::StreamSocket socket_;
    std::string answer_;
    std::size_t parsed_ = 0; ///< Bytes of `answer_` whose events are in `events_`.
    std::vector<ReceivedEvent> events_;
    std::string beganAs_;
    std::optional<std::string> resumes_;
};

} // namespace Lovageloft

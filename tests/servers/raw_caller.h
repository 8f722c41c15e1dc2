#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

namespace Lovageloft
{

/// An answer as a caller sees it.
struct CallerAnswer
{
    int status = 0;
    std::string head; ///< Status line and header fields.
    std::string body; ///< Without the chunks' framing.
    bool isWhole = false; ///< Ended as its framing says.

    /// The number in `"code":N` of a refusal, 0 if there is none.
    int code() const;
};

/// A caller's connection that sends just the bytes it is told to.
class RawCaller
{
public:
    /// Throws Poco::Exception if nobody listens. An answer that pauses for longer than `silenceLimit` counts as ended.
    explicit RawCaller(std::uint16_t port, std::chrono::milliseconds silenceLimit = std::chrono::seconds(10));

    void send(std::string_view bytes);

    /// Reads one answer.
    CallerAnswer readAnswer();

    /// Reads until at least `text` has arrived.
    void readUntil(std::string_view text);

    void close();

private:
    bool receive();
    std::string decodeChunks(bool &isWhole);

    Poco::Net::StreamSocket socket_;
    std::string received_;
};

} // namespace Lovageloft

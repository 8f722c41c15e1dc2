#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Lovageloft
{

/// A bidirectional stream of bytes on an event loop; its events go to a TcpEvents.
class ByteStream
{
public:
    ByteStream() = default;
    ByteStream(const ByteStream &) = delete;
    ByteStream &operator=(const ByteStream &) = delete;
    virtual ~ByteStream() = default;

    /// Sends bytes, and buffers those that can't be sent yet. Errors are reported by TcpEvents::onClosed().
    virtual void send(std::string_view bytes) = 0;

    /// The same without a copy of those that can't be sent yet. `bytes` is held until then.
    virtual void sendShared(const std::shared_ptr<const std::string> &bytes) = 0;

    /// Number of buffered bytes that the kernel has not taken yet.
    virtual std::size_t unsent() const = 0;

    /// Pauses and resumes reading, so that a fast sender can't exhaust the memory while the receiver is slow.
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;

    /// Closes the stream immediately; no event follows.
    virtual void close() = 0;

    /// Whether neither bytes nor the end of the stream have arrived. To be checked right before an idle connection is reused.
    virtual bool isQuiet() = 0;
};

} // namespace Lovageloft

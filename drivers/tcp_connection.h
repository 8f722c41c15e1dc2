#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/settings.h"
#include "drivers/byte_stream.h"

namespace Lovageloft
{

/// Events of a connection. They are called on the event loop, never during a call of the owner to the connection.
class TcpEvents
{
public:
    TcpEvents() = default;
    TcpEvents(const TcpEvents &) = delete;
    TcpEvents &operator=(const TcpEvents &) = delete;
    virtual ~TcpEvents() = default;

    /// The connection requested by TcpConnection::connect() is established.
    virtual void onConnected()
    {
    }

    /// Bytes were received; the view is valid only during the call.
    virtual void onBytes(std::string_view bytes) = 0;

    /// The peer closed its side, or the connection failed (`isReset`). No further event follows. On a connection that was opened here, a peer that closes its
    /// side before it has acknowledged all that was sent has failed if it resets the connection instead.
    virtual void onClosed(bool isReset) = 0;

    /// The kernel has taken all sent bytes.
    virtual void onSent()
    {
    }

    /// The kernel has taken some of the sent bytes, and others are still buffered.
    virtual void onProgress()
    {
    }
};

/// A TCP connection on an event loop. Sends as many bytes as the kernel takes and buffers the rest. Connections between hosts can become silent
/// without a reset; TCP_USER_TIMEOUT and keep-alive probes close such connections.
class TcpConnection final : public ByteStream, public std::enable_shared_from_this<TcpConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// How long a peer may take none of the bytes that are left when a connection is to be closed.
    static constexpr Duration maxSendStall = std::chrono::seconds(10);

    /// Creates a connection from an accepted socket.
    static std::shared_ptr<TcpConnection> adopt(Socket socket, TcpEvents &events);

    /// Connects; onConnected() or onClosed() follows after `timeout` at the latest.
    static std::shared_ptr<TcpConnection> connect(boost::asio::io_context &loop, const HostAddress &address, Duration timeout, TcpEvents &events);

    explicit TcpConnection(Socket socket);

    /// Sets a new owner, which gets all further events.
    void setEvents(TcpEvents &events);

    /// IP address of the peer; unspecified if the connection has ended.
    boost::asio::ip::address peerAddress() const;

    void send(std::string_view bytes) override;
    void sendShared(const std::shared_ptr<const std::string> &bytes) override;
    std::size_t unsent() const override;
    void pauseReading() override;

    /// Bytes of the kernel's receive buffer to ask for; the kernel doubles the figure.
    void setReceiveBuffer(std::size_t bytes);

    /// Whether reading is paused, so that the kernel holds what the peer sends.
    bool isReadingPaused() const;
    void resumeReading() override;
    void close() override;

    /// Sends buffered bytes, closes the sending side, and continues to read for a moment: closing a socket with unread bytes resets the connection,
    /// and the peer could lose the last response. A peer that takes none of the buffered bytes for `maxSendStall` is reset. No event follows.
    void closeAfterSending();

    /// Closes the connection so that the peer sees a reset rather than the end of a message, and drops what is buffered here and in the kernel.
    void reset();

    /// Limits the bytes that the kernel buffers and has not sent yet, so that a slow peer is noticed here and does not fill the kernel's buffer.
    void limitKernelBuffer(std::size_t bytes);

    bool isQuiet() override;

private:
    /// Bytes that the kernel has not taken yet: a copy, or bytes that are shared with their sender.
    struct Segment
    {
        std::vector<char> copy; ///< A vector grows by as much as it is told to; a string would double its memory.
        std::shared_ptr<const std::string> shared;
        std::size_t sent = 0;

        std::string_view rest() const
        {
            const std::string_view all = shared != nullptr ? std::string_view(*shared) : std::string_view(copy.data(), copy.size());
            return all.substr(sent);
        }
    };

    void start();
    void waitReadable();
    void onReadable();
    void waitWritable();
    void flush();
    std::size_t write(std::string_view bytes);
    void buffer(std::string_view bytes);
    void dropSent(std::size_t bytes);
    void finish(bool isReset);
    bool hasUnacknowledged();
    void finishOnceAcknowledged();
    void startLinger();
    void startStallTimer();

    Socket socket_;
    boost::asio::steady_timer timer_;
    TcpEvents *events_ = nullptr;
    std::deque<Segment> unsent_;
    std::size_t unsentBytes_ = 0;
    bool isOpen_ = true;
    bool isConnected_ = false; ///< Only for connections opened with connect().
    bool isReadArmed_ = false;
    bool isWriteArmed_ = false;
    bool isPaused_ = false;
    bool isLingering_ = false;
    bool hasPeerEnded_ = false; ///< The peer sends nothing more, and the rest of what it is owed is still being sent.
    bool hasFailed_ = false; ///< A write failed, which finish() will report.
};

} // namespace Lovageloft

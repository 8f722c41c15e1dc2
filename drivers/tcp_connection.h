#pragma once

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/settings.h"

namespace Lovageloft
{

/// What a connection tells its owner, always from the event loop and never from within a call of the owner's.
class TcpEvents
{
public:
    TcpEvents() = default;
    TcpEvents(const TcpEvents &) = delete;
    TcpEvents &operator=(const TcpEvents &) = delete;
    virtual ~TcpEvents() = default;

    /// A connection that was asked for stands.
    virtual void onConnected()
    {
    }

    /// Bytes came; the view holds during the call only.
    virtual void onBytes(std::string_view bytes) = 0;

    /// The other end closed its side, or the connection broke (`isReset`). The last event of a connection.
    virtual void onClosed(bool isReset) = 0;

    /// All that was sent has left this process.
    virtual void onSent()
    {
    }
};

/// One TCP connection on an event loop: reads as bytes come, sends at once what the kernel takes and keeps the rest.
/// Connections between hosts can fall silent for good without a reset; TCP_USER_TIMEOUT and keep-alive probes end them.
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Takes over an accepted socket.
    static std::shared_ptr<TcpConnection> adopt(Socket socket, TcpEvents &events);

    /// Connects; `onConnected` or `onClosed` follows, at the latest after `timeout`.
    static std::shared_ptr<TcpConnection> connect(boost::asio::io_context &loop, const HostAddress &address, Duration timeout, TcpEvents &events);

    explicit TcpConnection(Socket socket);

    /// Whoever owns the connection from now on.
    void setEvents(TcpEvents &events);

    /// Sends, or keeps what can't be sent yet. Errors show as `onClosed`.
    void send(std::string_view bytes);

    /// Bytes that the kernel has not taken.
    std::size_t unsent() const;

    /// Stops and resumes reading, so that a fast sender can't fill the memory while the receiver is slow.
    void pauseReading();
    void resumeReading();

    /// Closes at once; no event follows.
    void close();

    /// Sends what is kept, tells the other end that nothing follows, and reads on for a moment: closing with unread bytes would
    /// reset the connection, and the last answer would be lost on its way. No event follows.
    void closeAfterSending();

    /// Whether nothing has come that wasn't asked for: neither bytes nor an end. To be asked right before an idle connection is used.
    bool isQuiet();

private:
    void start();
    void waitReadable();
    void onReadable();
    void waitWritable();
    void flush();
    void finish(bool isReset);
    void startLinger();

    Socket socket_;
    boost::asio::steady_timer timer_;
    TcpEvents *events_ = nullptr;
    std::string unsent_;
    bool isOpen_ = true;
    bool isConnected_ = false; ///< After `connect` only.
    bool isReadArmed_ = false;
    bool isWriteArmed_ = false;
    bool isPaused_ = false;
    bool isLingering_ = false;
};

} // namespace Lovageloft

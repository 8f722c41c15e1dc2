#include "drivers/tcp_connection.h"

#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Lovageloft
{

namespace
{

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Maximum bytes read from a connection before other handlers run.
constexpr std::size_t readBytesPerTurn = 65'536;
constexpr std::size_t readBufferBytes = 16'384;

/// How long sent bytes may stay unacknowledged. Well above the time of a few consecutive lost packets (retransmissions after 0.2 and 0.6 s), and
/// below the three seconds after which callers abandon a silent response.
constexpr int unacknowledgedMilliseconds = 2'000;
constexpr int probeIdleSeconds = 2;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;

/// How often to look whether a peer that has closed its side has taken the rest of what it is owed.
constexpr std::chrono::milliseconds acknowledgementInterval{5};

/// How long to wait after closing the sending side until the peer has read the last response: a few round trips.
constexpr std::chrono::milliseconds lingerTime{1'000};

/// Connections that wait for their peers to read the last response; further ones are reset, as each holds a descriptor and what the kernel buffers.
constexpr std::size_t maxLingering = 256;
thread_local std::size_t lingering = 0;

template <typename Value>
void setOption(int descriptor, int level, int name, Value value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

void configure(tcp::socket &socket)
{
    ErrorCode ignored;
    socket.non_blocking(true, ignored);
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
}

} // namespace

TcpConnection::TcpConnection(Socket socket)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
{
}

std::shared_ptr<TcpConnection> TcpConnection::adopt(Socket socket, TcpEvents &events)
{
    auto connection = std::make_shared<TcpConnection>(std::move(socket));
    connection->events_ = &events;
    configure(connection->socket_);
    connection->waitReadable();
    return connection;
}

std::shared_ptr<TcpConnection> TcpConnection::connect(boost::asio::io_context &loop, const HostAddress &address, Duration timeout, TcpEvents &events)
{
    auto connection = std::make_shared<TcpConnection>(Socket(loop));
    connection->events_ = &events;
    ErrorCode error;
    const auto ip = boost::asio::ip::make_address(address.host, error);
    if (!error) {
        connection->socket_.open(tcp::v4(), error);
    }
    if (error) {
        boost::asio::post(loop, [connection] { connection->finish(true); });
        return connection;
    }
    configure(connection->socket_);
    connection->timer_.expires_after(timeout);
    connection->timer_.async_wait([connection](const ErrorCode &waited) {
        // If the event loop was paused for longer than the timeout, the connection may be established at the same time, and this handler can't be
        // cancelled any more. Closing the connection here would abort the request that was just sent.
        if (!waited && !connection->isConnected_) {
            connection->finish(true);
        }
    });
    connection->socket_.async_connect({ip, address.port}, [connection](const ErrorCode &connected) {
        connection->isConnected_ = !connected;
        connection->timer_.cancel();
        if (connected) {
            connection->finish(true);
            return;
        }
        if (connection->isOpen_ && connection->events_ != nullptr) {
            connection->waitReadable();
            connection->events_->onConnected();
        }
    });
    return connection;
}

void TcpConnection::setEvents(TcpEvents &events)
{
    events_ = &events;
}

boost::asio::ip::address TcpConnection::peerAddress() const
{
    ErrorCode ignored;
    return socket_.remote_endpoint(ignored).address();
}

void TcpConnection::send(std::string_view bytes)
{
    const std::size_t sent = write(bytes);
    if (isOpen_ && sent < bytes.size()) {
        buffer(bytes.substr(sent));
        waitWritable();
    }
}

void TcpConnection::sendShared(const std::shared_ptr<const std::string> &bytes)
{
    const std::size_t sent = write(*bytes);
    if (isOpen_ && sent < bytes->size()) {
        unsent_.push_back({{}, bytes, sent});
        unsentBytes_ += bytes->size() - sent;
        waitWritable();
    }
}

/// Sends what the kernel takes now, nothing while earlier bytes are buffered. Returns the number of bytes that need no buffer.
std::size_t TcpConnection::write(std::string_view bytes)
{
    if (!isOpen_ || !unsent_.empty()) {
        return 0;
    }
    ErrorCode error;
    const std::size_t sent = socket_.write_some(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error && error != boost::asio::error::would_block) {
        hasFailed_ = true; // The kernel reports a reset once: a read that comes next would see an orderly end.
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->finish(true); });
        return bytes.size();
    }
    return sent;
}

std::size_t TcpConnection::unsent() const
{
    return unsentBytes_;
}

void TcpConnection::pauseReading()
{
    isPaused_ = true;
}

void TcpConnection::setReceiveBuffer(std::size_t bytes)
{
    setOption(socket_.native_handle(), SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

bool TcpConnection::isReadingPaused() const
{
    return isPaused_;
}

void TcpConnection::resumeReading()
{
    isPaused_ = false;
    waitReadable();
}

void TcpConnection::close()
{
    events_ = nullptr;
    isOpen_ = false;
    lingering -= std::exchange(isLingering_, false) ? 1 : 0;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
}

void TcpConnection::closeAfterSending()
{
    events_ = nullptr;
    if (!isOpen_ || isLingering_) {
        return;
    }
    if (lingering >= maxLingering) {
        reset();
        return;
    }
    ++lingering;
    isLingering_ = true;
    isPaused_ = false;
    waitReadable();
    if (unsent_.empty()) {
        startLinger();
    } else {
        startStallTimer();
    }
}

void TcpConnection::reset()
{
    ErrorCode ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void TcpConnection::limitKernelBuffer(std::size_t bytes)
{
    setOption(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, static_cast<int>(bytes));
}

bool TcpConnection::isQuiet()
{
    if (!isOpen_) {
        return false;
    }
    char byte = 0;
    const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TcpConnection::waitReadable()
{
    if (isReadArmed_ || isPaused_ || !isOpen_ || hasPeerEnded_) {
        return;
    }
    isReadArmed_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode &error) {
        self->isReadArmed_ = false;
        if (error) {
            self->finish(true);
        } else {
            self->onReadable();
        }
    });
}

void TcpConnection::onReadable()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    std::size_t total = 0;
    while (isOpen_ && !isPaused_ && total < readBytesPerTurn) {
        ErrorCode error;
        const std::size_t got = socket_.read_some(boost::asio::buffer(buffer), error);
        if (error == boost::asio::error::would_block) {
            break;
        }
        const bool isEnd = error == boost::asio::error::eof && !hasFailed_;
        if (isEnd && isConnected_ && (!unsent_.empty() || hasUnacknowledged())) {
            hasPeerEnded_ = true;
            finishOnceAcknowledged();
            return;
        }
        if (error) {
            finish(!isEnd);
            return;
        }
        total += got;
        if (events_ != nullptr) {
            events_->onBytes({buffer.data(), got});
        }
        if (got < buffer.size()) {
            break;
        }
    }
    waitReadable();
}

void TcpConnection::waitWritable()
{
    if (isWriteArmed_ || !isOpen_) {
        return;
    }
    isWriteArmed_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode &error) {
        self->isWriteArmed_ = false;
        if (error) {
            self->finish(true);
        } else {
            self->flush();
        }
    });
}

void TcpConnection::flush()
{
    if (!isOpen_ || unsent_.empty()) {
        return;
    }
    ErrorCode error;
    const std::string_view rest = unsent_.front().rest();
    const std::size_t sent = socket_.write_some(boost::asio::const_buffer(rest.data(), rest.size()), error);
    if (error && error != boost::asio::error::would_block) {
        finish(true);
        return;
    }
    dropSent(sent);
    if (!unsent_.empty()) {
        waitWritable();
        if (sent > 0 && isLingering_) {
            startStallTimer();
        } else if (sent > 0 && events_ != nullptr) {
            events_->onProgress();
        }
        return;
    }
    if (hasPeerEnded_) {
        finishOnceAcknowledged();
    } else if (isLingering_) {
        startLinger();
    } else if (events_ != nullptr) {
        events_->onSent();
    }
}

void TcpConnection::buffer(std::string_view bytes)
{
    if (unsent_.empty() || unsent_.back().shared != nullptr) {
        unsent_.emplace_back();
    }
    std::vector<char> &last = unsent_.back().copy;
    const std::size_t needed = last.size() + bytes.size();
    if (needed > last.capacity()) {
        last.reserve(needed + needed / 4);
    }
    last.insert(last.end(), bytes.begin(), bytes.end());
    unsentBytes_ += bytes.size();
}

/// Removes bytes of the first segment that the kernel has taken.
void TcpConnection::dropSent(std::size_t bytes)
{
    Segment &first = unsent_.front();
    first.sent += bytes;
    unsentBytes_ -= bytes;
    if (first.rest().empty()) {
        unsent_.pop_front();
        return;
    }
    // A slow receiver that is sent more all the time would else let a copy grow for good.
    constexpr std::size_t maxSentBytes = 65'536;
    if (first.shared == nullptr && first.sent >= maxSentBytes) {
        first.copy.erase(first.copy.begin(), first.copy.begin() + static_cast<std::ptrdiff_t>(std::exchange(first.sent, 0)));
    }
}

void TcpConnection::finish(bool isReset)
{
    if (!isOpen_) {
        return;
    }
    TcpEvents *events = events_;
    close();
    if (events != nullptr) {
        events->onClosed(isReset);
    }
}

bool TcpConnection::hasUnacknowledged()
{
    int bytes = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/// Reports the peer's end once it has taken all that it is owed, or as a reset if it doesn't. The kernel ends the connection if the peer is silent.
void TcpConnection::finishOnceAcknowledged()
{
    if (!isOpen_ || !unsent_.empty()) {
        return;
    }
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0 || !hasUnacknowledged()) {
        finish(failure != 0);
        return;
    }
    timer_.expires_after(acknowledgementInterval);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
        if (!error) {
            self->finishOnceAcknowledged();
        }
    });
}

void TcpConnection::startLinger()
{
    if (!isOpen_) {
        return;
    }
    ErrorCode ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(lingerTime);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &) { self->close(); });
}

/// Guards a connection that is to be closed against a peer that never reads the rest: it would be held for as long as the peer stays connected.
void TcpConnection::startStallTimer()
{
    timer_.expires_after(maxSendStall);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
        if (!error) {
            self->reset();
        }
    });
}

} // namespace Lovageloft

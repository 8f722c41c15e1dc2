#include "tests/stand_ins/scripted_target.h"

#include <algorithm>
#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "drivers/http_message.h"
#include "drivers/listener.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t bufferBytes = 16'384;
constexpr Poco::Timespan::TimeDiff pollTime = 20'000; // Microseconds.
constexpr int listenBacklog = 64;

/// Listens on a port below the kernel's ephemeral ports, which begin at 32,768, so that no outgoing connection can use it.
Poco::Net::ServerSocket listenBelowEphemeralPorts()
{
    static std::atomic<int> next = 20'000 + static_cast<int>(std::chrono::steady_clock::now().time_since_epoch().count() / 1'000 % 10'000);
    constexpr int highest = 32'000;
    constexpr int lowest = 20'000;
    while (true) {
        const int port = lowest + (next++ - lowest) % (highest - lowest);
        try {
            return listenExclusively(Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), listenBacklog);
        } catch (const Poco::Net::NetException &) {
            continue; // In use by another test.
        }
    }
}

} // namespace

std::string ScriptedTarget::Request::field(std::string_view name) const
{
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t start = at + 2;
        const std::size_t end = std::min(head.find("\r\n", start), head.size());
        const std::string_view line = std::string_view(head).substr(start, end - start);
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos && equalsIgnoringCase(line.substr(0, colon), name)) {
            return std::string(line.substr(std::min(colon + 2, line.size())));
        }
        at = end < head.size() ? end : std::string::npos;
    }
    return {};
}

ScriptedTarget::Connection::Connection(const Poco::Net::StreamSocket &socket)
    : socket_(socket)
{
}

void ScriptedTarget::Connection::send(std::string_view bytes)
{
    constexpr std::size_t slicesPerSecond = 50;
    const std::size_t slice = rate_ == 0 ? bytes.size() : rate_ / slicesPerSecond;
    try {
        while (!bytes.empty() && isOpen_) {
            const std::size_t size = std::min(slice, bytes.size());
            bytes.remove_prefix(static_cast<std::size_t>(socket_.sendBytes(bytes.data(), static_cast<int>(size))));
            if (rate_ != 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1'000) / slicesPerSecond);
            }
        }
    } catch (const Poco::Exception &) {
        isOpen_ = false; // The router has closed the connection, which some scripts wait for.
    }
}

void ScriptedTarget::Connection::setRate(std::size_t bytesPerSecond)
{
    rate_ = bytesPerSecond;
}

void ScriptedTarget::Connection::answer(const Request &request, int status, std::string_view body, std::string_view fields)
{
    send("HTTP/1.1 " + std::to_string(status) + " X\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id")
         + "\r\nLovageloft-Response-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + std::string(fields) + "\r\n" + std::string(body));
}

void ScriptedTarget::Connection::beginStream(const Request &request)
{
    send("HTTP/1.1 200 OK\r\nLovageloft-Request-Id: " + request.field("Lovageloft-Request-Id")
         + "\r\nLovageloft-Response-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void ScriptedTarget::Connection::sendEvent(int id)
{
    sendEvent(id, "piece" + std::to_string(id));
}

void ScriptedTarget::Connection::sendEvent(int id, std::string_view data)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: " + std::string(data) + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    send(size.data() + event + "\r\n");
}

void ScriptedTarget::Connection::endStream()
{
    send("0\r\n\r\n");
}

void ScriptedTarget::Connection::close()
{
    isOpen_ = false;
    socket_.close();
}

void ScriptedTarget::Connection::reset()
{
    isOpen_ = false;
    socket_.setLinger(true, 0);
    socket_.close();
}

std::uint16_t ScriptedTarget::Connection::peerPort() const
{
    return socket_.peerAddress().port();
}

bool ScriptedTarget::Connection::waitClosed(std::chrono::milliseconds timeout)
{
    try {
        char byte = 0;
        socket_.setReceiveTimeout(Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(timeout).count()));
        return socket_.receiveBytes(&byte, 1) == 0;
    } catch (const Poco::TimeoutException &) {
        return false;
    } catch (const Poco::Exception &) {
        return true; // A reset counts as closed.
    }
}

ScriptedTarget::ScriptedTarget(Script script)
    : script_(std::move(script))
    , listener_(listenBelowEphemeralPorts())
    , acceptor_([this] { accept(); })
{
}

ScriptedTarget::~ScriptedTarget()
{
    isStopped_ = true;
    acceptor_.join();
    for (Worker &worker : workers_) {
        worker.thread.join();
    }
}

std::uint16_t ScriptedTarget::port() const
{
    return listener_.address().port();
}

int ScriptedTarget::requests() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(received_.size());
}

int ScriptedTarget::connections() const
{
    return connections_;
}

std::vector<ScriptedTarget::Request> ScriptedTarget::received() const
{
    const std::lock_guard lock(mutex_);
    return received_;
}

void ScriptedTarget::accept()
{
    while (!isStopped_) {
        if (listener_.poll(Poco::Timespan(pollTime), Poco::Net::Socket::SELECT_READ)) {
            ++connections_;
            joinEnded();
            const auto hasEnded = std::make_shared<std::atomic<bool>>(false);
            std::thread thread([this, hasEnded, socket = listener_.acceptConnection()] {
                serve(socket);
                *hasEnded = true;
            });
            workers_.push_back({std::move(thread), hasEnded});
        }
    }
}

/// Threads that have ended keep their stacks until they are joined.
void ScriptedTarget::joinEnded()
{
    std::erase_if(workers_, [](Worker &worker) {
        if (!*worker.hasEnded) {
            return false;
        }
        worker.thread.join();
        return true;
    });
}

void ScriptedTarget::serve(Poco::Net::StreamSocket socket)
{
    Connection connection(socket);
    std::string buffer;
    try {
        while (!isStopped_ && connection.isOpen_) {
            if (buffer.empty() && !socket.poll(Poco::Timespan(pollTime), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Request request;
            if (!readRequest(socket, buffer, request)) {
                return;
            }
            {
                const std::lock_guard lock(mutex_);
                received_.push_back(request);
            }
            script_(connection, request);
        }
    } catch (const Poco::Exception &) {
        return; // The router has closed the connection.
    }
}

bool ScriptedTarget::readRequest(Poco::Net::StreamSocket &socket, std::string &buffer, Request &request)
{
    std::array<char, bufferBytes> bytes{};
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (true) {
        end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = buffer.substr(0, end + 2);
            const std::string size = request.field("Content-Length");
            length = size.empty() ? 0 : std::stoul(size);
            if (buffer.size() >= end + 4 + length) {
                break;
            }
        }
        const int got = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (got <= 0) {
            return false;
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(got));
    }
    request.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

} // namespace Lovageloft

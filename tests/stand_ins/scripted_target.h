#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace Lovageloft
{

/// A target for tests that responds as a script says, also incorrectly: late, twice, truncated or without a length.
class ScriptedTarget
{
public:
    /// A request as received.
    struct Request
    {
        std::string head;
        std::string body;

        /// The value of a header field; empty if there is none.
        std::string field(std::string_view name) const;
    };

    /// A connection that the script writes to.
    class Connection
    {
    public:
        explicit Connection(const Poco::Net::StreamSocket &socket);

        void send(std::string_view bytes);

        /// Limits the rate of sending, as a slow link does; 0 removes the limit.
        void setRate(std::size_t bytesPerSecond);

        /// Sends a response with a length and the id of the request.
        void answer(const Request &request, int status, std::string_view body, std::string_view fields = {});

        /// These send the head of a chunked response, an event as a chunk, and the end.
        void beginStream(const Request &request);
        void sendEvent(int id);
        void sendEvent(int id, std::string_view data);
        void endStream();

        void close();
        void reset();

        std::uint16_t peerPort() const;

        /// Waits until the peer has closed the connection. Returns false after `timeout`.
        bool waitClosed(std::chrono::milliseconds timeout);

    private:
        friend class ScriptedTarget;

        Poco::Net::StreamSocket socket_;
        bool isOpen_ = true;
        std::size_t rate_ = 0;
    };

    using Script = std::function<void(Connection &, const Request &)>;

    /// Listens on a free port of the loopback interface, below the kernel's range of ephemeral ports.
    explicit ScriptedTarget(Script script);
    ~ScriptedTarget();
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    std::uint16_t port() const;
    int requests() const;
    int connections() const;
    std::vector<Request> received() const;

private:
    /// Serves one connection.
    struct Worker
    {
        std::thread thread;
        std::shared_ptr<std::atomic<bool>> hasEnded;
    };

    void accept();
    void joinEnded();
    void serve(Poco::Net::StreamSocket socket);
    static bool readRequest(Poco::Net::StreamSocket &socket, std::string &buffer, Request &request);

    Script script_;
    Poco::Net::ServerSocket listener_;
    std::atomic<bool> isStopped_ = false;
    std::atomic<int> connections_ = 0;
    mutable std::mutex mutex_;
    std::vector<Request> received_;
    std::vector<Worker> workers_;
    std::thread acceptor_;
};

} // namespace Lovageloft

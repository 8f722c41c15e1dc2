#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace Lovageloft
{

/// A target for tests that answers as a script says, also with what is no answer: late, doubled, cut off, without a length.
class ScriptedTarget
{
public:
    /// One request as it arrived.
    struct Request
    {
        std::string head;
        std::string body;

        /// The value of a header field; empty if there is none.
        std::string field(std::string_view name) const;
    };

    /// One connection, for the script to write on.
    class Connection
    {
    public:
        explicit Connection(const Poco::Net::StreamSocket &socket);

        void send(std::string_view bytes);

        /// From now on sends so many bytes a second, as over a thin link; 0: as fast as they are taken.
        void setRate(std::size_t bytesPerSecond);

        /// An answer with a length that bears the request's id.
        void answer(const Request &request, int status, std::string_view body, std::string_view fields = {});

        /// The head of a chunked answer, then events as chunks, then its end.
        void beginStream(const Request &request);
        void sendEvent(int id);
        void endStream();

        void close();
        void reset();

        /// Waits until the other end has closed; false if it has not within `timeout`.
        bool waitClosed(std::chrono::milliseconds timeout);

    private:
        friend class ScriptedTarget;

        Poco::Net::StreamSocket socket_;
        bool isOpen_ = true;
        std::size_t rate_ = 0;
    };

    using Script = std::function<void(Connection &, const Request &)>;

    /// Listens on a free port of the loopback interface, below the kernel's range of outgoing ports.
    explicit ScriptedTarget(Script script);
    ~ScriptedTarget();
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;

    std::uint16_t port() const;
    int requests() const;
    int connections() const;
    std::vector<Request> received() const;

private:
    void accept();
    void serve(Poco::Net::StreamSocket socket);
    static bool readRequest(Poco::Net::StreamSocket &socket, std::string &buffer, Request &request);

    Script script_;
    Poco::Net::ServerSocket listener_;
    std::atomic<bool> isStopped_ = false;
    std::atomic<int> connections_ = 0;
    mutable std::mutex mutex_;
    std::vector<Request> received_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

} // namespace Lovageloft

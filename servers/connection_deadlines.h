#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include "core/clock.h"

namespace Lovageloft
{

/// Ends connections whose request does not arrive in time.
/// What goes wrong otherwise: a caller sends a byte now and then, each of which satisfies the socket's own timeout, and
/// holds a connection for ever; enough of them and nobody else gets one. One notices it as connections without requests.
/// Only the receiving side is shut down, so that the caller still gets its refusal.
class ConnectionDeadlines
{
public:
    ConnectionDeadlines();
    ~ConnectionDeadlines();
    ConnectionDeadlines(const ConnectionDeadlines &) = delete;
    ConnectionDeadlines &operator=(const ConnectionDeadlines &) = delete;

    /// The connection waits for its next request; `closeIdle` ends it.
    void setIdle(int socket);

    /// A request has begun to arrive on the connection and must be whole within `limit`.
    void setArriving(int socket, Duration limit);

    /// The request is whole; nothing ends the connection now. True if it came in time.
    bool setServing(int socket);

    /// Ends the request that has been arriving longest, if for at least `minAge`. Returns whether there was one.
    bool endOldestArriving(Duration minAge);

    /// Ends the connection that has been idle longest. Returns whether there was one.
    bool endOldestIdle();

    /// The connection is over; must be called before its socket is closed.
    void remove(int socket);

    /// Ends all idle connections, and from now on each that becomes idle.
    void closeIdle();

private:
    enum class State : std::uint8_t
    {
        Idle,
        Arriving,
        Serving,
    };

    struct Connection
    {
        State state = State::Idle;
        TimePoint since; ///< When the state began.
        TimePoint deadline;
        bool isLate = false;
    };

    bool endOldest(State state, TimePoint since);
    void run();

    std::mutex mutex_;
    std::condition_variable wake_;
    std::map<int, Connection> connections_;
    bool closesIdle_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace Lovageloft

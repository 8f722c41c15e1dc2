#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include "tests/stand_ins/exchange.h"

namespace Lovageloft::StandIns
{

/// The HTTP server that all stand-ins share: a thread for each connection, on the loopback address.
class StandInServer
{
public:
    using Handler = std::function<void(Exchange &)>;

    /// Serves on `port`, or on a free one for 0. `handler` is called by many threads at once.
    StandInServer(Handler handler, std::uint16_t port);

    /// Cuts all connections and waits for their threads.
    ~StandInServer();

    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    /// "ADDRESS:PORT".
    std::string address() const;

    /// Prints `listening ADDRESS:PORT` and blocks until SIGINT or SIGTERM. Call blockStopSignals() first.
    void runUntilStopped() const;

    /// Leaves SIGINT and SIGTERM to runUntilStopped(). Call before any thread starts.
    static void blockStopSignals();

private:
    Handler handler_;
    std::atomic<bool> isStopping_ = false;
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Lovageloft::StandIns

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

/// HTTP server of the stand-ins on the loopback address, with one thread for each connection.
class StandInServer
{
public:
    using Handler = std::function<void(Exchange &)>;

    /// Listens on `port`; 0 for any free one. `handler` is called from many threads at once.
    StandInServer(Handler handler, std::uint16_t port);

    /// Closes all connections and waits for their threads.
    ~StandInServer();

    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    /// "ADDRESS:PORT".
    std::string address() const;

    /// Prints `listening ADDRESS:PORT` and blocks until SIGINT or SIGTERM. Call blockStopSignals() first.
    void runUntilStopped() const;

    /// Blocks SIGINT and SIGTERM, for runUntilStopped() to receive. Must be called before any thread starts.
    static void blockStopSignals();

private:
    Handler handler_;
    std::atomic<bool> isStopping_ = false;
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Lovageloft::StandIns

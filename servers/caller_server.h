#pragma once

#include <cstdint>
#include <memory>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "servers/router_parts.h"

namespace Lovageloft
{

/// Takes callers' connections, a thread for each, up to the number in the settings.
class CallerServer
{
public:
    /// Binds the address; throws Poco::Exception if it can't be bound.
    explicit CallerServer(RouterParts &parts);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    std::uint16_t port() const;

    /// Takes no further connections; those open go on.
    void stopAccepting();

private:
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::TCPServer> server_;
};

} // namespace Lovageloft

#include "servers/caller_server.h"

#include <algorithm>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "drivers/listener.h"
#include "memory/machine_limits.h"
#include "servers/caller_connection.h"

namespace Lovageloft
{

namespace
{

constexpr int minimumThreads = 4;
constexpr int threadIdleSeconds = 30;
constexpr int listenBacklog = 1'024;
/// A thread's stack; the handlers keep large things on the heap.
constexpr int stackSize = 262'144;

class CallerConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    CallerConnectionFactory(RouterParts &parts, Poco::Net::HTTPServerParams::Ptr params)
        : parts_(parts)
        , params_(std::move(params))
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new CallerConnection(socket, parts_, params_);
    }

private:
    RouterParts &parts_;
    Poco::Net::HTTPServerParams::Ptr params_;
};

/// A connection takes a descriptor, and one to its target; others wait in the queue.
constexpr std::size_t descriptorsPerThread = 4;

/// The connections served at once, as the settings say and as far as descriptors allow.
int threadCount(const Settings &settings)
{
    const auto threads = static_cast<int>(settings.callerThreads);
    const std::size_t descriptors = readMachineLimits().descriptors;
    return descriptors != 0 ? std::clamp(static_cast<int>(descriptors / descriptorsPerThread), minimumThreads, threads) : threads;
}

Poco::Net::HTTPServerParams::Ptr makeParams(const Settings &settings)
{
    constexpr int microseconds = 1'000;
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(threadCount(settings));
    params->setMaxQueued(threadCount(settings));
    // Twice the deadline, which ConnectionDeadlines holds: that one knows why it ended the wait.
    params->setTimeout(Poco::Timespan(2 * settings.headerTimeout * microseconds));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(settings.keepAliveTimeout * microseconds));
    params->setMaxKeepAliveRequests(0);
    return params;
}

} // namespace

CallerServer::CallerServer(RouterParts &parts)
    : threads_(minimumThreads, threadCount(parts.settings), threadIdleSeconds, stackSize)
{
    const Poco::Net::HTTPServerParams::Ptr params = makeParams(parts.settings);
    const Poco::Net::SocketAddress address(parts.settings.callerAddress, static_cast<std::uint16_t>(parts.settings.callerPort));
    const Poco::Net::ServerSocket socket = listenExclusively(address, listenBacklog);
    server_ = std::make_unique<Poco::Net::TCPServer>(new CallerConnectionFactory(parts, params), threads_, socket, params);
    server_->start();
}

CallerServer::~CallerServer()
{
    stopAccepting();
    threads_.joinAll();
}

std::uint16_t CallerServer::port() const
{
    return server_->port();
}

void CallerServer::stopAccepting()
{
    server_->stop();
}

} // namespace Lovageloft

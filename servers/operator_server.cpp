#include "servers/operator_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>

#include "drivers/listener.h"
#include "servers/operator_routes.h"

namespace Lovageloft
{

namespace
{

constexpr int operatorThreads = 8;
constexpr int operatorQueue = 64;
constexpr int listenBacklog = 64;

class OperatorRequestHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit OperatorRequestHandler(RouterParts &parts)
        : parts_(parts)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        routeOperatorCall(parts_, request, response);
    }

private:
    RouterParts &parts_;
};

class OperatorRequestHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit OperatorRequestHandlerFactory(RouterParts &parts)
        : parts_(parts)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new OperatorRequestHandler(parts_);
    }

private:
    RouterParts &parts_;
};

} // namespace

OperatorServer::OperatorServer(RouterParts &parts)
{
    const Poco::Net::SocketAddress address(parts.settings.operatorAddress, static_cast<std::uint16_t>(parts.settings.operatorPort));
    const Poco::Net::ServerSocket socket = listenExclusively(address, listenBacklog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(operatorThreads);
    params->setMaxQueued(operatorQueue);
    server_ = std::make_unique<Poco::Net::HTTPServer>(new OperatorRequestHandlerFactory(parts), socket, params);
    server_->start();
}

OperatorServer::~OperatorServer()
{
    server_->stopAll(true);
}

std::uint16_t OperatorServer::port() const
{
    return server_->port();
}

} // namespace Lovageloft

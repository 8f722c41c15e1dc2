#include "tests/stand_ins/stand_in_server.h"

#include <csignal>
#include <iostream>
#include <pthread.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>

#include "drivers/listener.h"

namespace Lovageloft::StandIns
{

namespace
{

/// The largest benchmark has 400 streams at once and as many idle keep-alive connections.
constexpr int maxThreads = 1024;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    FunctionHandler(const StandInServer::Handler &handler, const std::atomic<bool> &isStopping)
        : handler_(handler)
        , isStopping_(isStopping)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        Exchange exchange(request, response, isStopping_);
        handler_(exchange);
    }

private:
    const StandInServer::Handler &handler_;
    const std::atomic<bool> &isStopping_;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    FunctionHandlerFactory(const StandInServer::Handler &handler, const std::atomic<bool> &isStopping)
        : handler_(handler)
        , isStopping_(isStopping)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new FunctionHandler(handler_, isStopping_);
    }

private:
    const StandInServer::Handler &handler_;
    const std::atomic<bool> &isStopping_;
};

Poco::Net::ServerSocket listenOnLoopback(std::uint16_t port)
{
    constexpr int backlog = 1024;
    return listenExclusively(Poco::Net::SocketAddress("127.0.0.1", port), backlog);
}

Poco::Net::HTTPServerParams::Ptr serverParameters()
{
    constexpr Poco::Timespan::TimeDiff keepAliveMicroseconds = 60'000'000;
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(maxThreads);
    parameters->setMaxQueued(maxThreads);
    parameters->setKeepAlive(true);
    parameters->setKeepAliveTimeout(Poco::Timespan(keepAliveMicroseconds));
    return parameters;
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

StandInServer::StandInServer(Handler handler, std::uint16_t port)
    : handler_(std::move(handler))
    , threads_(2, maxThreads + 1)
    , server_(std::make_unique<Poco::Net::HTTPServer>(new FunctionHandlerFactory(handler_, isStopping_), threads_, listenOnLoopback(port), serverParameters()))
{
    server_->start();
}

StandInServer::~StandInServer()
{
    isStopping_ = true;
    server_->stopAll(true);
    threads_.joinAll();
}

std::string StandInServer::address() const
{
    return server_->socket().address().toString();
}

void StandInServer::runUntilStopped() const
{
    std::cout << "listening " << address() << std::endl;
    const sigset_t signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

void StandInServer::blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace Lovageloft::StandIns

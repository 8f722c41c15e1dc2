#pragma once

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include "servers/caller_exchange.h"
#include "servers/caller_memory.h"
#include "servers/router_parts.h"

namespace Poco::Net
{
class HTTPServerRequestImpl;
class HTTPServerResponseImpl;
} // namespace Poco::Net

namespace Lovageloft
{

/// One caller's connection: reads request after request, each whole within its deadline, and answers it.
class CallerConnection : public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, RouterParts &parts, Poco::Net::HTTPServerParams::Ptr params);

    void run() override;

private:
    /// Serves one request; false if the connection can't be used any further.
    bool serve(Poco::Net::HTTPServerSession &session);
    bool answer(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response);
    std::optional<std::string>
    readBody(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerSession &session, CallerMemory::Reservation &memory, Reason &reason);
    static std::optional<std::string> readBodyOfLength(std::size_t length, Poco::Net::HTTPServerSession &session, Reason &reason);
    void closeGently();
    void refuseUnread(Poco::Net::HTTPServerSession &session, ResultCode code);

    RouterParts &parts_;
    Poco::Net::HTTPServerParams::Ptr params_;
    int descriptor_;
};

} // namespace Lovageloft

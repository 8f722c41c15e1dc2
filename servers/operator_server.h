#pragma once

#include <cstdint>
#include <memory>

#include <Poco/Net/HTTPServer.h>

#include "servers/router_parts.h"

namespace Lovageloft
{

/// Operators' calls over HTTP/JSON: tickets, state, drain, and the metrics page. All but /health, /ready and /metrics need
/// the operators' key.
class OperatorServer
{
public:
    /// Binds the address; throws Poco::Exception if it can't be bound.
    explicit OperatorServer(RouterParts &parts);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    std::uint16_t port() const;

private:
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Lovageloft

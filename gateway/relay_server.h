#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/metrics.h"
#include "core/result_code.h"
#include "core/settings.h"
#include "decision/link_monitor.h"
#include "drivers/connection_acceptor.h"
#include "drivers/tcp_connection.h"

namespace Lovageloft
{

/// Relays connections of other hosts to targets which they can't reach, but this host can (see RelayedStream for the protocol). It passes bytes
/// on and decides nothing about requests: the other host has charged, placed and limited them as if it had connected itself. A connection goes
/// on to its target directly, never to a third host. Only other hosts of the fleet are served, and only targets that are listed.
class RelayServer
{
public:
    /// What the server has to know of this host.
    struct Links
    {
        std::function<bool(const boost::asio::ip::address &)> isHost; ///< Whether the address is that of another host of the fleet.
        std::function<std::optional<HostAddress>(std::string_view targetId)> findTarget;
        std::function<bool(std::string_view targetId)> isPresumedLost; ///< Whether this host has lost its links to the target and others.
        std::function<bool(std::string_view targetId)> isOwnLinkLost; ///< Whether this host fails to connect to the target, for whatever reason.
        std::function<void(std::string_view targetId, ConnectResult)> onConnectResult;
        std::function<std::string()> suggestion; ///< A host to ask instead; empty if none is known.
    };

    RelayServer(boost::asio::io_context &loop, Links links, Metrics &metrics);
    ~RelayServer();

    /// Binds the address and starts to accept connections. Returns false and sets `reason` on errors, as ConnectionAcceptor::open().
    bool open(const HostAddress &address, Reason &reason);

    /// The bound TCP port; useful if the address has port 0.
    std::uint16_t port() const;

    /// Refuses new connections; those that are relayed go on.
    void drain();

    /// Closes all connections at once.
    void close();

    /// Number of connections that are relayed or about to be.
    std::size_t count() const;

private:
    class Session;

    void accept(TcpConnection::Socket socket);
    std::size_t countWaiting() const;

    boost::asio::io_context &loop_;
    Links links_;
    Metrics &metrics_;
    ConnectionAcceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
    bool isDraining_ = false;
};

} // namespace Lovageloft

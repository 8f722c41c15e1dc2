#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/target.h"
#include "gateway/target_connection.h"

namespace Lovageloft
{

/// A pool of persistent connections to targets. Reuse saves the target a handshake per request, and new connections count against the limit
/// that a target has for connections from all hosts.
class TargetPool final : private TargetConnection::Owner
{
public:
    TargetPool(boost::asio::io_context &loop, const TargetProtocol &protocol);

    /// Returns an idle or a new connection for one exchange. If the request is not idempotent, an idle connection is used only if the target
    /// will keep it open for some more time: if the target closed the connection while the request was on its way, it would be unknown
    /// whether the request ran.
    std::shared_ptr<TargetConnection> acquire(const Target &target, bool isIdempotent, TimePoint now);

    /// Closes connections that were idle for too long to be reused.
    void closeStale(TimePoint now);

    /// Closes the idle connections to targets that are not in `targets`.
    void closeUnlisted(const TargetMap &targets);

    std::size_t idleCount() const;

private:
    using IdleConnections = std::vector<std::shared_ptr<TargetConnection>>;

    void onIdle(const std::shared_ptr<TargetConnection> &connection) override;
    void onIdleClosed(const std::shared_ptr<TargetConnection> &connection) override;

    boost::asio::io_context &loop_;
    const TargetProtocol &protocol_;
    std::map<std::string, IdleConnections, std::less<>> idle_; ///< By target id; the most recently used connection is last.
};

} // namespace Lovageloft

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/target.h"
#include "gateway/target_connection.h"
#include "gateway/target_paths.h"

namespace Lovageloft
{

/// A pool of persistent connections to targets. A new connection costs the target a handshake and counts against the number of
/// connections that it accepts from all hosts. At most 8 idle connections are kept per target id. They are reused even if the target's address
/// has changed.
class TargetPool final : private TargetConnection::Owner
{
public:
    TargetPool(boost::asio::io_context &loop, const TargetProtocol &protocol, TargetPaths &paths);

    /// Returns an idle or a new connection for one exchange. If the request is not idempotent, an idle connection is used only if it was
    /// idle for at most half of the time for which the target keeps it open, instead of 7/10: if the target closed the connection while the
    /// request was on its way, it would be unknown whether the request ran. A new connection is not established yet; if it can't be, the
    /// exchange fails with TargetLoss::NotSent.
    std::shared_ptr<TargetConnection> acquire(const Target &target, bool isIdempotent, TimePoint now);

    /// Closes connections that were idle for too long to be reused, and those over lost links.
    void closeStale(TimePoint now);

    /// Closes the idle connections to targets that are not in `targets`.
    void closeUnlisted(const TargetMap &targets);

    std::size_t idleCount() const;

private:
    using IdleConnections = std::vector<std::shared_ptr<TargetConnection>>;

    bool isOnLivePath(const TargetConnection &connection, TimePoint now) const;
    std::optional<TargetPath> nextPath(PathAttempts &attempts, const HostAddress &address) override;
    void onConnectResult(const TargetConnection &connection, ConnectResult result) override;
    void onRelayResult(PathAttempts &attempts, const std::string &relay, const RelayedStream &stream) override;
    void onBytesFrom(const TargetConnection &connection, bool isAnswer) override;
    void onIdle(const std::shared_ptr<TargetConnection> &connection) override;
    void onIdleClosed(const std::shared_ptr<TargetConnection> &connection) override;

    boost::asio::io_context &loop_;
    const TargetProtocol &protocol_;
    TargetPaths &paths_;
    std::map<std::string, IdleConnections, std::less<>> idle_; ///< By target id; the most recently used connection is last.
};

} // namespace Lovageloft

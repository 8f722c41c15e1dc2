#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/target.h"
#include "gateway/target_connection.h"

namespace Lovageloft
{

/// Kept connections to the targets. A new connection costs a target a handshake and counts against what it accepts from all hosts.
class TargetPool final : private TargetConnection::Owner
{
public:
    TargetPool(boost::asio::io_context &loop, const TargetProtocol &protocol);

    /// A connection for one exchange: an idle one or a new one. `isRepeatable` tells whether the request could be sent again:
    /// one that can't only gets a connection that the target will keep for a good while, as a close that crosses the request leaves
    /// open whether it ran.
    std::shared_ptr<TargetConnection> acquire(const Target &target, bool isRepeatable, TimePoint now);

    /// Closes what has been idle too long.
    void closeStale(TimePoint now);

    /// Closes the idle connections to targets that are no longer listed.
    void closeUnlisted(const TargetMap &targets);

    std::size_t idleCount() const;

private:
    using Idle = std::vector<std::shared_ptr<TargetConnection>>;

    void onIdle(const std::shared_ptr<TargetConnection> &connection) override;
    void onIdleClosed(const std::shared_ptr<TargetConnection> &connection) override;

    boost::asio::io_context &loop_;
    const TargetProtocol &protocol_;
    std::map<std::string, Idle, std::less<>> idle_; ///< The one used last at the back.
};

} // namespace Lovageloft

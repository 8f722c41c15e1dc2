#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/metrics.h"
#include "decision/path_planner.h"
#include "gateway/host_record.h"
#include "gateway/target.h"

namespace Lovageloft
{

class RelayedStream;

/// One way to connect to a target.
struct TargetPath
{
    HostAddress address; ///< The target's, or that of the host that relays.
    std::string relay; ///< Name of the host that relays; empty for a direct connection.
    Duration timeout{};
};

/// Chooses how connections to targets are made: directly, or through another host if this host has lost its link to the target. It records the
/// results of all attempts, opens probe connections to targets whose links are lost, and logs what changes. For use on the event loop only.
class TargetPaths
{
public:
    TargetPaths(boost::asio::io_context &loop, std::string hostName, Metrics &metrics);
    ~TargetPaths();

    void setTargets(const TargetMap &targets);

    /// Sets the hosts of the fleet, which include this one.
    void setHosts(const std::map<std::string, HostRecord> &hosts);

    /// Called whenever links are lost or restored.
    void setChangeListener(std::function<void()> listener);

    /// The next path to try for a connection to a target with this address; nothing if none is left.
    std::optional<TargetPath> nextPath(PathAttempts &attempts, const HostAddress &address, TimePoint now);

    /// Records the result of an attempt to connect directly.
    void onConnectResult(std::string_view targetId, ConnectResult result, TimePoint now);

    /// Records the result of an attempt to connect through another host.
    void onRelayResult(PathAttempts &attempts, const std::string &relay, const RelayedStream &stream, TimePoint now);

    /// A host that has relayed lately, to be suggested to others; empty if there is none.
    std::string suggestion(TimePoint now);

    /// Records that bytes arrived from a target on a direct connection; `isAnswer` with the first bytes of an answer.
    void onBytes(std::string_view targetId, bool isAnswer, TimePoint now);

    /// A request has been waiting for its answer on a direct connection since `sentAt`. Probes the link if nothing arrived from any target
    /// meanwhile, or `isOverdue` says that the answer is later than usual.
    void onWaiting(std::string_view targetId, TimePoint sentAt, bool isOverdue, TimePoint now);

    bool isLost(std::string_view targetId, TimePoint now) const;

    /// Whether established direct connections to the target can be used.
    bool mayUseEstablished(std::string_view targetId, TimePoint now) const;

    /// Finds out why the connection to a target was lost during a request. `handler` is called with whether the target still accepts
    /// connections from another host while this host can't connect to it: then the link was lost, and the target did not fail.
    void checkLoss(std::string_view targetId, std::function<void(bool isLinkLost)> handler);

    /// Opens the probe connections that are due. To be called a few times a second.
    void tick(TimePoint now);

    const LinkMonitor &links() const;

private:
    class Probe;
    class RelayProbe;

    void openProbe(const std::string &targetId);
    void askForLoss(const PathAttempts &attempts, const std::function<void(bool isLinkLost)> &handler);
    void logChanges();

    boost::asio::io_context &loop_;
    std::string hostName_;
    Metrics &metrics_;
    PathPlanner planner_;
    std::function<void()> changeListener_ = [] {};
    std::map<std::string, HostAddress, std::less<>> addresses_; ///< By target id.
    std::map<std::string, HostAddress, std::less<>> hostAddresses_; ///< Of the other hosts, by name.
    std::map<std::string, std::shared_ptr<Probe>, std::less<>> probes_; ///< Open probes by target id.
    std::set<std::shared_ptr<RelayProbe>> relayProbes_;
    TimePoint heardAt_; ///< When bytes last arrived from any target on a direct connection.
};

} // namespace Lovageloft

#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/metrics.h"
#include "decision/link_monitor.h"
#include "gateway/target.h"

namespace Lovageloft
{

/// Tracks which targets this host reaches directly. It records the results of all connection attempts, opens probe connections to targets
/// whose links are lost, and logs what changes. For use on the event loop only.
class TargetPaths
{
public:
    TargetPaths(boost::asio::io_context &loop, Metrics &metrics);
    ~TargetPaths();

    void setTargets(const TargetMap &targets);

    /// Records the result of an attempt to connect directly.
    void onConnectResult(std::string_view targetId, ConnectResult result, TimePoint now);

    /// Records that a target answered on a direct connection.
    void onAnswered(std::string_view targetId, TimePoint now);

    /// Opens the probe connections that are due. To be called a few times a second.
    void tick(TimePoint now);

    const LinkMonitor &links() const;

private:
    class Probe;

    void openProbe(const std::string &targetId);
    void logChanges();

    boost::asio::io_context &loop_;
    Metrics &metrics_;
    LinkMonitor links_;
    std::map<std::string, HostAddress, std::less<>> addresses_; ///< By target id.
    std::map<std::string, std::shared_ptr<Probe>, std::less<>> probes_; ///< Open probes by target id.
};

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Lovageloft
{

/// Decides which requests of one host go to a version that is not trusted yet: at most as many as the pool has granted. Routes that were tried
/// less often come first. Not thread-safe.
class ExposureBudget
{
public:
    /// Sets how many requests may be sent to the version since the start; a lower number than before is ignored.
    void setAllowance(std::uint32_t requests);

    /// Counts a request of the service on a route, whether it may go to the version or not.
    void onRequest(std::uint64_t route);

    /// Whether the request that was just counted goes to the version; it then uses the budget.
    bool tryExpose(std::uint64_t route);

    /// A request for which tryExpose() returned true was not sent to the version.
    void refund(std::uint64_t route);

    std::uint32_t requests() const;
    std::uint32_t exposed() const;
    std::uint32_t allowance() const;

private:
    struct Route
    {
        std::uint32_t requests = 0;
        std::uint32_t exposed = 0;
    };

    bool isLeastExposed(const Route &route) const;

    std::map<std::uint64_t, Route> routes_;
    std::uint32_t allowance_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t exposed_ = 0;
};

/// Divides the requests that an untrusted version may get among the hosts. All hosts together are allowed no more than a share of the requests
/// that they have reported, plus a fixed number; what a host has not used when it ends is lost. Not thread-safe.
class ExposurePool
{
public:
    /// `share`: of the requests that are reported from now on; `slack`: requests in addition since the start.
    void setLimits(double share, double slack);

    /// A host's count since it learned of the rollout. `process` differs between two processes of a host, which count apart.
    struct Usage
    {
        std::uint64_t process = 0;
        std::uint32_t requests = 0; ///< Of the service.
        std::uint32_t exposed = 0; ///< Sent to the version.
        std::uint32_t allowance = 0; ///< As last received.
    };

    /// Records what a host reports. The allowance counts as granted even if another pool granted it.
    void onReport(const std::string &host, const Usage &usage);

    /// The allowance of a host since its start, increased by what it can use until its next report. `isHeld`: it is not increased.
    std::uint32_t allowanceOf(const std::string &host, bool isHeld);

private:
    struct Host
    {
        Usage usage;
        std::uint32_t granted = 0;
        std::uint32_t newRequests = 0; ///< Between its last two reports.
    };

    std::map<std::string, Host> hosts_;
    double share_ = 0;
    double slack_ = 0;
    double earned_ = 0; ///< Requests that the version may get, without the slack.
    double granted_ = 0; ///< To all processes so far.
};

} // namespace Lovageloft

#include "decision/exposure_pool.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// Unused requests of the budget with which a request is sent whatever its route.
constexpr std::uint32_t unusedForAnyRoute = 2;

/// Routes with a smaller share of the requests aren't waited for.
constexpr double minRouteShare = 0.01;

} // namespace

void ExposureBudget::setAllowance(std::uint32_t requests)
{
    allowance_ = std::max(allowance_, requests);
}

void ExposureBudget::onRequest(std::uint64_t route)
{
    ++requests_;
    ++routes_[route].requests;
}

bool ExposureBudget::tryExpose(std::uint64_t route)
{
    Route &entry = routes_[route];
    const std::uint32_t unused = allowance_ - std::min(allowance_, exposed_);
    if (unused == 0 || (unused < unusedForAnyRoute && !isLeastExposed(entry))) {
        return false;
    }
    ++entry.exposed;
    ++exposed_;
    return true;
}

void ExposureBudget::refund(std::uint64_t route)
{
    Route &entry = routes_[route];
    if (entry.exposed > 0) {
        --entry.exposed;
        --exposed_;
    }
}

bool ExposureBudget::isLeastExposed(const Route &route) const
{
    return std::all_of(routes_.begin(), routes_.end(), [this, &route](const auto &other) {
        return other.second.requests < minRouteShare * requests_ || route.exposed <= other.second.exposed;
    });
}

std::uint32_t ExposureBudget::requests() const
{
    return requests_;
}

std::uint32_t ExposureBudget::exposed() const
{
    return exposed_;
}

std::uint32_t ExposureBudget::allowance() const
{
    return allowance_;
}

void ExposurePool::setLimits(double share, double slack)
{
    share_ = share;
    slack_ = slack;
}

void ExposurePool::onReport(const std::string &host, const Usage &usage)
{
    Host &known = hosts_[host];
    if (known.usage.process != usage.process) {
        known = {};
        known.usage.process = usage.process;
    }
    if (usage.requests < known.usage.requests) {
        return; // An earlier report that arrived late: its requests were counted already.
    }
    known.newRequests = usage.requests - known.usage.requests;
    earned_ += share_ * known.newRequests;
    if (usage.allowance > known.granted) {
        granted_ += usage.allowance - known.granted;
        known.granted = usage.allowance;
    }
    known.usage = usage;
}

std::uint32_t ExposurePool::allowanceOf(const std::string &name, bool isHeld)
{
    Host &host = hosts_[name];
    const double left = earned_ + slack_ - granted_;
    const std::uint32_t unused = host.granted - std::min(host.granted, host.usage.exposed);
    const std::uint32_t usable = std::max<std::uint32_t>(1, host.newRequests);
    if (!isHeld && left >= 1 && unused < usable) {
        const auto more = std::min(usable - unused, static_cast<std::uint32_t>(left));
        host.granted += more;
        granted_ += more;
    }
    return host.granted;
}

} // namespace Lovageloft

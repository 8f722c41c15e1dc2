#include "gateway/crash_guard.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t homesPerRequest = 2;

} // namespace

CrashGuard::CrashGuard(std::string host, Network network)
    : host_(std::move(host))
    , network_(std::move(network))
{
}

void CrashGuard::setHosts(const std::vector<std::string> &candidates)
{
    candidates_ = RendezvousNames(candidates);
}

void CrashGuard::noteAnswered(RequestFeature request)
{
    quarantine_.noteAnswered(request);
}

bool CrashGuard::isQuarantined(RequestFeature request, TimePoint now) const
{
    return quarantine_.contains(request, now);
}

std::size_t CrashGuard::quarantinedCount(TimePoint now) const
{
    return quarantine_.size(now);
}

void CrashGuard::onTargetLost(const CrashReport &report, TimePoint now)
{
    if (!quarantine_.isSuspect(report.request)) {
        return;
    }
    onReport(host_, report, now);
    for (const std::string &home : candidates_.winners(featureText(report.request), homesPerRequest)) {
        if (home != host_) {
            network_.report(home, report);
        }
    }
}

void CrashGuard::onReport(const std::string &from, const CrashReport &report, TimePoint now)
{
    if (!quarantine_.countCrash(report, now)) {
        return;
    }
    if (quarantine_.add(report.request, now)) {
        writeLog(LogLevel::Warning, "request_quarantined", {{"fingerprint", featureText(report.request)}, {"counted", true}});
        network_.broadcast(report.request);
        network_.record(report.request);
    } else if (from != host_ && quarantine_.contains(report.request, now)) {
        network_.notify(from, report.request);
    }
}

void CrashGuard::onQuarantined(RequestFeature request, TimePoint now)
{
    if (quarantine_.add(request, now)) {
        writeLog(LogLevel::Warning, "request_quarantined", {{"fingerprint", featureText(request)}, {"counted", false}});
    }
}

} // namespace Lovageloft

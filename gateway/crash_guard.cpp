#include "gateway/crash_guard.h"

#include <utility>

#include "core/log.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t homesPerFeature = 2;

/// Time in which other hosts object to a notice.
constexpr Duration objectionTime = std::chrono::milliseconds(600);

constexpr int messageRepeats = 2;

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

void CrashGuard::noteSound(std::span<const RequestFeature> features, TimePoint now)
{
    for (const RequestFeature feature : features) {
        quarantine_.noteSound(feature, now);
    }
}

void CrashGuard::noteBegun(RequestFeature request, TimePoint now)
{
    quarantine_.noteBegun(request, now);
}

bool CrashGuard::isQuarantined(RequestFeature feature, TimePoint now) const
{
    return quarantine_.contains(feature, now);
}

std::size_t CrashGuard::quarantinedCount(TimePoint now) const
{
    return quarantine_.size(now);
}

void CrashGuard::onTargetLost(const CrashReport &report, TimePoint now)
{
    onReport(host_, report, now);
    for (const std::string &home : candidates_.winners(featureText(report.feature), homesPerFeature)) {
        if (home != host_) {
            network_.report(home, report);
        }
    }
}

void CrashGuard::onReport(const std::string &from, const CrashReport &report, TimePoint now)
{
    const auto notice = quarantine_.countCrash(report, now);
    if (!notice) {
        return;
    }
    if (const auto objection = quarantine_.objectionTo(*notice, now)) {
        if (objection->isExplained) {
            quarantine_.onObjection(*objection, now);
        }
        return;
    }
    if (add(*notice, true, now)) {
        unrecorded_.push_back({*notice, now});
        network_.broadcast(*notice);
    } else if (from != host_) {
        network_.notify(from, *notice);
    }
}

void CrashGuard::onQuarantined(const std::string &from, const QuarantineNotice &notice, TimePoint now)
{
    if (const auto objection = quarantine_.objectionTo(notice, now)) {
        network_.object(from, *objection);
        objections_.push_back({*objection, from, messageRepeats});
        return;
    }
    add(notice, false, now);
}

/// Returns whether the feature was not quarantined yet.
bool CrashGuard::add(const QuarantineNotice &notice, bool isCounted, TimePoint now)
{
    if (!quarantine_.add(notice.feature, now)) {
        return false;
    }
    writeLog(LogLevel::Warning,
             "request_quarantined",
             {{"feature", featureText(notice.feature)}, {"counted", isCounted}, {"certain", notice.isCertain}, {"age_ms", toMillis(notice.age)}});
    network_.onAdded();
    return true;
}

void CrashGuard::onObjection(const QuarantineObjection &objection, TimePoint now)
{
    const RequestFeature feature = objection.feature;
    quarantine_.onObjection(objection, now);
    onLifted(feature);
    network_.lift(feature);
    std::erase_if(lifts_, [feature](const RepeatedLift &lift) { return lift.feature == feature; });
    lifts_.push_back({feature, messageRepeats});
}

void CrashGuard::onLifted(RequestFeature feature)
{
    std::erase_if(unrecorded_, [feature](const Unrecorded &unrecorded) { return unrecorded.notice.feature == feature; });
    if (quarantine_.lift(feature)) {
        writeLog(LogLevel::Warning, "quarantine_lifted", {{"feature", featureText(feature)}});
    }
}

void CrashGuard::onTick(TimePoint now)
{
    const auto isDone = [](const auto &message) { return message.repeats <= 0; };
    for (RepeatedObjection &repeated : objections_) {
        network_.object(repeated.receiver, repeated.objection);
        --repeated.repeats;
    }
    std::erase_if(objections_, isDone);
    for (RepeatedLift &lift : lifts_) {
        network_.lift(lift.feature);
        --lift.repeats;
    }
    std::erase_if(lifts_, isDone);
    for (const auto &[notice, addedAt] : std::vector(unrecorded_)) {
        network_.broadcast({notice.feature, notice.age + (now - addedAt), notice.isCertain, notice.targets});
    }
    std::erase_if(unrecorded_, [this, now](const Unrecorded &unrecorded) {
        const bool isDue = now - unrecorded.addedAt >= objectionTime;
        if (isDue) {
            network_.record(unrecorded.notice.feature);
        }
        return isDue;
    });
}

} // namespace Lovageloft

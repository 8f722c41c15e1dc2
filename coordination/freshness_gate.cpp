#include "coordination/freshness_gate.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

FreshnessGate::FreshnessGate(std::string self, Duration window, TimePoint startedAt)
    : self_(std::move(self))
    , window_(window)
    , startedAt_(startedAt)
{
}

void FreshnessGate::setHosts(HostLists lists)
{
    lists_ = std::move(lists);
    std::erase_if(peers_, [this](const auto &peer) {
        return std::find(lists_.current.begin(), lists_.current.end(), peer.first) == lists_.current.end()
            && std::find(lists_.previous.begin(), lists_.previous.end(), peer.first) == lists_.previous.end();
    });
    update();
}

void FreshnessGate::setVersionHeld(std::int64_t version)
{
    versionHeld_ = std::max(versionHeld_, version);
    update();
}

void FreshnessGate::onStoreConfirmed(std::int64_t version, TimePoint sentAt)
{
    if (confirmation_.has_value() && sentAt <= confirmation_->sentAt) {
        return;
    }
    confirmation_ = Confirmation{version, sentAt};
    update();
}

void FreshnessGate::onPeerVersionReport(const PeerVersionReport &report, TimePoint requestSentAt)
{
    record(report, requestSentAt);
    update();
}

void FreshnessGate::onPeerVersionReports(std::span<const TimedVersionReport> reports)
{
    for (const TimedVersionReport &timed : reports) {
        record(timed.report, timed.requestSentAt);
    }
    update();
}

void FreshnessGate::record(const PeerVersionReport &report, TimePoint requestSentAt)
{
    if (report.host == self_ || requestSentAt < startedAt_) {
        return;
    }
    const auto [position, isNew] = peers_.try_emplace(report.host);
    PeerRow &row = position->second;
    if (!isNew) {
        const bool isFromEarlierProcess = report.incarnation != 0 && report.incarnation < row.incarnation;
        if (isFromEarlierProcess || requestSentAt <= row.requestSentAt) {
            return;
        }
    }
    row = {std::max(row.incarnation, report.incarnation), report.versionHeld, report.isCaughtUp, requestSentAt};
}

/// Recomputes when freshness ends. Done on each change instead of on each request, because there are thousands of requests a second but
/// only a few changes.
void FreshnessGate::update()
{
    const auto confirmed = confirmedAt();
    const auto reported = majorityTime(lists_, [this](const std::string &host) { return reportedAt(host); });
    // A majority of reports of any age since the start shows that this host holds everything that was in force when it sent the requests.
    const bool wasCaughtUp = isCaughtUp_;
    isCaughtUp_ = isCaughtUp_ || confirmed.has_value() || reported.has_value();
    if (!wasCaughtUp && isCaughtUp_) {
        update(); // Recomputes with this host counted as part of the majority.
        return;
    }
    freshUntil_.reset();
    if (!isListed()) {
        return;
    }
    std::optional<TimePoint> since = confirmed;
    if (reported.has_value() && (!since.has_value() || *since < *reported)) {
        since = reported;
    }
    if (since.has_value()) {
        freshUntil_ = *since == TimePoint::max() ? *since : *since + window_;
    }
}

std::optional<TimePoint> FreshnessGate::reportedAt(const std::string &host) const
{
    if (host == self_) {
        return isCaughtUp_ ? std::optional(TimePoint::max()) : std::nullopt;
    }
    const auto row = peers_.find(host);
    if (row == peers_.end() || !row->second.isCaughtUp || row->second.versionHeld > versionHeld_) {
        return std::nullopt;
    }
    return row->second.requestSentAt;
}

std::optional<TimePoint> FreshnessGate::confirmedAt() const
{
    if (!confirmation_.has_value() || confirmation_->version > versionHeld_) {
        return std::nullopt;
    }
    return confirmation_->sentAt;
}

bool FreshnessGate::isListed() const
{
    return lists_.current.empty() || std::find(lists_.current.begin(), lists_.current.end(), self_) != lists_.current.end();
}

bool FreshnessGate::isCaughtUp() const
{
    return isCaughtUp_;
}

bool FreshnessGate::isFresh(TimePoint now) const
{
    return freshUntil_.has_value() && now < *freshUntil_;
}

std::optional<TimePoint> FreshnessGate::freshUntil() const
{
    return freshUntil_;
}

std::int64_t FreshnessGate::versionHeld() const
{
    return versionHeld_;
}

} // namespace Lovageloft

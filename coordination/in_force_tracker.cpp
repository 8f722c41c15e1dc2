#include "coordination/in_force_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Lovageloft
{

namespace
{

// Oscillators are off by at most 1/10,000; 1/100 of the window covers that and clock slewing.
constexpr int clockDriftDivisor = 100;

// A few tickets are committed per minute, so more entries than this wait only while a majority is unreachable. A dropped entry is in force
// when a later one is.
constexpr std::size_t maxTrackedEntries = 64;

std::size_t allOf(std::size_t count)
{
    return count;
}

std::size_t moreThanHalfOf(std::size_t count)
{
    return majorityOf(count);
}

} // namespace

InForceTracker::InForceTracker(Duration window)
    : wait_(window + window / clockDriftDivisor)
{
}

void InForceTracker::setHosts(HostLists lists)
{
    lists_ = std::move(lists);
}

void InForceTracker::track(std::int64_t sequence, TimePoint knownCommittedAt)
{
    if (sequence <= inForceVersion_ || tracked_.contains(sequence)) {
        return;
    }
    tracked_.emplace(sequence, knownCommittedAt);
    if (tracked_.size() > maxTrackedEntries) {
        tracked_.erase(tracked_.begin());
    }
}

void InForceTracker::onPeerVersionReport(const PeerVersionReport &report, TimePoint requestSentAt, TimePoint responseReceivedAt)
{
    Host &host = hosts_[report.host];
    if (report.incarnation < host.incarnation || (report.incarnation == host.incarnation && report.versionHeld < host.versionHeld)) {
        return; // A report by an earlier process of the host, or one that arrived out of order.
    }
    if (report.incarnation > host.incarnation) {
        host = Host{report.incarnation, 0, false, requestSentAt, {}};
    }
    host.versionHeld = report.versionHeld;
    host.isCaughtUp = report.isCaughtUp;
    host.heldUntil = std::max(host.heldUntil, requestSentAt);
    if (!report.isCaughtUp) {
        return;
    }
    for (const auto &[sequence, knownAt] : tracked_) {
        if (sequence <= report.versionHeld) {
            host.heldSince.try_emplace(sequence, responseReceivedAt);
        }
    }
}

void InForceTracker::advance(TimePoint now)
{
    std::int64_t inForce = inForceVersion_;
    for (const auto &[sequence, knownAt] : tracked_) {
        // Without a list there are no peers to report, so every host depends on the store alone and stops being fresh within the window.
        const auto majorityAt = lists_.current.empty() ? std::optional(knownAt) : firstTimeHeld(sequence, &moreThanHalfOf);
        if (!majorityAt.has_value()) {
            continue;
        }
        const bool hasWaited = now >= *majorityAt + wait_;
        if (hasWaited || (!lists_.current.empty() && firstTimeHeld(sequence, &allOf).has_value())) {
            inForce = sequence;
        }
    }
    onInForce(inForce);
}

void InForceTracker::onInForce(std::int64_t sequence)
{
    inForceVersion_ = std::max(inForceVersion_, sequence);
    const auto isNoLongerTracked = [this](const auto &item) { return item.first <= inForceVersion_; };
    std::erase_if(tracked_, isNoLongerTracked);
    for (auto &[name, host] : hosts_) {
        std::erase_if(host.heldSince, isNoLongerTracked);
    }
}

InForceTracker::HoldIntervals InForceTracker::holdIntervals(const std::vector<std::string> &list, std::int64_t sequence) const
{
    HoldIntervals intervals;
    for (const std::string &name : list) {
        const auto host = hosts_.find(name);
        if (host == hosts_.end()) {
            continue;
        }
        const auto since = host->second.heldSince.find(sequence);
        if (since == host->second.heldSince.end() || host->second.heldUntil < since->second) {
            continue;
        }
        intervals.starts.push_back(since->second);
        intervals.ends.push_back(host->second.heldUntil);
    }
    std::sort(intervals.starts.begin(), intervals.starts.end());
    std::sort(intervals.ends.begin(), intervals.ends.end());
    return intervals;
}

std::size_t InForceTracker::HoldIntervals::countAt(TimePoint time) const
{
    const auto started = std::upper_bound(starts.begin(), starts.end(), time) - starts.begin();
    const auto ended = std::lower_bound(ends.begin(), ends.end(), time) - ends.begin();
    return static_cast<std::size_t>(started - ended);
}

std::optional<TimePoint> InForceTracker::firstTimeHeld(std::int64_t sequence, RequiredCount required) const
{
    const HoldIntervals current = holdIntervals(lists_.current, sequence);
    const HoldIntervals previous = holdIntervals(lists_.previous, sequence);
    const auto isEnough = [required](const HoldIntervals &intervals, const std::vector<std::string> &list, TimePoint time) {
        return list.empty() || intervals.countAt(time) >= required(list.size());
    };
    // The first time at which enough hosts hold the entry is the start of some host's interval.
    for (const HoldIntervals *intervals : {&current, &previous}) {
        for (const TimePoint time : intervals->starts) {
            if (isEnough(current, lists_.current, time) && isEnough(previous, lists_.previous, time)) {
                return time;
            }
        }
    }
    return std::nullopt;
}

bool InForceTracker::isInForce(std::int64_t sequence) const
{
    return sequence <= inForceVersion_;
}

std::int64_t InForceTracker::inForceVersion() const
{
    return inForceVersion_;
}

std::vector<std::string> InForceTracker::hostsLacking(std::int64_t sequence) const
{
    std::set<std::string> names(lists_.current.begin(), lists_.current.end());
    names.insert(lists_.previous.begin(), lists_.previous.end());
    std::erase_if(names, [&](const std::string &name) {
        const auto host = hosts_.find(name);
        return host != hosts_.end() && host->second.isCaughtUp && host->second.versionHeld >= sequence;
    });
    return {names.begin(), names.end()};
}

} // namespace Lovageloft

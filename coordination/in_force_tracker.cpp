#include "coordination/in_force_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Lovageloft
{

namespace
{

// Oscillators are off by a ten-thousandth at worst; a hundredth of the window covers that and slewing.
constexpr int clockRateMargin = 100;

// A few tickets a minute are committed; more than this wait only while a majority is out of reach. An entry left out is
// in force when a later one is.
constexpr std::size_t greatestTracked = 64;

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
    : wait_(window + window / clockRateMargin)
{
}

void InForceTracker::setHosts(HostLists lists)
{
    lists_ = std::move(lists);
}

void InForceTracker::track(std::int64_t sequence, TimePoint now)
{
    if (sequence <= inForceVersion_ || tracked_.contains(sequence)) {
        return;
    }
    tracked_.emplace(sequence, now);
    if (tracked_.size() > greatestTracked) {
        tracked_.erase(tracked_.begin());
    }
}

void InForceTracker::onPeerVersionReport(const PeerVersionReport &report, TimePoint askedAt, TimePoint answeredAt)
{
    Host &host = hosts_[report.host];
    if (report.incarnation < host.incarnation || (report.incarnation == host.incarnation && report.versionHeld < host.versionHeld)) {
        return; // The answer of its former self, or one that was overtaken.
    }
    if (report.incarnation > host.incarnation) {
        host = Host{report.incarnation, 0, false, askedAt, {}};
    }
    host.versionHeld = report.versionHeld;
    host.isCaughtUp = report.isCaughtUp;
    host.lastAskedAt = std::max(host.lastAskedAt, askedAt);
    if (!report.isCaughtUp) {
        return;
    }
    for (const auto &[sequence, knownAt] : tracked_) {
        if (sequence <= report.versionHeld) {
            host.heldSince.try_emplace(sequence, answeredAt);
        }
    }
}

void InForceTracker::advance(TimePoint now)
{
    std::int64_t inForce = inForceVersion_;
    for (const auto &[sequence, knownAt] : tracked_) {
        // Without a list there are no peers to vouch: every host lives by the store alone, and the window ends that.
        const auto majorityAt = lists_.current.empty() ? std::optional(knownAt) : firstMoment(sequence, &moreThanHalfOf);
        if (!majorityAt.has_value()) {
            continue;
        }
        const bool hasWaited = now >= *majorityAt + wait_;
        if (hasWaited || (!lists_.current.empty() && firstMoment(sequence, &allOf).has_value())) {
            inForce = sequence;
        }
    }
    onInForce(inForce);
}

void InForceTracker::onInForce(std::int64_t sequence)
{
    inForceVersion_ = std::max(inForceVersion_, sequence);
    const auto isDone = [this](const auto &item) { return item.first <= inForceVersion_; };
    std::erase_if(tracked_, isDone);
    for (auto &[name, host] : hosts_) {
        std::erase_if(host.heldSince, isDone);
    }
}

InForceTracker::Spans InForceTracker::spansOf(const std::vector<std::string> &list, std::int64_t sequence) const
{
    Spans spans;
    for (const std::string &name : list) {
        const auto host = hosts_.find(name);
        if (host == hosts_.end()) {
            continue;
        }
        const auto since = host->second.heldSince.find(sequence);
        if (since == host->second.heldSince.end() || host->second.lastAskedAt < since->second) {
            continue;
        }
        spans.begins.push_back(since->second);
        spans.ends.push_back(host->second.lastAskedAt);
    }
    std::sort(spans.begins.begin(), spans.begins.end());
    std::sort(spans.ends.begin(), spans.ends.end());
    return spans;
}

std::size_t InForceTracker::Spans::countAt(TimePoint moment) const
{
    const auto begun = std::upper_bound(begins.begin(), begins.end(), moment) - begins.begin();
    const auto ended = std::lower_bound(ends.begin(), ends.end(), moment) - ends.begin();
    return static_cast<std::size_t>(begun - ended);
}

std::optional<TimePoint> InForceTracker::firstMoment(std::int64_t sequence, Needed needed) const
{
    const Spans current = spansOf(lists_.current, sequence);
    const Spans previous = spansOf(lists_.previous, sequence);
    const auto isEnough = [needed](const Spans &spans, const std::vector<std::string> &list, TimePoint moment) {
        return list.empty() || spans.countAt(moment) >= needed(list.size());
    };
    // The first moment at which enough hosts hold the entry is one at which some host begins to.
    for (const Spans *spans : {&current, &previous}) {
        for (const TimePoint moment : spans->begins) {
            if (isEnough(current, lists_.current, moment) && isEnough(previous, lists_.previous, moment)) {
                return moment;
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

#include "decision/slot_issuer.h"

#include <algorithm>

#include "decision/earliest_time.h"

namespace Lovageloft
{

namespace
{

/// A grant that no report has taken into account after this time was lost.
constexpr Duration grantTimeout = std::chrono::milliseconds(250);

/// Hosts repeat reports of slots in use more often than this; one that does not has ended.
constexpr Duration reportTimeout = std::chrono::seconds(2);

/// Longer than hosts keep a lease that they don't use, so that no rejection counts twice.
constexpr Duration forgetTime = std::chrono::seconds(60);

/// Grants due to time alone are issued at most this often.
constexpr Duration minTickInterval = std::chrono::milliseconds(5);

/// The longest time that rejections took is known from this number of them on. Requests count as accepted after a multiple of it.
constexpr std::uint64_t minTimedRejections = 4;
constexpr int acceptanceTimeFactor = 2;
constexpr Duration minAcceptanceTime = std::chrono::milliseconds(30);

/// Bounds the work for a report of a faulty host.
constexpr std::uint64_t maxCountedRejections = 1'000;

/// Whether a report was sent before the newest one. Sequences follow the sender's clock, which is set back when its machine restarts.
bool isOvertaken(std::uint64_t sequence, std::uint64_t newest)
{
    constexpr std::uint64_t maxDelay = std::chrono::nanoseconds(std::chrono::seconds(5)).count();
    return sequence <= newest && newest - sequence < maxDelay;
}

} // namespace

void SlotIssuer::startAt(TimePoint from)
{
    from_ = from;
}

std::vector<SlotIssuer::Grant> SlotIssuer::onReport(const std::string &host, const SlotReport &report, TimePoint now)
{
    std::vector<Grant> grants;
    const auto [entry, isNew] = targets_.try_emplace(report.target);
    Target &target = entry->second;
    if (isNew || report.incarnation > target.incarnation) {
        target.incarnation = report.incarnation;
        target.limit = {};
        target.hosts.clear();
        target.probe = 0;
        target.timedRejections = 0;
    }
    if (isNew) {
        target.lastGrant = static_cast<std::uint64_t>(now.time_since_epoch().count());
        target.issuesFrom = from_;
    }
    if (report.incarnation < target.incarnation) {
        return grants;
    }
    const auto [found, isNewHost] = target.hosts.try_emplace(host);
    Host &state = found->second;
    if (!isNewHost && isOvertaken(report.sequence, state.report.sequence)) {
        return grants;
    }
    const bool hasRestarted = report.rejections < state.report.rejections;
    const std::uint64_t rejections = report.rejections - (hasRestarted ? 0 : state.report.rejections);
    state.report = report;
    state.reportedAt = now;
    std::erase_if(state.pending, [&report](const Pending &pending) { return pending.id <= report.lastGrant; });
    target.limit.setRejectionLimit(report.rejectionLimit);
    applyRejections(target, report, rejections, now);
    updateProbe(target, host, report, now);
    issue(report.target, target, now, grants);
    const bool isAnswered = std::any_of(grants.begin(), grants.end(), [&host](const Grant &grant) { return grant.host == host; });
    if (report.wanted > 0 && !isAnswered && now >= target.issuesFrom) {
        grants.push_back({host, makeGrant(report.target, target, state, 0, now)});
    }
    return grants;
}

std::size_t SlotIssuer::inUse(const Target &target)
{
    std::size_t sum = 0;
    for (const auto &[name, host] : target.hosts) {
        sum += host.report.inUse + host.pending.size();
    }
    return sum;
}

std::size_t SlotIssuer::undecided(const Target &target)
{
    std::size_t sum = 0;
    for (const auto &[name, host] : target.hosts) {
        sum += host.report.undecided + host.pending.size();
    }
    return sum;
}

Duration SlotIssuer::longestRejectionTime(const Target &target)
{
    Duration longest{};
    for (const auto &[name, host] : target.hosts) {
        longest = std::max(longest, host.report.rejectionTime);
    }
    return longest;
}

/// Time without a rejection after which a request has been accepted; zero if rejections are not known well enough to tell.
Duration SlotIssuer::acceptanceTime(const Target &target)
{
    if (target.timedRejections < minTimedRejections) {
        return Duration::zero();
    }
    return std::max(longestRejectionTime(target) * acceptanceTimeFactor, minAcceptanceTime);
}

/// A host has heard of that many more rejections.
void SlotIssuer::applyRejections(Target &target, const SlotReport &report, std::uint64_t rejections, TimePoint now)
{
    if (rejections == 0) {
        return;
    }
    target.timedRejections += report.rejectionTime > Duration::zero() ? rejections : 0;
    target.limit.setRejectionTime(longestRejectionTime(target));
    target.probe = 0; // The limit takes the rejected request for the probe.
    for (std::uint64_t i = 0; i < std::min(rejections, maxCountedRejections); ++i) {
        target.limit.onRejected(inUse(target), now);
    }
}

/// Reads from a report what became of the newest probe.
void SlotIssuer::updateProbe(Target &target, const std::string &host, const SlotReport &report, TimePoint now)
{
    if (target.probe == 0 || host != target.probeHost || report.lastGrant < target.probe) {
        return;
    }
    if (report.acceptedProbe == target.probe) {
        target.probe = 0;
        target.limit.onProbeAccepted(now);
    } else if (report.probe != target.probe) {
        cancelProbe(target);
    }
}

void SlotIssuer::cancelProbe(Target &target)
{
    target.probe = 0;
    target.limit.onProbeCancelled();
}

/// The host that is next to get a slot; the end if none wants one.
SlotIssuer::Hosts::iterator SlotIssuer::nextHost(Hosts &hosts)
{
    auto next = hosts.end();
    const auto rank = [](const Host &host) { return std::pair(host.report.inUse + host.pending.size(), host.grantedAt); };
    for (auto entry = hosts.begin(); entry != hosts.end(); ++entry) {
        const Host &host = entry->second;
        if (host.report.wanted <= host.pending.size()) {
            continue;
        }
        if (next == hosts.end() || rank(host) < rank(next->second)) {
            next = entry;
        }
    }
    return next;
}

void SlotIssuer::issue(const std::string &name, Target &target, TimePoint now, std::vector<Grant> &grants)
{
    if (now < target.issuesFrom) {
        return;
    }
    for (auto next = nextHost(target.hosts); next != target.hosts.end(); next = nextHost(target.hosts)) {
        auto &[hostName, host] = *next;
        const std::size_t used = inUse(target);
        if (!target.limit.canSend(used, undecided(target), now)) {
            return;
        }
        const bool isProbe = target.limit.onSent(used);
        host.pending.push_back({++target.lastGrant, now});
        host.grantedAt = now;
        target.granted.add(now);
        if (isProbe) {
            target.probe = target.lastGrant;
            target.probeHost = hostName;
        }
        grants.push_back({hostName, makeGrant(name, target, host, target.lastGrant, now)});
    }
}

SlotGrant SlotIssuer::makeGrant(const std::string &name, const Target &target, const Host &host, std::uint64_t id, TimePoint now)
{
    const bool isScarce = target.limit.limit() && inUse(target) >= *target.limit.limit();
    return {.target = name,
            .id = id,
            .rate = isScarce ? target.granted.rate(now) : 0,
            .report = host.report.sequence,
            .isProbe = id != 0 && id == target.probe,
            .acceptanceTime = acceptanceTime(target)};
}

std::vector<SlotIssuer::Grant> SlotIssuer::onTick(TimePoint now)
{
    std::vector<Grant> grants;
    for (auto &[name, target] : targets_) {
        std::erase_if(target.hosts, [now](const auto &entry) { return now - entry.second.reportedAt > forgetTime; });
        for (auto &[host, state] : target.hosts) {
            const bool hasEnded = now - state.reportedAt > reportTimeout;
            if (hasEnded) {
                state.report.wanted = 0;
                state.report.inUse = 0;
                state.report.undecided = 0;
            }
            const bool isProbeLost = std::erase_if(state.pending, [now](const Pending &pending) { return now - pending.at > grantTimeout; }) > 0
                && state.report.lastGrant < target.probe;
            if (host == target.probeHost && (hasEnded || isProbeLost)) {
                cancelProbe(target);
            }
        }
        issue(name, target, now, grants);
    }
    std::erase_if(targets_, [](const auto &entry) { return entry.second.hosts.empty(); });
    return grants;
}

std::optional<TimePoint> SlotIssuer::nextEvent(TimePoint now) const
{
    EarliestTime next(now);
    const auto consider = [&next, now](TimePoint at) { next.consider(std::max(at, now + minTickInterval)); };
    for (const auto &[name, target] : targets_) {
        const bool isWanted = std::any_of(target.hosts.begin(), target.hosts.end(), [](const auto &entry) { return entry.second.report.wanted > 0; });
        if (!isWanted) {
            continue;
        }
        if (const auto change = target.limit.nextChange(now)) {
            consider(*change);
        }
        for (const auto &[host, state] : target.hosts) {
            if (!state.pending.empty()) {
                consider(state.pending.front().at + grantTimeout);
            }
        }
        if (now < target.issuesFrom) {
            consider(target.issuesFrom);
        }
    }
    return next.value();
}

} // namespace Lovageloft

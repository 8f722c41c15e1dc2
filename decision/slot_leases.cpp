#include "decision/slot_leases.h"

#include <algorithm>
#include <utility>

#include "decision/earliest_time.h"

namespace Lovageloft
{

namespace
{

/// A request that was not rejected within this time counts as accepted.
constexpr Duration verdictTime = std::chrono::milliseconds(30);

/// Wishes that are not repeated within this time have ended.
constexpr Duration wishTime = std::chrono::milliseconds(150);

/// Reports are repeated after these times, while slots are wanted and while they are only in use.
constexpr Duration wantedReportInterval = std::chrono::milliseconds(100);
constexpr Duration usedReportInterval = std::chrono::milliseconds(500);

/// A home that has not replied for this time is down or can't be reached.
constexpr Duration homeTimeout = std::chrono::milliseconds(300);

/// Part of the rejection limit for all hosts that can't reach a home.
constexpr double ownShareFraction = 0.1;
constexpr double minOwnShareRate = 0.05; ///< A second.

/// A grant that answers an older report has waited unread; its home has given the slot to another host by then.
constexpr Duration grantValidity = std::chrono::milliseconds(200);

/// A home that has just started, or that the hosts have just learnt of, grants nothing for this time: it does not know what another one, or it itself
/// before its restart, has granted, and which requests were rejected.
constexpr Duration homeActivationDelay = std::chrono::seconds(1);

constexpr std::size_t maxWanted = 16;
constexpr Duration maxWait = std::chrono::seconds(1);
constexpr double grantDelayWeight = 0.3;

/// How long the rate of a grant is used, and how long an unused lease is kept.
constexpr Duration rateValidity = std::chrono::seconds(2);
constexpr Duration leaseIdleTime = std::chrono::seconds(30);

} // namespace

SlotLeases::SlotLeases(std::string host, const StatementTable &statements)
    : host_(std::move(host))
    , statements_(statements)
{
}

void SlotLeases::setLinks(Links links)
{
    links_ = std::move(links);
}

void SlotLeases::setHosts(std::size_t hosts, const std::vector<std::string> &candidates, TimePoint now)
{
    hostCount_ = std::max<std::size_t>(hosts, 1);
    candidates_ = RendezvousNames(candidates);
    issuer_.startAt(now + homeActivationDelay);
}

std::string SlotLeases::homeOf(std::string_view target) const
{
    const std::vector<std::string> homes = candidates_.winners(target, 1);
    return homes.empty() ? host_ : homes.front();
}

bool SlotLeases::isLimited(std::string_view target) const
{
    return statements_.find(target, StatementKind::RejectionLimit) != nullptr;
}

Duration SlotLeases::wait(std::string_view target, TimePoint now) const
{
    if (!isLimited(target)) {
        return {};
    }
    const auto found = leases_.find(target);
    if (found == leases_.end()) {
        return Lease().grantDelay;
    }
    const Lease &lease = found->second;
    if (lease.held > 0) {
        return {};
    }
    const Duration waited = isWanted(lease, now) ? now - lease.wantedSince : Duration::zero();
    return std::min(std::max(lease.grantDelay, waited), maxWait);
}

std::optional<double> SlotLeases::rate(std::string_view target, TimePoint now) const
{
    const auto found = leases_.find(target);
    const bool isKnown = found != leases_.end() && found->second.rate > 0 && now - found->second.rateAt < rateValidity && isLimited(target);
    return isKnown ? std::optional(found->second.rate) : std::nullopt;
}

SlotId SlotLeases::use(std::string_view target, TimePoint now)
{
    Lease &lease = leases_[std::string(target)];
    lease.held -= std::min<std::size_t>(lease.held, 1);
    lease.wanted -= std::min<std::size_t>(lease.wanted, 1);
    lease.running.emplace(++lastSlot_, now);
    return lastSlot_;
}

void SlotLeases::onEnded(std::string_view target, SlotId slot, TimePoint now)
{
    const auto found = leases_.find(target);
    if (found != leases_.end() && found->second.running.erase(slot) > 0) {
        report(found->first, found->second, now);
    }
}

void SlotLeases::onRejected(std::string_view target, SlotId slot, TimePoint now)
{
    if (!isLimited(target)) {
        onEnded(target, slot, now);
        return;
    }
    const auto found = leases_.try_emplace(std::string(target)).first;
    ++found->second.rejections;
    found->second.running.erase(slot);
    report(found->first, found->second, now);
}

void SlotLeases::want(std::string_view target, std::size_t count, TimePoint now)
{
    if (!isLimited(target)) {
        return;
    }
    const auto found = leases_.try_emplace(std::string(target)).first;
    Lease &lease = found->second;
    if (!isWanted(lease, now)) {
        lease.wantedSince = now;
        lease.answeredAt = now;
    }
    lease.wanted = std::min(count, maxWanted);
    lease.wantedAt = now;
    reportIfChanged(found->first, lease, now);
    if (lease.held == 0 && isHomeSilent(lease, now)) {
        takeOwnShare(found->first, lease, now);
    }
}

std::size_t SlotLeases::expected(std::string_view target, TimePoint now) const
{
    const auto found = leases_.find(target);
    if (found == leases_.end()) {
        return 0;
    }
    return found->second.held + (isWanted(found->second, now) ? found->second.wanted : 0);
}

void SlotLeases::returnUnused(TimePoint now)
{
    for (auto &[target, lease] : leases_) {
        if (lease.held == 0) {
            continue;
        }
        counts_.returned += lease.held;
        lease.held = 0;
        report(target, lease, now);
    }
}

void SlotLeases::onGrant(const std::string &home, const SlotGrant &grant, TimePoint now)
{
    const auto found = leases_.find(grant.target);
    if (found == leases_.end() || found->second.home != home) {
        return;
    }
    Lease &lease = found->second;
    lease.answeredAt = now;
    lease.rate = grant.rate;
    lease.rateAt = now;
    // The home takes a grant that comes after a later one for lost.
    if (grant.id <= lease.lastGrant || now - reportTime(grant) > grantValidity) {
        return;
    }
    lease.lastGrant = grant.id;
    ++lease.held;
    ++counts_.granted;
    if (isWanted(lease, now)) {
        const double delay = toSeconds(now - lease.wantedSince);
        lease.grantDelay = fromSeconds((1 - grantDelayWeight) * toSeconds(lease.grantDelay) + grantDelayWeight * delay);
        lease.wantedSince = now;
    }
}

void SlotLeases::onReport(const std::string &host, const SlotReport &report, TimePoint now)
{
    deliver(issuer_.onReport(host, report, now), now);
}

void SlotLeases::onTick(TimePoint now)
{
    for (auto &[target, lease] : leases_) {
        const Duration age = now - lease.reportedAt;
        const bool isRepeatDue = isWanted(lease, now) ? age >= wantedReportInterval : !lease.running.empty() && age >= usedReportInterval;
        const bool hasVerdicts = unverified(lease, now) < lease.reported.unverified;
        const bool hasLapsedWish = lease.reported.wanted > 0 && !isWanted(lease, now);
        if (isRepeatDue || hasVerdicts || hasLapsedWish) {
            report(target, lease, now);
        }
    }
    std::erase_if(leases_, [this, now](const auto &entry) {
        const Lease &lease = entry.second;
        const bool isIdle = lease.running.empty() && lease.held == 0 && !isWanted(lease, now);
        return isIdle && (now - lease.reportedAt > leaseIdleTime || !isLimited(entry.first));
    });
    deliver(issuer_.onTick(now), now);
}

std::optional<TimePoint> SlotLeases::nextEvent(TimePoint now) const
{
    EarliestTime next(now);
    next.consider(issuer_.nextEvent(now));
    for (const auto &[target, lease] : leases_) {
        for (const auto &[slot, sentAt] : lease.running) {
            next.consider(sentAt + verdictTime);
        }
        if (isWanted(lease, now)) {
            next.consider(lease.reportedAt + wantedReportInterval);
            next.consider(lease.wantedAt + wishTime);
        }
    }
    return next.value();
}

std::size_t SlotLeases::unverified(const Lease &lease, TimePoint now)
{
    return lease.held + static_cast<std::size_t>(std::count_if(lease.running.begin(), lease.running.end(), [now](const auto &entry) {
               return now - entry.second < verdictTime;
           }));
}

bool SlotLeases::isWanted(const Lease &lease, TimePoint now)
{
    return lease.wanted > 0 && now - lease.wantedAt < wishTime;
}

bool SlotLeases::isHomeSilent(const Lease &lease, TimePoint now)
{
    return now - lease.answeredAt >= homeTimeout;
}

void SlotLeases::reportIfChanged(const std::string &target, Lease &lease, TimePoint now)
{
    if (lease.wanted > lease.reported.wanted || lease.home != homeOf(target) || now - lease.reportedAt >= wantedReportInterval) {
        report(target, lease, now);
    }
}

void SlotLeases::report(const std::string &target, Lease &lease, TimePoint now)
{
    const TargetStatement *limit = statements_.find(target, StatementKind::RejectionLimit);
    if (limit == nullptr) {
        return;
    }
    if (std::string home = homeOf(target); home != lease.home) {
        lease.home = std::move(home);
        lease.lastGrant = 0;
        lease.held = 0;
        lease.answeredAt = now;
    }
    lastSequence_ = std::max(lastSequence_ + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    lease.reported = {.target = target,
                      .incarnation = limit->incarnation,
                      .rejectionLimit = limit->value,
                      .sequence = lastSequence_,
                      .wanted = static_cast<std::uint32_t>(isWanted(lease, now) ? lease.wanted : 0),
                      .inUse = static_cast<std::uint32_t>(lease.held + lease.running.size()),
                      .unverified = static_cast<std::uint32_t>(unverified(lease, now)),
                      .rejections = lease.rejections,
                      .lastGrant = lease.lastGrant};
    lease.reportedAt = now;
    if (lease.home == host_) {
        deliver(issuer_.onReport(host_, lease.reported, now), now);
    } else {
        links_.report(lease.home, lease.reported);
    }
}

void SlotLeases::deliver(const std::vector<SlotIssuer::Grant> &grants, TimePoint now)
{
    for (const auto &[host, grant] : grants) {
        if (host == host_) {
            onGrant(host, grant, now);
        } else {
            links_.grant(host, grant);
        }
    }
}

/// Reports are numbered by this host's clock.
TimePoint SlotLeases::reportTime(const SlotGrant &grant)
{
    return TimePoint(Duration(static_cast<Duration::rep>(grant.report)));
}

/// Hosts take their shares at different times, also if they lose the home at the same moment.
void SlotLeases::takeOwnShare(const std::string &target, Lease &lease, TimePoint now)
{
    const double rate = lease.reported.rejectionLimit * ownShareFraction;
    const Duration interval = fromSeconds(static_cast<double>(hostCount_) / std::max(rate, minOwnShareRate));
    const auto turn = static_cast<Duration::rep>(rendezvousId(host_ + target) % static_cast<std::uint64_t>(interval.count()));
    if (lease.ownShareAt < lease.answeredAt) {
        lease.ownShareAt = now + Duration(turn);
    }
    if (now >= lease.ownShareAt) {
        lease.ownShareAt = now + interval;
        ++lease.held;
        ++counts_.own;
    }
}

} // namespace Lovageloft

#include "decision/slot_leases.h"

#include <algorithm>
#include <utility>

#include "decision/earliest_time.h"

namespace Lovageloft
{

namespace
{

/// An undecided request that was abandoned may have been rejected at that moment, and rejections count for a second.
constexpr Duration undecidedTime = std::chrono::milliseconds(1'100);

/// Bound of the time for which an accepted request that was abandoned is taken to go on.
constexpr Duration maxAbandonedTime = std::chrono::milliseconds(500);

/// How long the longest time to a rejection is remembered. Before it has passed, only a longer one takes its place.
constexpr Duration rejectionTimeValidity = std::chrono::seconds(60);

constexpr double serviceTimeWeight = 0.2;

/// Sockets are read between two looks at the clock that are this far apart.
constexpr Duration minTickInterval = std::chrono::milliseconds(1);

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
    issuer_.retainTargets([this](std::string_view target) { return homeOf(target) == host_; });
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

SlotId SlotLeases::use(std::string_view target)
{
    Lease &lease = leases_[std::string(target)];
    lease.held -= std::min<std::size_t>(lease.held, 1);
    lease.wanted -= std::min<std::size_t>(lease.wanted, 1);
    lease.running[++lastSlot_].probe = std::exchange(lease.heldProbe, 0);
    return lastSlot_;
}

SlotLeases::Running *SlotLeases::findRunning(std::string_view target, SlotId slot)
{
    const auto lease = leases_.find(target);
    if (lease == leases_.end()) {
        return nullptr;
    }
    const auto running = lease->second.running.find(slot);
    return running != lease->second.running.end() ? &running->second : nullptr;
}

void SlotLeases::onSent(std::string_view target, SlotId slot, TimePoint now)
{
    if (Running *running = findRunning(target, slot)) {
        running->sentAt = now;
    }
}

void SlotLeases::onAccepted(std::string_view target, SlotId slot, TimePoint now)
{
    Running *running = findRunning(target, slot);
    if (running == nullptr || running->isAccepted) {
        return;
    }
    const auto lease = leases_.find(target);
    accept(lease->second, *running);
    report(lease->first, lease->second, now);
}

bool SlotLeases::isUndecided(std::string_view target, SlotId slot)
{
    const Running *running = findRunning(target, slot);
    return running != nullptr && running->sentAt && !running->isAccepted;
}

void SlotLeases::onEnded(std::string_view target, SlotId slot, SlotEnd end, TimePoint now)
{
    Running *running = findRunning(target, slot);
    if (running == nullptr) {
        return;
    }
    const auto found = leases_.find(target);
    Lease &lease = found->second;
    if (end == SlotEnd::Finished) {
        if (running->sentAt) {
            addServiceTime(lease, now - *running->sentAt);
        }
        accept(lease, *running);
    }
    if (end == SlotEnd::Abandoned && running->sentAt) {
        const TimePoint acceptedUntil = std::min(*running->sentAt + lease.serviceTime, now + maxAbandonedTime);
        running->abandonedUntil = running->isAccepted ? acceptedUntil : now + undecidedTime;
    }
    if (running->abandonedUntil.value_or(now) <= now) {
        lease.running.erase(slot);
    }
    report(found->first, lease, now);
}

void SlotLeases::onRejected(std::string_view target, SlotId slot, TimePoint now)
{
    const auto found = leases_.try_emplace(std::string(target)).first;
    Lease &lease = found->second;
    if (const Running *running = findRunning(target, slot); running != nullptr && running->sentAt) {
        addRejectionTime(lease, now - *running->sentAt, now);
    }
    ++lease.rejections;
    lease.running.erase(slot);
    report(found->first, lease, now);
}

/// The request has been accepted by its target.
void SlotLeases::accept(Lease &lease, Running &running)
{
    running.isAccepted = true;
    lease.acceptedProbe = std::max(lease.acceptedProbe, running.probe);
}

void SlotLeases::addServiceTime(Lease &lease, Duration time)
{
    const double before = toSeconds(lease.serviceTime);
    const double weight = before > 0 ? serviceTimeWeight : 1;
    lease.serviceTime = fromSeconds((1 - weight) * before + weight * toSeconds(time));
}

void SlotLeases::addRejectionTime(Lease &lease, Duration time, TimePoint now)
{
    if (time >= lease.rejectionTime || now - lease.rejectionTimeAt > rejectionTimeValidity) {
        lease.rejectionTime = std::max(time, Duration(1));
        lease.rejectionTimeAt = now;
    }
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
        lease.heldProbe = 0;
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
    lease.acceptanceTime = grant.acceptanceTime;
    // The home takes a grant that comes after a later one for lost.
    if (grant.id <= lease.lastGrant || now - reportTime(grant) > grantValidity) {
        return;
    }
    lease.lastGrant = grant.id;
    ++lease.held;
    ++counts_.granted;
    if (grant.isProbe) {
        lease.heldProbe = grant.id;
    }
    if (isWanted(lease, now)) {
        const double delay = toSeconds(now - lease.wantedSince);
        lease.grantDelay = fromSeconds((1 - grantDelayWeight) * toSeconds(lease.grantDelay) + grantDelayWeight * delay);
        lease.wantedSince = now;
    }
}

void SlotLeases::onReport(const std::string &host, const SlotReport &report, TimePoint now)
{
    if (homeOf(report.target) != host_) {
        return; // The sender doesn't know of the newest hosts yet, and another home grants slots.
    }
    deliver(issuer_.onReport(host, report, now), now);
}

void SlotLeases::onTick(TimePoint now)
{
    for (auto &[target, lease] : leases_) {
        const Duration age = now - lease.reportedAt;
        const bool isRepeatDue = isWanted(lease, now) ? age >= wantedReportInterval : !lease.running.empty() && age >= usedReportInterval;
        const bool hasChanged = updateRunning(lease, now);
        const bool hasLapsedWish = lease.reported.wanted > 0 && !isWanted(lease, now);
        if (isRepeatDue || hasChanged || hasLapsedWish) {
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
        for (const auto &[slot, running] : lease.running) {
            if (running.abandonedUntil) {
                next.consider(*running.abandonedUntil);
            } else if (running.quietAt) {
                next.consider(*running.quietAt + minTickInterval);
            } else if (running.sentAt && lease.acceptanceTime > Duration::zero()) {
                next.consider(*running.sentAt + lease.acceptanceTime);
            }
        }
        if (isWanted(lease, now)) {
            next.consider(lease.reportedAt + wantedReportInterval);
            next.consider(lease.wantedAt + wishTime);
        }
    }
    return next.value();
}

/// Requests that may still be rejected, among them those that are yet to be sent.
std::size_t SlotLeases::undecided(const Lease &lease)
{
    const auto isUndecided = [](const auto &entry) { return !entry.second.isAccepted; };
    return lease.held + static_cast<std::size_t>(std::count_if(lease.running.begin(), lease.running.end(), isUndecided));
}

std::uint64_t SlotLeases::undecidedProbe(const Lease &lease)
{
    std::uint64_t newest = lease.heldProbe;
    for (const auto &[slot, running] : lease.running) {
        newest = std::max(newest, running.isAccepted || running.abandonedUntil ? 0 : running.probe);
    }
    return newest;
}

/// Accepts the requests that were not rejected in time, and drops the abandoned ones whose time is over. Returns whether anything has changed.
bool SlotLeases::updateRunning(Lease &lease, TimePoint now)
{
    bool hasChanged = false;
    for (auto &[slot, running] : lease.running) {
        const bool isQuiet = lease.acceptanceTime > Duration::zero() && running.sentAt && now - *running.sentAt >= lease.acceptanceTime;
        if (running.isAccepted || running.abandonedUntil || !isQuiet) {
            continue;
        }
        // A rejection may have come while this host stood still, and is read before the next look at the clock.
        if (!running.quietAt) {
            running.quietAt = now;
        } else if (now - *running.quietAt >= minTickInterval) {
            accept(lease, running);
            hasChanged = true;
        }
    }
    return std::erase_if(lease.running, [now](const auto &entry) { return entry.second.abandonedUntil && now >= *entry.second.abandonedUntil; }) > 0
        || hasChanged;
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
        lease.heldProbe = 0;
        lease.acceptedProbe = 0;
        lease.acceptanceTime = {};
        lease.answeredAt = now;
    }
    lastSequence_ = std::max(lastSequence_ + 1, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    lease.reported = {.target = target,
                      .incarnation = limit->incarnation,
                      .rejectionLimit = limit->value,
                      .sequence = lastSequence_,
                      .wanted = static_cast<std::uint32_t>(isWanted(lease, now) ? lease.wanted : 0),
                      .inUse = static_cast<std::uint32_t>(lease.held + lease.running.size()),
                      .undecided = static_cast<std::uint32_t>(undecided(lease)),
                      .rejections = lease.rejections,
                      .rejectionTime = now - lease.rejectionTimeAt <= rejectionTimeValidity ? lease.rejectionTime : Duration::zero(),
                      .lastGrant = lease.lastGrant,
                      .probe = undecidedProbe(lease),
                      .acceptedProbe = lease.acceptedProbe};
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

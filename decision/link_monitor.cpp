#include "decision/link_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr int failuresToLose = 2;
constexpr int successesToRestore = 2;

/// Targets that fail from which others of the same service or data centre are probed, and from which their links are presumed lost.
constexpr std::size_t failingLinksToSuspect = 2;
constexpr std::size_t failingLinksToPresume = 4;

/// For how long a target counts as down after another host could not reach it either.
constexpr Duration downTime = std::chrono::milliseconds(500);

/// Interval between two probes of one target. Shorter once a probe has succeeded, to restore the link soon.
constexpr Duration probeInterval = std::chrono::milliseconds(750);
constexpr Duration confirmationInterval = std::chrono::milliseconds(200);

/// Probes per call of dueProbes(): while no probe succeeds a few targets tell enough, afterwards all links have to be restored.
constexpr std::size_t probesWhileLost = 2;
constexpr std::size_t probesWhileRestoring = 32;

/// Further probes, of targets to which no attempt has failed.
constexpr std::size_t probesOfUntried = 2;

constexpr std::string_view allTargets = "all";

std::string scopeLabel(bool isAll, bool isService, const std::string &name)
{
    if (isAll) {
        return std::string(allTargets);
    }
    return (isService ? "service " : "data_centre ") + name;
}

} // namespace

void LinkMonitor::setTargets(std::span<const MonitoredTarget> targets)
{
    std::map<std::string, Link, std::less<>> links;
    for (const MonitoredTarget &target : targets) {
        const auto known = links_.find(target.id);
        Link link = known != links_.end() ? known->second : Link{};
        link.service = target.service;
        link.dataCentre = target.dataCentre;
        links.emplace(target.id, std::move(link));
    }
    links_ = std::move(links);
    countLinks();
    if (suspectCount_ == 0 && lostCount_ == 0) {
        lostScopes_.clear();
    }
}

void LinkMonitor::onConnectResult(std::string_view id, ConnectResult result, TimePoint now)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    Link &link = found->second;
    const bool wasLost = link.isLost;
    if (result == ConnectResult::Connected) {
        recordSuccess(link, now);
    } else {
        recordFailure(link, result, now);
    }
    if (link.isLost != wasLost) {
        noteTargetChange(found->first, link, now);
    }
    const bool hadFailures = suspectCount_ > 0 || lostCount_ > 0 || !lostScopes_.empty();
    if (hadFailures || result != ConnectResult::Connected) {
        countLinks();
        updateScopes(now);
    }
}

void LinkMonitor::recordFailure(Link &link, ConnectResult result, TimePoint now)
{
    link.lastResult = result;
    link.failedAt = now;
    link.successes = 0;
    ++link.failures;
    link.isLost = link.isLost || link.failures >= failuresToLose;
    link.nextProbe = link.isLost ? now + probeInterval : now;
    lastFailure_ = result;
}

void LinkMonitor::recordSuccess(Link &link, TimePoint now)
{
    link.lastResult = ConnectResult::Connected;
    link.reachedAt = now;
    link.connectedAt = now;
    link.failures = 0;
    if (!link.isLost) {
        return;
    }
    link.nextProbe = now + confirmationInterval;
    if (++link.successes >= successesToRestore) {
        link.isLost = false;
        link.isSilent = false;
    }
}

void LinkMonitor::countLinks()
{
    lostCount_ = 0;
    suspectCount_ = 0;
    for (const auto &[id, link] : links_) {
        lostCount_ += link.isLost ? 1 : 0;
        suspectCount_ += link.failures > 0 ? 1 : 0;
    }
}

void LinkMonitor::onAnswered(std::string_view id, TimePoint now)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    found->second.reachedAt = now;
    found->second.isSilent = false;
    if (!lostScopes_.empty()) {
        updateScopes(now);
    }
}

void LinkMonitor::onUnreachableFromPeer(std::string_view id, TimePoint now)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    found->second.downUntil = now + downTime;
    updateScopes(now);
}

bool LinkMonitor::isLost(std::string_view id, TimePoint now) const
{
    if (lostCount_ == 0 && lostScopes_.empty()) {
        return false;
    }
    const auto found = links_.find(id);
    if (found == links_.end() || now < found->second.downUntil) {
        return false;
    }
    return found->second.isLost || lostScopeOf(found->second) != nullptr;
}

bool LinkMonitor::isOwnLinkLost(std::string_view id) const
{
    const auto found = links_.find(id);
    return found != links_.end() && found->second.isLost;
}

bool LinkMonitor::isPresumedLost(std::string_view id) const
{
    const auto found = links_.find(id);
    return found != links_.end() && lostScopeOf(found->second) != nullptr;
}

const LinkMonitor::Scope *LinkMonitor::lostScopeOf(const Link &link) const
{
    const auto found = std::find_if(lostScopes_.begin(), lostScopes_.end(), [&link](const auto &entry) { return contains(entry.second, link); });
    return found != lostScopes_.end() ? &found->second : nullptr;
}

void LinkMonitor::onSilent(std::string_view id)
{
    const auto found = links_.find(id);
    if (found != links_.end()) {
        found->second.isSilent = true;
    }
}

bool LinkMonitor::mayUseEstablished(std::string_view id, TimePoint now) const
{
    if (!isLost(id, now)) {
        return true;
    }
    const Link &link = links_.find(id)->second;
    const Scope *scope = lostScopeOf(link);
    const ConnectResult cause = link.failures == 0 && scope != nullptr ? scope->cause : link.lastResult;
    return !link.isSilent && cause != ConnectResult::TimedOut;
}

bool LinkMonitor::isAnyScopeLost() const
{
    return !lostScopes_.empty();
}

std::size_t LinkMonitor::lostCount() const
{
    return lostCount_;
}

std::vector<std::string> LinkMonitor::dueProbes(TimePoint now)
{
    std::vector<std::string> due;
    if (lostCount_ == 0 && suspectCount_ == 0 && lostScopes_.empty()) {
        return due;
    }
    std::vector<std::pair<TimePoint, std::string_view>> candidates;
    bool isRestoring = false;
    for (const auto &[id, link] : links_) {
        if (!link.isLost && link.failures == 0) {
            continue;
        }
        isRestoring = isRestoring || link.successes > 0;
        candidates.emplace_back(link.nextProbe, id);
    }
    isRestoring = isRestoring || lostScopes_.empty();
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), isRestoring ? probesWhileRestoring : probesWhileLost));
    for (const auto &[at, id] : candidates) {
        if (at > now) {
            continue;
        }
        links_.find(id)->second.nextProbe = now + probeInterval;
        due.emplace_back(id);
    }
    std::size_t left = probesOfUntried;
    for (const std::string_view id : untriedTargets(now)) {
        Link &link = links_.find(id)->second;
        if (left == 0 || link.nextProbe > now) {
            break;
        }
        --left;
        link.nextProbe = now + probeInterval;
        due.emplace_back(id);
    }
    return due;
}

std::vector<LinkChange> LinkMonitor::takeChanges()
{
    return std::exchange(changes_, {});
}

bool LinkMonitor::contains(const Scope &scope, const Link &link)
{
    return scope.field == nullptr || link.*scope.field == scope.name;
}

/// Scopes that contain a link to a target to which the newest attempt failed.
std::vector<LinkMonitor::Scope> LinkMonitor::candidateScopes() const
{
    std::set<std::string> services;
    std::set<std::string> dataCentres;
    for (const auto &[id, link] : links_) {
        if (link.failures > 0) {
            services.insert(link.service);
            dataCentres.insert(link.dataCentre);
        }
    }
    std::vector<Scope> scopes{{nullptr, {}, lastFailure_, {}}};
    for (const std::string &service : services) {
        scopes.push_back({&Link::service, service, lastFailure_, {}});
    }
    for (const std::string &dataCentre : dataCentres) {
        scopes.push_back({&Link::dataCentre, dataCentre, lastFailure_, {}});
    }
    return scopes;
}

void LinkMonitor::updateScopes(TimePoint now)
{
    for (Scope &scope : candidateScopes()) {
        const std::string label = scopeLabel(scope.field == nullptr, scope.field == &Link::service, scope.name);
        if (lostScopes_.contains(label) || !mustPresumeLost(scope, now)) {
            continue;
        }
        scope.lostAt = now;
        changes_.push_back(describe(label, scope, true, now));
        lostScopes_.emplace(label, scope);
    }
    std::erase_if(lostScopes_, [&](const auto &entry) {
        const bool isRestored = !isStillLost(entry.second, now);
        if (isRestored) {
            changes_.push_back(describe(entry.first, entry.second, false, now));
        }
        return isRestored;
    });
}

bool LinkMonitor::mustPresumeLost(const Scope &scope, TimePoint now) const
{
    const auto size = std::count_if(links_.begin(), links_.end(), [&scope](const auto &entry) { return contains(scope, entry.second); });
    const std::size_t needed = std::clamp(static_cast<std::size_t>(size), failingLinksToSuspect, failingLinksToPresume);
    return countFailing(scope, now) >= needed;
}

bool LinkMonitor::isSuspicious(const Scope &scope, TimePoint now) const
{
    return countFailing(scope, now) >= failingLinksToSuspect;
}

/// Targets in the scope to which the newest attempt failed and began after any target there was last reached. Those that are down don't count.
std::size_t LinkMonitor::countFailing(const Scope &scope, TimePoint now) const
{
    std::optional<TimePoint> reachedAt;
    for (const auto &[id, link] : links_) {
        if (contains(scope, link)) {
            reachedAt = std::max(reachedAt, link.reachedAt);
        }
    }
    const auto failing = std::count_if(links_.begin(), links_.end(), [&](const auto &entry) {
        const Link &link = entry.second;
        if (!contains(scope, link) || link.failures == 0 || now < link.downUntil) {
            return false;
        }
        const Duration attemptTime = link.lastResult == ConnectResult::TimedOut ? linkConnectTimeout : Duration::zero();
        return !reachedAt || *link.failedAt - attemptTime > *reachedAt;
    });
    return static_cast<std::size_t>(failing);
}

/// Targets in suspicious or lost scopes to which no attempt has failed, least recently probed first: they tell whether the whole scope is lost.
std::vector<std::string_view> LinkMonitor::untriedTargets(TimePoint now) const
{
    std::vector<Scope> scopes = candidateScopes();
    std::erase_if(scopes, [&](const Scope &scope) { return !isSuspicious(scope, now); });
    for (const auto &[label, scope] : lostScopes_) {
        scopes.push_back(scope);
    }
    std::vector<std::pair<TimePoint, std::string_view>> untried;
    for (const auto &[id, link] : links_) {
        const bool isInScope = std::any_of(scopes.begin(), scopes.end(), [&link = link](const Scope &scope) { return contains(scope, link); });
        if (isInScope && link.failures == 0) {
            untried.emplace_back(link.nextProbe, id);
        }
    }
    std::sort(untried.begin(), untried.end());
    std::vector<std::string_view> ids;
    std::transform(untried.begin(), untried.end(), std::back_inserter(ids), [](const auto &entry) { return entry.second; });
    return ids;
}

bool LinkMonitor::isStillLost(const Scope &scope, TimePoint now) const
{
    bool hasLostLink = false;
    for (const auto &[id, link] : links_) {
        if (!contains(scope, link)) {
            continue;
        }
        // Established connections may outlive a link that refuses new ones, but not one on which connections hang.
        const std::optional<TimePoint> &reachedAt = scope.cause == ConnectResult::TimedOut ? link.reachedAt : link.connectedAt;
        if (reachedAt > scope.lostAt) {
            return false;
        }
        hasLostLink = hasLostLink || (link.failures > 0 && now >= link.downUntil);
    }
    return hasLostLink;
}

void LinkMonitor::noteTargetChange(const std::string &id, const Link &link, TimePoint now)
{
    LinkChange change{"target " + id, link.isLost, link.lastResult, link.isLost ? 1U : 0U, 1, std::nullopt};
    if (link.reachedAt) {
        change.sinceReached = now - *link.reachedAt;
    }
    changes_.push_back(std::move(change));
}

LinkChange LinkMonitor::describe(const std::string &label, const Scope &scope, bool isLost, TimePoint now) const
{
    LinkChange change{label, isLost, isLost ? lastFailure_ : ConnectResult::Connected, 0, 0, std::nullopt};
    std::optional<TimePoint> reachedAt;
    for (const auto &[id, link] : links_) {
        if (!contains(scope, link)) {
            continue;
        }
        ++change.targets;
        change.lostTargets += link.failures > 0 ? 1 : 0;
        reachedAt = std::max(reachedAt, link.reachedAt);
    }
    if (reachedAt) {
        change.sinceReached = now - *reachedAt;
    }
    return change;
}

} // namespace Lovageloft

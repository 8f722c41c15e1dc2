#include "decision/link_monitor.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr int successesToRestore = 2;

/// Lost links from which those to other targets of the same service or data centre are presumed lost.
constexpr std::ptrdiff_t lostLinksToPresume = 2;

/// For how long a target counts as down after another host could not reach it either.
constexpr Duration downTime = std::chrono::seconds(1);

/// Interval between two probes of one target. Shorter once a probe has succeeded, to restore the link soon.
constexpr Duration probeInterval = std::chrono::milliseconds(750);
constexpr Duration confirmationInterval = std::chrono::milliseconds(200);

/// Probes per call of dueProbes(): while no probe succeeds a few targets tell enough, afterwards all links have to be restored.
constexpr std::size_t probesWhileLost = 2;
constexpr std::size_t probesWhileRestoring = 32;

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
    lostCount_ = static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.isLost; }));
    if (lostCount_ == 0) {
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
    link.lastResult = result;
    if (result != ConnectResult::Connected) {
        link.successes = 0;
        link.failedAt = now;
        link.nextProbe = now + probeInterval;
        lastFailure_ = result;
        if (!link.isLost) {
            setLost(found->first, link, true, now);
        }
        updateScopes(now);
        return;
    }
    link.reachedAt = now;
    link.connectedAt = now;
    if (!link.isLost) {
        if (!lostScopes_.empty()) {
            updateScopes(now);
        }
        return;
    }
    link.nextProbe = now + confirmationInterval;
    if (++link.successes >= successesToRestore) {
        setLost(found->first, link, false, now);
    }
    updateScopes(now);
}

void LinkMonitor::onAnswered(std::string_view id, TimePoint now)
{
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    found->second.reachedAt = now;
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
    if (lostCount_ == 0) {
        return false;
    }
    const auto found = links_.find(id);
    if (found == links_.end() || now < found->second.downUntil) {
        return false;
    }
    const Link &link = found->second;
    return link.isLost || std::any_of(lostScopes_.begin(), lostScopes_.end(), [&link](const auto &entry) { return contains(entry.second, link); });
}

bool LinkMonitor::areAllLost() const
{
    return lostScopes_.contains(std::string(allTargets));
}

std::size_t LinkMonitor::lostCount() const
{
    return lostCount_;
}

std::vector<std::string> LinkMonitor::dueProbes(TimePoint now)
{
    std::vector<std::string> due;
    if (lostCount_ == 0) {
        return due;
    }
    std::vector<std::pair<TimePoint, std::string_view>> candidates;
    bool isRestoring = false;
    for (const auto &[id, link] : links_) {
        if (!link.isLost) {
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

/// Scopes that contain a lost link.
std::vector<LinkMonitor::Scope> LinkMonitor::candidateScopes() const
{
    std::set<std::string> services;
    std::set<std::string> dataCentres;
    for (const auto &[id, link] : links_) {
        if (link.isLost) {
            services.insert(link.service);
            dataCentres.insert(link.dataCentre);
        }
    }
    std::vector<Scope> scopes{{nullptr, {}, {}}};
    for (const std::string &service : services) {
        scopes.push_back({&Link::service, service, {}});
    }
    for (const std::string &dataCentre : dataCentres) {
        scopes.push_back({&Link::dataCentre, dataCentre, {}});
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
    std::optional<TimePoint> reachedAt;
    for (const auto &[id, link] : links_) {
        if (contains(scope, link)) {
            reachedAt = std::max(reachedAt, link.reachedAt);
        }
    }
    const auto lost = std::count_if(links_.begin(), links_.end(), [&](const auto &entry) {
        const Link &link = entry.second;
        return contains(scope, link) && link.isLost && now >= link.downUntil && link.failedAt > reachedAt;
    });
    return lost >= lostLinksToPresume;
}

bool LinkMonitor::isStillLost(const Scope &scope, TimePoint now) const
{
    bool hasLostLink = false;
    for (const auto &[id, link] : links_) {
        if (!contains(scope, link)) {
            continue;
        }
        if (link.connectedAt > scope.lostAt) {
            return false;
        }
        hasLostLink = hasLostLink || (link.isLost && now >= link.downUntil);
    }
    return hasLostLink;
}

void LinkMonitor::setLost(const std::string &id, Link &link, bool isLost, TimePoint now)
{
    link.isLost = isLost;
    link.successes = 0;
    lostCount_ = isLost ? lostCount_ + 1 : lostCount_ - 1;
    LinkChange change{"target " + id, isLost, link.lastResult, isLost ? 1U : 0U, 1, std::nullopt};
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
        change.lostTargets += link.isLost ? 1 : 0;
        reachedAt = std::max(reachedAt, link.reachedAt);
    }
    if (reachedAt) {
        change.sinceReached = now - *reachedAt;
    }
    return change;
}

} // namespace Lovageloft

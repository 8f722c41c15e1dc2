#include "tests/decision/cut_model.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr Duration roundTrip = std::chrono::milliseconds(1);
constexpr Duration step = std::chrono::milliseconds(10);
constexpr Duration tickInterval = std::chrono::milliseconds(250);
constexpr std::size_t services = 2;

} // namespace

CutModel::CutModel(const Options &options)
    : options_(options)
    , random_(options.seed)
    , isDown_(options.targets)
{
    now_ += std::chrono::hours(1);
    std::vector<MonitoredTarget> monitored;
    std::vector<std::string> dataCentres;
    for (std::size_t i = 0; i < options.dataCentres; ++i) {
        dataCentres.push_back("dc-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < options.targets; ++i) {
        targets_.push_back("target-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < options.targets; ++i) {
        monitored.push_back({targets_[i], i % services == 0 ? "a" : "b", dataCentres[i % options.dataCentres]});
    }
    std::vector<RelayHost> all;
    for (std::size_t i = 0; i < options.hosts; ++i) {
        all.push_back({"host-" + std::to_string(i), dataCentres[dataCentreOf(i)]});
        hostIndex_.emplace(all.back().name, i);
    }
    for (std::size_t i = 0; i < options.hosts; ++i) {
        hosts_.push_back({all[i].name, PathPlanner(Random(random_())), std::vector<ModelLink>(options.targets, ModelLink::Up), 0, 0});
        std::vector<RelayHost> others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        hosts_[i].planner.links().setTargets(monitored);
        if (options.canRelay) {
            hosts_[i].planner.setHosts(others, all[i].dataCentre);
        }
    }
}

void CutModel::setLinks(std::size_t host, ModelLink link, const std::function<bool(std::size_t target)> &isMeant)
{
    for (std::size_t target = 0; target < options_.targets; ++target) {
        if (isMeant(target)) {
            hosts_[host].links[target] = link;
        }
    }
}

void CutModel::setTargetDown(std::size_t target, bool isDown)
{
    isDown_[target] = isDown;
}

std::size_t CutModel::dataCentreOf(std::size_t host) const
{
    return host % options_.dataCentres;
}

std::vector<CutModel::Count> CutModel::run(Duration time, double requestsPerSecond)
{
    std::vector<Count> counts(options_.hosts);
    const auto requestsPerThousandSteps = static_cast<std::size_t>(requestsPerSecond * 1'000 * toSeconds(step));
    const TimePoint end = now_ + time;
    TimePoint nextTick = now_;
    while (now_ < end) {
        for (std::size_t host = 0; host < options_.hosts; ++host) {
            if (randomBelow(random_, 1'000) < requestsPerThousandSteps) {
                request(host, counts[host]);
            }
            if (now_ >= nextTick) {
                probe(host);
            }
        }
        nextTick = now_ >= nextTick ? nextTick + tickInterval : nextTick;
        now_ += step;
    }
    return counts;
}

bool CutModel::believesLost(std::size_t host) const
{
    return hosts_[host].planner.links().lostCount() > 0 || hosts_[host].planner.links().isAnyScopeLost();
}

std::size_t CutModel::changes(std::size_t host) const
{
    return hosts_[host].changes;
}

std::vector<std::size_t> CutModel::takeRelayed()
{
    std::vector<std::size_t> relayed;
    for (Host &host : hosts_) {
        relayed.push_back(std::exchange(host.relayed, 0));
    }
    return relayed;
}

void CutModel::request(std::size_t host, Count &count)
{
    const std::size_t target = randomBelow(random_, options_.targets);
    PathPlanner &planner = hosts_[host].planner;
    PathAttempts attempts;
    attempts.targetId = targets_[target];
    attempts.startedAt = now_;
    Duration elapsed{};
    bool isServed = false;
    bool isRelayed = false;
    while (!isServed) {
        const auto path = planner.nextPath(attempts, now_ + elapsed);
        if (!path) {
            break;
        }
        if (path->relay.empty()) {
            isServed = connect(host, target, now_ + elapsed, elapsed);
            continue;
        }
        std::string suggestion;
        const RelayResult result = relay(hostIndex_.at(path->relay), target, now_ + elapsed, elapsed, suggestion);
        planner.onRelayResult(attempts, path->relay, result, suggestion, now_ + elapsed);
        isServed = result == RelayResult::Connected;
        isRelayed = isServed;
    }
    ++count.sent;
    count.served += isServed ? 1 : 0;
    count.relayed += isRelayed ? 1 : 0;
    count.longestPath = std::max(count.longestPath, elapsed);
    hosts_[host].changes += planner.links().takeChanges().size();
}

ModelLink CutModel::linkOf(std::size_t host, std::size_t target) const
{
    const ModelLink link = hosts_[host].links[target];
    return link == ModelLink::Up && isDown_[target] ? ModelLink::Refuses : link;
}

RelayResult CutModel::relay(std::size_t host, std::size_t target, TimePoint now, Duration &elapsed, std::string &suggestion)
{
    elapsed += roundTrip;
    const LinkMonitor &links = hosts_[host].planner.links();
    suggestion = hosts_[host].planner.suggestion(now);
    if (links.isPresumedLost(targets_[target])) {
        return RelayResult::Refused;
    }
    if (links.isOwnLinkLost(targets_[target])) {
        return RelayResult::TargetUnreachable;
    }
    if (connect(host, target, now, elapsed)) {
        ++hosts_[host].relayed;
        return RelayResult::Connected;
    }
    return links.isPresumedLost(targets_[target]) ? RelayResult::Refused : RelayResult::TargetUnreachable;
}

bool CutModel::connect(std::size_t host, std::size_t target, TimePoint now, Duration &elapsed)
{
    const ModelLink link = linkOf(host, target);
    const Duration taken = link == ModelLink::Hangs ? linkConnectTimeout : roundTrip;
    elapsed += taken;
    LinkMonitor &links = hosts_[host].planner.links();
    if (link == ModelLink::Up) {
        links.onConnectResult(targets_[target], ConnectResult::Connected, now + taken);
        links.onAnswered(targets_[target], now + taken);
        return true;
    }
    links.onConnectResult(targets_[target], link == ModelLink::Hangs ? ConnectResult::TimedOut : ConnectResult::Refused, now + taken);
    return false;
}

void CutModel::probe(std::size_t host)
{
    LinkMonitor &links = hosts_[host].planner.links();
    for (const std::string &id : links.dueProbes(now_)) {
        const auto target = static_cast<std::size_t>(std::find(targets_.begin(), targets_.end(), id) - targets_.begin());
        const ModelLink link = linkOf(host, target);
        const Duration taken = link == ModelLink::Hangs ? linkConnectTimeout : roundTrip;
        const ConnectResult failure = link == ModelLink::Hangs ? ConnectResult::TimedOut : ConnectResult::Refused;
        links.onConnectResult(id, link == ModelLink::Up ? ConnectResult::Connected : failure, now_ + taken);
    }
    hosts_[host].changes += links.takeChanges().size();
}

} // namespace Lovageloft

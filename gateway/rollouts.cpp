#include "gateway/rollouts.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/log.h"

namespace Lovageloft
{

Rollouts::Service::Service(const std::string &name, std::uint64_t process)
    : client(process)
    , coordinator(name)
{
}

Rollouts::Rollouts(std::string hostName, VersionGuard &versions, Links links)
    : hostName_(std::move(hostName))
    , versions_(versions)
    , links_(std::move(links))
    , process_(std::random_device{}())
{
}

void Rollouts::setWriter(RecordWriter writer)
{
    writer_ = std::move(writer);
}

void Rollouts::setLeaseClock(std::function<TimePoint()> leaseUntil)
{
    leaseUntil_ = std::move(leaseUntil);
}

void Rollouts::setLimits(const ExposureLimits &limits)
{
    limits_ = limits;
}

void Rollouts::setSilentTime(Duration time)
{
    silentTime_ = time;
}

void Rollouts::setHosts(const std::vector<std::string> &hosts)
{
    hosts_ = hosts;
    for (auto &[name, service] : services_) {
        service.coordinator.setHosts(hosts_, BootClock::now());
    }
}

void Rollouts::setLeader(const std::string &host)
{
    leader_ = host;
}

void Rollouts::setOrdersKnown()
{
    areOrdersKnown_ = true;
}

void Rollouts::setOrder(const std::string &name, const SeenRolloutOrder &seen)
{
    versions_.setOrder(name, seen.order.version);
    Service &service = serviceOf(name);
    service.coordinator.setOrder(seen, BootClock::now());
    if (seen.order.version.empty()) {
        service.order.reset();
    } else if (!service.order || service.order->revision != seen.revision) {
        service.order = seen;
        service.client.setOrder(seen.revision);
    }
    updateCandidates();
}

void Rollouts::removeOrder(const std::string &name)
{
    versions_.removeOrder(name);
    Service &service = serviceOf(name);
    service.coordinator.removeOrder();
    service.order.reset();
    updateCandidates();
}

void Rollouts::setRecord(const std::string &name, const RolloutRecord &record)
{
    Service &service = serviceOf(name);
    if (service.record && record.position <= service.record->position) {
        return;
    }
    const bool wasSwitching = service.record && service.record->phase == RolloutPhase::Switching && service.record->order == record.order;
    service.record = record;
    service.client.onPosition(record.position);
    service.coordinator.setRecord(record, BootClock::now());
    if (record.phase == RolloutPhase::Completed && wasSwitching) {
        versions_.setServing(name, record.version);
    }
    versions_.setSwitched(name, record.phase == RolloutPhase::Switching ? std::optional(record.version) : std::nullopt);
    writeLog(LogLevel::Info,
             "rollout_known",
             {{"service", name},
              {"version", record.version},
              {"phase", rolloutPhaseName(record.phase)},
              {"stage", std::int64_t{record.stage}},
              {"position", record.position}});
    updateCandidates();
}

void Rollouts::updateCandidates()
{
    std::set<std::string, std::less<>> candidates;
    for (const auto &[name, service] : services_) {
        const auto serving = versions_.servingVersion(name);
        if (!isRunning(service) || !service.record || service.record->order != service.order->revision || serving == service.order->order.version) {
            continue;
        }
        // A host that doesn't know of the version yet would resume its streams at another one.
        if (versions_.isNew(name, service.order->order.version)) {
            continue;
        }
        std::vector<std::string> ids = versions_.targetsOf(name, service.order->order.version);
        std::erase_if(ids, [&service = service](const std::string &id) { return service.client.excludedTargets().contains(rolloutDigest(id)); });
        std::sort(ids.begin(), ids.end(), [](const std::string &left, const std::string &right) { return rolloutDigest(left) < rolloutDigest(right); });
        const std::size_t servingTargets = serving ? versions_.targetsOf(name, *serving).size() : 0;
        ids.resize(std::min(ids.size(), planOf(service).targetCount(service.record->stage, servingTargets)));
        candidates.insert(ids.begin(), ids.end());
    }
    if (candidates != candidates_) {
        candidates_ = std::move(candidates);
        links_.onCandidates(candidates_);
    }
}

void Rollouts::tick(TimePoint now)
{
    updateCandidates();
    for (auto &[name, service] : services_) {
        const bool isSwitching = service.record && service.record->phase == RolloutPhase::Switching;
        if ((isRunning(service) || isSwitching) && now >= service.nextReport) {
            service.nextReport = now + planOf(service).reportInterval();
            report(name, service, now);
        }
        if (const auto record = service.coordinator.step(contextOf(name), now)) {
            writer_(name, *record);
        }
    }
}

void Rollouts::report(const std::string &name, Service &service, TimePoint now)
{
    RolloutReport report = service.client.makeReport(now);
    report.service = name;
    if (service.order) {
        report.progress.order = service.order->revision;
        report.progress.orderAge = service.order->seenAt ? std::optional(now - *service.order->seenAt) : std::nullopt;
        report.progress.otherInFlight = links_.countOthers(name, service.order->order.version);
    }
    report.progress.position = service.record ? service.record->position : 0;
    if (leader_ != hostName_) {
        links_.sendReport(leader_, report);
    } else if (const auto reply = onReport(hostName_, std::move(report))) {
        onReply(*reply);
    }
}

std::optional<RolloutReply> Rollouts::onReport(const std::string &host, RolloutReport &&report)
{
    const auto service = services_.find(report.service);
    if (service == services_.end()) {
        return std::nullopt;
    }
    return service->second.coordinator.onReport(host, std::move(report), contextOf(service->first), BootClock::now());
}

void Rollouts::onReply(const RolloutReply &reply)
{
    const auto service = services_.find(reply.service);
    if (service != services_.end() && service->second.client.onReply(reply)) {
        updateCandidates();
    }
}

RolloutClient *Rollouts::running(std::string_view name)
{
    const auto service = services_.find(name);
    return service != services_.end() && isRunning(service->second) ? &service->second.client : nullptr;
}

bool Rollouts::isCandidate(const Target &target) const
{
    const auto service = services_.find(target.service);
    return service != services_.end() && service->second.order && service->second.order->order.version == target.softwareVersion;
}

std::vector<Rollouts::Status> Rollouts::status() const
{
    std::vector<Status> rows;
    for (const auto &[name, service] : services_) {
        if (!service.record) {
            continue;
        }
        const RolloutRecord &record = *service.record;
        rows.push_back({name, record.version, rolloutPhaseName(record.phase), record.stage, record.position, service.client.exposed()});
    }
    return rows;
}

Rollouts::Service &Rollouts::serviceOf(const std::string &name)
{
    const auto found = services_.find(name);
    if (found != services_.end()) {
        return found->second;
    }
    Service &service = services_.emplace(std::piecewise_construct, std::forward_as_tuple(name), std::forward_as_tuple(name, process_)).first->second;
    service.coordinator.setHosts(hosts_, BootClock::now());
    return service;
}

/// Whether the ordered version is being tried, or will be as soon as the leader has taken the order up.
bool Rollouts::isRunning(const Service &service)
{
    if (!service.order) {
        return false;
    }
    const bool isCurrent = service.record && service.record->order == service.order->revision;
    return !isCurrent || service.record->phase == RolloutPhase::Running;
}

RolloutCoordinator::Context Rollouts::contextOf(const std::string &name) const
{
    RolloutCoordinator::Context context;
    context.leaseUntil = leaseUntil_();
    context.isLeading = areOrdersKnown_ && leader_ == hostName_ && BootClock::now() < context.leaseUntil;
    context.limits = limits_;
    context.hosts = hosts_.size();
    context.servingVersion = versions_.servingVersion(name);
    context.servingTargets = context.servingVersion ? versions_.targetsOf(name, *context.servingVersion).size() : 0;
    context.silentTime = silentTime_;
    return context;
}

RolloutPlan Rollouts::planOf(const Service &service) const
{
    return {limits_, service.order ? service.order->order.duration : Duration::zero(), hosts_.size()};
}

} // namespace Lovageloft

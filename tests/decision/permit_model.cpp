#include "tests/decision/permit_model.h"

#include <algorithm>
#include <array>

namespace Lovageloft
{

namespace
{

constexpr Duration stepTime = std::chrono::milliseconds(2);
constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr Duration window = std::chrono::seconds(4);
constexpr Duration settleTime = std::chrono::seconds(1);
constexpr Duration patience = std::chrono::seconds(1); ///< Of a waiting request.
constexpr Duration minMessageTime = std::chrono::microseconds(500);
constexpr Duration readyDelay = std::chrono::milliseconds(100); ///< Until a host that has started gets requests.
constexpr Duration minAnswerTime = std::chrono::milliseconds(20);
constexpr Duration answerJitter = std::chrono::milliseconds(100);
constexpr Duration serviceTime = std::chrono::milliseconds(100); ///< Of a target with a rejection limit.
constexpr Duration abandonTime = std::chrono::milliseconds(20); ///< After which a request is abandoned.
constexpr Duration downTime = std::chrono::seconds(1); ///< Of a target that has fallen over.
constexpr Duration rejectionWindow = std::chrono::seconds(1);
constexpr Duration membershipDelay = std::chrono::milliseconds(1'500); ///< Until a host that ended is no longer listed.

std::string targetName(std::size_t target)
{
    return "t" + std::to_string(target);
}

} // namespace

PermitModel::PermitModel(const Options &options)
    : options_(options)
    , random_(options.seed)
    , hosts_(options.hosts)
    , targets_(options.targets)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].name = "h" + std::to_string(i);
        start(hosts_[i]);
    }
    updateHosts();
}

void PermitModel::start(Host &host)
{
    ++host.starts;
    host.permits.reset();
    host.table = std::make_unique<StatementTable>(host.name);
    host.permits = std::make_unique<SendPermits>(host.name, *host.table);
    host.waiting.assign(targets_.size(), {});
    host.waitingCount = 0;
    setSlotLinks(indexOf(host.name));
}

void PermitModel::setSlotLinks(std::size_t host)
{
    const auto report = [this, host](const std::string &home, const SlotReport &slotReport) {
        const std::size_t to = indexOf(home);
        sendMessage(host, to, [this, host, to, slotReport] { hosts_[to].permits->slots().onReport(hosts_[host].name, slotReport, now_); });
    };
    const auto grant = [this, host](const std::string &to, const SlotGrant &slotGrant) {
        sendMessage(host, indexOf(to), [this, host, to, slotGrant] { hosts_[indexOf(to)].permits->slots().onGrant(hosts_[host].name, slotGrant, now_); });
    };
    hosts_[host].permits->slots().setLinks({report, grant});
}

void PermitModel::updateHosts()
{
    std::vector<std::string> names;
    for (const Host &host : hosts_) {
        if (isUp(host)) {
            names.push_back(host.name);
        }
    }
    for (Host &host : hosts_) {
        if (isUp(host)) {
            host.permits->setHosts(names.size(), names, now_);
        }
    }
}

bool PermitModel::isUp(const Host &host) const
{
    return now_ >= host.downUntil;
}

bool PermitModel::isRunning(const Host &host) const
{
    return isUp(host) && now_ >= host.pausedUntil;
}

bool PermitModel::chance(double probability)
{
    constexpr std::size_t resolution = 1'000'000;
    return randomBelow(random_, resolution) < static_cast<std::size_t>(probability * resolution);
}

void PermitModel::state(std::size_t target, double rate)
{
    targets_[target].rate = rate;
}

void PermitModel::stateRejections(std::size_t target, double rejections, std::size_t room)
{
    targets_[target].rejectionLimit = rejections;
    targets_[target].room = room;
}

void PermitModel::setRoom(std::size_t target, std::size_t room)
{
    targets_[target].room = room;
}

void PermitModel::pause(std::size_t host, Duration time)
{
    hosts_[host].pausedUntil = now_ + time;
}

void PermitModel::restart(std::size_t host, Duration downTime)
{
    hosts_[host].downUntil = now_ + downTime;
    post(host, downTime, false, [this, host] {
        start(hosts_[host]);
        updateHosts();
        queryStatements(host);
    });
    if (downTime > membershipDelay) {
        post(host, membershipDelay, false, [this] { updateHosts(); });
    }
}

/// A host that has started asks three others what targets state.
void PermitModel::queryStatements(std::size_t host)
{
    constexpr std::size_t queriedHosts = 3;
    for (std::size_t i = 1; i <= std::min(queriedHosts, hosts_.size() - 1); ++i) {
        const std::size_t other = (host + i) % hosts_.size();
        sendMessage(host, other, [this, host, other] {
            for (const TargetStatement &statement : hosts_[other].table->inForce()) {
                sendMessage(other, host, [this, host, statement] { receive(host, {statement, false}); });
            }
        });
    }
}

void PermitModel::receive(std::size_t host, StatementTable::Update update)
{
    update.statement.heardAt = now_;
    hosts_[host].table->onUpdate(update);
}

void PermitModel::cutOff(std::size_t host, Duration time)
{
    hosts_[host].cutUntil = now_ + time;
}

void PermitModel::disturb(std::size_t host, Duration time, std::size_t faultKind)
{
    static constexpr std::array<void (PermitModel::*)(std::size_t, Duration), faultKinds> faults{
        &PermitModel::pause, &PermitModel::restart, &PermitModel::cutOff};
    (this->*faults.at(faultKind))(host, time);
}

void PermitModel::post(std::size_t host, Duration delay, bool isMessage, std::function<void()> action)
{
    events_.push({now_ + delay, ++lastOrder_, std::move(action), host, isMessage});
}

void PermitModel::sendMessage(std::size_t from, std::size_t to, const std::function<void()> &action)
{
    ++hosts_[from].messages;
    const bool isCut = now_ < hosts_[from].cutUntil || now_ < hosts_[to].cutUntil;
    if (isCut || chance(options_.lossRate)) {
        return;
    }
    const int copies = chance(options_.doubledRate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        post(to, minMessageTime + randomUpTo(random_, options_.jitter), true, action);
    }
}

std::size_t PermitModel::indexOf(const std::string &name) const
{
    return std::stoul(name.substr(1));
}

void PermitModel::run(Duration time)
{
    const TimePoint end = now_ + time;
    while (now_ < end) {
        step();
        now_ += stepTime;
    }
}

void PermitModel::deliver()
{
    while (!events_.empty() && events_.top().at <= now_) {
        Event event = events_.top();
        events_.pop();
        if (event.isMessage && !isUp(hosts_[event.host])) {
            continue;
        }
        if (event.isMessage && !isRunning(hosts_[event.host])) {
            event.at = hosts_[event.host].pausedUntil;
            events_.push(std::move(event));
            continue;
        }
        event.action();
    }
}

void PermitModel::step()
{
    deliver();
    const auto active = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(hosts_.size()) * options_.hostsWithDemand));
    const double arrivalChance = options_.demand * toSeconds(stepTime);
    for (std::size_t target = 0; target < targets_.size(); ++target) {
        if (!chance(arrivalChance)) {
            continue;
        }
        Host &host = hosts_[randomBelow(random_, active)];
        if (now_ >= host.downUntil + readyDelay) {
            host.waiting[target].push_back(now_ + patience);
            ++host.waitingCount;
        }
    }
    const bool isTick = (now_ - startedAt_) % tickInterval < stepTime;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (!isRunning(hosts_[i])) {
            continue;
        }
        if (isTick) {
            hosts_[i].table->expire(now_);
            hosts_[i].permits->onTick(now_);
            for (const StatementTable::Update &repeat : hosts_[i].permits->takeRepeats(now_)) {
                broadcast(i, repeat);
            }
        }
        for (std::size_t target = 0; hosts_[i].waitingCount > 0 && target < targets_.size(); ++target) {
            serve(i, target);
        }
        hosts_[i].permits->returnUnused(now_);
        for (std::size_t target = 0; hosts_[i].waitingCount > 0 && target < targets_.size(); ++target) {
            wantPermits(i, target);
        }
    }
    noteKnown();
}

void PermitModel::serve(std::size_t index, std::size_t target)
{
    Host &host = hosts_[index];
    std::deque<TimePoint> &waiting = host.waiting[target];
    std::erase_if(waiting, [&host, this](TimePoint deadline) {
        const bool isLate = deadline <= now_;
        host.waitingCount -= isLate ? 1 : 0;
        return isLate;
    });
    while (!waiting.empty() && host.permits->wait(targetName(target), now_) == Duration::zero()) {
        const TimePoint deadline = waiting.front();
        waiting.pop_front();
        --host.waitingCount;
        begin(index, target, deadline);
    }
}

void PermitModel::wantPermits(std::size_t index, std::size_t target)
{
    const std::size_t count = hosts_[index].waiting[target].size();
    if (count == 0) {
        return;
    }
    hosts_[index].permits->want(targetName(target), count, now_, [this, index](const std::string &home, const PermitRequest &request) {
        const std::size_t to = indexOf(home);
        sendMessage(index, to, [this, index, to, request] {
            const PermitReply reply = hosts_[to].permits->onRequest(request, now_);
            sendMessage(to, index, [this, index, reply] { hosts_[index].permits->onReply(reply, now_); });
        });
    });
}

void PermitModel::begin(std::size_t host, std::size_t target, TimePoint deadline)
{
    const auto slot = hosts_[host].permits->use(targetName(target), now_);
    Target &to = targets_[target];
    const bool isAbandoned = to.rejectionLimit > 0 && chance(options_.abandonedRate);
    const Exchange exchange{host, hosts_[host].starts, target, to.incarnation, slot.value_or(0), now_, deadline, isAbandoned};
    hosts_[host].permits->slots().onSent(targetName(target), exchange.slot, now_);
    if (isAbandoned) {
        post(host, abandonTime, true, [this, exchange] { abandon(exchange); });
    }
    if (to.rejectionLimit > 0) {
        post(host, minMessageTime + randomUpTo(random_, options_.jitter), false, [this, exchange] { arrive(exchange); });
        return;
    }
    to.arrivals.push_back(now_);
    if (to.rate >= 0 && !to.statedAt) {
        to.statedAt = now_;
    }
    post(host, minAnswerTime + randomUpTo(random_, answerJitter), true, [this, exchange, stated = to.rate] { onAnswer(exchange, stated, 0, false); });
}

/// A request reaches a target that states a rejection limit.
void PermitModel::arrive(const Exchange &exchange)
{
    Target &target = targets_[exchange.target];
    if (now_ < target.downUntil || exchange.incarnation != target.incarnation) {
        post(exchange.host, minMessageTime, true, [this, exchange] { onLost(exchange); });
        return;
    }
    target.arrivals.push_back(now_);
    if (target.running >= target.room) {
        reject(exchange);
        return;
    }
    ++target.running;
    post(exchange.host, serviceTime, false, [this, exchange] {
        Target &of = targets_[exchange.target];
        const bool isGone = exchange.incarnation != of.incarnation || now_ < of.downUntil;
        if (!isGone) {
            --of.running;
            of.completedAt.push_back(now_);
        }
        const Duration delay = minMessageTime + randomUpTo(random_, options_.jitter);
        post(exchange.host, delay, true, [this, exchange, isGone, limit = of.rejectionLimit] {
            isGone ? onLost(exchange) : onAnswer(exchange, -1, limit, false);
        });
    });
}

void PermitModel::reject(const Exchange &exchange)
{
    Target &target = targets_[exchange.target];
    std::erase_if(target.rejectedAt, [this](TimePoint at) { return now_ - at > rejectionWindow; });
    target.rejectedAt.push_back(now_);
    mostRejections_ = std::max(mostRejections_, target.rejectedAt.size());
    const Duration delay = options_.rejectionDelay + minMessageTime + randomUpTo(random_, options_.jitter);
    post(exchange.host, delay, true, [this, exchange, limit = target.rejectionLimit] { onAnswer(exchange, -1, limit, true); });
    if (static_cast<double>(target.rejectedAt.size()) > target.rejectionLimit) {
        fall(exchange.target);
    }
}

void PermitModel::fall(std::size_t index)
{
    Target &target = targets_[index];
    ++falls_;
    ++target.incarnation;
    target.running = 0;
    target.rejectedAt.clear();
    target.downUntil = now_ + downTime;
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        post(host, downTime + randomUpTo(random_, options_.jitter), true, [this, host] { listTargets(hosts_[host]); });
    }
}

/// A host hears that targets have started; all of them belong to one service.
void PermitModel::listTargets(Host &host)
{
    for (std::size_t target = 0; target < targets_.size(); ++target) {
        const TargetStatement *stated = host.table->find(targetName(target), StatementKind::RejectionLimit);
        if (stated != nullptr && stated->incarnation < targets_[target].incarnation) {
            host.table->presumeRejectionLimit(targetName(target), targets_[target].incarnation, stated->value, now_);
        }
    }
    host.table->retainListed([this](std::string_view id) { return std::optional(targets_[std::stoul(std::string(id.substr(1)))].incarnation); });
}

bool PermitModel::isSender(const Exchange &exchange) const
{
    return hosts_[exchange.host].starts == exchange.hostStart;
}

void PermitModel::abandon(const Exchange &exchange)
{
    if (isSender(exchange)) {
        hosts_[exchange.host].permits->onEnded(targetName(exchange.target), exchange.slot, SlotEnd::Abandoned, now_);
    }
}

void PermitModel::onLost(const Exchange &exchange)
{
    if (!exchange.isAbandoned) {
        abandon(exchange);
    }
}

void PermitModel::onAnswer(const Exchange &exchange, double statedRate, double statedRejections, bool isRejected)
{
    if (!isSender(exchange) || exchange.isAbandoned) {
        return;
    }
    hear(exchange, StatementKind::RateLimit, statedRate >= 0 ? std::optional(statedRate) : std::nullopt);
    hear(exchange, StatementKind::RejectionLimit, statedRejections > 0 ? std::optional(statedRejections) : std::nullopt);
    Host &host = hosts_[exchange.host];
    const std::string name = targetName(exchange.target);
    if (!isRejected) {
        host.permits->onEnded(name, exchange.slot, SlotEnd::Finished, now_);
        return;
    }
    host.permits->onRejected(name, exchange.slot, now_);
    host.waiting[(exchange.target + 1) % targets_.size()].push_back(exchange.deadline);
    ++host.waitingCount;
}

void PermitModel::hear(const Exchange &exchange, StatementKind kind, std::optional<double> value)
{
    const auto update =
        hosts_[exchange.host].table->onAnswer({targetName(exchange.target), exchange.incarnation, kind, value.has_value(), value, exchange.sentAt}, now_);
    if (update) {
        broadcast(exchange.host, *update);
    }
}

void PermitModel::broadcast(std::size_t from, const StatementTable::Update &update)
{
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other == from) {
            continue;
        }
        sendMessage(from, other, [this, other, update] { receive(other, update); });
    }
}

void PermitModel::noteKnown()
{
    for (std::size_t target = 0; target < targets_.size(); ++target) {
        if (!targets_[target].statedAt || targets_[target].knownAt) {
            continue;
        }
        const bool isKnown = std::all_of(hosts_.begin(), hosts_.end(), [this, target](const Host &host) {
            return !isRunning(host) || host.table->find(targetName(target), StatementKind::RateLimit) != nullptr;
        });
        if (isKnown) {
            targets_[target].knownAt = now_;
        }
    }
}

std::size_t PermitModel::mostInWindow(std::size_t target) const
{
    const Target &of = targets_[target];
    if (!of.statedAt) {
        return 0;
    }
    std::size_t most = 0;
    auto first = std::lower_bound(of.arrivals.begin(), of.arrivals.end(), *of.statedAt + settleTime);
    for (; first != of.arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, of.arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

std::size_t PermitModel::arrivals(std::size_t target, Duration since) const
{
    const std::vector<TimePoint> &arrivals = targets_[target].arrivals;
    return static_cast<std::size_t>(arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), startedAt_ + since));
}

Duration PermitModel::knownAfter(std::size_t target) const
{
    const Target &of = targets_[target];
    return of.statedAt && of.knownAt ? *of.knownAt - *of.statedAt : Duration::max();
}

std::size_t PermitModel::falls() const
{
    return falls_;
}

std::size_t PermitModel::mostRejections() const
{
    return mostRejections_;
}

std::size_t PermitModel::completed(Duration since) const
{
    std::size_t count = 0;
    for (const Target &target : targets_) {
        const std::vector<TimePoint> &times = target.completedAt;
        count += static_cast<std::size_t>(times.end() - std::lower_bound(times.begin(), times.end(), startedAt_ + since));
    }
    return count;
}

std::size_t PermitModel::mostMessages() const
{
    std::size_t most = 0;
    for (const Host &host : hosts_) {
        most = std::max(most, host.messages);
    }
    return most;
}

Duration PermitModel::elapsed() const
{
    return now_ - startedAt_;
}

} // namespace Lovageloft

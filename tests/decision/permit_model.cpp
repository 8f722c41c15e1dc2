#include "tests/decision/permit_model.h"

#include <algorithm>

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
constexpr Duration messageJitter = std::chrono::milliseconds(3);
constexpr Duration minAnswerTime = std::chrono::milliseconds(20);
constexpr Duration answerJitter = std::chrono::milliseconds(100);
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
    host.permits.reset();
    host.table = std::make_unique<StatementTable>(host.name);
    host.permits = std::make_unique<SendPermits>(host.name, *host.table);
    host.waiting.assign(targets_.size(), {});
    host.waitingCount = 0;
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
    });
    if (downTime > membershipDelay) {
        post(host, membershipDelay, false, [this] { updateHosts(); });
    }
}

void PermitModel::cutOff(std::size_t host, Duration time)
{
    hosts_[host].cutUntil = now_ + time;
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
        post(to, minMessageTime + randomUpTo(random_, messageJitter), true, action);
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
        if (isUp(host)) {
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
    }
    noteKnown();
}

void PermitModel::serve(std::size_t index, std::size_t target)
{
    Host &host = hosts_[index];
    std::deque<TimePoint> &waiting = host.waiting[target];
    while (!waiting.empty() && waiting.front() <= now_) {
        waiting.pop_front();
        --host.waitingCount;
    }
    while (!waiting.empty() && mayBegin(host, target)) {
        waiting.pop_front();
        --host.waitingCount;
        begin(index, target);
    }
    if (waiting.empty()) {
        return;
    }
    host.permits->want(targetName(target), waiting.size(), now_, [this, index](const std::string &home, const PermitRequest &request) {
        const std::size_t to = indexOf(home);
        sendMessage(index, to, [this, index, to, request] {
            const PermitReply reply = hosts_[to].permits->onRequest(request, now_);
            sendMessage(to, index, [this, index, reply] { hosts_[index].permits->onReply(reply, now_); });
        });
    });
}

bool PermitModel::mayBegin(Host &host, std::size_t target)
{
    const std::string name = targetName(target);
    if (host.permits->wait(name, now_) > Duration::zero()) {
        return false;
    }
    host.permits->use(name, now_);
    return true;
}

void PermitModel::begin(std::size_t host, std::size_t target)
{
    Target &to = targets_[target];
    to.arrivals.push_back(now_);
    if (to.rate >= 0 && !to.statedAt) {
        to.statedAt = now_;
    }
    post(host, minAnswerTime + randomUpTo(random_, answerJitter), true, [this, host, target, stated = to.rate, sentAt = now_] {
        onAnswer(host, target, stated, sentAt);
    });
}

void PermitModel::onAnswer(std::size_t host, std::size_t target, double stated, TimePoint sentAt)
{
    const bool isStated = stated >= 0;
    const auto update = hosts_[host].table->onAnswer(
        {targetName(target), 1, StatementKind::RateLimit, isStated, isStated ? std::optional(stated) : std::nullopt, sentAt}, now_);
    if (update) {
        broadcast(host, *update);
    }
}

void PermitModel::broadcast(std::size_t from, const StatementTable::Update &update)
{
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other == from) {
            continue;
        }
        sendMessage(from, other, [this, other, update] {
            StatementTable::Update received = update;
            received.statement.heardAt = now_;
            hosts_[other].table->onUpdate(received);
        });
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

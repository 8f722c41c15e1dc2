#include "servers/share_service.h"

#include <thread>
#include <utility>

namespace Lovageloft
{

namespace
{

/// A request waits for tokens that come so soon in place of its caller, for whom a round trip takes longer; a few times, as others may take them. A team's
/// bucket begins empty, so that its first call would else be refused.
constexpr Duration maxTokenWait = std::chrono::milliseconds(20);
constexpr int maxTokenWaits = 3;

std::chrono::steady_clock::time_point steadyTime(TimePoint time)
{
    return std::chrono::steady_clock::now() + (time - BootClock::now());
}

} // namespace

ShareService::ShareService(std::string host, std::string incarnation, bool isAlone, Metrics &metrics)
    : host_(std::move(host))
    , isAlone_(isAlone)
    , metrics_(metrics)
    , ledger_(host_, std::move(incarnation), BootClock::now())
{
}

void ShareService::setTransport(ShareTransport &transport)
{
    transport_ = &transport;
}

std::optional<ShareService::Charge> ShareService::charge(std::string_view team, double tokens, Refusal &refusal)
{
    std::unique_lock lock(mutex_);
    for (int waits = 0;; ++waits) {
        const std::uint64_t id = ++lastId_;
        const ShareDecision decision = decide(lock, team, tokens, id);
        if (decision.verdict == ShareVerdict::Admit) {
            return Charge{id, tokens};
        }
        const bool comesSoon = decision.retryAfter > Duration::zero() && decision.retryAfter <= maxTokenWait;
        if (!comesSoon || waits == maxTokenWaits) {
            refusal = {decision.reason, RunState::NotRun, decision.retryAfter};
            return std::nullopt;
        }
        lock.unlock();
        std::this_thread::sleep_for(decision.retryAfter);
        lock.lock();
    }
}

ShareDecision ShareService::decide(std::unique_lock<std::mutex> &lock, std::string_view team, double tokens, std::uint64_t id)
{
    ShareDecision decision = ledger_.admit(team, tokens, id, BootClock::now());
    send(decision);
    if (decision.verdict != ShareVerdict::Pending) {
        return decision;
    }
    metrics_.add("lovageloft_remote_debits_total");
    return waitForAnswers(lock, std::move(decision));
}

ShareDecision ShareService::waitForAnswers(std::unique_lock<std::mutex> &lock, ShareDecision asked)
{
    const auto waiter = std::make_shared<Waiter>();
    const std::uint64_t id = asked.requestId;
    waiters_.emplace(id, waiter);
    while (asked.verdict == ShareVerdict::Pending) {
        waiter->decided.wait_until(lock, steadyTime(asked.deadline), [&waiter] { return waiter->decision.has_value(); });
        if (waiter->decision) {
            asked = std::move(*waiter->decision);
            waiter->decision.reset();
        } else {
            asked = ledger_.onTimeout(id, BootClock::now());
            send(asked);
        }
    }
    waiters_.erase(id);
    return asked;
}

void ShareService::send(const ShareDecision &decision)
{
    for (const DebitRequest &ask : decision.debitRequests) {
        transport_->ask(ask);
    }
    for (const DebitSettlement &settlement : decision.settlements) {
        transport_->settle(settlement);
    }
}

void ShareService::settle(const Charge &charge, double used)
{
    const std::lock_guard lock(mutex_);
    for (const DebitSettlement &settlement : ledger_.settle(charge.id, used, BootClock::now())) {
        transport_->settle(settlement);
    }
}

DebitReply ShareService::onDebit(const DebitRequest &request)
{
    const std::lock_guard lock(mutex_);
    return ledger_.onDebitRequest(request, BootClock::now());
}

void ShareService::onReply(const DebitReply &reply)
{
    const std::lock_guard lock(mutex_);
    ShareDecision decision = ledger_.onDebitReply(reply, BootClock::now());
    send(decision);
    const auto waiter = waiters_.find(decision.requestId);
    if (decision.verdict == ShareVerdict::None || waiter == waiters_.end()) {
        return;
    }
    waiter->second->decision = std::move(decision);
    waiter->second->decided.notify_one();
}

void ShareService::onSettlement(const DebitSettlement &settlement)
{
    const std::lock_guard lock(mutex_);
    ledger_.onSettlement(settlement, BootClock::now());
}

void ShareService::setConfiguration(std::int64_t version, const ConfigurationState &state)
{
    const std::lock_guard lock(mutex_);
    ShareConfiguration configuration = makeShareConfiguration(version, state);
    if (configuration.hosts.empty() && isAlone_) {
        configuration.hosts.push_back(host_);
    }
    ledger_.setConfiguration(configuration, BootClock::now());
}

void ShareService::onInForce(std::int64_t version)
{
    const std::lock_guard lock(mutex_);
    ledger_.onInForce(version, BootClock::now());
}

void ShareService::setFreshUntil(TimePoint until)
{
    const std::lock_guard lock(mutex_);
    ledger_.setFreshUntil(until, BootClock::now());
}

double ShareService::balance(std::string_view team)
{
    const std::lock_guard lock(mutex_);
    return ledger_.balance(team, BootClock::now());
}

} // namespace Lovageloft

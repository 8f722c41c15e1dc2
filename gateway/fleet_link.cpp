#include "gateway/fleet_link.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "core/log.h"
#include "decision/rendezvous.h"
#include "gateway/gateway.h"

namespace Lovageloft
{

namespace
{

/// Interval between two heartbeats of a relay; see silenceBeforeStoreCall in relayed_store.cpp.
constexpr Duration heartbeatInterval = std::chrono::milliseconds(400);

/// Time in which the homes of a request answer the report of a loss if they have the request in quarantine.
constexpr Duration quarantineReplyTime = std::chrono::milliseconds(30);

/// Longest wait of a repeated request for the checks of losses.
constexpr Duration maxLossCheckWait = std::chrono::milliseconds(500);

} // namespace

FleetLink::FleetLink(Gateway &gateway, std::string hostName)
    : gateway_(gateway)
    , hostName_(std::move(hostName))
    , socket_(gateway.loop(), *this)
    , budget_(hostName_, [this](const std::string &host, const TokenReturn &tokens) { socket_.send(host, tokens); })
    , tokenTimer_(gateway.loop())
    , sendTokenRequest_([this](const std::string &host, const TokenRequest &request) { socket_.send(host, request); })
    , crashes_(hostName_,
               {[this](const std::string &host, const CrashReport &report) { socket_.send(host, report); },
                [this](const std::string &host, const QuarantineNotice &notice) { socket_.send(host, notice); },
                [this](const QuarantineNotice &notice) { socket_.broadcast(notice); },
                [this](RequestFeature feature) { recordQuarantine_(feature); },
                [this](const std::string &host, const QuarantineObjection &objection) { socket_.send(host, objection); },
                [this](RequestFeature feature) { socket_.broadcastLift(feature); },
                [this] { gateway_.dispatch().failQuarantined(); }})
{
}

bool FleetLink::open(const HostAddress &address, Reason &reason)
{
    return socket_.open(address, reason);
}

void FleetLink::close()
{
    socket_.close();
}

std::uint16_t FleetLink::port() const
{
    return socket_.port();
}

const PeerTrafficCounter &FleetLink::traffic() const
{
    return socket_.traffic();
}

void FleetLink::setRelayedStore(RelayedStore &store)
{
    relayedStore_ = &store;
    store.setPauseSource([this] { return gateway_.recentPause(BootClock::now()); });
    const auto sendOnLoop = [this](const std::string &host, const auto &request) {
        gateway_.post([this, host, request](Gateway &) { socket_.send(host, request); });
    };
    store.setNetwork({[this](const ChangesNotice &notice) { gateway_.post([this, notice](Gateway &) { socket_.broadcast(notice); }); },
                      sendOnLoop,
                      sendOnLoop,
                      [this](const std::vector<ChangesNotice> &notices) { gateway_.post([this, notices](Gateway &) { socket_.broadcast(notices); }); }});
}

void FleetLink::setOrderListener(std::function<void(const std::string &targetId)> listener)
{
    orderListener_ = std::move(listener);
}

void FleetLink::setHosts(const std::map<std::string, HostRecord> &hosts, double share)
{
    std::vector<std::string> names;
    std::map<std::string, HostRecord> others;
    for (const auto &[name, record] : hosts) {
        names.push_back(name);
        if (name != hostName_) {
            others.emplace(name, record);
        }
    }
    const auto self = hosts.find(hostName_);
    socket_.setPeers(others, self != hosts.end() ? std::string_view(self->second.dataCentre) : std::string_view());
    otherHosts_.clear();
    std::transform(others.begin(), others.end(), std::back_inserter(otherHosts_), [](const auto &other) { return other.first; });
    const std::vector<std::string> candidates = dutyHosts(capacitiesOf(hosts));
    if (relayedStore_ != nullptr) {
        relayedStore_->setHosts(names, candidates);
    }
    crashes_.setHosts(candidates);
    gateway_.statements().setHosts(names.size(), candidates);
    budget_.setHosts(names.size(), candidates, share, BootClock::now());
}

void FleetLink::setLimits(std::span<const TeamLimit> limits)
{
    budget_.setLimits(limits, BootClock::now());
}

void FleetLink::setRequestsMayWait(bool mayWait)
{
    budget_.setMayWait(mayWait);
}

bool FleetLink::mayRequestsWait() const
{
    return budget_.mayWait();
}

std::uint64_t FleetLink::acquireTokens(std::string_view team, double tokens, Duration maxWait, TeamBudget::DecisionHandler handler)
{
    const std::uint64_t id = budget_.consume(team, tokens, maxWait, BootClock::now(), sendTokenRequest_, std::move(handler));
    scheduleTokenTimeout();
    return id;
}

void FleetLink::cancelTokens(std::uint64_t id)
{
    budget_.cancel(id);
}

void FleetLink::refundTokens(std::string_view team, double tokens, const std::string &home)
{
    budget_.refund(team, tokens, home);
}

void FleetLink::announceLoading(const std::string &targetId, const std::string &model, Duration duration)
{
    gateway_.avoidTarget(targetId, model, duration);
    socket_.broadcast(LoadingNotice{targetId, model, duration});
}

void FleetLink::announceCacheStore(const std::string &address, bool isAlive)
{
    if (!isAlive && gateway_.paths().links().isAnyScopeLost()) {
        return; // More likely, this host has lost its link to the store as well.
    }
    gateway_.cacheStores().setAlive(address, isAlive);
    socket_.broadcast(CacheStoreNotice{address, isAlive});
}

void FleetLink::queryWeightsAges()
{
    forSomeHosts([this](const std::string &host) { socket_.send(host, WeightsRequest{}); });
}

void FleetLink::queryProofs()
{
    forSomeHosts([this](const std::string &host) { socket_.send(host, ProofRequest{}); });
}

/// Three hosts, because during a rolling restart at least one of them has been running for longer than the deadline for new weights.
void FleetLink::forSomeHosts(const std::function<void(const std::string &host)> &action)
{
    constexpr std::size_t maxQueriedHosts = 3;
    for (std::size_t i = 0; i < std::min(maxQueriedHosts, otherHosts_.size()); ++i) {
        action(otherHosts_[nextQueriedHost_++ % otherHosts_.size()]);
    }
}

void FleetLink::setQuarantineRecorder(std::function<void(RequestFeature)> recorder)
{
    recordQuarantine_ = std::move(recorder);
}

void FleetLink::reportTargetLoss(std::string_view targetId, std::uint64_t target, std::span<const RequestFeature> features)
{
    const RequestFeature request = features.front();
    ++lossChecks_[request].running;
    const auto onChecked = [this, request, target, id = std::string(targetId), lost = std::vector(features.begin(), features.end())](bool isLinkLost) {
        writeLog(LogLevel::Info, "target_loss_checked", {{"target", id}, {"fingerprint", featureText(request)}, {"link_lost", isLinkLost}});
        if (isLinkLost) {
            onLossChecked(request);
            return;
        }
        for (const RequestFeature feature : lost) {
            crashes_.onTargetLost({feature, target, request}, BootClock::now());
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(gateway_.loop(), quarantineReplyTime);
        timer->async_wait([this, timer, request](const boost::system::error_code &) { onLossChecked(request); });
    };
    gateway_.paths().checkLoss(targetId, onChecked);
}

void FleetLink::onLossChecked(RequestFeature request)
{
    const auto checks = lossChecks_.find(request);
    if (checks == lossChecks_.end() || --checks->second.running > 0) {
        return;
    }
    const auto waiting = std::move(checks->second.waiting);
    lossChecks_.erase(checks);
    for (const auto &action : waiting) {
        action();
    }
}

void FleetLink::whenLossesChecked(RequestFeature request, std::function<void()> action)
{
    const auto checks = lossChecks_.find(request);
    if (checks == lossChecks_.end()) {
        action();
        return;
    }
    // The check of a target that is removed meanwhile does not end.
    const auto timer = std::make_shared<boost::asio::steady_timer>(gateway_.loop(), maxLossCheckWait);
    const auto runOnce = [timer, action = std::move(action), isDone = std::make_shared<bool>(false)] {
        if (!std::exchange(*isDone, true)) {
            timer->cancel();
            action();
        }
    };
    checks->second.waiting.emplace_back(runOnce);
    timer->async_wait([runOnce](const boost::system::error_code &error) {
        if (!error) {
            runOnce();
        }
    });
}

CrashGuard &FleetLink::crashes()
{
    return crashes_;
}

const CrashGuard &FleetLink::crashes() const
{
    return crashes_;
}

void FleetLink::onCrashReport(const std::string &host, const CrashReport &report)
{
    crashes_.onReport(host, report, BootClock::now());
}

void FleetLink::onQuarantined(const std::string &host, const QuarantineNotice &notice)
{
    crashes_.onQuarantined(host, notice, BootClock::now());
}

void FleetLink::onQuarantineLifted(RequestFeature feature)
{
    crashes_.onLifted(feature);
}

void FleetLink::onQuarantineObjection(const QuarantineObjection &objection)
{
    crashes_.onObjection(objection, BootClock::now());
}

void FleetLink::onWeightsRequest(const std::string &host)
{
    const TimePoint now = BootClock::now();
    for (const PublishedWeights &weights : gateway_.targets().weightsWithKnownTime()) {
        socket_.send(host, WeightsAge{weights.model, weights.version, now - weights.publishedAt});
    }
}

void FleetLink::onWeightsAge(const WeightsAge &age)
{
    gateway_.learnWeightsAge(age);
}

void FleetLink::sendHeartbeat(TimePoint now)
{
    if (relayedStore_ != nullptr && relayedStore_->isRelay() && now >= nextHeartbeat_) {
        nextHeartbeat_ = now + heartbeatInterval;
        relayedStore_->sendHeartbeat();
    }
}

void FleetLink::announceDispatch(const SchedulerAssignment &assignment, bool isSaved)
{
    if (assignment.workTokens < minAnnouncedTokens) {
        return;
    }
    const DispatchNotice notice{assignment.engine,
                                assignment.workTokens,
                                assignment.newTokens,
                                isSaved,
                                assignment.announcedBlocks,
                                rendezvousId(hostName_),
                                gateway_.dispatch().takeStatistics(assignment.engine)};
    noteSaved(notice);
    socket_.broadcast(notice);
}

void FleetLink::noteSaved(const DispatchNotice &notice)
{
    const Target *target = notice.isSaved ? gateway_.targets().find(notice.engine) : nullptr;
    if (target != nullptr) {
        gateway_.cacheStores().onSaved(target->dataCentre, notice.blocks, notice.newTokens);
    }
}

void FleetLink::onDispatchNotice(const DispatchNotice &notice)
{
    gateway_.dispatch().onDispatchedByPeer(notice);
    noteSaved(notice);
}

void FleetLink::onLoadingNotice(const LoadingNotice &notice)
{
    // The notice may have waited in the socket buffer while this process was paused. With its duration counted from now, engines that have
    // finished loading, after a change of weights all of them, would get no requests for seconds. An engine that is still loading declines
    // a request and is then avoided.
    const Duration remaining = notice.duration - gateway_.recentPause(BootClock::now());
    if (remaining > Duration::zero()) {
        gateway_.avoidTarget(notice.target, notice.model, remaining);
    }
    orderListener_(notice.target);
}

void FleetLink::onTokenRequest(const std::string &host, const TokenRequest &request)
{
    socket_.send(host, budget_.onRequest(request, BootClock::now()));
}

void FleetLink::onTokenReply(const TokenReply &reply)
{
    budget_.onReply(reply, BootClock::now(), sendTokenRequest_);
    scheduleTokenTimeout();
}

void FleetLink::onTokenReturn(const TokenReturn &tokens)
{
    budget_.onReturn(tokens);
}

void FleetLink::queryStatements()
{
    forSomeHosts([this](const std::string &host) { socket_.queryStatements(host); });
}

void FleetLink::announceStatements(std::span<const StatementTable::Update> updates)
{
    socket_.broadcast(updates);
}

void FleetLink::requestPermit(const std::string &home, const PermitRequest &request)
{
    socket_.send(home, request);
}

void FleetLink::onPermitRequest(const std::string &host, const PermitRequest &request)
{
    socket_.send(host, gateway_.statements().onPermitRequest(request));
}

void FleetLink::onPermitReply(const PermitReply &reply)
{
    gateway_.statements().onPermitReply(reply);
}

void FleetLink::sendSlotReport(const std::string &home, const SlotReport &report)
{
    socket_.send(home, report);
}

void FleetLink::sendSlotGrant(const std::string &host, const SlotGrant &grant)
{
    socket_.send(host, grant);
}

void FleetLink::onSlotReport(const std::string &host, const SlotReport &report)
{
    gateway_.statements().onSlotReport(host, report);
}

void FleetLink::onSlotGrant(const std::string &host, const SlotGrant &grant)
{
    gateway_.statements().onSlotGrant(host, grant);
}

void FleetLink::onStatements(const std::vector<StatementTable::Update> &updates)
{
    if (!mayHaveStaleMessages()) {
        gateway_.statements().onUpdates(updates);
    }
}

void FleetLink::onStatementsQuery(const std::string &host)
{
    socket_.send(host, gateway_.statements().inForce());
}

void FleetLink::sendStreamRecord(const std::string &home, const StreamRecord &record)
{
    socket_.send(home, record);
}

void FleetLink::queryStream(const std::string &host, const StreamQuery &query)
{
    socket_.send(host, query);
}

void FleetLink::onStreamRecord(const StreamRecord &record)
{
    gateway_.streams().onRecord(record);
}

void FleetLink::onStreamQuery(const std::string &host, const StreamQuery &query)
{
    if (const auto reply = gateway_.streams().onQuery(host, query)) {
        socket_.sendReply(host, *reply);
    }
}

void FleetLink::onStreamReply(const std::string &host, const StreamRecord &reply)
{
    gateway_.streams().onReply(host, reply);
}

TimePoint FleetLink::syncedUntil(TimePoint now) const
{
    return relayedStore_ == nullptr ? now : relayedStore_->syncedUntil();
}

void FleetLink::sendRolloutReport(const std::string &host, const RolloutReport &report)
{
    socket_.send(host, report);
}

void FleetLink::onRolloutReport(const std::string &host, RolloutReport &&report)
{
    if (const auto reply = gateway_.rollouts().onReport(host, std::move(report))) {
        socket_.send(host, *reply);
    }
}

void FleetLink::onRolloutReply(const RolloutReply &reply)
{
    gateway_.rollouts().onReply(reply);
}

void FleetLink::onChangesNotice(const ChangesNotice &notice)
{
    if (relayedStore_ == nullptr) {
        return;
    }
    const TimePoint now = BootClock::now();
    const Duration transit = notice.process != 0 ? transit_.onMessage(notice.process, notice.sentAt, now) : Duration::zero();
    relayedStore_->onNotice(notice, std::max(transit, gateway_.recentPause(now)));
}

void FleetLink::onChangesRequest(const std::string &host, const ChangesRequest &request)
{
    if (relayedStore_ == nullptr) {
        return;
    }
    if (const auto reply = relayedStore_->changesFor(request)) {
        socket_.send(host, *reply);
    }
}

void FleetLink::onChangesReply(const ChangesReply &reply)
{
    if (relayedStore_ != nullptr) {
        relayedStore_->onChangesReply(reply);
    }
}

bool FleetLink::mayHaveStaleMessages() const
{
    return gateway_.recentPause(BootClock::now()) != Duration::zero();
}

void FleetLink::onProofRequest(const std::string &host, const ProofRequest &request)
{
    if (const auto table = gateway_.table()) {
        socket_.send(host, ProofReply{request.id, table->revision, gateway_.proofAge(BootClock::now()), table->version});
    }
}

void FleetLink::onProofReply(const ProofReply &reply)
{
    gateway_.notePeerTable(reply.revision, reply.version);
    if (relayedStore_ != nullptr) {
        relayedStore_->onProofReply(reply);
    }
}

void FleetLink::onCacheStoreNotice(const CacheStoreNotice &notice)
{
    gateway_.cacheStores().setAlive(notice.address, notice.isAlive);
}

void FleetLink::scheduleTokenTimeout()
{
    const auto next = budget_.nextTimeout();
    if (!next) {
        return;
    }
    tokenTimer_.expires_after(std::max(*next - BootClock::now(), Duration::zero()));
    tokenTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            budget_.onTick(BootClock::now(), sendTokenRequest_);
            scheduleTokenTimeout();
        }
    });
}

} // namespace Lovageloft

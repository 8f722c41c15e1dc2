#include "gateway/relayed_store.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/log.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

namespace
{

/// Two, so that the loss of one has no effect.
constexpr std::size_t relayCount = 2;

/// Relays and deputies: the hosts that call the store first when the relays are silent.
constexpr std::size_t rankedHostCount = 16;

/// How long the relays may be silent before a host queries its peers, and before the highest-ranked hosts call the store themselves. Relays
/// send twice a second, so two lost datagrams do not cause a query, and a change is still known well within the two seconds that operators
/// allow.
constexpr Duration silenceBeforePeerQuery = std::chrono::milliseconds(900);
constexpr Duration silenceBeforeStoreCall = std::chrono::milliseconds(1'300);

/// How long a host that is behind queries only its peers, and how often. They answer within a few milliseconds.
constexpr Duration peerQueryDuration = silenceBeforeStoreCall - silenceBeforePeerQuery;
constexpr Duration peerQueryInterval = std::chrono::milliseconds(100);

/// Delay between the store calls of two ranked hosts, and the rate of store calls of all other hosts together. In a fleet of 300 a host
/// waits at most one second, during which peers pass on to it what the ranked hosts have read.
constexpr Duration delayPerRank = std::chrono::milliseconds(10);
constexpr double storeCallsPerSecond = 300;

/// While the store is unreachable: the rate of calls of all hosts together, and the longest time for which the breaker of a ranked host
/// stays open. The other hosts receive changes from the ranked hosts.
constexpr double failedCallsPerSecond = 100;
constexpr Duration maxRankedOpenDuration = std::chrono::milliseconds(400);

/// A relay that the store has not answered for this long has nothing to tell: its heartbeat would be as old as the silence after which other
/// hosts query their peers.
constexpr Duration maxHeartbeatAge = silenceBeforePeerQuery;

/// How old the store's newest answer to the first relay may become. With the interval between heartbeats it stays below `silenceBeforePeerQuery`.
constexpr Duration maxAnswerAge = std::chrono::milliseconds(350);

/// How long an answer may have been underway: it shows that the store reached this host so long before it arrived. With a slow store the time of
/// the call would make each relay look as if it were cut off.
constexpr Duration maxAnswerTransit = std::chrono::milliseconds(250);

/// How old the one to the first relay may be, as the second relay hears of it, before that calls the store in its place: a heartbeat may be lost,
/// and the next one of the second relay still arrives before `silenceBeforeStoreCall`.
constexpr Duration maxHeardAnswerAge = std::chrono::milliseconds(700);

/// Older proofs are ignored and the store is called instead.
constexpr Duration maxProofAge = std::chrono::milliseconds(1'500);

} // namespace

template <typename Call>
auto RelayedStore::callThroughBreaker(Call call, Duration hold)
{
    TimePoint calledAt;
    {
        const std::lock_guard lock(mutex_);
        calledAt = now_();
        if (!breaker_.isClosed(calledAt)) {
            outages_.onOmitted();
            return decltype(call()){};
        }
    }
    auto reply = call();
    const bool isAnswered = reply.status != StoreStatus::Unavailable && reply.status != StoreStatus::AnswerLost;
    const std::lock_guard lock(mutex_);
    if (!isAnswered) {
        outages_.onUnanswered(calledAt);
        breaker_.onFailure(now_());
        return reply;
    }
    breaker_.onSuccess();
    const TimePoint answeredAt = std::max(calledAt, arrivalOf(now_()));
    const TimePoint reachedAt = std::max(answeredAt - maxAnswerTransit, std::min(answeredAt, calledAt + hold));
    storeReachedAt_ = std::max(storeReachedAt_, reachedAt);
    const TimePoint now = now_();
    if (const auto outage = outages_.onAnswered(now)) {
        for (auto &[prefix, state] : prefixes_) {
            // A relay ignores what the other relay reports: if both have dead connections to the store, they would confirm each other.
            state.onOutage(*outage, isAmongRelays() ? state.lastReadAt : std::max(state.lastReadAt, state.lastHeardAt), now);
        }
    }
    return reply;
}

RelayedStore::RelayedStore(Store &store, std::string host, Now now)
    : ForwardingStore(store)
    , host_(std::move(host))
    , process_((std::uint64_t{std::random_device{}()} << 32U) | (std::random_device{}() | 1U))
    , now_(std::move(now))
    , random_(std::random_device{}())
    , breaker_(Random(std::random_device{}()))
{
}

void RelayedStore::setNetwork(Network network)
{
    const std::lock_guard lock(mutex_);
    network_ = std::move(network);
}

void RelayedStore::setPauseSource(std::function<Duration()> source)
{
    const std::lock_guard lock(mutex_);
    recentPause_ = std::move(source);
}

/// When an answer that is read at `readAt` had arrived at the latest: it may have waited unread through a pause.
TimePoint RelayedStore::arrivalOf(TimePoint readAt) const
{
    return readAt - recentPause_();
}

void RelayedStore::stamp(ChangesNotice &notice) const
{
    notice.process = process_;
    notice.sentAt = now_();
}

void RelayedStore::setHosts(const std::vector<std::string> &hosts, const std::vector<std::string> &candidates)
{
    std::vector<std::string> ranked = RendezvousNames(candidates).winners("relay", rankedHostCount);
    const std::lock_guard lock(mutex_);
    knowsHosts_ = true;
    otherHosts_ = hosts;
    std::erase(otherHosts_, host_);
    const std::vector<std::string> previousRelays(relays().begin(), relays().end());
    rankedHosts_ = std::move(ranked);
    breaker_.setMaxOpenDuration(maxOpenDuration());
    const auto chosen = relays();
    if (!std::equal(chosen.begin(), chosen.end(), previousRelays.begin(), previousRelays.end())) {
        writeLog(LogLevel::Info, "relays_chosen", {{"first", chosen.empty() ? "" : chosen.front()}, {"last", chosen.empty() ? "" : chosen.back()}});
    }
}

bool RelayedStore::isRelay() const
{
    const std::lock_guard lock(mutex_);
    return isAmongRelays();
}

/// The highest-ranked hosts.
std::span<const std::string> RelayedStore::relays() const
{
    return std::span(rankedHosts_).first(std::min(rankedHosts_.size(), relayCount));
}

/// Without candidates, each host is its own relay.
bool RelayedStore::isAmongRelays() const
{
    const auto chosen = relays();
    return chosen.empty() || std::find(chosen.begin(), chosen.end(), host_) != chosen.end();
}

bool RelayedStore::isRankedHost() const
{
    return std::find(rankedHosts_.begin(), rankedHosts_.end(), host_) != rankedHosts_.end();
}

/// A host that does not know the other hosts yet does not watch the store: it learns of them within a few calls, and a watch would be an
/// additional one.
bool RelayedStore::watchesStoreDirectly() const
{
    const std::lock_guard lock(mutex_);
    return knowsHosts_ && isAmongRelays();
}

void RelayedStore::onNotice(const ChangesNotice &notice, Duration delay)
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = now_();
    const TimePoint confirmedAt = now - notice.age - delay;
    otherRelayConfirmedAt_ = std::max(otherRelayConfirmedAt_, confirmedAt);
    const auto found = prefixes_.find(notice.prefix);
    if (found == prefixes_.end() || found->second.syncedRevision == 0) {
        return; // The prefix has not been listed yet.
    }
    PrefixState &state = found->second;
    const bool isInsideCoalescedRange = notice.maxStartRevision < state.syncedRevision && state.syncedRevision < notice.upTo;
    if (notice.after > state.syncedRevision || isInsideCoalescedRange) {
        recordGap(notice.prefix, state, notice.upTo, now);
    } else if (notice.upTo >= state.syncedRevision) {
        state.applyNotice(notice, now);
        state.lastHeardAt = std::max(state.lastHeardAt, confirmedAt);
        if (now - confirmedAt < silenceBeforePeerQuery) {
            breaker_.onPeersAnswered(now, storeCallWindow());
        }
        updateBehindState(notice.prefix, state, now);
    }
    updateArrived_.notify_all();
}

/// Until when the store itself has told this host of all changes. While a watch is pending, an answer to any later call shows that the store
/// still reaches this host. Messages from other hosts do not count: two relays that are cut off from the store would otherwise keep each other
/// sending.
TimePoint RelayedStore::confirmedAt(const PrefixState &state) const
{
    const bool isWatchPending = state.watchSentAt && storeReachedAt_ > *state.watchSentAt;
    return isWatchPending ? std::max(state.lastReadAt, storeReachedAt_) : state.lastReadAt;
}

TimePoint RelayedStore::syncedUntil() const
{
    const std::lock_guard lock(mutex_);
    if (prefixes_.empty()) {
        return {};
    }
    TimePoint until = TimePoint::max();
    for (const auto &[prefix, state] : prefixes_) {
        until = std::min({until, std::max(state.lastHeardAt, confirmedAt(state)), state.appliedUntil()});
    }
    return until;
}

void RelayedStore::onApplied(std::string_view prefix, std::int64_t revision)
{
    const std::lock_guard lock(mutex_);
    if (const auto found = prefixes_.find(prefix); found != prefixes_.end()) {
        found->second.appliedRevision = std::max(found->second.appliedRevision.value_or(0), revision);
    }
}

std::optional<Duration> RelayedStore::probeDelay() const
{
    const std::lock_guard lock(mutex_);
    const auto chosen = relays();
    if (!knowsHosts_ || otherHosts_.empty() || chosen.empty() || !isAmongRelays()) {
        return std::nullopt;
    }
    const TimePoint ownDueAt = storeReachedAt_ + maxAnswerAge;
    const TimePoint dueAt = chosen.front() == host_ ? ownDueAt : std::max(ownDueAt, otherRelayConfirmedAt_ + maxHeardAnswerAge);
    return dueAt - now_();
}

/// Until when this host is known to have received all changes. Replies to a deputy's own watches do not count, so that it keeps
/// watching the store, as the relays do, while it does not hear from them.
TimePoint RelayedStore::lastUpdateAt(const PrefixState &state) const
{
    return isRankedHost() ? state.lastHeardAt : std::max(state.lastHeardAt, state.lastReadAt);
}

bool RelayedStore::isBehind(const PrefixState &state, TimePoint now) const
{
    return state.requiredRevision > state.syncedRevision || now - lastUpdateAt(state) >= silenceBeforePeerQuery;
}

/// Starts or ends catching up. Without peers to query, as in a fleet of one, the store is called immediately for missing changes.
void RelayedStore::updateBehindState(std::string_view prefix, PrefixState &state, TimePoint now)
{
    if (!isBehind(state, now)) {
        state.behindSince.reset();
        return;
    }
    if (!state.behindSince) {
        state.behindSince = now;
        const bool canAsk = network_.sendChangesRequest && !otherHosts_.empty();
        const bool isMissing = state.requiredRevision > state.syncedRevision;
        const Duration wait = canAsk ? peerQueryDuration + storeCallDelay() : (isMissing ? Duration::zero() : peerQueryDuration);
        state.storeCallAllowedAt = now + wait;
        state.nextPeerQueryAt = now;
        writeLog(LogLevel::Debug, "host_behind", {{"prefix", prefix}, {"reached", state.syncedRevision}, {"needed", state.requiredRevision}});
    }
}

/// Records that a change with a revision up to `revision` exists and has not been received.
void RelayedStore::recordGap(std::string_view prefix, PrefixState &state, std::int64_t revision, TimePoint now)
{
    state.requiredRevision = std::max(state.requiredRevision, revision);
    updateBehindState(prefix, state, now);
}

/// Zero in a small fleet: its calls are no burden to a store that is recovering, and its hosts should detect immediately that it is back.
Duration RelayedStore::maxOpenDuration() const
{
    if (otherHosts_.size() < rankedHostCount) {
        return {};
    }
    return isRankedHost() ? maxRankedOpenDuration : fromSeconds(static_cast<double>(otherHosts_.size()) / failedCallsPerSecond);
}

/// Time over which all hosts may call the store once without exceeding `storeCallsPerSecond`.
Duration RelayedStore::storeCallWindow() const
{
    return fromSeconds(static_cast<double>(otherHosts_.size()) / storeCallsPerSecond);
}

Duration RelayedStore::storeCallDelay()
{
    const auto position = std::find(rankedHosts_.begin(), rankedHosts_.end(), host_);
    const Duration rankDelay = delayPerRank * (position - rankedHosts_.begin());
    return position != rankedHosts_.end() ? rankDelay : rankDelay + randomUpTo(random_, storeCallWindow());
}

void RelayedStore::sendHeartbeat()
{
    std::vector<ChangesNotice> notices;
    Network network;
    {
        const std::lock_guard lock(mutex_);
        network = network_;
        const TimePoint now = now_();
        for (auto &[prefix, state] : prefixes_) {
            const Duration age = std::max(Duration::zero(), now - confirmedAt(state));
            logConfirmation(prefix, state, age < maxHeartbeatAge, age);
            if (!state.isConfirmed) {
                continue;
            }
            ChangesNotice notice{prefix, state.lastChangeRevision, state.syncedRevision, {}, {}, {}};
            notice.age = age;
            stamp(notice);
            notices.push_back(std::move(notice));
        }
    }
    if (network.broadcastTogether && !notices.empty()) {
        network.broadcastTogether(notices);
        return;
    }
    for (const ChangesNotice &notice : notices) {
        network.broadcast(notice);
    }
}

StoreReply RelayedStore::get(std::string_view key)
{
    return callThroughBreaker([&] { return ForwardingStore::get(key); });
}

StoreReply RelayedStore::confirm(std::string_view key, std::int64_t revision)
{
    for (const std::string &host : proofSources()) {
        const auto reply = queryProof(host);
        if (!reply || reply->age > maxProofAge || reply->revision < revision) {
            continue;
        }
        const bool isSameRevision = reply->revision == revision;
        if (!isSameRevision) {
            requireRevision(key, reply->revision);
        }
        return {isSameRevision ? StoreStatus::Ok : StoreStatus::Conflict, {std::string(key), {}, reply->revision, false}, reply->age};
    }
    return callThroughBreaker([&] { return ForwardingStore::confirm(key, revision); });
}

/// Called when a newer revision of a key exists: each followed prefix that contains the key has missed a change.
void RelayedStore::requireRevision(std::string_view key, std::int64_t revision)
{
    const std::lock_guard lock(mutex_);
    for (auto &[prefix, state] : prefixes_) {
        if (key.starts_with(prefix) && state.syncedRevision != 0) {
            recordGap(prefix, state, revision, now_());
        }
    }
    updateArrived_.notify_all();
}

StoreListReply RelayedStore::list(std::string_view prefix)
{
    StoreListReply reply = callThroughBreaker([&] { return ForwardingStore::list(prefix); });
    if (reply.status != StoreStatus::Ok) {
        return reply;
    }
    const bool isRelayNow = isRelay();
    std::unique_lock lock(mutex_);
    PrefixState &state = prefixes_[std::string(prefix)];
    const TimePoint now = now_();
    reply.outage = std::exchange(state.maxOutage, {});
    reply.returnAge = reply.outage > Duration::zero() ? now - state.returnedAt : Duration::zero();
    std::optional<ChangesNotice> changes;
    if (state.syncedRevision != 0 && state.syncedRevision <= reply.revision) {
        changes = state.changesInList(reply);
        changes->prefix = prefix;
        changes->silence = now - state.lastReadAt;
        changes->outage = reply.outage;
        changes->returnAge = reply.returnAge;
    }
    state.applyList(reply, changes);
    state.lastReadAt = arrivalOf(now);
    state.lastHeardAt = state.lastReadAt;
    if (changes) {
        changes->age = now - state.lastReadAt;
        stamp(*changes);
    }
    const auto broadcast = network_.broadcast;
    lock.unlock();
    if (isRelayNow && changes && broadcast) {
        broadcast(*changes);
    }
    return reply;
}

StoreListReply RelayedStore::watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    if (watchesStoreDirectly()) {
        return watchStore(prefix, afterRevision, timeout);
    }
    std::unique_lock lock(mutex_);
    PrefixState &state = prefixes_[std::string(prefix)];
    const TimePoint calledAt = now_();
    const TimePoint deadline = calledAt + timeout;
    while (state.pendingEntries.empty()) {
        const TimePoint now = now_();
        updateBehindState(prefix, state, now);
        updateRelaySilence(prefix, state, now);
        const bool mayCallStore = state.behindSince && now >= state.storeCallAllowedAt;
        if (mayCallStore && state.requiredRevision <= state.syncedRevision) {
            lock.unlock();
            return watchStore(prefix, afterRevision, std::min(timeout, silenceBeforeStoreCall));
        }
        if (state.behindSince && !mayCallStore && now >= state.nextPeerQueryAt) {
            state.nextPeerQueryAt = now + peerQueryInterval;
            queryChanges(prefix, state.syncedRevision, lock);
            continue;
        }
        if (mayCallStore || now >= deadline) {
            break;
        }
        constexpr Duration maxWait = std::chrono::milliseconds(300);
        updateArrived_.wait_for(lock, std::min(state.behindSince ? peerQueryInterval / 2 : maxWait, deadline - now));
    }
    const Duration age = std::max(Duration::zero(), calledAt - state.lastHeardAt);
    StoreListReply reply = consumePendingEntries(state, lock);
    reply.age = age;
    return reply;
}

StoreListReply RelayedStore::consumePendingEntries(PrefixState &state, std::unique_lock<std::mutex> &lock)
{
    if (state.pendingEntries.empty() && state.requiredRevision > state.syncedRevision && now_() >= state.storeCallAllowedAt) {
        writeLog(LogLevel::Info, "notice_missed", {{"reached", state.syncedRevision}, {"needed", state.requiredRevision}});
        return {StoreStatus::NotFound, {}, state.syncedRevision};
    }
    StoreListReply reply{StoreStatus::Ok, {}, state.syncedRevision, std::exchange(state.silence, {})};
    reply.outage = std::exchange(state.outage, {});
    const TimePoint now = now_();
    reply.returnAge = now - std::exchange(state.pendingReturnedAt, {}).value_or(now);
    const auto entries = std::exchange(state.pendingEntries, {});
    lock.unlock();
    for (const auto &[entry, isOmitted] : entries) {
        reply.entries.push_back(entry);
        if (!isOmitted || entry.isDeleted) {
            continue;
        }
        StoreReply read = ForwardingStore::get(entry.key);
        if (read.status == StoreStatus::Ok) {
            reply.entries.back() = std::move(read.entry);
        } else {
            // The key was deleted meanwhile or could not be read. NotFound makes the caller list the prefix.
            return {StoreStatus::NotFound, {}, reply.revision};
        }
    }
    return reply;
}

StoreListReply RelayedStore::watchStore(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    const TimePoint calledAt = now_();
    {
        const std::lock_guard lock(mutex_);
        prefixes_[std::string(prefix)].watchSentAt = calledAt;
    }
    StoreListReply reply = callThroughBreaker([&] { return ForwardingStore::watch(prefix, afterRevision, timeout); }, timeout);
    const bool isRelayNow = isRelay();
    decltype(Network::broadcast) broadcast;
    std::int64_t lastChangeRevision = 0;
    Duration age{};
    {
        const std::lock_guard lock(mutex_);
        PrefixState &state = prefixes_[std::string(prefix)];
        state.watchSentAt.reset();
        if (reply.status != StoreStatus::Ok) {
            return reply;
        }
        // The store's revision increases with writes to any key. A notice that started at the revision of the last watch would look like a
        // gap to hosts that have not heard of the revisions without changes in between.
        lastChangeRevision = std::min(state.lastChangeRevision, afterRevision);
        state.applyWatch(reply);
        // A relay ignores what the other relay reports: if both have dead connections to the store, they would confirm each other.
        const TimePoint lastHeardAt = isRelayNow ? state.lastReadAt : std::max(state.lastHeardAt, state.lastReadAt);
        reply.silence = std::max(Duration::zero(), calledAt - lastHeardAt);
        reply.outage = std::exchange(state.maxOutage, {});
        const TimePoint now = now_();
        state.lastReadAt = std::max(calledAt, arrivalOf(now));
        age = now - state.lastReadAt;
        reply.returnAge = reply.outage > Duration::zero() ? state.lastReadAt - state.returnedAt : Duration::zero();
        state.lastHeardAt = isRelayNow ? state.lastReadAt : state.lastHeardAt;
        broadcast = network_.broadcast;
    }
    if (isRelayNow && !reply.entries.empty() && broadcast) {
        ChangesNotice notice{std::string(prefix), lastChangeRevision, reply.revision, reply.entries, {}, reply.silence};
        notice.outage = reply.outage;
        notice.returnAge = reply.returnAge;
        notice.age = age;
        stamp(notice);
        broadcast(notice);
    }
    return reply;
}

void RelayedStore::logConfirmation(std::string_view prefix, PrefixState &state, bool isConfirmed, Duration age)
{
    if (isConfirmed != state.isConfirmed) {
        state.isConfirmed = isConfirmed;
        writeLog(LogLevel::Info,
                 isConfirmed ? "relay_confirmed" : "relay_unconfirmed",
                 {{"prefix", prefix}, {"reached", state.syncedRevision}, {"age_ms", toMillis(age)}});
    }
}

void RelayedStore::updateRelaySilence(std::string_view prefix, PrefixState &state, TimePoint now)
{
    const bool areRelaysSilent = now - state.lastHeardAt >= silenceBeforeStoreCall;
    if (areRelaysSilent != state.areRelaysSilent) {
        state.areRelaysSilent = areRelaysSilent;
        writeLog(LogLevel::Info,
                 areRelaysSilent ? "relays_silent" : "relays_heard",
                 {{"prefix", prefix}, {"reached", state.syncedRevision}, {"silent_ms", toMillis(now - state.lastHeardAt)}});
    }
}

StoreLeaseReply RelayedStore::keepAlive(std::int64_t leaseId)
{
    return callThroughBreaker([&] { return ForwardingStore::keepAlive(leaseId); });
}

StoreLeaseReply RelayedStore::grantLease(Duration timeToLive)
{
    return callThroughBreaker([&] { return ForwardingStore::grantLease(timeToLive); });
}

StoreReply RelayedStore::compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId)
{
    return callThroughBreaker([&] { return ForwardingStore::compareAndSwap(key, expectedRevision, value, leaseId); });
}

} // namespace Lovageloft

#include "gateway/relayed_store.h"

#include <algorithm>
#include <random>

#include "core/log.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

namespace
{

/// Two, so that the loss of one is not noticed.
constexpr std::size_t relayCount = 2;

/// With the relays, those who ask the store first when the relays are silent.
constexpr std::size_t rankedCount = 16;

/// How long a relay may be silent before a host asks others, and before the first in rank ask the store themselves. Relays speak twice a
/// second; two lost datagrams are no reason to ask, and a change is still known well within the two seconds that operators allow.
constexpr Duration questionSilence = std::chrono::milliseconds(900);
constexpr Duration relaySilence = std::chrono::milliseconds(1'300);

/// For how long a host that is behind asks others only. They answer within some milliseconds.
constexpr Duration questionTime = relaySilence - questionSilence;
constexpr Duration questionPause = std::chrono::milliseconds(100);

/// Between two hosts in rank that ask the store, and the rate at which all others may do so. A host of 300 waits a second at most, in which
/// what the first ones have read reaches it through others.
constexpr Duration rankPause = std::chrono::milliseconds(10);
constexpr double asksPerSecond = 300;

/// While the store is away: the rate of calls of all hosts, and the pause of those that are first in rank, which the others hear from.
constexpr double failedCallsPerSecond = 100;
constexpr Duration longestRankedBreak = std::chrono::milliseconds(400);

/// How long after the store's last answer to it a relay goes on sending heartbeats. A relay renews its lease and proves its
/// configuration more often than that. With `relaySilence` the others then watch the store themselves 3.3 s after a cut of both
/// relays; without this limit it took as long as the cut.
constexpr Duration oldestContact = std::chrono::seconds(2);

/// A relay whose last watch was answered longer ago than this waits on a connection that has died: watches last three seconds at most.
constexpr Duration oldestWatch = std::chrono::milliseconds(4'500);

/// Wait for a relay's proof: hosts of one region answer within 3 ms.
constexpr Duration proofTimeout = std::chrono::milliseconds(60);

/// A question that nobody answered is forgotten.
constexpr Duration longestQuestion = std::chrono::seconds(2);

/// A proof older than this is no help; the store is asked instead.
constexpr Duration oldestProof = std::chrono::milliseconds(1'500);

} // namespace

template <typename Call>
auto RelayedStore::guarded(Call call)
{
    {
        const std::lock_guard lock(mutex_);
        if (!breaker_.isClosed(now_())) {
            return decltype(call()){};
        }
    }
    auto reply = call();
    const bool isAnswered = reply.status != StoreStatus::Unavailable && reply.status != StoreStatus::AnswerLost;
    const std::lock_guard lock(mutex_);
    if (isAnswered) {
        contactAt_ = now_();
        if (failingSince_) {
            outageEnd_ = contactAt_;
            outage_ = contactAt_ - *failingSince_;
            failingSince_.reset();
        }
        breaker_.onSuccess();
    } else {
        failingSince_ = failingSince_.value_or(contactAt_);
        breaker_.onFailure(now_());
    }
    return reply;
}

RelayedStore::RelayedStore(Store &store, std::string host, Now now)
    : ForwardingStore(store)
    , host_(std::move(host))
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

void RelayedStore::setHosts(const std::vector<std::string> &hosts, const std::vector<std::string> &candidates)
{
    std::vector<std::string> ranked = RendezvousNames(candidates).winners("relay", rankedCount);
    const std::lock_guard lock(mutex_);
    knowsHosts_ = true;
    others_ = hosts;
    std::erase(others_, host_);
    const std::vector<std::string> before(relays().begin(), relays().end());
    ranked_ = std::move(ranked);
    breaker_.setMaxOpenDuration(longestBreak());
    const auto chosen = relays();
    if (!std::equal(chosen.begin(), chosen.end(), before.begin(), before.end())) {
        writeLog(LogLevel::Info, "relays_chosen", {{"first", chosen.empty() ? "" : chosen.front()}, {"last", chosen.empty() ? "" : chosen.back()}});
    }
}

bool RelayedStore::isRelay() const
{
    const std::lock_guard lock(mutex_);
    return isAmongRelays();
}

/// The first in rank.
std::span<const std::string> RelayedStore::relays() const
{
    return std::span(ranked_).first(std::min(ranked_.size(), relayCount));
}

/// With no hosts to choose among each host is its own relay.
bool RelayedStore::isAmongRelays() const
{
    const auto chosen = relays();
    return chosen.empty() || std::find(chosen.begin(), chosen.end(), host_) != chosen.end();
}

bool RelayedStore::isDeputy() const
{
    return std::find(ranked_.begin(), ranked_.end(), host_) != ranked_.end();
}

/// A host that doesn't know the others yet waits for them: they are known within some calls, and a watch of its own would be one more.
bool RelayedStore::watchesItself() const
{
    const std::lock_guard lock(mutex_);
    return knowsHosts_ && isAmongRelays();
}

void RelayedStore::onNotice(const ChangesNotice &notice)
{
    const std::lock_guard lock(mutex_);
    const auto found = followed_.find(notice.prefix);
    if (found == followed_.end() || found->second.reached == 0) {
        return; // Nobody watches it yet; the list comes first.
    }
    FollowedPrefix &followed = found->second;
    const TimePoint now = now_();
    const bool isBetween = notice.latestStart < followed.reached && followed.reached < notice.upTo;
    if (notice.after > followed.reached || isBetween) {
        noteMissing(notice.prefix, followed, notice.upTo, now);
    } else if (notice.upTo >= followed.reached) {
        followed.takeNotice(notice, now);
        followed.heardAt = now;
        breaker_.onPeersAnswered(now, askWindow());
        noteBehind(notice.prefix, followed, now);
    }
    heard_.notify_all();
}

void RelayedStore::onChangesReply(const ChangesReply &reply)
{
    const std::lock_guard lock(mutex_);
    const auto question = changesQuestions_.find(reply.id);
    if (question == changesQuestions_.end()) {
        return;
    }
    const auto found = followed_.find(question->second.prefix);
    const bool isFollowed = found != followed_.end() && found->second.reached != 0 && found->first == reply.changes.prefix;
    if (!isFollowed || reply.changes.after != found->second.reached) {
        return;
    }
    FollowedPrefix &followed = found->second;
    const TimePoint now = now_();
    followed.takeNotice(reply.changes, now);
    if (!isDeputy()) {
        followed.heardAt = std::max(followed.heardAt, question->second.sentAt - reply.age);
    }
    noteBehind(found->first, followed, now);
    heard_.notify_all();
}

std::optional<ChangesReply> RelayedStore::changesFor(const ChangesRequest &request) const
{
    const std::lock_guard lock(mutex_);
    const auto found = followed_.find(request.prefix);
    if (found == followed_.end() || found->second.reached == 0 || found->second.reached < request.after) {
        return std::nullopt;
    }
    const FollowedPrefix &followed = found->second;
    auto entries = followed.log.since(request.after);
    if (!entries) {
        return std::nullopt;
    }
    const TimePoint now = now_();
    const bool isToldByStore = followed.isWatched && hasRecentAnswers(followed, now);
    const Duration age = isToldByStore ? Duration::zero() : std::max(Duration::zero(), now - newsAt(followed));
    return ChangesReply{
        request.id, {request.prefix, request.after, followed.reached, std::move(*entries), {}, followed.silence, request.after, followed.outage}, age};
}

/// Whether the store has answered of late, any call and one about this prefix. What other hosts say doesn't count: two that are cut off would keep
/// each other going.
bool RelayedStore::hasRecentAnswers(const FollowedPrefix &followed, TimePoint now) const
{
    return now - contactAt_ < oldestContact && now - followed.readAt < oldestWatch;
}

/// For how long the store was away after a prefix was read last; zero if it wasn't. A watch that was cut while other calls were answered is no
/// outage: entries that are gone then have not lapsed.
Duration RelayedStore::outageSince(TimePoint readAt) const
{
    return outageEnd_ > readAt ? outage_ : Duration::zero();
}

/// Until when this host has heard of all changes. A deputy that the relays are silent for goes on watching the store, as they do.
TimePoint RelayedStore::newsAt(const FollowedPrefix &followed) const
{
    return isDeputy() ? followed.heardAt : std::max(followed.heardAt, followed.readAt);
}

bool RelayedStore::isBehind(const FollowedPrefix &followed, TimePoint now) const
{
    return followed.needed > followed.reached || now - newsAt(followed) >= questionSilence;
}

/// Begins or ends the search for what is missing. Without other hosts to ask, as in a fleet of one, the store is asked at once.
void RelayedStore::noteBehind(std::string_view prefix, FollowedPrefix &followed, TimePoint now)
{
    if (!isBehind(followed, now)) {
        followed.behindSince.reset();
        return;
    }
    if (!followed.behindSince) {
        followed.behindSince = now;
        const bool canAsk = network_.askChanges && !others_.empty();
        const bool isMissing = followed.needed > followed.reached;
        const Duration wait = canAsk ? questionTime + storeDelay() : (isMissing ? Duration::zero() : questionTime);
        followed.storeAt = now + wait;
        followed.questionAt = now;
        writeLog(LogLevel::Debug, "host_behind", {{"prefix", prefix}, {"reached", followed.reached}, {"needed", followed.needed}});
    }
}

/// A change up to this revision was made and has not come.
void RelayedStore::noteMissing(std::string_view prefix, FollowedPrefix &followed, std::int64_t revision, TimePoint now)
{
    followed.needed = std::max(followed.needed, revision);
    noteBehind(prefix, followed, now);
}

/// A small fleet is no burden to a store that is away, and its hosts are to know at once when it is back.
Duration RelayedStore::longestBreak() const
{
    if (others_.size() < rankedCount) {
        return {};
    }
    return isDeputy() ? longestRankedBreak : fromSeconds(static_cast<double>(others_.size()) / failedCallsPerSecond);
}

/// In which all hosts may ask the store at the rate that is meant for it.
Duration RelayedStore::askWindow() const
{
    return fromSeconds(static_cast<double>(others_.size()) / asksPerSecond);
}

Duration RelayedStore::storeDelay()
{
    const auto place = std::find(ranked_.begin(), ranked_.end(), host_);
    const Duration ofRank = rankPause * (place - ranked_.begin());
    return place != ranked_.end() ? ofRank : ofRank + randomUpTo(random_, askWindow());
}

void RelayedStore::onProofReply(const ProofReply &reply)
{
    const std::lock_guard lock(mutex_);
    const auto question = questions_.find(reply.id);
    if (question != questions_.end()) {
        question->second = reply;
        heard_.notify_all();
    }
}

void RelayedStore::sendHeartbeat()
{
    std::vector<ChangesNotice> notices;
    decltype(Network::broadcast) broadcast;
    {
        const std::lock_guard lock(mutex_);
        broadcast = network_.broadcast;
        const TimePoint now = now_();
        for (const auto &[prefix, followed] : followed_) {
            if (hasRecentAnswers(followed, now)) {
                notices.push_back({prefix, followed.lastChange, followed.reached, {}, {}, {}});
            }
        }
    }
    for (const ChangesNotice &notice : notices) {
        broadcast(notice);
    }
}

StoreReply RelayedStore::get(std::string_view key)
{
    return guarded([&] { return ForwardingStore::get(key); });
}

StoreReply RelayedStore::confirm(std::string_view key, std::int64_t revision)
{
    for (const std::string &host : hostsWithProofs()) {
        const auto reply = askForProof(host);
        if (!reply || reply->age > oldestProof || reply->revision < revision) {
            continue;
        }
        const bool isSame = reply->revision == revision;
        if (!isSame) {
            needRevision(key, reply->revision);
        }
        return {isSame ? StoreStatus::Ok : StoreStatus::Conflict, {std::string(key), {}, reply->revision, false}, reply->age};
    }
    return guarded([&] { return ForwardingStore::confirm(key, revision); });
}

/// A newer revision of a key exists: whoever follows its prefix has missed a change.
void RelayedStore::needRevision(std::string_view key, std::int64_t revision)
{
    const std::lock_guard lock(mutex_);
    for (auto &[prefix, followed] : followed_) {
        if (key.starts_with(prefix) && followed.reached != 0) {
            noteMissing(prefix, followed, revision, now_());
        }
    }
    heard_.notify_all();
}

/// The relays, and if they don't answer one of the deputies and any other host. None on a relay, which asks the store.
std::vector<std::string> RelayedStore::hostsWithProofs()
{
    if (isRelay()) {
        return {};
    }
    const std::lock_guard lock(mutex_);
    std::vector<std::string> hosts(relays().begin(), relays().end());
    // Half of the hosts ask each relay first.
    if (hosts.size() > 1 && randomBelow(random_, 2) == 0) {
        std::swap(hosts.front(), hosts.back());
    }
    for (const std::string &host : hostsToAsk()) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

StoreListReply RelayedStore::list(std::string_view prefix)
{
    StoreListReply reply = guarded([&] { return ForwardingStore::list(prefix); });
    if (reply.status != StoreStatus::Ok) {
        return reply;
    }
    const bool isRelayNow = isRelay();
    std::unique_lock lock(mutex_);
    FollowedPrefix &followed = followed_[std::string(prefix)];
    const TimePoint now = now_();
    reply.outage = outageSince(followed.readAt);
    std::optional<ChangesNotice> changes;
    if (followed.reached != 0 && followed.reached <= reply.revision) {
        changes = followed.changesBy(reply);
        changes->prefix = prefix;
        changes->silence = now - followed.readAt;
        changes->outage = reply.outage;
    }
    followed.takeList(reply, changes);
    followed.heardAt = now;
    followed.readAt = now;
    const auto broadcast = network_.broadcast;
    lock.unlock();
    if (isRelayNow && changes && broadcast) {
        broadcast(*changes);
    }
    return reply;
}

StoreListReply RelayedStore::watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    if (watchesItself()) {
        return watchStore(prefix, afterRevision, timeout);
    }
    std::unique_lock lock(mutex_);
    FollowedPrefix &followed = followed_[std::string(prefix)];
    const TimePoint calledAt = now_();
    const TimePoint limit = calledAt + timeout;
    while (followed.entries.empty()) {
        const TimePoint now = now_();
        noteBehind(prefix, followed, now);
        noteSilence(prefix, followed, now);
        const bool asksStore = followed.behindSince && now >= followed.storeAt;
        if (asksStore && followed.needed <= followed.reached) {
            lock.unlock();
            return watchStore(prefix, afterRevision, std::min(timeout, relaySilence));
        }
        if (followed.behindSince && !asksStore && now >= followed.questionAt) {
            followed.questionAt = now + questionPause;
            askForChanges(prefix, followed.reached, lock);
            continue;
        }
        if (asksStore || now >= limit) {
            break;
        }
        constexpr Duration look = std::chrono::milliseconds(300);
        heard_.wait_for(lock, std::min(followed.behindSince ? questionPause / 2 : look, limit - now));
    }
    const Duration age = std::max(Duration::zero(), calledAt - followed.heardAt);
    StoreListReply reply = takeHeard(followed, lock);
    reply.age = age;
    return reply;
}

/// Two hosts that may know more: one of the first in rank, which ask the store before others do, and any.
std::vector<std::string> RelayedStore::hostsToAsk()
{
    std::vector<std::string> hosts;
    for (const std::vector<std::string> *group : {&ranked_, &others_}) {
        if (group->empty()) {
            continue;
        }
        const std::string &host = (*group)[randomBelow(random_, group->size())];
        if (host != host_ && std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void RelayedStore::askForChanges(std::string_view prefix, std::int64_t reached, std::unique_lock<std::mutex> &lock)
{
    const TimePoint now = now_();
    std::erase_if(changesQuestions_, [now](const auto &question) { return now - question.second.sentAt > longestQuestion; });
    const std::uint64_t id = ++lastQuestion_;
    const std::vector<std::string> hosts = hostsToAsk();
    const auto ask = network_.askChanges;
    if (!ask || hosts.empty()) {
        return;
    }
    changesQuestions_[id] = {std::string(prefix), now};
    lock.unlock();
    for (const std::string &host : hosts) {
        ask(host, {id, std::string(prefix), reached});
    }
    lock.lock();
}

StoreListReply RelayedStore::takeHeard(FollowedPrefix &followed, std::unique_lock<std::mutex> &lock)
{
    if (followed.entries.empty() && followed.needed > followed.reached && now_() >= followed.storeAt) {
        writeLog(LogLevel::Info, "notice_missed", {{"reached", followed.reached}, {"needed", followed.needed}});
        return {StoreStatus::NotFound, {}, followed.reached};
    }
    StoreListReply reply{StoreStatus::Ok, {}, followed.reached, std::exchange(followed.silence, {})};
    reply.outage = std::exchange(followed.outage, {});
    const auto entries = std::exchange(followed.entries, {});
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
            // Gone meanwhile or not to be had: the whole list tells.
            return {StoreStatus::NotFound, {}, reply.revision};
        }
    }
    return reply;
}

StoreListReply RelayedStore::watchStore(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    const TimePoint askedAt = now_();
    setWatched(prefix, true);
    StoreListReply reply = guarded([&] { return ForwardingStore::watch(prefix, afterRevision, timeout); });
    if (reply.status != StoreStatus::Ok) {
        setWatched(prefix, false);
        return reply;
    }
    const bool isRelayNow = isRelay();
    decltype(Network::broadcast) broadcast;
    std::int64_t lastChange = 0;
    {
        const std::lock_guard lock(mutex_);
        FollowedPrefix &followed = followed_[std::string(prefix)];
        // The store's revision moves with every key. A notice that began at the last watch's revision would look like a gap to hosts
        // that were not told of the quiet time in between.
        lastChange = std::min(followed.lastChange, afterRevision);
        followed.takeWatch(reply);
        followed.isWatched = isRelayNow;
        // A relay doesn't go by what the other says: with silent connections to the store the two would vouch for each other.
        const TimePoint heardAt = isRelayNow ? followed.readAt : std::max(followed.heardAt, followed.readAt);
        reply.silence = std::max(Duration::zero(), askedAt - heardAt);
        reply.outage = outageSince(followed.readAt);
        followed.readAt = now_();
        followed.heardAt = isRelayNow ? followed.readAt : followed.heardAt;
        broadcast = network_.broadcast;
    }
    if (isRelayNow && !reply.entries.empty() && broadcast) {
        ChangesNotice notice{std::string(prefix), lastChange, reply.revision, reply.entries, {}, reply.silence};
        notice.outage = reply.outage;
        broadcast(notice);
    }
    return reply;
}

void RelayedStore::setWatched(std::string_view prefix, bool isWatched)
{
    const std::lock_guard lock(mutex_);
    followed_[std::string(prefix)].isWatched = isWatched;
}

void RelayedStore::noteSilence(std::string_view prefix, FollowedPrefix &followed, TimePoint now)
{
    const bool isSilent = now - followed.heardAt >= relaySilence;
    if (isSilent != followed.isSilent) {
        followed.isSilent = isSilent;
        writeLog(LogLevel::Info,
                 isSilent ? "relays_silent" : "relays_heard",
                 {{"prefix", prefix}, {"reached", followed.reached}, {"silent_ms", toMillis(now - followed.heardAt)}});
    }
}

std::optional<ProofReply> RelayedStore::askForProof(const std::string &host)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t id = ++lastQuestion_;
    questions_[id] = std::nullopt;
    const auto ask = network_.ask;
    lock.unlock();
    if (ask) {
        ask(host, {id});
    }
    lock.lock();
    heard_.wait_for(lock, proofTimeout, [&] { return questions_.at(id).has_value(); });
    const auto reply = questions_.at(id);
    questions_.erase(id);
    return reply;
}

StoreLeaseReply RelayedStore::keepAlive(std::int64_t leaseId)
{
    return guarded([&] { return ForwardingStore::keepAlive(leaseId); });
}

StoreLeaseReply RelayedStore::grantLease(Duration timeToLive)
{
    return guarded([&] { return ForwardingStore::grantLease(timeToLive); });
}

StoreReply RelayedStore::compareAndSwap(std::string_view key, std::int64_t expectedRevision, std::string_view value, std::int64_t leaseId)
{
    return guarded([&] { return ForwardingStore::compareAndSwap(key, expectedRevision, value, leaseId); });
}

} // namespace Lovageloft

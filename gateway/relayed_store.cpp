#include "gateway/relayed_store.h"

#include <algorithm>

#include "core/log.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

namespace
{

/// Two, so that the loss of one is not noticed.
constexpr std::size_t relayCount = 2;

/// How long a relay may be silent before a host watches the store itself. Relays speak twice a second; two lost datagrams are no
/// reason to ask, and a change is still known well within the two seconds that operators allow.
constexpr Duration relaySilence = std::chrono::milliseconds(1'300);

/// How long after the store's last answer to it a relay goes on saying that it lives. A relay renews its lease and proves its
/// configuration more often than that. With `relaySilence` the others then watch the store themselves 3.3 s after a cut of both
/// relays; without this limit it took as long as the cut.
constexpr Duration oldestContact = std::chrono::seconds(2);

/// A relay whose last watch was answered longer ago than this waits on a connection that has died: watches last three seconds at most.
constexpr Duration oldestWatch = std::chrono::milliseconds(4'500);

/// Wait for a relay's proof: hosts of one region answer within 3 ms.
constexpr Duration proofTimeout = std::chrono::milliseconds(60);

/// A proof older than this is no help; the store is asked instead.
constexpr Duration oldestProof = std::chrono::milliseconds(1'500);

} // namespace

template <typename Reply>
Reply RelayedStore::noted(Reply reply)
{
    const bool isAnswered = reply.status != StoreStatus::Unavailable && reply.status != StoreStatus::AnswerLost;
    if (isAnswered) {
        const std::lock_guard lock(mutex_);
        contactAt_ = now_();
    }
    return reply;
}

RelayedStore::RelayedStore(Store &store, std::string host, Now now)
    : ForwardingStore(store)
    , host_(std::move(host))
    , now_(std::move(now))
{
}

void RelayedStore::setNetwork(Network network)
{
    const std::lock_guard lock(mutex_);
    network_ = std::move(network);
}

void RelayedStore::setHosts(const std::vector<std::string> &hosts)
{
    std::vector<std::string> relays = RendezvousNames(hosts).winners("relay", relayCount);
    const std::lock_guard lock(mutex_);
    if (relays != relays_) {
        relays_ = std::move(relays);
        writeLog(LogLevel::Info, "relays_chosen", {{"first", relays_.empty() ? "" : relays_.front()}, {"last", relays_.empty() ? "" : relays_.back()}});
    }
}

bool RelayedStore::isRelay() const
{
    const std::lock_guard lock(mutex_);
    return relays_.empty() || std::find(relays_.begin(), relays_.end(), host_) != relays_.end();
}

void RelayedStore::onNotice(const ChangesNotice &notice)
{
    const std::lock_guard lock(mutex_);
    const auto found = followed_.find(notice.prefix);
    if (found == followed_.end() || found->second.reached == 0) {
        return; // Nobody watches it yet; the list comes first.
    }
    Followed &followed = found->second;
    if (notice.after > followed.reached) {
        followed.hasGap = true;
    } else if (notice.upTo >= followed.reached) {
        const TimePoint now = now_();
        const Duration silence = std::max(notice.silence, now - std::max(followed.heardAt, followed.readAt));
        followed.heardAt = now;
        for (std::size_t i = 0; i < notice.entries.size(); ++i) {
            if (notice.entries[i].revision > followed.reached) {
                followed.silence = std::max(followed.silence, silence);
                followed.entries.emplace_back(notice.entries[i], notice.omitted[i]);
                followed.lastChange = std::max(followed.lastChange, notice.entries[i].revision);
            }
        }
        followed.reached = notice.upTo;
    }
    heard_.notify_all();
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

void RelayedStore::sayAlive()
{
    std::vector<ChangesNotice> notices;
    Network network;
    {
        const std::lock_guard lock(mutex_);
        network = network_;
        // Only the store's own answers count. What the other relay says does not: two that are cut off would keep each other going.
        const TimePoint now = now_();
        for (const auto &[prefix, followed] : followed_) {
            if (now - contactAt_ < oldestContact && now - followed.readAt < oldestWatch) {
                notices.push_back({prefix, followed.lastChange, followed.reached, {}, {}, {}});
            }
        }
    }
    for (const ChangesNotice &notice : notices) {
        network.tellAll(notice);
    }
}

StoreReply RelayedStore::get(std::string_view key)
{
    return noted(ForwardingStore::get(key));
}

StoreReply RelayedStore::confirm(std::string_view key, std::int64_t revision)
{
    std::vector<std::string> relays;
    if (!isRelay()) {
        const std::lock_guard lock(mutex_);
        relays = relays_;
    }
    for (const std::string &relay : relays) {
        const auto reply = askRelay(relay);
        if (!reply || reply->age > oldestProof || reply->revision < revision) {
            continue;
        }
        const bool isSame = reply->revision == revision;
        return {isSame ? StoreStatus::Ok : StoreStatus::Conflict, {std::string(key), {}, reply->revision, false}, reply->age};
    }
    return noted(ForwardingStore::confirm(key, revision));
}

StoreListReply RelayedStore::list(std::string_view prefix)
{
    StoreListReply reply = noted(ForwardingStore::list(prefix));
    if (reply.status == StoreStatus::Ok) {
        const std::lock_guard lock(mutex_);
        Followed &followed = followed_[std::string(prefix)];
        followed = {};
        followed.reached = reply.revision;
        followed.lastChange = reply.revision;
        followed.heardAt = now_();
        followed.readAt = followed.heardAt;
    }
    return reply;
}

StoreListReply RelayedStore::watch(std::string_view prefix, std::int64_t afterRevision, Duration timeout)
{
    if (isRelay()) {
        return watchStore(prefix, afterRevision, timeout);
    }
    std::unique_lock lock(mutex_);
    Followed &followed = followed_[std::string(prefix)];
    const TimePoint limit = now_() + timeout;
    while (followed.entries.empty() && !followed.hasGap && now_() < limit) {
        if (!hears(prefix, followed, now_())) {
            lock.unlock();
            return watchStore(prefix, afterRevision, std::min(timeout, relaySilence));
        }
        constexpr Duration look = std::chrono::milliseconds(300);
        heard_.wait_for(lock, std::min(look, limit - now_()));
    }
    return takeHeard(followed, lock);
}

StoreListReply RelayedStore::takeHeard(Followed &followed, std::unique_lock<std::mutex> &lock)
{
    if (followed.hasGap) {
        writeLog(LogLevel::Info, "notice_missed", {{"reached", followed.reached}});
        return {StoreStatus::NotFound, {}, followed.reached};
    }
    StoreListReply reply{StoreStatus::Ok, {}, followed.reached, std::exchange(followed.silence, {})};
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
    StoreListReply reply = noted(ForwardingStore::watch(prefix, afterRevision, timeout));
    if (reply.status != StoreStatus::Ok) {
        return reply;
    }
    const bool isRelayNow = isRelay();
    Network network;
    std::int64_t lastChange = 0;
    {
        const std::lock_guard lock(mutex_);
        Followed &followed = followed_[std::string(prefix)];
        // The store's revision moves with every key. A notice that began at the last watch's revision would look like a gap to hosts
        // that were not told of the quiet time in between.
        lastChange = std::min(followed.lastChange, afterRevision);
        followed.lastChange = std::max(followed.lastChange, reply.entries.empty() ? 0 : reply.entries.back().revision);
        // Notices may have come while the store was asked. What the answer holds already must not be handed out after it.
        std::erase_if(followed.entries, [&reply](const auto &heard) { return heard.first.revision <= reply.revision; });
        followed.silence = followed.entries.empty() ? Duration::zero() : followed.silence;
        followed.reached = std::max(followed.reached, reply.revision);
        // A relay doesn't go by what the other says: with silent connections to the store the two would vouch for each other.
        const TimePoint heardAt = isRelayNow ? followed.readAt : std::max(followed.heardAt, followed.readAt);
        reply.silence = std::max(Duration::zero(), askedAt - heardAt);
        followed.readAt = now_();
        followed.heardAt = isRelayNow ? followed.readAt : followed.heardAt;
        network = network_;
    }
    if (isRelayNow && !reply.entries.empty() && network.tellAll) {
        network.tellAll({std::string(prefix), lastChange, reply.revision, reply.entries, {}, reply.silence});
    }
    return reply;
}

bool RelayedStore::hears(std::string_view prefix, Followed &followed, TimePoint now)
{
    const bool isSilent = now - followed.heardAt >= relaySilence;
    if (isSilent != followed.isSilent) {
        followed.isSilent = isSilent;
        writeLog(LogLevel::Info,
                 isSilent ? "relays_silent" : "relays_heard",
                 {{"prefix", prefix}, {"reached", followed.reached}, {"silent_ms", toMillis(now - followed.heardAt)}});
    }
    return !isSilent;
}

std::optional<ProofReply> RelayedStore::askRelay(const std::string &relay)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t id = ++lastQuestion_;
    questions_[id] = std::nullopt;
    const auto ask = network_.ask;
    lock.unlock();
    if (ask) {
        ask(relay, {id});
    }
    lock.lock();
    heard_.wait_for(lock, proofTimeout, [&] { return questions_.at(id).has_value(); });
    const auto reply = questions_.at(id);
    questions_.erase(id);
    return reply;
}

StoreLeaseReply RelayedStore::keepAlive(std::int64_t leaseId)
{
    return noted(ForwardingStore::keepAlive(leaseId));
}

} // namespace Lovageloft

#include "decision/stream_origins.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

namespace Lovageloft
{

namespace
{

/// Limits memory to some megabytes; a host has the streams that it began and twice its even share of the fleet's.
constexpr std::size_t maxEntries = 32'768;

/// Fleets up to this size ask all hosts at once, and have three homes for each stream: while some of few hosts are down, two are easily lost.
constexpr std::size_t smallFleet = 16;

/// After this time without an answer of the homes all hosts are asked, and again each time it has passed.
constexpr Duration askInterval = std::chrono::milliseconds(12);

std::uint64_t toNumber(StreamKey key)
{
    return static_cast<std::uint64_t>(key);
}

std::string keyText(StreamKey key)
{
    return std::to_string(toNumber(key));
}

} // namespace

StreamKey streamKey(std::string_view attemptId, std::string_view team, std::string_view service)
{
    std::uint64_t digest = 0;
    for (const std::string_view part : {attemptId, team, service}) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    return StreamKey{digest};
}

StreamOrigins::StreamOrigins(std::string host, Links links)
    : host_(std::move(host))
    , links_(std::move(links))
{
}

void StreamOrigins::setHosts(const std::vector<std::string> &hosts, TimePoint now)
{
    if (hosts == hosts_) {
        return;
    }
    removeExpired(now);
    const bool wereUnknown = hosts_.empty();
    hosts_ = hosts;
    const RendezvousNames earlier = std::exchange(candidates_, RendezvousNames(hosts));
    sendToNewHomes(earlier);
    if (!wereUnknown) {
        return;
    }
    // Streams that were resumed before this host, which has just started, knew the others.
    std::vector<std::uint64_t> waiting;
    std::transform(lookups_.begin(), lookups_.end(), std::back_inserter(waiting), [](const auto &entry) { return entry.first; });
    for (const std::uint64_t key : waiting) {
        if (const auto found = lookups_.find(key); found != lookups_.end()) {
            askFirst(found, now);
        }
    }
}

void StreamOrigins::sendToNewHomes(const RendezvousNames &earlier)
{
    for (const auto &[number, entry] : entries_) {
        if (!entry.isOwn || entry.version == 0) {
            continue;
        }
        const StreamKey key{number};
        const std::vector<std::string> before = homesOf(key, earlier);
        for (const std::string &home : homesOf(key, candidates_)) {
            if (std::find(before.begin(), before.end(), home) == before.end()) {
                links_.sendRecord(home, {key, entry.version});
            }
        }
    }
}

void StreamOrigins::setRetention(Duration retention)
{
    history_.setRetention(retention);
}

void StreamOrigins::setTargets(std::span<const ServiceVersion> listed, TimePoint now)
{
    history_.setTargets(listed, now);
    removeExpired(now);
}

void StreamOrigins::setEarlier(const std::set<std::string, std::less<>> &skewed, const std::map<std::string, std::string, std::less<>> &serving)
{
    history_.setEarlier(skewed, serving);
}

void StreamOrigins::observe(TimePoint listedUntil)
{
    history_.observe(listedUntil);
}

void StreamOrigins::setSkewed(std::set<std::string, std::less<>> services)
{
    history_.setSkewed(std::move(services));
}

void StreamOrigins::onBegun(StreamKey key, std::string_view version, TimePoint now)
{
    removeExpired(now);
    insert(key, {shortDigest(version), true}, now);
    for (const std::string &home : homesOf(key, candidates_)) {
        links_.sendRecord(home, {key, shortDigest(version)});
    }
}

void StreamOrigins::find(StreamKey key, std::string_view service, TimePoint now, Handler handler)
{
    removeExpired(now);
    if (const auto origin = findRecord(key, service, now)) {
        handler(*origin);
        return;
    }
    const auto [entry, isNew] = lookups_.try_emplace(toNumber(key));
    Lookup &lookup = entry->second;
    lookup.handlers.push_back(std::move(handler));
    if (!isNew) {
        return;
    }
    lookup.service = service;
    lookup.deadline = now + lookupTimeout;
    lookup.askAt = lookup.deadline;
    if (!hosts_.empty()) {
        askFirst(entry, now);
    }
}

/// Asks the hosts of the fleet for the first time.
void StreamOrigins::askFirst(Lookups::iterator entry, TimePoint now)
{
    const StreamKey key{entry->first};
    Lookup &lookup = entry->second;
    lookup.silent.insert(hosts_.begin(), hosts_.end());
    lookup.silent.erase(host_);
    if (lookup.silent.empty()) {
        finish(entry, conclude(lookup.service, now));
        return;
    }
    lookup.askAt = now + askInterval;
    if (hosts_.size() <= smallFleet) {
        askSilent(key, lookup, now);
        return;
    }
    // One more than there are homes, as the host of the stream may be among the first and is none.
    lookup.homes = candidates_.winners(keyText(key), homeCount() + 1);
    std::erase(lookup.homes, host_);
    ask(key, lookup, lookup.homes);
}

/// What this host's own records say.
std::optional<StreamOrigins::Origin> StreamOrigins::findRecord(StreamKey key, std::string_view service, TimePoint now) const
{
    const auto entry = entries_.find(toNumber(key));
    return entry != entries_.end() ? std::optional(originOf(service, entry->second.version, "here", now)) : std::nullopt;
}

/// What is concluded where no host has a record. A list of targets lags, so that a record goes first.
StreamOrigins::Origin StreamOrigins::conclude(std::string_view service, TimePoint now) const
{
    const auto version = history_.onlyVersion(service, now);
    return version ? Origin{Knowledge::Known, *version, "only_version"} : Origin{Knowledge::Unknown, {}, "none"};
}

StreamOrigins::Origin StreamOrigins::originOf(std::string_view service, std::uint32_t version, std::string_view source, TimePoint now) const
{
    if (version == 0) {
        return {Knowledge::Unknown, {}, "none"};
    }
    const auto name = history_.versionName(service, version, now);
    return name ? Origin{Knowledge::Known, *name, source} : Origin{Knowledge::Unlisted, {}, source};
}

void StreamOrigins::onRecord(const StreamRecord &record, TimePoint now)
{
    if (record.version == 0) {
        return;
    }
    removeExpired(now);
    insert(record.key, {record.version, false}, now);
    onReply({}, record, now);
}

std::optional<StreamRecord> StreamOrigins::onQuery(const std::string &host, const StreamQuery &query) const
{
    if (query.key == StreamKey{}) {
        sendRecordsOf(host);
        return std::nullopt;
    }
    const auto entry = entries_.find(toNumber(query.key));
    return StreamRecord{query.key, entry != entries_.end() ? entry->second.version : 0};
}

void StreamOrigins::sendRecordsOf(const std::string &home) const
{
    for (const auto &[number, entry] : entries_) {
        if (!entry.isOwn || entry.version == 0) {
            continue;
        }
        const StreamKey key{number};
        const std::vector<std::string> homes = homesOf(key, candidates_);
        if (std::find(homes.begin(), homes.end(), home) != homes.end()) {
            links_.sendRecord(home, {key, entry.version});
        }
    }
}

/// A host that has just started lacks the records that its process before held.
void StreamOrigins::askForRecords(TimePoint now)
{
    if (hasAskedForRecords_ || hosts_.empty()) {
        return;
    }
    hasAskedForRecords_ = true;
    if (!history_.isYoung(now)) {
        return;
    }
    for (const std::string &host : hosts_) {
        if (host != host_) {
            links_.sendQuery(host, {});
        }
    }
}

void StreamOrigins::onReply(const std::string &host, const StreamRecord &reply, TimePoint now)
{
    const auto found = lookups_.find(toNumber(reply.key));
    if (found == lookups_.end()) {
        return;
    }
    Lookup &lookup = found->second;
    if (reply.version != 0) {
        finish(found, originOf(lookup.service, reply.version, "other_host", now));
        return;
    }
    lookup.silent.erase(host);
    lookup.isAnswered = true;
    if (lookup.silent.empty()) {
        finish(found, conclude(lookup.service, now));
        return;
    }
    const bool isHomeSilent = std::any_of(lookup.homes.begin(), lookup.homes.end(), [&lookup](const auto &home) { return lookup.silent.contains(home); });
    if (!lookup.homes.empty() && !isHomeSilent) {
        lookup.homes.clear();
        askSilent(reply.key, lookup, now);
    }
}

void StreamOrigins::onTick(TimePoint now)
{
    removeExpired(now);
    askForRecords(now);
    std::vector<std::pair<std::uint64_t, Origin>> ended;
    for (auto &[key, lookup] : lookups_) {
        if (const auto origin = findRecord(StreamKey{key}, lookup.service, now)) {
            ended.emplace_back(key, *origin);
        } else if (now >= lookup.deadline) {
            // A host that nobody answers is cut off, and what its list lacks may have happened meanwhile.
            ended.emplace_back(key, lookup.isAnswered ? conclude(lookup.service, now) : Origin{Knowledge::Unknown, {}, "none"});
        } else if (now >= lookup.askAt) {
            askSilent(StreamKey{key}, lookup, now);
        }
    }
    for (const auto &[key, origin] : ended) {
        // A handler may begin other lookups, which moves the elements.
        if (const auto found = lookups_.find(key); found != lookups_.end()) {
            finish(found, origin);
        }
    }
}

std::optional<TimePoint> StreamOrigins::nextEvent() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, lookup] : lookups_) {
        const TimePoint at = std::min(lookup.askAt, lookup.deadline);
        next = std::min(next.value_or(at), at);
    }
    return next;
}

std::size_t StreamOrigins::size() const
{
    return entries_.size();
}

/// The homes of a stream that this host's callers began: the first that are not this host.
std::vector<std::string> StreamOrigins::homesOf(StreamKey key, const RendezvousNames &candidates) const
{
    std::vector<std::string> homes = candidates.winners(keyText(key), homeCount() + 1);
    std::erase(homes, host_);
    homes.resize(std::min(homes.size(), homeCount()));
    return homes;
}

std::size_t StreamOrigins::homeCount() const
{
    constexpr std::size_t few = 2;
    return hosts_.size() <= smallFleet ? few + 1 : few;
}

/// Adds an entry. An id that a caller has used for two streams of different versions says nothing of either.
void StreamOrigins::insert(StreamKey key, const Entry &entry, TimePoint now)
{
    const auto [known, isNew] = entries_.try_emplace(toNumber(key), entry);
    if (!isNew) {
        known->second.version = known->second.version == entry.version ? entry.version : 0;
        return;
    }
    expiries_.emplace_back(now, toNumber(key));
    if (entries_.size() > maxEntries) {
        entries_.erase(expiries_.front().second);
        expiries_.pop_front();
    }
}

void StreamOrigins::ask(StreamKey key, const Lookup &lookup, std::span<const std::string> hosts) const
{
    const StreamQuery query{key, shortDigest(lookup.service)};
    for (const std::string &host : hosts) {
        links_.sendQuery(host, query);
    }
}

void StreamOrigins::askSilent(StreamKey key, Lookup &lookup, TimePoint now) const
{
    lookup.askAt = now + askInterval;
    const std::vector<std::string> hosts(lookup.silent.begin(), lookup.silent.end());
    ask(key, lookup, hosts);
}

void StreamOrigins::finish(Lookups::iterator lookup, const Origin &origin)
{
    const std::vector<Handler> handlers = std::move(lookup->second.handlers);
    lookups_.erase(lookup);
    for (const Handler &handler : handlers) {
        handler(origin);
    }
}

void StreamOrigins::removeExpired(TimePoint now)
{
    while (!expiries_.empty() && now - expiries_.front().first >= history_.retention()) {
        entries_.erase(expiries_.front().second);
        expiries_.pop_front();
    }
}

} // namespace Lovageloft

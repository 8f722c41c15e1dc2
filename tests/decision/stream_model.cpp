#include "tests/decision/stream_model.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "coordination/serving_versions.h"

namespace Lovageloft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view service = "s";
constexpr std::string_view team = "t";
constexpr std::size_t recordSize = 23;

/// A version gets streams only so long after a host has first listed it.
constexpr Duration newVersionDelay = ServingVersions::newVersionDelay;

/// Until a host learns of a change of the targets.
constexpr Duration maxListDelay = 300ms;

/// Between two notices of a relay, each of which may state the store's answer of so long ago.
constexpr Duration noticeInterval = 500ms;
constexpr Duration maxNoticeAge = 350ms;

/// Until a host learns that another one has gone.
constexpr Duration maxHostsDelay = 3s;

/// Until a host that starts has read who is up.
constexpr Duration maxFirstListDelay = 50ms;

constexpr Duration tickInterval = 5ms;
constexpr Duration maxStreamTime = 3s;
constexpr Duration maxReturnTime = 500ms;
constexpr Duration maxLateness = 500ms;

std::string nameOf(std::size_t host)
{
    return "host-" + std::to_string(host);
}

} // namespace

StreamModel::StreamModel(const Options &options)
    : options_(options)
    , random_(options.seed)
    , hosts_(options.hosts)
{
    listed_.emplace("v1", now_ - 1h);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        start(i, true);
    }
    tellHosts();
    at(now_, [this] { begin(); });
}

void StreamModel::at(TimePoint time, std::function<void()> action)
{
    events_.push({time, ++lastEvent_, std::move(action)});
}

std::size_t StreamModel::random(std::size_t bound)
{
    return randomBelow(random_, bound);
}

bool StreamModel::isUp(std::size_t index) const
{
    return hosts_[index].origins != nullptr && now_ >= hosts_[index].pausedUntil;
}

/// Hosts that run from the beginning know of the hour before.
void StreamModel::start(std::size_t index, bool isFirst)
{
    Host &host = hosts_[index];
    ++host.process;
    host.versions.clear();
    const StreamOrigins::Links links{[this, index](const std::string &to, const StreamRecord &record) {
                                         counts_.recordBytes += recordSize;
                                         send(index, to, [this, record](std::size_t receiver) { hosts_[receiver].origins->onRecord(record, now_); });
                                     },
                                     [this, index](const std::string &to, const StreamQuery &query) {
                                         send(index, to, [this, index, query](std::size_t receiver) {
                                             hosts_[receiver].origins->observe(hosts_[receiver].viewedUntil);
                                             if (const auto reply = hosts_[receiver].origins->onQuery(nameOf(index), query)) {
                                                 send(receiver, nameOf(index), [this, receiver, reply](std::size_t asker) {
                                                     hosts_[asker].origins->onReply(nameOf(receiver), *reply, now_);
                                                 });
                                             }
                                         });
                                     }};
    host.origins = std::make_unique<StreamOrigins>(nameOf(index), links);
    if (isFirst) {
        host.origins->setTargets({}, now_ - 1h);
        host.viewedUntil = now_;
        host.versions = listed_;
    }
    tellTargets(index);
    if (options_.usesEarlierSkew) {
        host.origins->setEarlier(isSkewRecorded() ? std::set<std::string, std::less<>>{std::string(service)} : std::set<std::string, std::less<>>{},
                                 {{std::string(service), servingRecord_}});
    }
    at(now_ + maxFirstListDelay, [this, index, process = host.process] {
        if (hosts_[index].process == process) {
            hosts_[index].origins->setHosts(namesOfHostsUp(), now_);
        }
    });
    tick(index, host.process);
    at(now_ + randomUpTo(random_, noticeInterval), [this, index, process = host.process] { hearRelay(index, process); });
}

/// A notice shows until when the host's list is complete, unless it has missed a change.
void StreamModel::hearRelay(std::size_t index, int process)
{
    Host &host = hosts_[index];
    if (host.process != process || host.origins == nullptr) {
        return;
    }
    if (now_ >= host.cutUntil) {
        const TimePoint until = std::min(now_ - randomUpTo(random_, maxNoticeAge), host.listBehindSince.value_or(TimePoint::max()));
        at(std::max(now_, host.pausedUntil), [this, index, until] { view(index, until); });
    }
    at(now_ + noticeInterval, [this, index, process] { hearRelay(index, process); });
}

/// When a host hears of changes again.
TimePoint StreamModel::inStepAt(std::size_t index) const
{
    return std::max({now_, hosts_[index].pausedUntil, hosts_[index].cutUntil});
}

void StreamModel::send(std::size_t from, const std::string &to, std::function<void(std::size_t to)> deliver)
{
    const std::size_t receiver = std::stoul(to.substr(to.find('-') + 1));
    const auto shared = std::make_shared<const std::function<void(std::size_t)>>(std::move(deliver)); // For copies of the message.
    const int copies = random(1'000) < static_cast<std::size_t>(options_.doubledRate * 1'000) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (random(1'000) < static_cast<std::size_t>(options_.lossRate * 1'000)) {
            continue;
        }
        const bool isLate = random(1'000) < static_cast<std::size_t>(options_.lateRate * 1'000);
        const Duration delay = 500us + randomUpTo(random_, isLate ? maxLateness : Duration(1ms));
        at(now_ + delay, [this, from, receiver, shared] {
            const bool isCut = now_ < hosts_[receiver].cutUntil || now_ < hosts_[from].cutUntil;
            if (hosts_[receiver].origins == nullptr || hosts_[from].process == 0 || isCut) {
                return;
            }
            const TimePoint ready = hosts_[receiver].pausedUntil;
            if (now_ >= ready) {
                (*shared)(receiver);
                return;
            }
            at(ready, [this, receiver, shared] {
                if (isUp(receiver)) {
                    (*shared)(receiver);
                }
            });
        });
    }
}

void StreamModel::tellTargets(std::size_t index)
{
    Host &host = hosts_[index];
    if (host.origins == nullptr) {
        return;
    }
    if (now_ < inStepAt(index)) {
        at(inStepAt(index) + randomUpTo(random_, maxListDelay), [this, index] { tellTargets(index); });
        return;
    }
    host.listBehindSince.reset();
    std::vector<ServiceVersion> targets;
    for (const auto &[version, since] : listed_) {
        host.versions.try_emplace(version, now_);
        targets.push_back({service, version});
    }
    std::erase_if(host.versions, [this](const auto &entry) { return !listed_.contains(entry.first); });
    host.origins->setTargets(targets, now_);
    view(index, now_);
}

/// A host has heard of all that the store held until then.
void StreamModel::view(std::size_t index, TimePoint until)
{
    Host &host = hosts_[index];
    if (host.origins == nullptr || until < host.viewedUntil) {
        return;
    }
    host.viewedUntil = until;
    const bool isRecorded = skewRecordedSince_ <= until && until < skewRecordedUntil_;
    host.origins->setSkewed(isRecorded ? std::set<std::string, std::less<>>{std::string(service)} : std::set<std::string, std::less<>>{});
}

void StreamModel::list(const std::string &version, bool isListed)
{
    if (isListed) {
        listed_.try_emplace(version, now_);
    } else {
        listed_.erase(version);
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].listBehindSince = hosts_[i].listBehindSince.value_or(now_);
        at(inStepAt(i) + randomUpTo(random_, maxListDelay), [this, i] { tellTargets(i); });
    }
}

/// Each host learns at another time who is up.
void StreamModel::tellHosts()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const Duration delay = lastStream_ == 0 ? Duration::zero() : randomUpTo(random_, maxHostsDelay);
        at(now_ + delay, [this, i] {
            if (hosts_[i].origins != nullptr) {
                hosts_[i].origins->setHosts(namesOfHostsUp(), now_);
            }
        });
    }
}

std::vector<std::string> StreamModel::namesOfHostsUp() const
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].origins != nullptr) {
            names.push_back(nameOf(i));
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

void StreamModel::tick(std::size_t index, int process)
{
    if (hosts_[index].process != process || hosts_[index].origins == nullptr) {
        return;
    }
    if (isUp(index)) {
        hosts_[index].origins->observe(hosts_[index].viewedUntil);
        hosts_[index].origins->onTick(now_);
        lead(index);
    }
    at(now_ + tickInterval, [this, index, process] { tick(index, process); });
}

/// What the leader, the first host that is up, records in the store.
void StreamModel::lead(std::size_t index)
{
    const bool isLeader =
        std::none_of(hosts_.begin(), hosts_.begin() + static_cast<std::ptrdiff_t>(index), [](const Host &host) { return host.origins != nullptr; });
    if (!isLeader || now_ < nextWriteAt_ || isStoreAway_) {
        return;
    }
    const Host &host = hosts_[index];
    const bool isReplaced = !host.versions.empty() && !host.versions.contains(servingRecord_);
    if (isReplaced || !host.origins->history().skewedServices(now_).empty()) {
        write(index, [this, until = now_ + 2 * host.origins->history().retention()] {
            skewRecordedSince_ = isSkewRecorded() ? skewRecordedSince_ : now_;
            skewRecordedUntil_ = until;
        });
    }
    if (isReplaced && isSkewRecorded()) {
        write(index, [this, version = host.versions.begin()->first] { servingRecord_ = version; });
    }
}

/// A write of a host that is killed before it has taken effect is lost.
void StreamModel::write(std::size_t index, std::function<void()> change)
{
    const Duration delay = randomUpTo(random_, options_.maxWriteDelay);
    nextWriteAt_ = now_ + options_.maxWriteDelay;
    at(now_ + delay, [this, index, process = hosts_[index].process, change = std::move(change)] {
        if (hosts_[index].process == process && !isStoreAway_) {
            change();
        }
    });
}

bool StreamModel::isSkewRecorded() const
{
    return now_ < skewRecordedUntil_;
}

void StreamModel::setStoreAway(bool isAway)
{
    isStoreAway_ = isAway;
}

void StreamModel::killAll(Duration downTime)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        kill({i}, randomUpTo(random_, downTime));
    }
}

void StreamModel::begin()
{
    at(now_ + fromSeconds(1.0 / options_.streamsPerSecond), [this] { begin(); });
    std::erase_if(streams_, [this](const Stream &stream) { return stream.end <= now_; });
    const std::size_t index = random(hosts_.size());
    std::vector<std::string> serving;
    for (const auto &[version, since] : hosts_[index].versions) {
        const bool isOnly = hosts_[index].versions.size() == 1;
        if (now_ - since >= newVersionDelay && (isOnly || isSkewRecorded() || version == servingRecord_)) {
            serving.push_back(version);
        }
    }
    if (serving.empty() && hosts_[index].versions.size() == 1) {
        serving.push_back(hosts_[index].versions.begin()->first); // Else nobody would serve.
    }
    if (!isUp(index) || serving.empty()) {
        return;
    }
    Stream stream{"r" + std::to_string(++lastStream_), serving[random(serving.size())], index, now_ + randomUpTo(random_, maxStreamTime)};
    hosts_[index].origins->onBegun(streamKey(stream.id, team, service), stream.version, now_);
    ++counts_.begun;
    streams_.push_back(std::move(stream));
}

void StreamModel::resume(const Stream &stream, std::optional<std::size_t> host)
{
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (isUp(i) && host.value_or(i) == i) {
            up.push_back(i);
        }
    }
    if (up.empty()) {
        at(now_ + randomUpTo(random_, maxReturnTime), [this, stream, host] { resume(stream, host); });
        return;
    }
    ++counts_.resumptions;
    const std::size_t index = up[random(up.size())];
    StreamOrigins &origins = *hosts_[index].origins;
    const TimePoint askedAt = now_;
    origins.observe(hosts_[index].viewedUntil);
    origins.find(streamKey(stream.id, team, service), service, now_, [this, stream, askedAt](const StreamOrigins::Origin &origin) {
        counts_.lookupTimes.push_back(now_ - askedAt);
        const bool isKnown = origin.knowledge == StreamOrigins::Knowledge::Known;
        counts_.joined += isKnown && origin.version != stream.version ? 1 : 0;
        counts_.wentOn += isKnown && origin.version == stream.version ? 1 : 0;
        counts_.refused += !isKnown && listed_.contains(stream.version) ? 1 : 0;
    });
}

void StreamModel::kill(const std::vector<std::size_t> &hosts, Duration downTime)
{
    const std::set<std::size_t> killed(hosts.begin(), hosts.end());
    for (const std::size_t index : killed) {
        hosts_[index].origins.reset();
        ++hosts_[index].process;
        at(now_ + downTime, [this, index] {
            if (hosts_[index].origins == nullptr) {
                start(index, false);
                tellHosts();
            }
        });
    }
    for (const Stream &stream : streams_) {
        if (killed.contains(stream.host) && stream.end > now_) {
            at(now_ + 10ms + randomUpTo(random_, maxReturnTime), [this, stream] { resume(stream); });
        }
    }
    std::erase_if(streams_, [&killed](const Stream &stream) { return killed.contains(stream.host); });
    tellHosts();
}

void StreamModel::pause(std::size_t host, Duration time)
{
    hosts_[host].pausedUntil = std::max(hosts_[host].pausedUntil, now_ + time);
}

void StreamModel::cut(std::size_t host, Duration time)
{
    hosts_[host].cutUntil = std::max(hosts_[host].cutUntil, now_ + time);
}

void StreamModel::breakStreams(const std::string &version, std::size_t host)
{
    for (const Stream &stream : streams_) {
        if (stream.version == version && stream.end > now_) {
            at(now_ + randomUpTo(random_, maxReturnTime), [this, stream, host] { resume(stream, host); });
        }
    }
    std::erase_if(streams_, [&version](const Stream &stream) { return stream.version == version; });
}

void StreamModel::run(Duration time)
{
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.action();
    }
    now_ = end;
}

const StreamModel::Counts &StreamModel::counts() const
{
    return counts_;
}

std::size_t StreamModel::hostCount() const
{
    return hosts_.size();
}

} // namespace Lovageloft

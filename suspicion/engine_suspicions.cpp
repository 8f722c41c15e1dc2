#include "suspicion/engine_suspicions.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace Lovageloft
{

namespace
{

/// A request is overdue after this multiple of its expected time, and at least this time.
constexpr double overdueFactor = 3;
constexpr Duration minSilence = std::chrono::milliseconds(400);

/// Which hosts have requests at an engine is known to no host. If only one reports silence for this time, the others have none there: they would
/// have reported it too, or replied that they have received bytes.
constexpr Duration soleReporterSilence = std::chrono::milliseconds(600);
constexpr std::size_t minReporters = 2;

/// Silence that is required when a third of the engines of a service are suspected already.
constexpr Duration longSilence = std::chrono::seconds(1);
constexpr std::size_t maxSuspectedDivisor = 3;

/// Between two notices of the same kind about an engine, by whichever host. Hosts that have missed the notices about a suspected engine get them at
/// the longer interval.
constexpr Duration noticeInterval = std::chrono::milliseconds(100);
constexpr Duration confirmationInterval = std::chrono::seconds(1);

/// Must exceed confirmationInterval, so that reports of two hosts that alternate are counted together.
constexpr Duration reportValidity = std::chrono::milliseconds(1'200);

/// A suspicion that no host confirms ends, because the host that cleared it may have been lost with its announcement. Several times the longest turn,
/// as a confirmation comes at least once for each probe and may be lost.
constexpr Duration suspicionValidity = std::chrono::seconds(5);

/// A host that has received no byte from any engine for this time takes its own links for broken.
constexpr Duration linkGap = std::chrono::milliseconds(250);

/// Bytes and notices that arrived during a pause are read within this time after it.
constexpr Duration pauseBacklogTime = std::chrono::milliseconds(100);

constexpr Duration fullDuration = std::chrono::milliseconds(400);
constexpr Duration maxFullDuration = std::chrono::seconds(1);

/// Hosts return to an engine one after the other within this time, as otherwise those that heard the same notice fill it at the same moment.
constexpr Duration fullSpread = std::chrono::milliseconds(200);

/// Notices a second about a full engine, above which not every rejected host sends one.
constexpr double usualFullNoticeRate = 1;

/// Length of the first turn, in which no host probes. Each turn is twice as long as the one before, up to the maximum, by which an engine that works
/// again is found within a second.
constexpr Duration firstTurn = std::chrono::milliseconds(100);
constexpr Duration maxTurn = std::chrono::milliseconds(700);

/// Announcements are repeated, because hosts that miss them go on avoiding the engine. Of a new incarnation all hosts learn by the configuration too.
constexpr std::size_t clearAnnouncements = 5;
constexpr std::size_t retractionAnnouncements = 3;
constexpr std::size_t incarnationAnnouncements = 1;
constexpr Duration announcementInterval = std::chrono::milliseconds(100);

std::uint64_t turnAt(Duration sinceBegin)
{
    std::uint64_t turn = 0;
    Duration length = firstTurn;
    while (sinceBegin >= length && length < maxTurn) {
        sinceBegin -= length;
        length = std::min(2 * length, maxTurn);
        ++turn;
    }
    return turn + static_cast<std::uint64_t>(std::max(sinceBegin, Duration::zero()) / length);
}

/// A number from 0 to 1 that is the same for the same words.
double draw(std::initializer_list<std::string_view> words)
{
    constexpr std::uint64_t steps = 1'000'000;
    std::string key;
    for (const std::string_view word : words) {
        key.append(word).append(1, '/');
    }
    return static_cast<double>(rendezvousId(key) % steps) / steps;
}

bool isDue(std::optional<TimePoint> lastAt, Duration interval, TimePoint now)
{
    return !lastAt || now - *lastAt >= interval;
}

} // namespace

void EngineSuspicions::setEngines(std::span<const SuspicionEngine> engines, TimePoint now)
{
    Records records;
    for (const SuspicionEngine &engine : engines) {
        const auto known = records_.find(engine.id);
        if (known != records_.end() && known->second.incarnation == engine.incarnation) {
            known->second.service = engine.service;
            records.insert(records_.extract(known));
            continue;
        }
        Record record;
        record.service = engine.service;
        record.incarnation = engine.incarnation;
        record.observedFrom = now;
        if (known != records_.end() && isSuspected(known->second, now)) {
            record.provenAt = now;
            announce(record, incarnationAnnouncements, now);
        }
        record.isToldSuspected = known != records_.end() && known->second.isToldSuspected;
        records.emplace(engine.id, std::move(record));
    }
    records_ = std::move(records);
}

void EngineSuspicions::setHosts(std::string_view ownName, std::span<const std::string> hosts)
{
    host_ = ownName;
    hostCount_ = hosts.size();
    hosts_ = RendezvousNames({hosts.begin(), hosts.end()});
}

void EngineSuspicions::onBytes(std::string_view engine, TimePoint now)
{
    if (now - heardAnyAt_ >= linkGap) {
        linksUpFrom_ = now;
    }
    heardAnyAt_ = now;
    const auto found = records_.find(engine);
    if (found == records_.end()) {
        return;
    }
    Record &record = found->second;
    record.heardAt = std::max(record.heardAt, isAfterPause(now) ? pausedFrom_ : now);
    const std::size_t refuted = std::erase_if(record.reports, [&record](const auto &report) { return report.second.silentSince < record.heardAt; });
    const bool isSuspicionEnded = record.suspicion && record.suspicion->silentSince < record.heardAt;
    if (isSuspicionEnded) {
        record.suspicion.reset();
    }
    if (isSuspicionEnded || refuted > 0) {
        record.provenAt = record.heardAt;
        record.accusedFrom.reset();
        announce(record, isSuspicionEnded ? clearAnnouncements : retractionAnnouncements, now);
    }
}

void EngineSuspicions::onPaused(Duration pause, TimePoint now)
{
    pausedFrom_ = now - pause;
    pausedUntil_ = now;
}

std::optional<EngineSilent> EngineSuspicions::checkSilence(std::string_view engine, TimePoint sentAt, double expectedSeconds, TimePoint now)
{
    const auto found = records_.find(engine);
    if (found == records_.end()) {
        return std::nullopt;
    }
    Record &record = found->second;
    // The response to a request that was sent earlier may have been lost for another reason than the engine's silence.
    const TimePoint evidenceFrom = std::max({record.provenAt, record.observedFrom, linksUpFrom_, pausedUntil_.value_or(TimePoint())});
    const TimePoint silentSince = std::max(sentAt, record.heardAt);
    const Duration required = std::max(minSilence, fromSeconds(overdueFactor * expectedSeconds));
    // Silence counts only as long as this host's links are known to work.
    if (sentAt < evidenceFrom || heardAnyAt_ - silentSince < required || now - heardAnyAt_ >= linkGap) {
        return std::nullopt;
    }
    const bool isNoticeDue = isDue(record.silentNoticeAt, isSuspected(record, now) ? confirmationInterval : noticeInterval, now);
    addReport(record, host_, silentSince, {}, now);
    if (!isNoticeDue) {
        return std::nullopt;
    }
    record.silentNoticeAt = now;
    record.accusedFrom = silentSince;
    return EngineSilent{found->first, record.incarnation, now - silentSince, record.suspicion ? now - record.suspicion->beganAt : Duration::zero()};
}

std::optional<EngineFull> EngineSuspicions::onRejected(std::string_view engine, TimePoint now)
{
    const auto found = records_.find(engine);
    if (found == records_.end()) {
        return std::nullopt;
    }
    Record &record = found->second;
    const bool isKnownFull = record.fullUntil > now;
    setFull(found->first, record, fullDuration, now);
    // While the engine is known to be full, a rejection is of a request that was sent before, and tells the other hosts nothing new.
    if (isKnownFull || !isDue(record.fullNoticeAt, noticeInterval, now) || !isFullNoticeDrawn(found->first, record, now)) {
        return std::nullopt;
    }
    record.fullNoticeAt = now;
    record.fullNotices.add(now);
    return EngineFull{found->first, record.incarnation, fullDuration};
}

std::optional<EngineHeard> EngineSuspicions::onNotice(std::string_view host, const EngineSilent &notice, TimePoint now)
{
    Record *record = find(notice.engine, notice.incarnation);
    if (record == nullptr || host == host_ || notice.silence < minSilence || isAfterPause(now)) {
        return std::nullopt;
    }
    record->silentNoticeAt = now;
    const TimePoint silentSince = now - notice.silence;
    if (record->heardAt > silentSince) {
        return EngineHeard{notice.engine, record->incarnation, now - record->heardAt};
    }
    if (record->provenAt <= silentSince) {
        addReport(*record, host, silentSince, notice.suspectedFor, now);
    }
    return std::nullopt;
}

void EngineSuspicions::onNotice(const EngineFull &notice, TimePoint now)
{
    Record *record = find(notice.engine, notice.incarnation);
    if (record == nullptr || notice.duration <= Duration::zero() || isAfterPause(now)) {
        return;
    }
    record->fullNoticeAt = now;
    record->fullNotices.add(now);
    setFull(notice.engine, *record, std::min(notice.duration, maxFullDuration), now);
}

void EngineSuspicions::onNotice(const EngineHeard &notice, TimePoint now)
{
    const auto found = records_.find(notice.engine);
    if (found == records_.end() || notice.incarnation < found->second.incarnation || notice.age < Duration::zero()) {
        return;
    }
    Record &record = found->second;
    const TimePoint heardAt = (isAfterPause(now) ? pausedFrom_ : now) - notice.age;
    record.provenAt = std::max(record.provenAt, heardAt);
    std::erase_if(record.reports, [heardAt](const auto &report) { return report.second.silentSince < heardAt; });
    if (record.suspicion && record.suspicion->silentSince < heardAt) {
        record.suspicion.reset();
    }
    if (record.accusedFrom && *record.accusedFrom < heardAt) {
        record.accusedFrom.reset();
        announce(record, retractionAnnouncements, now);
    }
}

bool EngineSuspicions::isSuspected(std::string_view engine, TimePoint now) const
{
    const auto found = records_.find(engine);
    return found != records_.end() && isSuspected(found->second, now);
}

bool EngineSuspicions::mayProbe(std::string_view engine, TimePoint now) const
{
    const auto found = records_.find(engine);
    if (found == records_.end() || !isSuspected(found->second, now)) {
        return false;
    }
    const Suspicion &suspicion = *found->second.suspicion;
    const std::uint64_t turn = turnAt(now - suspicion.beganAt);
    return turn > suspicion.probedTurn && isOwnTurn(engine, found->second, turn);
}

void EngineSuspicions::onProbeSent(std::string_view engine, TimePoint now)
{
    const auto found = records_.find(engine);
    if (found != records_.end() && found->second.suspicion) {
        found->second.suspicion->probedTurn = turnAt(now - found->second.suspicion->beganAt);
    }
}

std::optional<TimePoint> EngineSuspicions::fullUntil(std::string_view engine, TimePoint now) const
{
    const auto found = records_.find(engine);
    const bool isFull = found != records_.end() && found->second.fullUntil > now;
    return isFull ? std::optional(found->second.fullUntil) : std::nullopt;
}

EngineSuspicions::Changes EngineSuspicions::takeChanges(TimePoint now)
{
    Changes changes;
    for (auto &[engine, record] : records_) {
        if (!isSuspected(record, now)) {
            record.suspicion.reset();
        }
        if (std::exchange(record.isToldSuspected, record.suspicion.has_value()) != record.suspicion.has_value()) {
            (record.suspicion ? changes.suspected : changes.cleared).push_back(engine);
        }
        if (record.announcementsLeft > 0 && now >= record.nextAnnouncementAt) {
            --record.announcementsLeft;
            record.nextAnnouncementAt = now + announcementInterval;
            changes.announcements.push_back({engine, record.incarnation, now - std::max(record.heardAt, record.provenAt)});
        }
    }
    return changes;
}

EngineSuspicions::Record *EngineSuspicions::find(std::string_view engine, std::int64_t incarnation)
{
    const auto found = records_.find(engine);
    return found != records_.end() && found->second.incarnation == incarnation ? &found->second : nullptr;
}

void EngineSuspicions::setFull(std::string_view engine, Record &record, Duration duration, TimePoint now) const
{
    const Duration spread = fromSeconds(toSeconds(fullSpread) * draw({host_, engine}));
    record.fullUntil = std::max(record.fullUntil, now + duration + spread);
}

/// Hosts that are rejected at the same time can't know of each other's notices yet. They are more, the fewer engines are not full, and have been more if
/// there were many notices lately. A part of them sends a notice accordingly.
bool EngineSuspicions::isFullNoticeDrawn(std::string_view engine, const Record &record, TimePoint now) const
{
    const auto full = std::count_if(records_.begin(), records_.end(), [now](const auto &entry) { return entry.second.fullUntil > now; });
    const double available = 1 - static_cast<double>(full) / static_cast<double>(records_.size() + 1);
    const double excess = std::max(record.fullNotices.rate(now) / usualFullNoticeRate, 1.0);
    return draw({host_, engine, std::to_string(now.time_since_epoch().count())}) < available / std::pow(excess, 3);
}

void EngineSuspicions::addReport(Record &record, std::string_view host, TimePoint silentSince, Duration suspectedFor, TimePoint now)
{
    std::erase_if(record.reports, [now](const auto &report) { return now - report.second.receivedAt >= reportValidity; });
    record.reports.insert_or_assign(std::string(host), Report{silentSince, now});
    if (isSuspected(record, now)) {
        record.suspicion->confirmedAt = now;
    } else if (isConvincing(record, now)) {
        const auto first = std::min_element(record.reports.begin(), record.reports.end(), [](const auto &left, const auto &right) {
            return left.second.silentSince < right.second.silentSince;
        });
        record.suspicion = Suspicion{.silentSince = first->second.silentSince, .beganAt = now, .confirmedAt = now};
    }
    if (record.suspicion) {
        record.suspicion->beganAt = std::min(record.suspicion->beganAt, now - std::max(suspectedFor, Duration::zero()));
    }
}

bool EngineSuspicions::isConvincing(const Record &record, TimePoint now) const
{
    Duration longest{};
    for (const auto &[host, report] : record.reports) {
        longest = std::max(longest, report.receivedAt - report.silentSince);
    }
    const bool hasWitnesses = record.reports.size() >= minReporters || hostCount_ <= minReporters;
    return (hasWitnesses || longest >= soleReporterSilence) && (longest >= longSilence || !isThirdSuspected(record.service, now));
}

/// Whether one more suspected engine would be more than a third of the service's engines.
bool EngineSuspicions::isThirdSuspected(std::string_view service, TimePoint now) const
{
    std::size_t engines = 0;
    std::size_t suspected = 0;
    for (const auto &[engine, record] : records_) {
        if (record.service == service) {
            ++engines;
            suspected += isSuspected(record, now) ? 1 : 0;
        }
    }
    return (suspected + 1) * maxSuspectedDivisor > engines;
}

bool EngineSuspicions::isAfterPause(TimePoint now) const
{
    return pausedUntil_ && now - *pausedUntil_ < pauseBacklogTime;
}

/// Hosts count the turns from when the first of them came to suspect the engine, as far as they know. They may differ in that time, but each turn has the
/// same winner at all of them and that host probes once in it, so there is one probe for each turn.
bool EngineSuspicions::isOwnTurn(std::string_view engine, const Record &record, std::uint64_t turn) const
{
    std::string key(engine);
    key.append(1, '/').append(std::to_string(record.incarnation)).append(1, '/').append(std::to_string(turn));
    const std::vector<std::string> winners = hosts_.winners(key, 1);
    return winners.empty() || winners.front() == host_;
}

bool EngineSuspicions::isSuspected(const Record &record, TimePoint now)
{
    return record.suspicion && now - record.suspicion->confirmedAt < suspicionValidity;
}

void EngineSuspicions::announce(Record &record, std::size_t times, TimePoint now)
{
    record.announcementsLeft = std::max(record.announcementsLeft, times);
    record.nextAnnouncementAt = now;
}

} // namespace Lovageloft

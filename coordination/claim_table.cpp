#include "coordination/claim_table.h"

#include <utility>

namespace Lovageloft
{

ClaimTable::ClaimTable(std::string host, std::string incarnation, ClaimOptions options)
    : host_(std::move(host))
    , incarnation_(std::move(incarnation))
    , options_(options)
{
}

const std::string &ClaimTable::host() const
{
    return host_;
}

const std::string &ClaimTable::incarnation() const
{
    return incarnation_;
}

const ClaimOptions &ClaimTable::options() const
{
    return options_;
}

bool ClaimTable::add(std::string_view nonce, std::string_view key, std::string_view requestDigest)
{
    const std::lock_guard lock(mutex_);
    if (entries_.size() >= options_.maxClaims) {
        return false;
    }
    Entry entry;
    entry.key = key;
    entry.requestDigest = requestDigest;
    return entries_.emplace(std::string(nonce), std::move(entry)).second;
}

void ClaimTable::onWriting(std::string_view nonce, std::int64_t leaseId, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry == entries_.end()) {
        return;
    }
    if (!entry->second.isWritten) {
        entry->second.claimedAt = now;
    }
    entry->second.isWritten = true;
    entry->second.leaseId = leaseId;
}

void ClaimTable::onClaimed(std::string_view nonce, std::int64_t revision)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry == entries_.end() || entry->second.phase != Phase::Claiming) {
        return;
    }
    entry->second.phase = Phase::Held;
    entry->second.revision = revision;
}

bool ClaimTable::beginSend(std::string_view nonce, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry == entries_.end() || entry->second.phase != Phase::Held) {
        return false;
    }
    // After a long pause of this host, the claim may have expired, or peers may have asked about it.
    if (!isValid(entry->second, now)) {
        return false;
    }
    entry->second.phase = Phase::Sent;
    entry->second.nextAttemptAt = now;
    return true;
}

bool ClaimTable::cancel(std::string_view nonce, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry == entries_.end() || !isUnsent(entry->second)) {
        return false;
    }
    if (!entry->second.isWritten) {
        erase(entry);
        return true;
    }
    entry->second.phase = Phase::Cancelled;
    entry->second.nextAttemptAt = now;
    return true;
}

void ClaimTable::onAnswer(std::string_view nonce, ClaimAnswer answer)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry == entries_.end() || entry->second.phase != Phase::Sent) {
        return;
    }
    // During a long outage of the store, the answers of further calls would fill the memory of a small host without these limits.
    // An answer that is not kept is missing only for a caller that retries.
    const bool hasRoom = answer.body.size() <= options_.maxBodyBytes && keptBytes_ + answer.body.size() <= options_.maxKeptBytes;
    if (!hasRoom) {
        answer.body.clear();
        answer.isWhole = false;
    }
    keptBytes_ += answer.body.size();
    entry->second.phase = Phase::Answered;
    entry->second.answer = std::move(answer);
}

void ClaimTable::onLost(std::string_view nonce)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry != entries_.end() && entry->second.phase == Phase::Sent) {
        entry->second.phase = Phase::Lost;
    }
}

ClaimQueryReply ClaimTable::onQuery(const ClaimQuery &query, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    ClaimQueryReply reply{query.nonce, ClaimFate::Forgotten, {}};
    if (query.incarnation != incarnation_ || query.host != host_) {
        reply.fate = ClaimFate::OtherProcess;
        return reply;
    }
    const auto entry = entries_.find(query.nonce);
    if (entry == entries_.end()) {
        return reply;
    }
    if (isUnsent(entry->second) && entry->second.isWritten && !isValid(entry->second, now)) {
        entry->second.phase = Phase::Cancelled;
        entry->second.nextAttemptAt = now;
    }
    switch (entry->second.phase) {
    case Phase::Claiming:
    case Phase::Held:
    case Phase::Sent:
        reply.fate = ClaimFate::Running;
        break;
    case Phase::Cancelled:
        reply.fate = ClaimFate::NeverSent;
        break;
    case Phase::Answered:
        reply.fate = ClaimFate::Answered;
        reply.answer = entry->second.answer;
        break;
    case Phase::Lost:
        reply.fate = ClaimFate::Lost;
        break;
    }
    return reply;
}

std::optional<ClaimUpdate> ClaimTable::nextUpdate(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const Phase phase = entry->second.phase;
        const bool hasEnded = phase == Phase::Answered || phase == Phase::Lost || phase == Phase::Cancelled;
        if (!hasEnded || entry->second.nextAttemptAt > now) {
            ++entry;
            continue;
        }
        if (phase == Phase::Cancelled && now - entry->second.claimedAt > options_.cancelledLifetime + options_.validity) {
            const auto old = entry++;
            erase(old);
            continue;
        }
        return makeUpdate(entry->first, entry->second);
    }
    return std::nullopt;
}

void ClaimTable::onUpdateDone(std::string_view nonce)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry != entries_.end()) {
        erase(entry);
    }
}

void ClaimTable::onUpdateFailed(std::string_view nonce, std::int64_t revision, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const auto entry = entries_.find(nonce);
    if (entry == entries_.end()) {
        return;
    }
    entry->second.revision = revision;
    entry->second.nextAttemptAt = now + options_.recordRetryDelay;
}

bool ClaimTable::isUnsent(const Entry &entry)
{
    return entry.phase == Phase::Claiming || entry.phase == Phase::Held;
}

bool ClaimTable::isValid(const Entry &entry, TimePoint now) const
{
    return now >= entry.claimedAt && now - entry.claimedAt < options_.validity;
}

ClaimUpdate ClaimTable::makeUpdate(const std::string &nonce, const Entry &entry) const
{
    ClaimUpdate update{nonce, entry.key, entry.revision, entry.leaseId, entry.phase == Phase::Cancelled, {}};
    if (!update.isDeletion) {
        const ClaimState state = entry.phase == Phase::Answered ? ClaimState::Answered : ClaimState::Unknown;
        update.value = formatClaimRecord({state, host_, incarnation_, nonce, entry.requestDigest, entry.leaseId, entry.answer});
    }
    return update;
}

void ClaimTable::erase(Entries::iterator entry)
{
    keptBytes_ -= entry->second.answer.body.size();
    entries_.erase(entry);
}

} // namespace Lovageloft

#include "coordination/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr std::size_t wordSize = 8;
constexpr std::size_t datagramHeaders = 28;
constexpr std::size_t maxChanges = 512;
// Each update is sent in this many times log2(n) messages, after which all but a negligible part of the fleet has received it.
constexpr std::size_t transmissionFactor = 3;
// One in this many probes goes to a host believed dead, so that two halves of a fleet find each other again after a partition of an hour.
constexpr std::size_t probesPerDeadProbe = 8;

std::size_t textSize(std::string_view text)
{
    return (text.size() / wordSize + 1) * wordSize;
}

/// A pointer in the list, two data words, two text pointers and the texts.
std::size_t updateSize(const MemberUpdate &update)
{
    return 4 * wordSize + textSize(update.host) + textSize(update.address);
}

bool overrides(const MemberUpdate &newer, const MemberUpdate &older)
{
    return newer.incarnation > older.incarnation || (newer.incarnation == older.incarnation && newer.state > older.state);
}

} // namespace

std::size_t wireSize(const MembershipMessage &message)
{
    constexpr std::size_t frame = 7 * wordSize; // Segment table, root pointer, data, and pointers to the sender, texts and updates.
    std::size_t size = datagramHeaders + frame + updateSize(message.sender) + textSize(message.subject) + textSize(message.requesterAddress);
    for (const MemberUpdate &update : message.updates) {
        size += updateSize(update);
    }
    return size;
}

Membership::Membership(std::string self, std::string address, std::uint64_t incarnation, MembershipSettings settings)
    : self_(std::move(self))
    , address_(std::move(address))
    , incarnation_(incarnation)
    , settings_(settings)
{
}

void Membership::setPlatformHosts(std::span<const PlatformHost> hosts)
{
    for (auto &[name, entry] : members_) {
        entry.isInPlatformList = false;
    }
    for (const PlatformHost &host : hosts) {
        if (host.host == self_) {
            continue;
        }
        const auto [position, isNew] = members_.try_emplace(host.host);
        MemberEntry &entry = position->second;
        if (isNew) {
            recordChange({host.host, host.address, 0, MemberState::Alive}, entry);
        }
        if (entry.member.lastUpdate.incarnation == 0) {
            entry.member.lastUpdate.address = host.address; // The host itself has announced no address yet.
        }
        entry.isInPlatformList = true;
        entry.member.isLeaving = host.isLeaving;
    }
    std::erase_if(members_, [](const auto &item) { return item.second.member.lastUpdate.state == MemberState::Dead && !item.second.isInPlatformList; });
}

std::vector<MembershipMessage> Membership::tick(TimePoint now, Random &random)
{
    std::vector<MembershipMessage> out;
    if (detectPause(now)) {
        probe_.reset();
    }
    checkProbe(now, random, out);
    checkSuspects(now);
    if (!nextProbeAt_.has_value() || now >= *nextProbeAt_) {
        startProbe(now, random, out);
        nextProbeAt_ = now + settings_.probeInterval;
    }
    return out;
}

/// Detects whether this host was paused since the last tick, and if so restarts all suspicion timeouts. After a pause this host's own timers
/// have expired. Without this check it would suspect the host that it probed last and declare dead the hosts that it suspected before, so that
/// living hosts would get no calls from it for seconds after each pause.
bool Membership::detectPause(TimePoint now)
{
    const bool isPause = lastTick_.has_value() && now - *lastTick_ > 2 * settings_.probeInterval;
    lastTick_ = now;
    if (!isPause) {
        return false;
    }
    for (auto &[name, entry] : members_) {
        if (entry.suspectedAt.has_value()) {
            entry.suspectedAt = now;
        }
    }
    return true;
}

void Membership::checkProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out)
{
    if (!probe_.has_value()) {
        return;
    }
    const auto entry = members_.find(probe_->host);
    if (entry == members_.end()) {
        probe_.reset();
        return;
    }
    if (now >= probe_->sentAt + settings_.probeInterval) {
        MemberUpdate update = entry->second.member.lastUpdate;
        probe_.reset();
        if (update.state == MemberState::Alive) {
            update.state = MemberState::Suspect;
            applyUpdate(update);
        }
        return;
    }
    if (probe_->isIndirect || now < probe_->sentAt + settings_.ackTimeout) {
        return;
    }
    probe_->isIndirect = true;
    std::vector<std::string> helpers = hostNames(false);
    std::erase(helpers, probe_->host);
    for (std::size_t i = 0; i < settings_.indirectProbes && !helpers.empty(); ++i) {
        const std::size_t chosen = randomBelow(random, helpers.size());
        MembershipMessage &request = out.emplace_back(messageTo(helpers[chosen], MembershipMessageKind::ProbeRequest));
        request.subject = probe_->host;
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Membership::startProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out)
{
    const auto host = nextHostToProbe(random);
    if (!host.has_value()) {
        return;
    }
    probe_ = Probe{*host, now, false};
    out.push_back(messageTo(*host, MembershipMessageKind::Probe));
}

/// Probes in rounds of random order rather than drawing a random host each time, so that every host is probed within a bounded time.
std::optional<std::string> Membership::nextHostToProbe(Random &random)
{
    std::vector<std::string> names = hostNames(true);
    std::erase_if(names, [this](const std::string &name) { return members_.find(name)->second.member.lastUpdate.state != MemberState::Dead; });
    if (!names.empty() && randomBelow(random, probesPerDeadProbe) == 0) {
        return names[randomBelow(random, names.size())];
    }
    for (bool isRefilled = false;;) {
        while (!probeOrder_.empty()) {
            const std::string name = probeOrder_.front();
            probeOrder_.pop_front();
            const auto entry = members_.find(name);
            if (entry != members_.end() && entry->second.member.lastUpdate.state != MemberState::Dead) {
                return name;
            }
        }
        if (std::exchange(isRefilled, true)) {
            return std::nullopt;
        }
        std::vector<std::string> order = hostNames(false);
        while (!order.empty()) {
            std::swap(order[randomBelow(random, order.size())], order.back());
            probeOrder_.push_back(std::move(order.back()));
            order.pop_back();
        }
    }
}

void Membership::checkSuspects(TimePoint now)
{
    std::vector<MemberUpdate> dead;
    for (auto &[name, entry] : members_) {
        if (entry.member.lastUpdate.state != MemberState::Suspect) {
            continue;
        }
        if (!entry.suspectedAt.has_value()) {
            entry.suspectedAt = now;
        }
        if (now >= *entry.suspectedAt + settings_.suspicionTimeout) {
            dead.push_back(entry.member.lastUpdate);
            dead.back().state = MemberState::Dead;
        }
    }
    for (const MemberUpdate &update : dead) {
        applyUpdate(update);
    }
}

std::vector<MembershipMessage> Membership::onMessage(const MembershipMessage &message, TimePoint now)
{
    applyUpdate(message.sender);
    for (const MemberUpdate &update : message.updates) {
        applyUpdate(update);
    }
    std::vector<MembershipMessage> out;
    if (message.kind == MembershipMessageKind::Probe) {
        MembershipMessage &ack = out.emplace_back(messageTo(message.sender.host, MembershipMessageKind::Ack));
        ack.toAddress = message.sender.address;
        ack.subject = self_;
        ack.requesterAddress = message.requesterAddress;
    } else if (message.kind == MembershipMessageKind::ProbeRequest) {
        if (members_.contains(message.subject)) {
            out.push_back(messageTo(message.subject, MembershipMessageKind::Probe));
            out.back().requesterAddress = message.sender.address;
        }
    } else if (!message.requesterAddress.empty() && message.requesterAddress != address_) {
        MembershipMessage &ack = out.emplace_back(messageTo({}, MembershipMessageKind::Ack));
        ack.toAddress = message.requesterAddress;
        ack.subject = message.subject;
    } else if (probe_.has_value() && probe_->host == message.subject && now < probe_->sentAt + settings_.probeInterval) {
        probe_.reset();
    }
    return out;
}

std::vector<MembershipMessage> Membership::leave(Random &random)
{
    isLeaving_ = true;
    disseminate(selfUpdate());
    std::vector<MembershipMessage> out;
    std::vector<std::string> names = hostNames(false);
    for (std::size_t i = 0; i < settings_.indirectProbes && !names.empty(); ++i) {
        const std::size_t chosen = randomBelow(random, names.size());
        out.push_back(messageTo(names[chosen], MembershipMessageKind::Probe));
        names.erase(names.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return out;
}

void Membership::applyUpdate(const MemberUpdate &update)
{
    if (update.host == self_) {
        applyUpdateAboutSelf(update);
        return;
    }
    const auto [position, isNew] = members_.try_emplace(update.host);
    MemberEntry &entry = position->second;
    if (!isNew && update.incarnation == 0 && update.state == MemberState::Suspect && entry.member.lastUpdate.state == MemberState::Alive) {
        // The suspecting host knows the suspected one only from the platform's list and never learned its incarnation. If such suspicions were
        // ignored, a crash in a newly started fleet would be detected by each host on its own, after a whole round of probes.
        recordChange({entry.member.lastUpdate.host, entry.member.lastUpdate.address, entry.member.lastUpdate.incarnation, MemberState::Suspect}, entry);
        disseminate(entry.member.lastUpdate);
        return;
    }
    if (!isNew && !overrides(update, entry.member.lastUpdate)) {
        return;
    }
    if (isNew && update.state == MemberState::Dead) {
        members_.erase(position); // A dead host that was unknown until now needs no entry.
        return;
    }
    // All hosts already know the hosts in the platform's list. If the first update of each were disseminated, a restart of 370 hosts at once
    // would fill all messages for a quarter of an hour and delay other updates.
    const bool isRedundant = entry.isInPlatformList && entry.member.lastUpdate.incarnation == 0 && update.state == MemberState::Alive;
    recordChange(update, entry);
    if (!isRedundant) {
        disseminate(update);
    }
}

void Membership::recordChange(const MemberUpdate &update, MemberEntry &entry)
{
    entry.member.lastUpdate = update;
    entry.suspectedAt.reset();
    changes_.push_back(update);
    if (changes_.size() > maxChanges) {
        changes_.pop_front();
    }
}

/// Refutes updates by which this host is suspect or dead, as after a pause, a network partition or a restart with a clock that was set back.
/// Without a higher incarnation other hosts would go on believing them, and a healthy host would never get calls again.
void Membership::applyUpdateAboutSelf(const MemberUpdate &update)
{
    const bool isFromEarlierProcess = update.incarnation > incarnation_;
    const bool isAboutThisProcess = update.incarnation == incarnation_ || update.incarnation == 0;
    const bool isRefutable = isAboutThisProcess && update.state != MemberState::Alive && !isLeaving_;
    if (!isFromEarlierProcess && !isRefutable) {
        return;
    }
    incarnation_ = std::max(incarnation_, update.incarnation) + 1;
    disseminate(selfUpdate());
}

void Membership::disseminate(const MemberUpdate &update)
{
    pendingUpdates_.insert_or_assign(update.host, PendingUpdate{update, 0});
}

MemberUpdate Membership::selfUpdate() const
{
    return {self_, address_, incarnation_, isLeaving_ ? MemberState::Dead : MemberState::Alive};
}

/// If the receiver is believed suspect or dead, the message includes that update: only the receiver can refute it, and the update may no
/// longer be disseminated when the host returns.
MembershipMessage Membership::messageTo(std::string_view host, MembershipMessageKind kind)
{
    MembershipMessage message{kind, {}, selfUpdate(), {}, {}, {}};
    attachUpdates(message);
    const auto entry = members_.find(host);
    if (entry == members_.end()) {
        return message;
    }
    const MemberUpdate &update = entry->second.member.lastUpdate;
    message.toAddress = update.address;
    if (update.state != MemberState::Alive && std::find(message.updates.begin(), message.updates.end(), update) == message.updates.end()) {
        message.updates.push_back(update);
    }
    return message;
}

/// Attaches the updates that were sent least often, as many as fit: when many changes occur at once (such as the restart of a rack), updates
/// take longer to spread, but messages don't grow.
void Membership::attachUpdates(MembershipMessage &message)
{
    std::vector<PendingUpdate *> order;
    for (auto &[name, pending] : pendingUpdates_) {
        order.push_back(&pending);
    }
    std::sort(order.begin(), order.end(), [](const PendingUpdate *left, const PendingUpdate *right) { return left->transmissions < right->transmissions; });
    std::size_t size = 0;
    for (PendingUpdate *pending : order) {
        if (size + updateSize(pending->update) > settings_.maxUpdateBytes) {
            break;
        }
        size += updateSize(pending->update);
        message.updates.push_back(pending->update);
        ++pending->transmissions;
    }
    std::erase_if(pendingUpdates_, [this](const auto &item) { return item.second.transmissions >= maxTransmissions(); });
}

std::size_t Membership::maxTransmissions() const
{
    return transmissionFactor * static_cast<std::size_t>(std::bit_width(members_.size() + 1));
}

std::vector<std::string> Membership::hostNames(bool includesDead) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : members_) {
        if (includesDead || entry.member.lastUpdate.state != MemberState::Dead) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<Membership::Member> Membership::liveMembers() const
{
    std::vector<Member> live;
    for (const auto &[name, entry] : members_) {
        if (entry.member.lastUpdate.state != MemberState::Dead) {
            live.push_back(entry.member);
        }
    }
    return live;
}

std::optional<Membership::Member> Membership::member(std::string_view host) const
{
    const auto entry = members_.find(host);
    return entry == members_.end() ? std::nullopt : std::optional(entry->second.member);
}

std::uint64_t Membership::incarnation() const
{
    return incarnation_;
}

std::vector<MemberUpdate> Membership::consumeChanges()
{
    std::vector<MemberUpdate> changes(changes_.begin(), changes_.end());
    changes_.clear();
    return changes;
}

} // namespace Lovageloft

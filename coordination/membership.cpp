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
constexpr std::size_t changesLimit = 512;
// Each piece of news goes out on a few times log2(n) messages, after which all but a vanishing part of the fleet has it.
constexpr std::size_t spreadFactor = 3;
// One probe in so many goes to a host believed dead, so that two halves that lost each other for an hour find together again.
constexpr std::size_t deadProbeShare = 8;

std::size_t textSize(std::string_view text)
{
    return (text.size() / wordSize + 1) * wordSize;
}

/// A pointer in the list, two words of data, two pointers and the texts.
std::size_t newsSize(const MemberNews &news)
{
    return 4 * wordSize + textSize(news.host) + textSize(news.address);
}

bool overrides(const MemberNews &newer, const MemberNews &older)
{
    return newer.incarnation > older.incarnation || (newer.incarnation == older.incarnation && newer.state > older.state);
}

} // namespace

std::size_t wireSize(const MembershipMessage &message)
{
    constexpr std::size_t frame = 7 * wordSize; // Segment table, root pointer, data, and pointers to sender, texts and news.
    std::size_t size = datagramHeaders + frame + newsSize(message.sender) + textSize(message.subject) + textSize(message.onBehalfOf);
    for (const MemberNews &news : message.news) {
        size += newsSize(news);
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
    for (auto &[name, known] : members_) {
        known.isInPlatformList = false;
    }
    for (const PlatformHost &host : hosts) {
        if (host.host == self_) {
            continue;
        }
        const auto [position, isNew] = members_.try_emplace(host.host);
        Known &known = position->second;
        if (isNew) {
            note({host.host, host.address, 0, MemberState::Alive}, known);
        }
        if (known.member.news.incarnation == 0) {
            known.member.news.address = host.address; // Not heard of itself yet.
        }
        known.isInPlatformList = true;
        known.member.isLeaving = host.isLeaving;
    }
    std::erase_if(members_, [](const auto &item) { return item.second.member.news.state == MemberState::Dead && !item.second.isInPlatformList; });
}

std::vector<MembershipMessage> Membership::tick(TimePoint now, Random &random)
{
    std::vector<MembershipMessage> out;
    if (wasPaused(now)) {
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

/// A host that was paused finds its own timers run out. Without this check it would suspect whom it last probed and declare dead whom it
/// suspected before, which one would notice as living hosts that get no calls from it for seconds after each pause.
bool Membership::wasPaused(TimePoint now)
{
    const bool isPause = lastTick_.has_value() && now - *lastTick_ > 2 * settings_.probeInterval;
    lastTick_ = now;
    if (!isPause) {
        return false;
    }
    for (auto &[name, known] : members_) {
        if (known.suspectedAt.has_value()) {
            known.suspectedAt = now;
        }
    }
    return true;
}

void Membership::checkProbe(TimePoint now, Random &random, std::vector<MembershipMessage> &out)
{
    if (!probe_.has_value()) {
        return;
    }
    const auto known = members_.find(probe_->host);
    if (known == members_.end()) {
        probe_.reset();
        return;
    }
    if (now >= probe_->sentAt + settings_.probeInterval) {
        MemberNews news = known->second.member.news;
        probe_.reset();
        if (news.state == MemberState::Alive) {
            news.state = MemberState::Suspect;
            hear(news);
        }
        return;
    }
    if (probe_->isIndirect || now < probe_->sentAt + settings_.ackTimeout) {
        return;
    }
    probe_->isIndirect = true;
    std::vector<std::string> helpers = namesOf(false);
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
    const auto host = nextToProbe(random);
    if (!host.has_value()) {
        return;
    }
    probe_ = Probe{*host, now, false};
    out.push_back(messageTo(*host, MembershipMessageKind::Probe));
}

/// In rounds of random order rather than each time anew: so every host is probed within a bounded time.
std::optional<std::string> Membership::nextToProbe(Random &random)
{
    std::vector<std::string> names = namesOf(true);
    std::erase_if(names, [this](const std::string &name) { return members_.find(name)->second.member.news.state != MemberState::Dead; });
    if (!names.empty() && randomBelow(random, deadProbeShare) == 0) {
        return names[randomBelow(random, names.size())];
    }
    for (bool isRefilled = false;;) {
        while (!probeOrder_.empty()) {
            const std::string name = probeOrder_.front();
            probeOrder_.pop_front();
            const auto known = members_.find(name);
            if (known != members_.end() && known->second.member.news.state != MemberState::Dead) {
                return name;
            }
        }
        if (std::exchange(isRefilled, true)) {
            return std::nullopt;
        }
        std::vector<std::string> order = namesOf(false);
        while (!order.empty()) {
            std::swap(order[randomBelow(random, order.size())], order.back());
            probeOrder_.push_back(std::move(order.back()));
            order.pop_back();
        }
    }
}

void Membership::checkSuspects(TimePoint now)
{
    std::vector<MemberNews> dead;
    for (auto &[name, known] : members_) {
        if (known.member.news.state != MemberState::Suspect) {
            continue;
        }
        if (!known.suspectedAt.has_value()) {
            known.suspectedAt = now;
        }
        if (now >= *known.suspectedAt + settings_.suspicionTimeout) {
            dead.push_back(known.member.news);
            dead.back().state = MemberState::Dead;
        }
    }
    for (const MemberNews &news : dead) {
        hear(news);
    }
}

std::vector<MembershipMessage> Membership::onMessage(const MembershipMessage &message, TimePoint now)
{
    hear(message.sender);
    for (const MemberNews &news : message.news) {
        hear(news);
    }
    std::vector<MembershipMessage> out;
    if (message.kind == MembershipMessageKind::Probe) {
        MembershipMessage &ack = out.emplace_back(messageTo(message.sender.host, MembershipMessageKind::Ack));
        ack.toAddress = message.sender.address;
        ack.subject = self_;
        ack.onBehalfOf = message.onBehalfOf;
    } else if (message.kind == MembershipMessageKind::ProbeRequest) {
        if (members_.contains(message.subject)) {
            out.push_back(messageTo(message.subject, MembershipMessageKind::Probe));
            out.back().onBehalfOf = message.sender.address;
        }
    } else if (!message.onBehalfOf.empty() && message.onBehalfOf != address_) {
        MembershipMessage &ack = out.emplace_back(messageTo({}, MembershipMessageKind::Ack));
        ack.toAddress = message.onBehalfOf;
        ack.subject = message.subject;
    } else if (probe_.has_value() && probe_->host == message.subject && now < probe_->sentAt + settings_.probeInterval) {
        probe_.reset();
    }
    return out;
}

std::vector<MembershipMessage> Membership::leave(Random &random)
{
    isLeaving_ = true;
    spread(selfNews());
    std::vector<MembershipMessage> out;
    std::vector<std::string> names = namesOf(false);
    for (std::size_t i = 0; i < settings_.indirectProbes && !names.empty(); ++i) {
        const std::size_t chosen = randomBelow(random, names.size());
        out.push_back(messageTo(names[chosen], MembershipMessageKind::Probe));
        names.erase(names.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    return out;
}

void Membership::hear(const MemberNews &news)
{
    if (news.host == self_) {
        hearOfSelf(news);
        return;
    }
    const auto [position, isNew] = members_.try_emplace(news.host);
    Known &known = position->second;
    if (!isNew && news.incarnation == 0 && news.state == MemberState::Suspect && known.member.news.state == MemberState::Alive) {
        // Suspected by a host that has it from the platform's list only and never learned its incarnation. Unheeded, a crash in a young
        // fleet would be noticed by each host on its own, after a whole round of probes.
        note({known.member.news.host, known.member.news.address, known.member.news.incarnation, MemberState::Suspect}, known);
        spread(known.member.news);
        return;
    }
    if (!isNew && !overrides(news, known.member.news)) {
        return;
    }
    if (isNew && news.state == MemberState::Dead) {
        members_.erase(position); // Nothing was known of it, and nothing needs to be.
        return;
    }
    // That a host of the platform's list is there is no news to anybody: spread all the same, a herd of 370 restarting hosts
    // would fill everybody's messages for a quarter of an hour, and real news would have to wait behind it.
    const bool isNoNews = known.isInPlatformList && known.member.news.incarnation == 0 && news.state == MemberState::Alive;
    note(news, known);
    if (!isNoNews) {
        spread(news);
    }
}

void Membership::note(const MemberNews &news, Known &known)
{
    known.member.news = news;
    known.suspectedAt.reset();
    changes_.push_back(news);
    if (changes_.size() > changesLimit) {
        changes_.pop_front();
    }
}

/// Others believe this host suspect or dead, because it was paused, cut off or restarted with a clock that stood back. Without a higher
/// incarnation they would go on believing it, and a sound host would get no calls for good.
void Membership::hearOfSelf(const MemberNews &news)
{
    const bool isFormerSelf = news.incarnation > incarnation_;
    const bool isMeant = news.incarnation == incarnation_ || news.incarnation == 0;
    const bool isRefutable = isMeant && news.state != MemberState::Alive && !isLeaving_;
    if (!isFormerSelf && !isRefutable) {
        return;
    }
    incarnation_ = std::max(incarnation_, news.incarnation) + 1;
    spread(selfNews());
}

void Membership::spread(const MemberNews &news)
{
    spreading_.insert_or_assign(news.host, Spreading{news, 0});
}

MemberNews Membership::selfNews() const
{
    return {self_, address_, incarnation_, isLeaving_ ? MemberState::Dead : MemberState::Alive};
}

/// Tells a host also what is believed of itself if that is not that it is alive: only it can refute that, and the news may have
/// stopped travelling long before it came back.
MembershipMessage Membership::messageTo(std::string_view host, MembershipMessageKind kind)
{
    MembershipMessage message{kind, {}, selfNews(), {}, {}, {}};
    attachNews(message);
    const auto known = members_.find(host);
    if (known == members_.end()) {
        return message;
    }
    const MemberNews &news = known->second.member.news;
    message.toAddress = news.address;
    if (news.state != MemberState::Alive && std::find(message.news.begin(), message.news.end(), news) == message.news.end()) {
        message.news.push_back(news);
    }
    return message;
}

/// The news that has been sent least goes first, as much as fits: a storm of changes (a rack restarts) makes news travel longer
/// instead of making messages longer.
void Membership::attachNews(MembershipMessage &message)
{
    std::vector<Spreading *> order;
    for (auto &[name, spreading] : spreading_) {
        order.push_back(&spreading);
    }
    std::sort(order.begin(), order.end(), [](const Spreading *left, const Spreading *right) { return left->timesSent < right->timesSent; });
    std::size_t size = 0;
    for (Spreading *spreading : order) {
        if (size + newsSize(spreading->news) > settings_.newsBytes) {
            break;
        }
        size += newsSize(spreading->news);
        message.news.push_back(spreading->news);
        ++spreading->timesSent;
    }
    std::erase_if(spreading_, [this](const auto &item) { return item.second.timesSent >= sendsOfEach(); });
}

std::size_t Membership::sendsOfEach() const
{
    return spreadFactor * static_cast<std::size_t>(std::bit_width(members_.size() + 1));
}

std::vector<std::string> Membership::namesOf(bool withDead) const
{
    std::vector<std::string> names;
    for (const auto &[name, known] : members_) {
        if (withDead || known.member.news.state != MemberState::Dead) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<Membership::Member> Membership::liveMembers() const
{
    std::vector<Member> live;
    for (const auto &[name, known] : members_) {
        if (known.member.news.state != MemberState::Dead) {
            live.push_back(known.member);
        }
    }
    return live;
}

std::optional<Membership::Member> Membership::member(std::string_view host) const
{
    const auto known = members_.find(host);
    return known == members_.end() ? std::nullopt : std::optional(known->second.member);
}

std::uint64_t Membership::incarnation() const
{
    return incarnation_;
}

std::vector<MemberNews> Membership::takeChanges()
{
    std::vector<MemberNews> changes(changes_.begin(), changes_.end());
    changes_.clear();
    return changes;
}

} // namespace Lovageloft

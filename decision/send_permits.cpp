#include "decision/send_permits.h"

#include <algorithm>

#include "decision/earliest_time.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t homesPerTarget = 2;

/// Fraction of the stated rate for which permits are issued. Permits may be used late, and arrivals at a target are less even than sends.
constexpr double issuedFraction = 0.97;

/// How long a permit stays valid.
constexpr Duration validity = std::chrono::milliseconds(100);

/// Hosts of one region reply within 3 ms; one that takes longer than this timeout is down or partitioned. A later reply is ignored, so that
/// a permit is never used much later than its issuer has reckoned.
constexpr Duration replyTimeout = std::chrono::milliseconds(50);

/// Wait before a home that has not answered is asked again; doubles with each timeout.
constexpr Duration firstRetryDelay = std::chrono::milliseconds(100);
constexpr int maxDoublings = 4;

/// Timeouts in a row after which a home counts as unreachable.
constexpr int timeoutsOfUnreachable = 2;

/// A home that the hosts have just learnt of issues no permits for this time, as some may still ask the former one.
constexpr Duration homeActivationDelay = std::chrono::seconds(1);

constexpr Duration repeatInterval = std::chrono::seconds(20);

/// Higher rates are no limit: they are far above what one target can serve.
constexpr double unlimitedRate = 10'000;

/// Wait for a target that takes no requests at all.
constexpr Duration closedWait = std::chrono::seconds(60);

constexpr std::string_view ownShareName = "";

} // namespace

SendPermits::SendPermits(std::string host, StatementTable &statements)
    : host_(std::move(host))
    , statements_(statements)
    , slots_(host_, statements)
{
}

void SendPermits::setHosts(std::size_t hosts, const std::vector<std::string> &candidates, TimePoint now)
{
    hostCount_ = std::max<std::size_t>(hosts, 1);
    homeCount_ = std::clamp<std::size_t>(candidates.size(), 1, homesPerTarget);
    candidates_ = RendezvousNames(candidates);
    if (std::exchange(isInitialized_, true)) {
        issuer_.startAt(now + homeActivationDelay);
    }
    slots_.setHosts(hosts, candidates, now);
}

bool SendPermits::isIdle() const
{
    return statements_.isEmpty();
}

double SendPermits::homeRate(double rate) const
{
    return rate * issuedFraction / static_cast<double>(homeCount_);
}

bool SendPermits::isUsable(const Source &source, double rate, TimePoint now)
{
    return source.permit && source.permit->until > now && source.permit->rate <= rate;
}

Duration SendPermits::wait(std::string_view target, TimePoint now) const
{
    return std::max(permitWait(target, now), slots_.wait(target, now));
}

Duration SendPermits::permitWait(std::string_view target, TimePoint now) const
{
    const auto rate = statedRate(target, now);
    if (!rate) {
        return {};
    }
    if (*rate <= 0) {
        return closedWait;
    }
    const Duration spacing = fromSeconds(1 / *rate);
    const auto found = sources_.find(target);
    if (found == sources_.end() || found->second.empty()) {
        return spacing;
    }
    Duration shortest = Duration::max();
    for (const auto &[issuer, source] : found->second) {
        if (isUsable(source, *rate, now)) {
            shortest = std::min(shortest, std::max(source.permit->from - now, Duration::zero()));
        } else {
            shortest = std::min(shortest, now < source.askAgainAt ? source.askAgainAt - now : spacing);
        }
    }
    return shortest;
}

std::optional<double> SendPermits::rateLimit(std::string_view target, TimePoint now) const
{
    const auto stated = statedRate(target, now);
    const auto granted = slots_.rate(target, now);
    return stated && granted ? std::min(stated, granted) : (stated ? stated : granted);
}

std::optional<double> SendPermits::statedRate(std::string_view target, TimePoint now) const
{
    const auto rate = statements_.rateLimit(target, now);
    return rate && *rate < unlimitedRate ? rate : std::nullopt;
}

std::optional<SlotId> SendPermits::use(std::string_view target, TimePoint now)
{
    const bool needsSlot = slots_.isLimited(target);
    const SlotId slot = needsSlot ? slots_.use(target) : 0;
    const auto rate = statedRate(target, now);
    if (!rate) {
        return needsSlot ? std::optional(slot) : std::nullopt;
    }
    const auto found = sources_.find(target);
    if (found == sources_.end()) {
        return slot;
    }
    for (auto &[issuer, source] : found->second) {
        if (isUsable(source, *rate, now) && source.permit->from <= now) {
            source.permit.reset();
            break;
        }
    }
    return slot;
}

void SendPermits::onEnded(std::string_view target, SlotId slot, SlotEnd end, TimePoint now)
{
    slots_.onEnded(target, slot, end, now);
}

void SendPermits::onRejected(std::string_view target, SlotId slot, TimePoint now)
{
    slots_.onRejected(target, slot, now);
}

void SendPermits::returnUnused(TimePoint now)
{
    slots_.returnUnused(now);
}

std::vector<std::string> SendPermits::homesOf(std::string_view target) const
{
    std::vector<std::string> homes = candidates_.winners(target, homesPerTarget);
    // Half of the hosts ask the homes in the other order, so that both are asked as often.
    if (rendezvousId(host_) % 2 == 1) {
        std::reverse(homes.begin(), homes.end());
    }
    return homes;
}

void SendPermits::want(std::string_view target, std::size_t count, TimePoint now, const RequestSender &send)
{
    slots_.want(target, count, now);
    const auto rate = statedRate(target, now);
    if (!rate || *rate <= 0 || expected(target, now) >= count) {
        return;
    }
    Sources &sources = sources_[std::string(target)];
    const std::vector<std::string> homes = homesOf(target);
    std::size_t unreachable = 0;
    for (const std::string &home : homes) {
        Source &source = sources[home];
        unreachable += source.timeouts >= timeoutsOfUnreachable ? 1 : 0;
        const bool isAsked = source.requestId != 0 || isUsable(source, *rate, now);
        if (isAsked || now < source.askAgainAt) {
            continue;
        }
        if (home != host_) {
            askRemote(home, target, source, *rate, now, send);
            return;
        }
        const PermitDecision decision = issuer_.request(target, homeRate(*rate), now);
        apply(source, decision, *rate, now);
        ++(decision.isGranted ? counts_.granted : counts_.denied);
        if (decision.isGranted) {
            return;
        }
    }
    if (!homes.empty() && unreachable == homes.size()) {
        askOwnShare(target, sources, *rate, now);
    }
}

void SendPermits::askRemote(const std::string &home, std::string_view target, Source &source, double rate, TimePoint now, const RequestSender &send)
{
    source.requestId = ++lastId_;
    source.requestedAt = now;
    source.requestedRate = rate;
    send(home, {source.requestId, std::string(target), rate});
}

void SendPermits::askOwnShare(std::string_view target, Sources &sources, double rate, TimePoint now)
{
    Source &source = sources[std::string(ownShareName)];
    if (isUsable(source, rate, now) || now < source.askAgainAt) {
        return;
    }
    const PermitDecision decision = ownShare_.request(target, rate * issuedFraction / static_cast<double>(hostCount_), now);
    apply(source, decision, rate, now);
    counts_.own += decision.isGranted ? 1 : 0;
}

void SendPermits::apply(Source &source, const PermitDecision &decision, double rate, TimePoint now)
{
    source.requestId = 0;
    source.timeouts = 0;
    if (decision.isGranted) {
        source.permit = Permit{now + decision.wait, now + decision.wait + validity, rate};
        source.askAgainAt = now;
    } else {
        source.askAgainAt = now + decision.wait;
    }
}

std::size_t SendPermits::expected(std::string_view target, TimePoint now) const
{
    const auto found = sources_.find(target);
    if (found == sources_.end()) {
        return slots_.expected(target, now);
    }
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), [now](const auto &entry) {
        return entry.second.requestId != 0 || (entry.second.permit && entry.second.permit->until > now);
    }));
}

std::vector<StatementTable::Update> SendPermits::takeRepeats(TimePoint now)
{
    std::vector<StatementTable::Update> repeats;
    if (now < repeatAt_) {
        return repeats;
    }
    repeatAt_ = now + repeatInterval;
    for (TargetStatement &statement : statements_.inForce()) {
        const std::vector<std::string> homes = candidates_.winners(statement.target, 1);
        const bool isFirstHome = !homes.empty() && homes.front() == host_;
        if (isFirstHome && now - statement.heardAt < repeatInterval) {
            repeats.push_back({std::move(statement), false});
        }
    }
    return repeats;
}

PermitReply SendPermits::onRequest(const PermitRequest &request, TimePoint now)
{
    const std::vector<std::string> homes = homesOf(request.target);
    if (std::find(homes.begin(), homes.end(), host_) == homes.end()) {
        return {request.id, {false, homeActivationDelay}};
    }
    statements_.confirm(request.target, StatementKind::RateLimit, now);
    // Either host may not have heard of the newest value.
    const double rate = std::min({statements_.rateLimit(request.target, now).value_or(request.rate), request.rate, unlimitedRate});
    return {request.id, issuer_.request(request.target, homeRate(rate), now)};
}

void SendPermits::onReply(const PermitReply &reply, TimePoint now)
{
    for (auto &[target, sources] : sources_) {
        for (auto &[home, source] : sources) {
            if (source.requestId != reply.id) {
                continue;
            }
            if (now - source.requestedAt > replyTimeout) {
                return;
            }
            apply(source, reply.decision, source.requestedRate, now);
            ++(reply.decision.isGranted ? counts_.granted : counts_.denied);
            return;
        }
    }
}

void SendPermits::onTick(TimePoint now)
{
    for (auto &[target, sources] : sources_) {
        for (auto &[home, source] : sources) {
            if (source.requestId == 0 || now - source.requestedAt < replyTimeout) {
                continue;
            }
            source.requestId = 0;
            source.askAgainAt = now + firstRetryDelay * (1 << std::min(source.timeouts, maxDoublings));
            ++source.timeouts;
            ++counts_.timedOut;
        }
    }
    std::erase_if(sources_, [this, now](const auto &entry) { return !statements_.rateLimit(entry.first, now); });
    issuer_.dropUnused(now);
    ownShare_.dropUnused(now);
    slots_.onTick(now);
}

std::optional<TimePoint> SendPermits::nextEvent(TimePoint now) const
{
    EarliestTime next(now);
    next.consider(slots_.nextEvent(now));
    for (const auto &[target, sources] : sources_) {
        for (const auto &[home, source] : sources) {
            if (source.requestId != 0) {
                next.consider(source.requestedAt + replyTimeout);
            } else if (source.permit && source.permit->until > now) {
                next.consider(source.permit->from);
            } else {
                next.consider(source.askAgainAt);
            }
        }
    }
    return next.value();
}

} // namespace Lovageloft

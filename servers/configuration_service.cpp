#include "servers/configuration_service.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

/// Entries handed to a peer at once; the rest it asks for again.
constexpr std::size_t entriesPerAnswer = 100;
/// Pause between the first two rounds of questions after news.
constexpr std::chrono::milliseconds firstAskInterval{90};

} // namespace

ConfigurationService::ConfigurationService(const Settings &settings, std::uint64_t incarnation, ShareService &shares)
    : settings_(settings)
    , incarnation_(incarnation)
    , shares_(shares)
    , window_(std::chrono::milliseconds(settings.freshnessWindow))
    , gate_(settings.hostName, window_, BootClock::now())
    , tracker_(window_)
{
}

std::shared_ptr<const ConfigurationState> ConfigurationService::state() const
{
    const std::lock_guard lock(stateMutex_);
    return state_;
}

std::int64_t ConfigurationService::version() const
{
    const std::lock_guard lock(mutex_);
    return log_.version();
}

std::optional<TeamKey> ConfigurationService::findKey(std::string_view key) const
{
    std::shared_ptr<const KeyTable> keys;
    {
        const std::lock_guard lock(stateMutex_);
        keys = keys_;
    }
    return keys->find(key);
}

bool ConfigurationService::hasKey(const TeamKey &key) const
{
    const auto current = state();
    const auto team = current->teams().find(key.team);
    if (team == current->teams().end()) {
        return false;
    }
    const auto &keys = team->second.keys;
    return std::any_of(keys.begin(), keys.end(), [&key](const KeyDigest &digest) { return digest.id == key.keyId; });
}

bool ConfigurationService::isFresh() const
{
    const std::lock_guard lock(mutex_);
    // A host that has just started knows the newest configuration before it knows it to be in force, and has no shares to charge
    // until then. Were it ready, the balancer would send it callers whose teams it can't charge yet.
    return sharesVersion_ != 0 && gate_.isFresh(BootClock::now());
}

void ConfigurationService::addEntries(std::span<const LogEntry> entries)
{
    const std::lock_guard lock(mutex_);
    for (const LogEntry &entry : entries) {
        const std::int64_t before = log_.version();
        log_.add(entry);
        afterChange(before);
    }
}

void ConfigurationService::addEntryTexts(std::span<const std::string> texts)
{
    std::vector<LogEntry> entries;
    for (const std::string &text : texts) {
        Reason reason;
        if (auto entry = parseLogEntry(text, reason)) {
            entries.push_back(std::move(*entry));
        }
    }
    addEntries(entries);
}

void ConfigurationService::restore(ConfigurationSnapshot snapshot)
{
    const std::lock_guard lock(mutex_);
    const std::int64_t before = log_.version();
    log_.restore(std::move(snapshot));
    afterChange(before);
}

void ConfigurationService::takeFrom(const ConfigurationLog &replica)
{
    const std::int64_t held = version();
    if (replica.version() <= held) {
        return;
    }
    if (const auto entries = replica.entriesAfter(held, static_cast<std::size_t>(replica.version() - held))) {
        addEntries(*entries);
    } else {
        restore(replica.snapshot());
    }
}

/// Publishes what a change of the log brought.
void ConfigurationService::afterChange(std::int64_t before)
{
    const std::int64_t held = log_.version();
    if (held == before) {
        return;
    }
    const TimePoint now = BootClock::now();
    auto state = std::make_shared<const ConfigurationState>(log_.state());
    auto keys = std::make_shared<const KeyTable>(*state);
    {
        const std::lock_guard lock(stateMutex_);
        state_ = std::move(state);
        keys_ = std::move(keys);
    }
    gate_.setVersionHeld(held);
    for (std::int64_t sequence = std::max(before + 1, held - static_cast<std::int64_t>(entriesPerAnswer)); sequence <= held; ++sequence) {
        tracker_.track(sequence, now);
    }
    updateLists();
    // The first version that the shares get must be in force; the later ones go to them one by one.
    if (sharesVersion_ != 0) {
        shares_.setConfiguration(held, *state_);
        sharesVersion_ = held;
    }
    publishInForce();
}

void ConfigurationService::updateLists()
{
    const std::int64_t hostsSequence = log_.hostsSequence();
    const bool isSettled = hostsSequence == 0 || tracker_.isInForce(hostsSequence);
    HostLists lists{log_.hostNames(), isSettled ? std::vector<std::string>{} : log_.previousHosts()};
    tracker_.setHosts(lists);
    gate_.setHosts(std::move(lists));
}

void ConfigurationService::publishInForce()
{
    const TimePoint now = BootClock::now();
    // A list without hosts is that of a single host on its own store: what it holds is all that anyone holds.
    if (settings_.storeKind == "memory" && log_.state().hosts().empty() && gate_.isCaughtUp()) {
        tracker_.onInForce(log_.version());
    }
    tracker_.onPeerVersionReport({settings_.hostName, incarnation_, gate_.versionHeld(), gate_.isCaughtUp()}, now, now);
    tracker_.advance(now);
    const std::int64_t inForce = std::min(tracker_.inForceVersion(), log_.version());
    // A host is ready only once the store knows what is in force, so that one which replaces it finds that there.
    const bool isShared = inForceShared_ >= inForce || isStoreLate(now);
    if (sharesVersion_ == 0 && inForce == log_.version() && inForce > 0 && isShared) {
        shares_.setConfiguration(inForce, *state_);
        sharesVersion_ = inForce;
    }
    if (sharesVersion_ != 0 && inForce > sharesInForce_) {
        shares_.onInForce(inForce);
        sharesInForce_ = inForce;
        updateLists();
    }
    if (const auto until = gate_.freshUntil()) {
        shares_.setFreshUntil(*until);
    }
}

void ConfigurationService::onStoreConfirmed(std::int64_t version, TimePoint sentAt)
{
    const std::lock_guard lock(mutex_);
    gate_.onStoreConfirmed(version, sentAt);
    storeConfirmedAt_ = std::max(storeConfirmedAt_.value_or(sentAt), sentAt);
    publishInForce();
}

void ConfigurationService::onInForceShared(std::int64_t sequence)
{
    const std::lock_guard lock(mutex_);
    inForceShared_ = std::max(inForceShared_, sequence);
    tracker_.onInForce(sequence);
    publishInForce();
}

void ConfigurationService::onPeerAnswer(const std::string &address, const PeerAnswer &answer, TimePoint askedAt)
{
    const std::lock_guard lock(mutex_);
    gate_.onPeerVersionReport(answer.report, askedAt);
    tracker_.onPeerVersionReport(answer.report, askedAt, BootClock::now());
    if (answer.inForceVersion > tracker_.inForceVersion()) {
        tracker_.onInForce(answer.inForceVersion);
    }
    if (answer.report.versionHeld > log_.version()) {
        aheadPeers_.push_back(address);
    }
    publishInForce();
}

PeerAnswer ConfigurationService::ownAnswer() const
{
    const std::lock_guard lock(mutex_);
    return {{settings_.hostName, incarnation_, gate_.versionHeld(), gate_.isCaughtUp()}, tracker_.inForceVersion()};
}

PeerEntries ConfigurationService::entriesAfter(std::int64_t sequence) const
{
    const std::lock_guard lock(mutex_);
    PeerEntries found;
    const auto entries = log_.entriesAfter(sequence, entriesPerAnswer);
    if (!entries) {
        found.snapshot = formatSnapshot(log_.snapshot());
        return found;
    }
    for (const LogEntry &entry : *entries) {
        found.entries.push_back(formatLogEntry(entry));
    }
    return found;
}

std::vector<std::string> ConfigurationService::listedPeers() const
{
    std::vector<std::string> addresses;
    for (const HostEntry &host : log_.state().hosts()) {
        if (host.name != settings_.hostName) {
            addresses.push_back(host.peerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> ConfigurationService::peerAddresses() const
{
    const std::lock_guard lock(mutex_);
    return listedPeers();
}

/// Whether the store has been silent for so long that the peers are to be asked as well.
bool ConfigurationService::isStoreLate(TimePoint now) const
{
    return !storeConfirmedAt_ || now - *storeConfirmedAt_ > window_ * 2 / 3;
}

/// Paces the rounds of questions: quick after news, then slower, so that one host that is dead, or a store that is down for an
/// hour, does not make every host call all others ten times a second. A quarter of the window still leaves room for two lost rounds.
bool ConfigurationService::isAskDue(TimePoint now)
{
    if (askedVersion_ != log_.version()) {
        askedVersion_ = log_.version();
        askInterval_ = firstAskInterval;
        nextAsk_ = now;
    }
    if (now < nextAsk_) {
        return false;
    }
    nextAsk_ = now + askInterval_;
    askInterval_ = std::min<Duration>(askInterval_ * 2, window_ / 4);
    return true;
}

PeerQuestions ConfigurationService::tick()
{
    const std::lock_guard lock(mutex_);
    publishInForce();
    PeerQuestions questions;
    questions.entriesAfter = log_.version();
    const TimePoint now = BootClock::now();
    // Peers are asked only when the store has not answered for a while, or when an entry is on its way: a healthy and quiet
    // deployment costs no messages.
    const bool isEntryOnItsWay = tracker_.inForceVersion() < log_.version();
    if ((isStoreLate(now) || isEntryOnItsWay) && isAskDue(now)) {
        questions.requestReportsFrom = listedPeers();
    }
    questions.entriesFrom = std::exchange(aheadPeers_, {});
    if (log_.version() == 0 && isStoreLate(now)) {
        questions.entriesFrom = settings_.peers;
    }
    return questions;
}

EntryStatus ConfigurationService::entryStatus(std::int64_t sequence) const
{
    const std::lock_guard lock(mutex_);
    return {log_.version(), tracker_.isInForce(sequence), tracker_.hostsLacking(sequence)};
}

} // namespace Lovageloft

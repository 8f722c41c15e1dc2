#include "servers/peer_duty.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// How often the questions are worked out; a withdrawn key waits for this at most once on its way.
constexpr std::chrono::milliseconds tickPeriod{100};

} // namespace

PeerDuty::PeerDuty(const Settings &settings, std::uint64_t incarnation, ConfigurationService &configuration, ShareService &shares, Metrics &metrics)
    : settings_(settings)
    , configuration_(configuration)
    , shares_(shares)
    , network_(settings, {settings.hostName, std::to_string(incarnation)}, *this, metrics)
    , thread_([this] { run(); })
{
}

PeerDuty::~PeerDuty()
{
    isStopping_ = true;
    thread_.join();
}

std::uint16_t PeerDuty::port() const
{
    return network_.port();
}

void PeerDuty::run()
{
    while (!isStopping_) {
        askQuestions();
        std::this_thread::sleep_for(tickPeriod);
    }
}

void PeerDuty::askQuestions()
{
    const PeerQuestions questions = configuration_.tick();
    for (const std::string &address : questions.vouchFrom) {
        const TimePoint askedAt = BootClock::now();
        network_.askVouch(address, [this, address, askedAt](const std::optional<PeerAnswer> &answer) {
            if (answer) {
                configuration_.onPeerAnswer(address, *answer, askedAt);
            }
        });
    }
    for (const std::string &address : questions.entriesFrom) {
        network_.askEntries(address, questions.entriesAfter, [this](const std::optional<PeerEntries> &found) {
            if (!found) {
                return;
            }
            Reason reason;
            if (auto snapshot = found->snapshot.empty() ? std::nullopt : parseSnapshot(found->snapshot, reason)) {
                configuration_.restore(std::move(*snapshot));
            }
            configuration_.addEntryTexts(found->entries);
        });
    }
}

void PeerDuty::announceToAll(const LogEntry &entry)
{
    const std::string text = formatLogEntry(entry);
    for (const std::string &address : configuration_.peerAddresses()) {
        network_.announce(address, {text});
    }
}

std::string PeerDuty::addressOf(const std::string &host) const
{
    const auto state = configuration_.state();
    const auto found = std::find_if(state->hosts().begin(), state->hosts().end(), [&host](const HostEntry &entry) { return entry.name == host; });
    return found == state->hosts().end() ? std::string() : found->peerAddress;
}

void PeerDuty::ask(const DebitRequest &request)
{
    const std::string address = addressOf(request.to);
    if (address.empty()) {
        return;
    }
    network_.askDebit(address, request, [this](const std::optional<DebitReply> &reply) {
        if (reply) {
            shares_.onReply(*reply);
        }
    });
}

void PeerDuty::settle(const DebitSettlement &settlement)
{
    const std::string address = addressOf(settlement.to);
    if (!address.empty()) {
        network_.settle(address, settlement);
    }
}

void PeerDuty::onAnnounced(const std::vector<std::string> &entries)
{
    configuration_.addEntryTexts(entries);
}

PeerEntries PeerDuty::entriesAfter(std::int64_t sequence)
{
    return configuration_.entriesAfter(sequence);
}

PeerAnswer PeerDuty::vouch()
{
    return configuration_.ownAnswer();
}

DebitReply PeerDuty::onDebit(const DebitRequest &request)
{
    return shares_.onDebit(request);
}

void PeerDuty::onSettlement(const DebitSettlement &settlement)
{
    shares_.onSettlement(settlement);
}

void PeerDuty::onGossip(std::string_view)
{
}

} // namespace Lovageloft

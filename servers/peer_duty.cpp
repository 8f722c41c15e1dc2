#include "servers/peer_duty.h"

#include <algorithm>
#include <future>
#include <memory>

namespace Lovageloft
{

namespace
{

/// How often the questions are worked out; a withdrawn key waits for this at most once on its way.
constexpr std::chrono::milliseconds tickPeriod{100};
/// Longest wait for the holder of a claim; a little more than a call's own timeout.
constexpr std::chrono::seconds claimWait{1};

} // namespace

PeerDuty::PeerDuty(
    const Settings &settings, std::uint64_t incarnation, ConfigurationService &configuration, ShareService &shares, ClaimTable &claims, Metrics &metrics)
    : configuration_(configuration)
    , shares_(shares)
    , claims_(claims)
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
    for (const std::string &address : questions.requestReportsFrom) {
        const TimePoint askedAt = BootClock::now();
        network_.requestVersionReport(address, [this, address, askedAt](const std::optional<PeerAnswer> &answer) {
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

PeerAnswer PeerDuty::reportVersion()
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

ClaimQueryReply PeerDuty::onClaimQuery(const ClaimQuery &query)
{
    return claims_.onQuery(query, BootClock::now());
}

std::optional<ClaimQueryReply> PeerDuty::askClaim(const ClaimQuery &query)
{
    const std::string address = addressOf(query.host);
    if (address.empty()) {
        return std::nullopt;
    }
    // Shared, as the answer may come after this call has given up.
    const auto answer = std::make_shared<std::promise<std::optional<ClaimQueryReply>>>();
    auto arrived = answer->get_future();
    network_.askClaim(address, query, [answer](std::optional<ClaimQueryReply> reply) { answer->set_value(std::move(reply)); });
    return arrived.wait_for(claimWait) == std::future_status::ready ? arrived.get() : std::nullopt;
}

void PeerDuty::onGossip(std::string_view)
{
}

} // namespace Lovageloft

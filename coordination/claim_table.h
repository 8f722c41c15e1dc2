#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/claim_messages.h"
#include "core/clock.h"

namespace Lovageloft
{

/// Times and limits of claims.
struct ClaimOptions
{
    Duration validity = std::chrono::seconds(10); ///< From the first write of a claim to the sending.
    Duration lifetime = std::chrono::hours(24); ///< How long the store keeps a claim at least.
    Duration leaseSharingTime = std::chrono::hours(1); ///< Claims of this span share one lease.
    Duration retryAfter = std::chrono::seconds(1); ///< When to come back for a call that is running.
    Duration recordRetryDelay = std::chrono::seconds(1); ///< After a failed attempt to record, before the next.
    Duration canceledLifetime = std::chrono::minutes(10); ///< How long a claim that was never sent is remembered as such.
    std::size_t maxClaims = 10'000; ///< Claims of this process in memory.
    std::size_t maxBodyBytes = 262'144; ///< Bytes of an answer that are kept; longer ones are not kept at all.
    std::size_t maxKeptBytes = 67'108'864; ///< Bytes of answers waiting to be recorded.
};

/// What has to be done to the store for one claim of this process.
struct ClaimUpdate
{
    std::string nonce;
    std::string key;
    std::int64_t revision = 0; ///< Of the record that the claim was last seen in, 0 if that is not known.
    std::int64_t leaseId = 0;
    bool isDeletion = false; ///< The claim was never sent: its key is freed for another try.
    std::string value; ///< Otherwise the record to write.
};

/// All claims that this process made and that are not settled in the store yet. It alone knows whether a call was
/// sent, so everything that may send or swear not to has to pass here. Thread-safe: requests, peers' questions and the
/// recording run on different threads.
///
/// What goes wrong without it: a holder is paused between its claim and sending, another host takes it for idle and
/// sends the call, and the first one wakes and sends it again. Sending and swearing exclude each other here.
class ClaimTable
{
public:
    ClaimTable(std::string host, std::string incarnation, ClaimOptions options = {});

    const std::string &host() const;
    const std::string &incarnation() const;
    const ClaimOptions &options() const;

    /// Makes room for a new claim; false if there is none.
    bool add(std::string_view nonce, std::string_view key, std::string_view requestDigest);

    /// The claim is about to be written to the store.
    void onWriting(std::string_view nonce, std::int64_t leaseId, TimePoint now);

    /// The claim stands in the store.
    void onClaimed(std::string_view nonce, std::int64_t revision);

    /// The last check before the first byte leaves: true once at most. False when the claim is not held, was barred, or
    /// its validity has passed.
    bool beginSend(std::string_view nonce, TimePoint now);

    /// Bars a claim that was not sent from ever being sent. False if it had been sent or barred before: then a peer may
    /// have taken the call over and sent it.
    bool cancel(std::string_view nonce, TimePoint now);

    /// How a sent call ended.
    void onAnswer(std::string_view nonce, ClaimAnswer answer);
    void onLost(std::string_view nonce);

    /// A peer's or an own request's question about a claim. A claim that waits past its validity is barred first.
    ClaimQueryReply onQuery(const ClaimQuery &query, TimePoint now);

    /// The next claim whose end is to be written to the store, if one is due.
    std::optional<ClaimUpdate> nextUpdate(TimePoint now);

    /// The work is done or pointless: the claim is forgotten.
    void onUpdateDone(std::string_view nonce);

    /// The work failed and is tried again later, on the record of `revision` (0: look it up).
    void onUpdateFailed(std::string_view nonce, std::int64_t revision, TimePoint now);

private:
    enum class Phase : std::uint8_t
    {
        Claiming,
        Held,
        Canceled,
        Sent,
        Answered,
        Lost,
    };

    struct Entry
    {
        std::string key;
        std::string requestDigest;
        Phase phase = Phase::Claiming;
        bool isWritten = false;
        std::int64_t revision = 0;
        std::int64_t leaseId = 0;
        TimePoint claimedAt;
        TimePoint nextAttemptAt;
        ClaimAnswer answer;
    };

    using Entries = std::map<std::string, Entry, std::less<>>;

    static bool isUnsent(const Entry &entry);
    bool isValid(const Entry &entry, TimePoint now) const;
    ClaimUpdate makeUpdate(const std::string &nonce, const Entry &entry) const;
    void erase(Entries::iterator entry);

    std::string host_;
    std::string incarnation_;
    ClaimOptions options_;
    std::mutex mutex_;
    Entries entries_;
    std::size_t keptBytes_ = 0;
};

} // namespace Lovageloft

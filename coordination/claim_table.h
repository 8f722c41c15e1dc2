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
    Duration validity = std::chrono::seconds(10); ///< Maximum time from the first write of a claim to the sending of its call.
    Duration lifetime = std::chrono::hours(24); ///< Minimum time for which the store keeps a claim.
    Duration leaseSharingTime = std::chrono::hours(1); ///< Claims written within this time share one lease.
    Duration retryAfter = std::chrono::seconds(1); ///< Retry delay returned with refusals that may be temporary, such as for a call that is running.
    Duration recordRetryDelay = std::chrono::seconds(1); ///< Delay after a failed write to the store.
    Duration cancelledLifetime = std::chrono::minutes(10); ///< How long a cancelled claim is kept in memory beyond its validity.
    std::size_t maxClaims = 10'000; ///< Claims of this process in memory.
    std::size_t maxBodyBytes = 262'144; ///< Size of an answer's body above which it is not kept.
    std::size_t maxKeptBytes = 67'108'864; ///< Total size of the answers that wait to be recorded.
};

/// A write to the store that is due for one claim of this process.
struct ClaimUpdate
{
    std::string nonce;
    std::string key;
    std::int64_t revision = 0; ///< Last known revision of the claim's record; 0 if unknown.
    std::int64_t leaseId = 0;
    bool isDeletion = false; ///< Whether to delete the key: the call was never sent, and another attempt may claim the key.
    std::string value; ///< Otherwise the record to write.
};

/// The claims of this process whose end is not in the store yet. Only this table knows whether a call was sent, so each decision to
/// send a call or to cancel it is made here. Thread-safe: requests, queries of peers and the recorder run on different threads.
///
/// Sending and cancelling exclude each other. Otherwise a holder could be paused between its claim and the sending, another host
/// could consider the claim unused and send the call, and the first one would resume and send it again.
class ClaimTable
{
public:
    ClaimTable(std::string host, std::string incarnation, ClaimOptions options = {});

    const std::string &host() const;
    const std::string &incarnation() const;
    const ClaimOptions &options() const;

    /// Adds a new claim. Returns false if the table is full or contains a claim with this nonce.
    bool add(std::string_view nonce, std::string_view key, std::string_view requestDigest);

    /// The claim is about to be written to the store.
    void onWriting(std::string_view nonce, std::int64_t leaseId, TimePoint now);

    /// The claim was written to the store.
    void onClaimed(std::string_view nonce, std::int64_t revision);

    /// The last check before the first byte is sent. Returns true at most once; false if the claim is not held, was cancelled, or its
    /// validity has passed.
    bool beginSend(std::string_view nonce, TimePoint now);

    /// Cancels a claim that was not sent, so that it never will be. Returns false if it is unknown, was sent, or was cancelled before;
    /// in the last case a peer may have claimed the key and sent the call.
    bool cancel(std::string_view nonce, TimePoint now);

    /// The call was sent and answered.
    void onAnswer(std::string_view nonce, ClaimAnswer answer);

    /// The call was sent and no answer will come.
    void onLost(std::string_view nonce);

    /// Handles a query of a peer or of another request of this host. A claim not sent within its validity is cancelled first.
    ClaimQueryReply onQuery(const ClaimQuery &query, TimePoint now);

    /// The next write to the store that is due, if there is one.
    std::optional<ClaimUpdate> nextUpdate(TimePoint now);

    /// The update is done or no longer needed: removes the claim.
    void onUpdateDone(std::string_view nonce);

    /// The update failed and is retried after `recordRetryDelay`. `revision` is the current revision of the record, 0 if it must be read
    /// first.
    void onUpdateFailed(std::string_view nonce, std::int64_t revision, TimePoint now);

private:
    enum class Phase : std::uint8_t
    {
        Claiming,
        Held,
        Cancelled,
        Sent,
        Answered,
        Lost,
    };

    struct Entry
    {
        std::string key;
        std::string requestDigest;
        Phase phase = Phase::Claiming;
        bool isWritten = false; ///< The claim may be in the store: its write has begun.
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

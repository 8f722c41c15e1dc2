#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

/// Records of non-idempotent calls in the store. docs/design/claims.md describes the protocol.
namespace Lovageloft
{

/// Identifies a non-idempotent call.
struct ClaimCall
{
    std::string team;
    std::string service;
    std::string idempotencyKey;
    std::string requestDigest; ///< Digest of method, path and body. A request with the same key and another digest is refused.
};

/// The answer to a call, kept for callers that retry.
struct ClaimAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool isWhole = true; ///< False if the body was too large to be kept; it is empty then.

    bool operator==(const ClaimAnswer &) const = default;
};

enum class ClaimState : std::uint8_t
{
    Claimed, ///< The holder may send the call, or has sent it.
    Answered, ///< The call ran, and its answer is kept.
    Unknown, ///< The call may have run, and no answer will come.
};

/// The value stored under the key of a claim.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string host; ///< Of the holder.
    std::string incarnation; ///< Process of the holder.
    std::string nonce; ///< Identifies this claim among all claims, including others of the same process.
    std::string requestDigest;
    std::int64_t leaseId = 0;
    ClaimAnswer answer;

    bool operator==(const ClaimRecord &) const = default;
};

/// The key of a call in the store: `prefix` + "claims/" + a digest, so that no text of a caller becomes part of a key.
std::string claimKey(std::string_view prefix, const ClaimCall &call);

/// Serializes the record; the text may contain any bytes. parseClaimRecord() is the inverse.
std::string formatClaimRecord(const ClaimRecord &record);

/// Parses a record. Returns nothing and sets `reason` to StoreConflict if the text is not exactly one record.
std::optional<ClaimRecord> parseClaimRecord(std::string_view text, Reason &reason);

} // namespace Lovageloft

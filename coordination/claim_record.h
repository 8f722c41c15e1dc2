#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

/// What the store keeps of a call that may not be repeated. docs/design/claims.md tells the whole protocol.
namespace Lovageloft
{

/// What names a call that may not be repeated.
struct ClaimCall
{
    std::string team;
    std::string service;
    std::string idempotencyKey;
    std::string requestDigest; ///< Digest of method, path and body: the same key with another digest is refused.
};

/// The answer to a call, kept for callers that ask again.
struct ClaimAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool isWhole = true; ///< False: the body was too large to be kept and is empty.

    bool operator==(const ClaimAnswer &) const = default;
};

enum class ClaimState : std::uint8_t
{
    Claimed, ///< The holder may send it, or has.
    Answered, ///< It ran, and its answer is kept.
    Unknown, ///< It may have run, and no answer will come.
};

/// The value of a claim's key.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string host; ///< The holder.
    std::string incarnation; ///< The holder's process.
    std::string nonce; ///< Tells this claim from any other, also from one by the same process.
    std::string requestDigest;
    std::int64_t leaseId = 0;
    ClaimAnswer answer;

    bool operator==(const ClaimRecord &) const = default;
};

/// The store's key of a call: `prefix` + "claims/" + a digest, so that no caller's text gets into the store's keys.
std::string claimKey(std::string_view prefix, const ClaimCall &call);

/// The record as text that may hold any bytes; parseClaimRecord reads it back.
std::string formatClaimRecord(const ClaimRecord &record);

/// Nothing and StoreConflict for text that is no whole record.
std::optional<ClaimRecord> parseClaimRecord(std::string_view text, Reason &reason);

} // namespace Lovageloft

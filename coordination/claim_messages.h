#pragma once

#include <cstdint>
#include <string>

#include "coordination/claim_record.h"

/// Messages between hosts about a claim whose record in the store has no answer.
namespace Lovageloft
{

/// Asks the holder of a claim, the process that wrote it, about the state of the call.
struct ClaimQuery
{
    std::string host; ///< Recipient: the host of the holder.
    std::string incarnation; ///< Process of the holder, from the record.
    std::string nonce;
};

enum class ClaimFate : std::uint8_t
{
    Running, ///< Sent or about to be sent; an answer may come.
    Answered, ///< The answer is in memory and not in the store yet.
    NeverSent, ///< Not sent, and cancelled by the holder so that it never will be.
    Lost, ///< Sent, and no answer will come.
    OtherProcess, ///< The process that held the claim no longer exists.
    Forgotten, ///< This process has no entry for the claim: its end is in the store, or it was cancelled and dropped after a time.
};

struct ClaimQueryReply
{
    std::string nonce; ///< `nonce` of the query.
    ClaimFate fate = ClaimFate::Forgotten;
    ClaimAnswer answer; ///< With Answered.
};

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <string>

#include "coordination/claim_record.h"

/// The messages between hosts about a claim that is in the store without an answer.
namespace Lovageloft
{

/// Asks the holder of a claim what became of the call.
struct ClaimQuery
{
    std::string host; ///< To whom: the holder's host.
    std::string incarnation; ///< The holder's process as the record names it.
    std::string nonce;
};

enum class ClaimFate : std::uint8_t
{
    Running, ///< Sent or about to be; an answer may come.
    Answered, ///< The answer is here and not in the store yet.
    NeverSent, ///< Was not sent and never will be: the holder has barred itself from it.
    Lost, ///< Sent, and no answer will come.
    OtherProcess, ///< The process that held it is gone.
    Forgotten, ///< This process knows nothing of it any more: it is recorded, or was dropped for want of room.
};

struct ClaimQueryReply
{
    std::string nonce; ///< As the query had it.
    ClaimFate fate = ClaimFate::Forgotten;
    ClaimAnswer answer; ///< With Answered.
};

} // namespace Lovageloft

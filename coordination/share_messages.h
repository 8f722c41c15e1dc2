#pragma once

#include <cstdint>
#include <string>

/// Messages between the share ledgers of two hosts. Each message may be lost, duplicated or delayed. A lost message can
/// waste tokens; no fault creates any.
namespace Lovageloft
{

/// Asks a home (a host that holds a share of the team's rate and burst) to debit the team's tokens for one request.
struct DebitRequest
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::uint64_t debitId = 0; ///< Increasing within the incarnation of the sender.
    std::string team;
    double amount = 0; ///< Tokens; the home grants less if it has fewer.
};

/// The reply of a home to a DebitRequest.
struct DebitReply
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::string toIncarnation; ///< `fromIncarnation` of the request.
    std::uint64_t debitId = 0;
    std::string team;
    double granted = 0; ///< Tokens debited, from 0 to the requested amount.
    double balance = 0; ///< Tokens of the team left at the home; negative while a debt is being paid off.
    double reserved = 0; ///< Tokens debited within the last debit lifetime, which still occupy capacity of the bucket.
};

/// Reports to a home how a debit ended. There is no reply.
struct DebitSettlement
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::string toIncarnation; ///< Of the process that granted the debit; a restarted home has a new bucket and ignores the settlement.
    std::uint64_t debitId = 0;
    bool isUsed = false; ///< False if the debit was not used and never will be.
    double used = 0; ///< Tokens actually used; may exceed the debit.
};

} // namespace Lovageloft

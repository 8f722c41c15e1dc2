#pragma once

#include <cstdint>
#include <string>

/// The messages between the share ledgers of two hosts. Each may be lost, doubled or late: a loss costs tokens, and
/// nothing makes any.
namespace Lovageloft
{

/// Asks a home to debit a team's tokens for one request.
struct DebitRequest
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::uint64_t debitId = 0; ///< Counts up within the asker's incarnation.
    std::string team;
    double amount = 0; ///< Tokens; the home grants less if it has less.
};

/// A home's answer to a DebitRequest.
struct DebitReply
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::string toIncarnation; ///< As the request had it.
    std::uint64_t debitId = 0;
    std::string team;
    double granted = 0; ///< Tokens debited, 0 to the amount asked for.
    double balance = 0; ///< What the home has left of the team's tokens; negative while a debt is paid off.
    double reserved = 0; ///< Tokens debited within the last debit lifetime, which take room in the bucket.
};

/// Tells a home what became of a debit. No answer is expected.
struct DebitSettlement
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::string toIncarnation; ///< The home's when it granted; another one has a new bucket that owes nothing.
    std::uint64_t debitId = 0;
    bool isUsed = false; ///< False: the debit was never used and never will be.
    double used = 0; ///< Tokens used in the end, may exceed the debit.
};

} // namespace Lovageloft

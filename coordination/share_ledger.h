#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "coordination/share_bucket.h"
#include "coordination/share_hint.h"
#include "coordination/share_messages.h"
#include "coordination/share_versions.h"
#include "core/result_code.h"

/// Enforces the rate and burst of each team across all hosts. docs/design/shares.md explains why the totals hold.
namespace Lovageloft
{

/// Times and limits of a share ledger. `debitLifetime` and `growDelay` must be the same on all hosts of a deployment.
struct ShareOptions
{
    Duration debitLifetime = std::chrono::milliseconds(150); ///< A debit is used within this time after it was requested, or never.
    /// Shares grow this long after a version is in force. The freshness window: the time for which a host counts as fresh once its
    /// configuration is confirmed. Raised to `debitLifetime` if less.
    Duration growDelay = std::chrono::seconds(3);
    Duration roundTimeout = std::chrono::milliseconds(50); ///< Timeout for the replies of one round.
    Duration gatherTimeout = std::chrono::milliseconds(150); ///< Timeout for all rounds of one request; lowered to `debitLifetime` if more.
    Duration maxEstimateAge = std::chrono::milliseconds(250); ///< A reply younger than this limits the amount requested from its home to the estimate.
    Duration homeBackoff = std::chrono::milliseconds(250); ///< How long a home is not asked after its first timeout.
    Duration recordLifetime = std::chrono::minutes(10); ///< A debit settled later than this gets no refund.
    std::size_t maxPending = 10'000; ///< Requests that wait for replies at once; each takes about 500 bytes.
    std::size_t maxRecords = 100'000; ///< Unsettled debits of other hosts; each takes about 300 bytes.
};

enum class ShareVerdict : std::uint8_t
{
    None, ///< No decision: the message belongs to no pending request, or more replies are awaited.
    Admit, ///< Charged; settle() must follow, however the request ends.
    Pending, ///< Send `debitRequests`; call onTimeout() at `deadline` unless the replies have decided it before.
    Refuse, ///< Not charged.
};

/// The decision about a request, and the messages to send.
struct ShareDecision
{
    ShareVerdict verdict = ShareVerdict::None;
    std::uint64_t requestId = 0;
    std::vector<DebitRequest> debitRequests;
    std::vector<DebitSettlement> settlements; ///< To be sent with any verdict.
    TimePoint deadline; ///< With Pending.
    /// With Refuse: OverRate, ExceedsBurst, PeerUnreachable (homes that hold a needed part of the burst do not reply), NotFresh,
    /// UnknownKey (the team is unknown or has no homes), Overloaded (too many pending requests, or the request id is in use) or
    /// CallerGone.
    Reason reason;
    /// With Refuse. OverRate: time until the request would pass if no other came, or `growDelay` if the cost exceeds the burst until
    /// shares grow. ExceedsBurst and UnknownKey: zero. Otherwise a fixed delay.
    Duration retryAfter{};
};

/// Distributed rate limiter: the ledger of one host, which together with those of the other hosts keeps each team within its
/// rate and burst.
///
/// Designed for five to hundreds of teams whose requests arrive at any host in any mix, up to all requests of a team at a single
/// host. Otherwise a team over its rate would take capacity from the others, or a team within its rate would be refused because its
/// tokens are on other hosts. A host spends its own share at once, and otherwise asks other homes (the hosts that hold a share) to
/// debit theirs for this one request. Balances are never transferred between hosts: the giving bucket would refill and the total
/// would grow.
///
/// Not thread-safe. Tokens are doubles, 0 or more; a cost that is negative or not finite is refused with ExceedsBurst.
class ShareLedger
{
public:
    /// `incarnation` must differ from that of every earlier process on this host. The buckets start empty, and their refill
    /// starts after one debit lifetime, when the debits that the previous process granted have expired. The ledger is not fresh
    /// until the first setFreshUntil().
    ShareLedger(std::string host, std::string incarnation, TimePoint now, ShareOptions options = {});

    /// Applies the next version of hosts and teams; versions must be passed in order. `isInForce` tells whether the first version
    /// is known to be in force, which a restarted host learns from its peers; until a version is, this host spends no tokens of its
    /// own and only asks other homes. A gap between versions empties all buckets.
    void setConfiguration(const ShareConfiguration &configuration, TimePoint now, bool isInForce = false);

    /// Reports that a version is in force on all fresh hosts; shares grow once `growDelay` has passed.
    void onInForce(std::int64_t version, TimePoint now);

    /// Sets until when the configuration of this host counts as fresh. After that nothing is spent, granted or refilled.
    void setFreshUntil(TimePoint until, TimePoint now);

    /// Decides whether a request that may cost up to `cost` tokens is admitted. `requestId` must be unique within this process.
    ShareDecision admit(std::string_view team, double cost, std::uint64_t requestId, TimePoint now);

    /// Handles a request to this home: debits the available tokens, up to the amount. A duplicate request gets the same grant without
    /// a new debit. Grants nothing if this host is not fresh, the team is unknown, the request is for another host, its amount is not
    /// finite, or `maxRecords` is reached.
    DebitReply onDebitRequest(const DebitRequest &request, TimePoint now);

    /// Handles the reply of a home. Tokens of a late reply are returned to the home.
    ShareDecision onDebitReply(const DebitReply &reply, TimePoint now);

    /// Handles the deadline of a Pending decision. Homes that did not reply are put into backoff. Does nothing before the newest
    /// deadline of the request, so that timers of earlier rounds need not be cancelled.
    ShareDecision onTimeout(std::uint64_t requestId, TimePoint now);

    /// Cancels a pending request whose caller is gone, and returns the tokens collected for it. Does nothing for an unknown or an
    /// admitted request; the latter must be settled.
    ShareDecision cancel(std::uint64_t requestId, TimePoint now);

    /// Settles the charge of an admitted request at `used` tokens. Unused tokens are refunded to the buckets from which they came;
    /// an excess is charged there as a debt. `used` must be finite; a negative value counts as 0. Returns the messages to send. Does
    /// nothing if the charge is already settled.
    std::vector<DebitSettlement> settle(std::uint64_t requestId, double used, TimePoint now);

    /// Handles the settlement of a debit at this home. Duplicate, late and unknown settlements are ignored.
    void onSettlement(const DebitSettlement &settlement, TimePoint now);

    /// Tokens of a team in the bucket of this host, negative while a debt is being paid off; 0 if it is not a home of the team.
    double balance(std::string_view team, TimePoint now);

private:
    struct Team
    {
        ShareBucket bucket;
        TeamSplit split;
        std::map<std::string, ShareHint, std::less<>> hints;
    };

    /// Tokens debited for one request at one home; an empty `home` is this host.
    struct Debit
    {
        std::string home;
        std::string homeIncarnation;
        std::uint64_t id = 0; ///< The debit id, or the id of the local reservation (0: consumed without a reservation).
        double amount = 0;
    };

    /// The charge of an admitted request that is not settled.
    struct Charge
    {
        std::string team;
        double total = 0;
        std::vector<Debit> debits;
    };

    /// A debit request whose reply is awaited or has timed out.
    struct PendingDebit
    {
        std::uint64_t requestId = 0;
        std::string home;
        std::string team;
        double amount = 0;
    };

    /// A request that collects tokens from several homes.
    struct PendingRequest
    {
        std::string team;
        double cost = 0;
        double collected = 0;
        int rounds = 0;
        bool skipsLocal = false; ///< The first round does not use the tokens of this host.
        TimePoint finalDeadline; ///< Of all rounds.
        TimePoint deadline; ///< Of the current round.
        std::vector<Debit> debits;
        std::vector<std::uint64_t> pendingDebitIds;
    };

    /// Identifies a debit that another host requested.
    struct RecordKey
    {
        std::string host;
        std::string incarnation;
        std::uint64_t debitId = 0;

        bool operator<(const RecordKey &other) const
        {
            return std::tie(host, incarnation, debitId) < std::tie(other.host, other.incarnation, other.debitId);
        }
    };

    /// A debit granted to another host and not settled.
    struct Record
    {
        std::string team;
        double amount = 0;
        std::uint64_t reservation = 0;
    };

    struct RecordExpiry
    {
        TimePoint expiresAt;
        RecordKey key;
    };

    struct DebitExpiry
    {
        TimePoint expiresAt;
        std::uint64_t debitId = 0;
    };

    struct Candidate
    {
        ShareHint *hint = nullptr;
        std::string home;
        double estimate = 0;
        double upperBound = 0;
        double preference = 0;
    };

    using PendingRequests = std::map<std::uint64_t, PendingRequest>;

    bool isFresh(TimePoint now) const;
    TimePoint refillTime(TimePoint now) const;
    void advance(TimePoint now);
    void updateShares(TimePoint now);
    void updateTeam(const std::string &name, TimePoint now);
    void expireRecords(TimePoint now);
    Team *findTeam(std::string_view name);
    ShareHint *findHint(const PendingDebit &pendingDebit);

    ShareDecision startNextRound(PendingRequests::iterator pending, TimePoint now);
    bool hasFullerHome(Team &team, double cost, TimePoint now) const;
    void reserveLocal(Team &team, PendingRequest &pending, TimePoint now);
    std::vector<Candidate> candidates(Team &team, TimePoint now) const;
    std::vector<DebitRequest> planDebitRequests(Team &team, PendingRequests::iterator pending, TimePoint now);
    DebitRequest makeDebitRequest(const Candidate &candidate, PendingRequests::iterator pending, double amount);
    ShareDecision complete(PendingRequests::iterator pending, TimePoint now);
    ShareDecision refusePending(PendingRequests::iterator pending, Reason reason, TimePoint now);
    std::vector<DebitSettlement> abandon(PendingRequests::iterator pending, TimePoint now);
    void abandonPendingDebits(PendingRequest &pending, TimePoint now);
    ShareDecision onLateReply(const DebitReply &reply, TimePoint now);
    ShareDecision refuseOverRate(std::string_view team, double cost, ShareDecision decision, TimePoint now);
    Duration timeToRefill(Team &team, double cost, TimePoint now) const;
    DebitSettlement makeSettlement(const Debit &debit, bool isUsed, double used) const;
    void settleLocal(Team &team, double charged, double used, TimePoint now) const;

    std::string host_;
    std::string incarnation_;
    ShareOptions options_;
    TimePoint refillStart_;
    TimePoint freshUntil_;
    ShareVersions versions_;
    std::map<std::string, Team, std::less<>> teams_;
    std::uint64_t lastId_ = 0;
    PendingRequests pendingRequests_;
    std::map<std::uint64_t, Charge> charges_;
    std::map<std::uint64_t, PendingDebit> pendingDebits_;
    std::map<std::uint64_t, PendingDebit> abandonedDebits_;
    std::deque<DebitExpiry> abandonedExpiries_;
    std::map<RecordKey, Record> records_;
    std::deque<RecordExpiry> recordExpiries_;
};

} // namespace Lovageloft

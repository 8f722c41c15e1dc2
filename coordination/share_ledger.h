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

/// Rate and burst of teams across all hosts. docs/design/shares.md says why the sums hold.
namespace Lovageloft
{

/// Times and limits of a share ledger. All hosts of a deployment need the same `debitLifetime` and `growDelay`.
struct ShareOptions
{
    Duration debitLifetime = std::chrono::milliseconds(150); ///< A debit is used within this time of being asked for, or never.
    Duration growDelay = std::chrono::seconds(3); ///< The freshness window; raised to `debitLifetime` if less.
    Duration roundTimeout = std::chrono::milliseconds(50); ///< Wait for one round of answers.
    Duration gatherTimeout = std::chrono::milliseconds(150); ///< Wait for all rounds of one request; lowered to `debitLifetime` if more.
    Duration maxEstimateAge = std::chrono::milliseconds(250); ///< A home is not asked again in vain while news of it is younger.
    Duration homeBackoff = std::chrono::milliseconds(250); ///< How long a home that did not answer is first left alone.
    Duration recordLifetime = std::chrono::minutes(10); ///< A debit settled later than this gets no refund.
    std::size_t maxPending = 10'000; ///< Requests that wait for answers at once; each takes about 500 bytes.
    std::size_t maxRecords = 100'000; ///< Debits of other hosts not settled yet; each takes about 300 bytes.
};

enum class ShareVerdict : std::uint8_t
{
    None, ///< Nothing to decide: the message belongs to no waiting request.
    Admit, ///< Charged; settle() must follow, whatever becomes of the request.
    Pending, ///< Send `debitRequests`; call onTimeout() at `deadline` if the answers have not decided it before.
    Refuse, ///< Not charged.
};

/// What to do about a request, and the messages to send.
struct ShareDecision
{
    ShareVerdict verdict = ShareVerdict::None;
    std::uint64_t requestId = 0;
    std::vector<DebitRequest> debitRequests;
    std::vector<DebitSettlement> settlements; ///< To send whatever the verdict is.
    TimePoint deadline; ///< With Ask.
    Reason reason; ///< With Refuse: OverRate, ExceedsBurst, PeerUnreachable, NotFresh, UnknownKey, Overloaded.
    Duration retryAfter{}; ///< With Refuse, except ExceedsBurst and UnknownKey: when the same request would pass if nothing else came.
};

/// One host's part in keeping each team within its rate and burst over all hosts.
///
/// The load it is made for: five to hundreds of teams whose requests arrive at any host in any mix, up to all of one
/// team's at a single one. The harm prevented: a team over its rate takes from the others, and a team within its rate
/// is refused because its tokens lie elsewhere. A host spends its own part at once and otherwise asks other homes
/// to debit theirs for this one request. Balances are never handed over: the giver would refill and the sum grow.
///
/// Not thread-safe: one duty owns it. Tokens are doubles from 0 up; a cost below 0 or not finite is refused as ExceedsBurst.
class ShareLedger
{
public:
    /// `incarnation` must differ from that of every earlier process of this host. The buckets begin empty, and their
    /// refill begins after one lifetime of a debit, so that debits which the process before granted have run out.
    ShareLedger(std::string host, std::string incarnation, TimePoint now, ShareOptions options = {});

    /// Takes the next version of hosts and teams, one after another. `isInForce` says whether the first one is known to
    /// be in force, as a restarted host hears from its peers; until one is, this host only asks other homes. After a
    /// gap between versions all buckets are emptied.
    void setConfiguration(const ShareConfiguration &configuration, TimePoint now, bool isInForce = false);

    /// A version is in force everywhere; parts grow once the delay has passed.
    void onInForce(std::int64_t version, TimePoint now);

    /// This host's configuration counts as current until `until`. Beyond it nothing is spent, granted or refilled.
    void setFreshUntil(TimePoint until, TimePoint now);

    /// Decides about a request that may cost up to `cost` tokens. `requestId` must be unique within this process.
    ShareDecision admit(std::string_view team, double cost, std::uint64_t requestId, TimePoint now);

    /// A home's part: debits what it has, up to the amount. A doubled request is answered alike without a new debit.
    DebitReply onDebitRequest(const DebitRequest &request, TimePoint now);

    ShareDecision onDebitReply(const DebitReply &reply, TimePoint now);

    /// The deadline of an Ask has passed. Homes that did not answer are left alone for a while. Nothing happens before the
    /// deadline of the newest Ask, so that timers of earlier ones need not be stopped.
    ShareDecision onTimeout(std::uint64_t requestId, TimePoint now);

    /// The caller gave up while its request waited: what was gathered is returned.
    ShareDecision cancel(std::uint64_t requestId, TimePoint now);

    /// Ends the charge of an admitted request at `used` tokens. Less than charged is refunded to the buckets it came
    /// from, more is charged there as a debt. Returns the messages to send. Nothing happens the second time.
    std::vector<DebitSettlement> settle(std::uint64_t requestId, double used, TimePoint now);

    /// A home's part: what became of a debit. Doubled, late and unknown ones do nothing.
    void onSettlement(const DebitSettlement &settlement, TimePoint now);

    /// This host's own tokens of a team; 0 if it is no home.
    double balance(std::string_view team, TimePoint now);

private:
    struct Team
    {
        ShareBucket bucket;
        TeamSplit split;
        std::map<std::string, ShareHint, std::less<>> hints;
    };

    /// Tokens of one request from one home. Without a home they are this host's own.
    struct Debit
    {
        std::string home;
        std::string homeIncarnation;
        std::uint64_t id = 0; ///< Ask id, or the local reservation (0: spent without one).
        double amount = 0;
    };

    struct Charge
    {
        std::string team;
        double total = 0;
        std::vector<Debit> debits;
    };

    struct PendingDebit
    {
        std::uint64_t requestId = 0;
        std::string home;
        std::string team;
        double amount = 0;
    };

    struct PendingRequest
    {
        std::string team;
        double cost = 0;
        double collected = 0;
        int rounds = 0;
        bool skipsLocal = false; ///< The first round leaves this host's own tokens alone.
        TimePoint finalDeadline;
        TimePoint deadline; ///< Of the present round.
        std::vector<Debit> debits;
        std::vector<std::uint64_t> pendingDebitIds;
    };

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

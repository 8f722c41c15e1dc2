#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/rendezvous.h"
#include "decision/team_rate_limiter.h"
#include "gateway/peer_socket.h"
#include "quota/reserving_token_bucket.h"

namespace Lovageloft
{

/// Result of a request for tokens.
struct TokenDecision
{
    bool isGranted = false;
    Duration retryAfter{};
    std::size_t homesAsked = 0; ///< Home hosts of the team that were asked, this one included.
    std::size_t homesTimedOut = 0; ///< Of them, those that did not reply in time.
    std::string home = {}; ///< Home host that granted the tokens; empty for the local share.
};

/// Enforces the teams' rate limits over all hosts. A fraction of each limit is divided evenly among the hosts, which consume their shares
/// locally without a message. The rest is in pools at two home hosts for each team, chosen by rendezvous hashing; a host asks them when its
/// local share is used up.
///
/// An even split alone does not work for prompts of 17,000 tokens, of which it leaves each host only two a second: a team whose requests
/// reach the same host by chance would be refused far below its rate. The shares and pools always add up to one limit, whatever messages
/// are lost: a partitioned host consumes its local share only, and the pool of a lost home is unavailable until another host becomes home.
/// Only pools may be overdrawn, by a request larger than a full pool, or by tokens that are reserved up to 2 s in advance for requests that
/// wait. A reservation stays valid if its home fails; the pool of a process that starts refills only when those of its predecessor have
/// lapsed. The fraction that is divided evenly shrinks in large fleets: the share of each of hundreds of hosts is less than one prompt and
/// would stay unused.
class TeamBudget
{
public:
    using DecisionHandler = std::function<void(const TokenDecision &)>;
    using RequestSender = std::function<void(const std::string &host, const TokenRequest &)>;
    using ReturnSender = std::function<void(const std::string &host, const TokenReturn &)>;

    explicit TeamBudget(
        std::string host, ReturnSender sendReturn = [](const std::string &, const TokenReturn &) {});

    /// Sets whether requests may wait for tokens, here and in the pools of this host; false at first. Reservations already made stay valid.
    void setMayWait(bool mayWait);
    bool mayWait() const;

    void setLimits(std::span<const TeamLimit> limits, TimePoint now);

    /// Sets the number of active hosts including this one, and which of them may be homes. `share` is this host's share of the evenly divided
    /// fraction, at most 1 / hosts.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates, double share, TimePoint now);

    /// Consumes tokens if the team's rate allows it now or, if requests may wait, within `maxWait`. `handler` is called at once, or later from
    /// `onReply` or `onTick`; with reserved tokens when they are valid. Returns the id for `cancel`.
    std::uint64_t consume(std::string_view team, double tokens, Duration maxWait, TimePoint now, const RequestSender &send, DecisionHandler handler);

    /// Ends the wait of a request whose caller has left and returns its reserved tokens; the handler is not called. Does nothing if the
    /// request does not wait for reserved tokens: before a home has replied, the handler still gets the decision.
    void cancel(std::uint64_t id);

    /// Handles a request from another host to this home's pool.
    TokenReply onRequest(const TokenRequest &request, TimePoint now);

    void onReply(const TokenReply &reply, TimePoint now, const RequestSender &send);

    /// Handles tokens that another host got from this home's pool and returns.
    void onReturn(const TokenReturn &tokens);

    /// Times out homes that have not replied and asks the next ones; grants reserved tokens that are valid. To be called at `nextTimeout`.
    void onTick(TimePoint now, const RequestSender &send);
    std::optional<TimePoint> nextTimeout() const;

    /// Returns the tokens of a request that did not run, to the home that granted them if requests may wait, otherwise to the local share.
    void refund(std::string_view team, double tokens, const std::string &home = {});

private:
    struct Pending
    {
        std::string team;
        double tokens = 0;
        TimePoint waitUntil; ///< Latest time for the tokens to become valid.
        std::size_t nextHome = 0;
        std::size_t homesTimedOut = 0;
        TimePoint deadline; ///< Of the reply; once tokens are reserved, when they become valid.
        Duration retryAfter{};
        DecisionHandler handler;
        std::string askedHome = {}; ///< Asked last.
        Duration offeredWait{}; ///< For how long askedHome could reserve.
        std::string soonestHome = {}; ///< Home that was not asked to reserve and would have the tokens soonest.
        Duration soonest = longestReservationWait;
        bool isReserved = false;
    };

    /// A pool of a team's limit on this host.
    struct Pool
    {
        TimePoint activeFrom;
        ReservingTokenBucket bucket;
    };

    std::vector<std::string> homesOf(std::string_view team) const;
    void askNext(std::uint64_t id, TimePoint now, const RequestSender &send);
    bool chooseHome(Pending &pending, TimePoint now) const;
    void handleReply(const TokenReply &reply, TimePoint now);
    void finish(std::uint64_t id, const TokenDecision &decision);
    void updateHomes(TimePoint now);
    TokenBucketLimit poolLimit(const TeamLimit &limit) const;
    Pool newPool(const TeamLimit &limit, bool isFirstUpdate, TimePoint now) const;

    std::string host_;
    ReturnSender sendReturn_;
    bool mayWait_ = false;
    std::vector<TeamLimit> limits_;
    RendezvousNames candidates_; ///< Hosts that may be homes.
    TeamRateLimiter localLimiter_{TeamRateLimiter::LargeRequestPolicy::Refuse};
    double poolShare_ = 0; ///< Fraction of a limit in each of its pools.
    std::map<std::string, Pool, std::less<>> pools_; ///< By team.
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t lastId_ = 0;
    bool isInitialized_ = false; ///< Whether hosts and limits have both been known.
};

} // namespace Lovageloft

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

namespace Lovageloft
{

/// Result of a request for tokens.
struct TokenDecision
{
    bool isGranted = false;
    Duration retryAfter{};
    std::size_t homesAsked = 0; ///< Home hosts of the team that were asked, this one included.
    std::size_t homesTimedOut = 0; ///< Of them, those that did not reply in time.
};

/// Enforces the teams' rate limits over all hosts. A fraction of each limit is divided evenly among the hosts, which consume their shares
/// locally without a message. The rest is in pools at two home hosts for each team, chosen by rendezvous hashing; a host asks them when its
/// local share is used up.
///
/// An even split alone does not work for prompts of 17,000 tokens, of which it leaves each host only two a second: a team whose requests
/// reach the same host by chance would be refused far below its rate. The shares and pools always add up to one limit, whatever messages
/// are lost: a partitioned host consumes its local share only, and the pool of a lost home is unavailable until another host becomes home.
/// Only pools may be overdrawn, by a request larger than a full pool. The fraction that is divided evenly shrinks in large fleets: the
/// share of each of hundreds of hosts is less than one prompt and would stay unused.
class TeamBudget
{
public:
    using DecisionHandler = std::function<void(const TokenDecision &)>;
    using RequestSender = std::function<void(const std::string &host, const TokenRequest &)>;

    explicit TeamBudget(std::string host);

    void setLimits(std::span<const TeamLimit> limits, TimePoint now);

    /// Sets the number of active hosts including this one, and which of them may be homes. `share` is this host's share of the evenly divided
    /// fraction, at most 1 / hosts.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates, double share, TimePoint now);

    /// Consumes tokens if the team's rate allows it. `handler` is called at once, or later from `onReply` or `onTick`.
    void consume(std::string_view team, double tokens, TimePoint now, const RequestSender &send, DecisionHandler handler);

    /// Handles a request from another host to this home's pool.
    TokenReply onRequest(const TokenRequest &request, TimePoint now);

    void onReply(const TokenReply &reply, TimePoint now, const RequestSender &send);

    /// Times out homes that have not replied and asks the next ones. To be called at `nextTimeout`.
    void onTick(TimePoint now, const RequestSender &send);
    std::optional<TimePoint> nextTimeout() const;

    /// Returns the tokens of a request that did not run to the local share of this host, also if a home's pool granted them.
    void refund(std::string_view team, double tokens);

private:
    struct Pending
    {
        std::string team;
        double tokens = 0;
        std::size_t nextHome = 0;
        std::size_t homesTimedOut = 0;
        TimePoint deadline;
        Duration retryAfter{};
        DecisionHandler handler;
    };

    std::vector<std::string> homesOf(std::string_view team) const;
    void askNext(std::uint64_t id, TimePoint now, const RequestSender &send);
    void finish(std::uint64_t id, const TokenDecision &decision);
    void updateHomes(TimePoint now);

    std::string host_;
    std::vector<TeamLimit> limits_;
    RendezvousNames candidates_; ///< Hosts that may be homes.
    TeamRateLimiter localLimiter_{TeamRateLimiter::LargeRequestPolicy::Refuse};
    TeamRateLimiter poolLimiter_;
    std::map<std::string, TimePoint, std::less<>> poolActiveFrom_; ///< Teams that have a pool on this host, and when the pool becomes available.
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t lastId_ = 0;
    bool isInitialized_ = false; ///< Whether hosts and limits have both been known.
};

} // namespace Lovageloft

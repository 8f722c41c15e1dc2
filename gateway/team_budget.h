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

/// How a request for tokens ended.
struct TokenDecision
{
    bool isGranted = false;
    Duration retryAfter{};
    std::size_t homesAsked = 0; ///< Hosts with a pool of the team that were asked, this one included.
    std::size_t homesSilent = 0; ///< Of them, those that did not answer in time.
};

/// Keeps the teams' rates over all hosts. A part of each limit is divided evenly among the hosts and spent without a message; the
/// rest lies in pools at two homes for each team, found by rendezvous hashing, which any host asks when its own part is spent.
///
/// The load it is made for: prompts of 17,000 tokens against rates of which an even split leaves a host two a second. A team whose
/// requests meet the same host by chance would be refused far below its rate. The sum of all parts is one whatever messages are
/// lost: a host that is cut off spends its even part only, a home that is lost takes its pool with it until another one has it. Only pools
/// may be overdrawn, by a request larger than a full one. The larger the fleet, the smaller the part that is divided evenly: what each
/// of hundreds of hosts gets of it is less than one prompt, and lies idle.
class TeamBudget
{
public:
    using DecisionHandler = std::function<void(const TokenDecision &)>;
    using RequestSender = std::function<void(const std::string &host, const TokenRequest &)>;

    explicit TeamBudget(std::string host);

    void setLimits(std::span<const TeamLimit> limits, TimePoint now);

    /// How many hosts count, with this one, and those of them that may be homes. `share` is this host's part of what is divided evenly, at
    /// most 1 / hosts.
    void setHosts(std::size_t hosts, const std::vector<std::string> &candidates, double share, TimePoint now);

    /// Takes tokens. `answer` is called at once or later, from `onReply` or `onTick`.
    void consume(std::string_view team, double tokens, TimePoint now, const RequestSender &send, DecisionHandler answer);

    /// A home's part: whether its pool has the tokens.
    TokenReply onRequest(const TokenRequest &request, TimePoint now);

    void onReply(const TokenReply &reply, TimePoint now, const RequestSender &send);

    /// Gives up on homes that have not answered. To be called often enough, at `nextTimeout`.
    void onTick(TimePoint now, const RequestSender &send);
    std::optional<TimePoint> nextTimeout() const;

    /// Returns tokens of a request that did not run.
    void refund(std::string_view team, double tokens);

private:
    struct Pending
    {
        std::string team;
        double tokens = 0;
        std::size_t nextHome = 0;
        std::size_t homesSilent = 0;
        TimePoint deadline;
        Duration retryAfter{};
        DecisionHandler answer;
    };

    std::vector<std::string> homesOf(std::string_view team) const;
    void askNext(std::uint64_t id, TimePoint now, const RequestSender &send);
    void finish(std::uint64_t id, const TokenDecision &decision);
    void updateHomes(TimePoint now);

    std::string host_;
    std::vector<TeamLimit> limits_;
    RendezvousNames candidates_; ///< Hosts that may be homes.
    TeamRateLimiter own_{TeamRateLimiter::LargeRequestPolicy::Refuse};
    TeamRateLimiter pools_;
    std::map<std::string, TimePoint, std::less<>> homeSince_; ///< Teams whose pool lies here, and from when on it is given out.
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t lastId_ = 0;
    bool hasHomes_ = false; ///< False until hosts and limits are known for the first time.
};

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "coordination/request_feature.h"
#include "decision/request_scheduler.h"
#include "gateway/protocol.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

class Gateway;

/// Parses the head of a request, finds its route in the configuration and authenticates its caller. The filters run in the order of
/// `filters()`; the first one that refuses ends the request.
class RequestIntake
{
public:
    /// `gateway` and `head` must outlive the intake.
    RequestIntake(const Gateway &gateway, const HttpHead &head);

    /// Runs all filters; false with a reason if one refuses the request.
    bool run(Reason &reason);

    /// Checks the request against the newest configuration, which may have changed while the request was queued: a withdrawn key, or a
    /// route that no longer leads to the chosen service, must not be used. False with a reason if the request must not be sent.
    bool recheck(Reason &reason);

    const CallerRequest &caller() const;

    /// Version of the configuration used by the last check; 0 before the first check.
    std::int64_t configurationVersion() const;

    /// Null until the route is found. `isStream`, `priority` and `schedulerRequest` require a route.
    const Route *route() const;
    bool isStream() const;

    /// Whether the request resumes a stream that an earlier attempt of its caller began.
    bool isResumption() const;

    /// Service chosen from the route's split; empty until the route is found.
    const std::string &service() const;

    /// Empty until the key is found, on public routes, and if the configuration has no teams. After a recheck that needs no key any more,
    /// the name found before stays.
    const std::string &teamName() const;

    /// Priority of the team if it has one, otherwise of the route: 0 is the most urgent, 2 the least; schedulerRequest() clamps other values.
    int priority() const;

    /// The team's name if the team is isolated, otherwise empty. Only prompts with the same scope share cache entries.
    std::string cacheScope() const;

    /// What may crash a target: first the whole request, that is a digest of method, Host header, path, key and body, so the same for each attempt of a
    /// caller; then the parts of the prompt that other requests may share, up to 16. Call it after `run` has succeeded.
    std::vector<RequestFeature> features(std::string_view body) const;

    /// Tokens that the team is charged: prompt and output tokens, or the team's fixed charge for calls without a prompt. Requires a team.
    double chargedTokens() const;

    /// Tokens of `sharedParts`.
    std::uint32_t sharedTokens() const;

    /// The parts of the prompt that other requests may have in common with this one: all but the last.
    std::span<const PromptPart> sharedParts() const;

    /// A scheduler request with the fields that are the same for each target.
    SchedulerRequest schedulerRequest() const;

private:
    using Filter = bool (RequestIntake::*)(Reason &);

    static std::span<const Filter> filters();
    bool readHead(Reason &reason);
    bool checkConfigured(Reason &reason);
    bool findRoute(Reason &reason);
    bool authenticate(Reason &reason);

    const Gateway &gateway_;
    const HttpHead &head_;
    CallerRequest caller_;
    std::shared_ptr<const RoutingTable> table_;
    const Route *route_ = nullptr; ///< Points into `table_`, like `team_`.
    const Team *team_ = nullptr;
    std::string teamName_; ///< A copy, as the table in which the team was found may be replaced.
    std::string service_;
};

} // namespace Lovageloft

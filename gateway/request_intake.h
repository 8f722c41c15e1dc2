#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "coordination/request_fingerprint.h"
#include "decision/request_scheduler.h"
#include "gateway/protocol.h"
#include "gateway/routing_table.h"

namespace Lovageloft
{

class Gateway;

/// What a request is: read from its head, found in the configuration, and proven to be allowed. The filters run in the order of
/// `filters()`; the first that refuses ends the request.
class RequestIntake
{
public:
    /// Both must outlive the intake.
    RequestIntake(const Gateway &gateway, const HttpHead &head);

    bool run(Reason &reason);

    /// The configuration may have changed while the request waited: a withdrawn key or a moved route must not be used.
    bool checkAgain(Reason &reason);

    const CallerRequest &caller() const;

    /// Version of the configuration that it was last checked with; 0 before the first.
    std::int64_t configurationVersion() const;

    /// Null until the route was found.
    const Route *route() const;
    bool isStream() const;
    const std::string &service() const;

    /// Empty on public routes and until the key was found.
    const std::string &teamName() const;

    /// The team's where it has one, otherwise the route's; 0 is the most urgent.
    int priority() const;

    /// The team's name if it is isolated: only prompts under the same text share cache entries.
    std::string cacheScope() const;

    /// The same for each try of the same caller with the same body. To be called once the request was let in.
    RequestFingerprint fingerprint(std::string_view body) const;

    /// Tokens that the team is charged.
    double chargedTokens() const;

    /// Tokens of the parts that other requests may have in common with this one: all but the last.
    std::uint32_t sharedTokens() const;

    /// The parts that other requests may share: all but the last.
    std::span<const PromptPart> sharedParts() const;

    /// Fills in what does not change from one target to the next.
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
    const Route *route_ = nullptr; ///< In `table_`, as is the team.
    const Team *team_ = nullptr;
    std::string teamName_; ///< Outlives the table in which the team was found.
    std::string service_;
};

} // namespace Lovageloft

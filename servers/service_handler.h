#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/http_exchange.h"
#include "servers/caller_exchange.h"
#include "servers/refusal.h"
#include "servers/router_parts.h"

namespace Lovageloft
{

/// Serves one call of a plain service at /SERVICE/PATH. A call that its service lists as non-idempotent runs at most once,
/// whatever fails; others may be sent again to another target.
class ServiceHandler
{
public:
    ServiceHandler(RouterParts &parts, CallerExchange &exchange);

    /// Whether the first part of a path names a service.
    static bool isService(const RouterParts &parts, std::string_view path);

    /// What a refusal may say before the claim of a call has been looked up. The same Idempotency-Key may have run at an earlier
    /// try, perhaps at another host; a caller told "not_run" would lodge its call again under a new key, and it would run twice.
    static RunState runStateBeforeClaim(const CallerExchange &exchange);

    void handle();

private:
    using Filter = bool (ServiceHandler::*)();

    bool checkFresh();
    bool authenticate();
    bool findTargets();
    bool charge();
    bool run();

    bool runOnce();
    bool runRepeatable();
    bool connect(Reason &reason);
    std::optional<ClaimAnswer> exchangeWithTarget(int callerSocket, Reason &reason);
    HttpRequestHead targetRequest() const;
    bool mayStillRun(Reason &reason) const;
    bool isNonIdempotent() const;
    void answer(const ClaimAnswer &answer);
    bool refuse(const Refusal &refusal);
    bool refuseUnclaimed(Refusal refusal);
    void finish(ResultCode code);

    RouterParts &parts_;
    CallerExchange &exchange_;
    TeamKey key_;
    std::string service_;
    std::string path_; ///< Below the service's name, with its query.
    std::vector<TargetConfiguration> targets_; ///< In the order to be tried.
    std::size_t nextTarget_ = 0;
    std::unique_ptr<HttpExchange> connection_;
    std::string targetName_;
    std::optional<ShareService::Charge> charge_;
};

} // namespace Lovageloft

#pragma once

#include <string_view>

#include "core/result_code.h"
#include "gateway/request_intake.h"
#include "gateway/request_metrics.h"
#include "gateway/team_budget.h"

namespace Lovageloft
{

/// The log lines of one request, so that from its id alone an engineer finds what was decided about it and why; docs/LOGS.md lists them.
class RequestLog
{
public:
    /// `intake` must outlive this object.
    explicit RequestLog(const RequestIntake &intake);

    struct Sent
    {
        std::string_view target;
        int send = 0; ///< 1 for the first target.
        Duration waited{}; ///< Since the request was read.
        std::int64_t weights = 0; ///< Version expected of the engine.
        std::uint32_t cachedTokens = 0; ///< Believed in the engine's cache.
        std::string_view fetchFrom; ///< Where missing parts of the prompt come from.
        bool isReused = false; ///< On a kept connection.
    };

    void sent(const Sent &sent) const;

    /// The target says that it did not run the request.
    void declined(std::string_view target, int status, bool isTargetMismatch) const;

    /// The connection to the target ended.
    void lost(std::string_view target, RequestFingerprint fingerprint, std::string_view why, bool wasNotSent, bool wasRelayed) const;

    /// No answer for so long that another target is tried.
    void stalled(std::string_view target, Duration silent) const;

    /// The target answered that it failed.
    void failed(std::string_view target, int status, bool isTriedElsewhere) const;

    /// The team's rate doesn't allow the request.
    void tokensDenied(double tokens, const TokenDecision &decision) const;

    /// The caller gets a refusal or failure of ours.
    void refused(const Reason &reason, int status, bool mayHaveRun, Duration waited, Duration proofAge) const;

    /// The caller's answer can't be completed.
    void brokenOff(std::string_view target, std::string_view why) const;

    /// The last line of each request.
    void ended(const EndedRequest &ended) const;

private:
    const RequestIntake &intake_;
};

} // namespace Lovageloft

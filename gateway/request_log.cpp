#include "gateway/request_log.h"

#include <algorithm>

#include "core/digest.h"
#include "core/log.h"

namespace Lovageloft
{

namespace
{

/// Hashes of the parts that other prompts may share, separated by commas; those after the eighth are left out.
std::string sharedPartsText(std::span<const PromptPart> parts)
{
    constexpr std::size_t maxParts = 8;
    std::string text;
    for (const PromptPart &part : parts.first(std::min(parts.size(), maxParts))) {
        text += (text.empty() ? "" : ",") + hexText(part.hash);
    }
    return text;
}

} // namespace

RequestLog::RequestLog(const RequestIntake &intake)
    : intake_(intake)
{
}

void RequestLog::sent(const Sent &sent) const
{
    writeLog(LogLevel::Info,
             "request_sent",
             {{"request", intake_.caller().id},
              {"target", sent.target.id},
              {"service", intake_.service()},
              {"send", std::int64_t{sent.sendNumber}},
              {"waited_ms", toMillis(sent.waited)},
              {"version", sent.target.softwareVersion},
              {"incarnation", sent.target.incarnation},
              {"unlisted", sent.target.isUnlisted},
              {"after", sent.lastEventId},
              {"resumes", intake_.caller().resumes},
              {"began_at", sent.streamVersion},
              {"trial", sent.isTrial},
              {"weights", sent.weightsVersion},
              {"cached", std::int64_t{sent.assignment.expectedCachedTokens}},
              {"shared", std::int64_t{intake_.sharedTokens()}},
              {"prompt", std::int64_t{intake_.caller().promptTokens.value_or(0)}},
              {"prefix", sent.assignment.blocks.empty() ? std::string() : hexText(sent.assignment.blocks.back())},
              {"expected_ms", toMillis(fromSeconds(sent.assignment.expectedFirstTokenSeconds))},
              {"alternative", sent.assignment.alternative},
              {"alternative_ms", toMillis(fromSeconds(sent.assignment.alternativeFirstTokenSeconds))},
              {"fetch", sent.fetchFrom},
              {"reused", sent.isReused},
              {"permit", sent.assignment.usesPermit},
              {"configuration", intake_.configurationVersion()}});
}

void RequestLog::declined(const Declined &declined) const
{
    writeLog(LogLevel::Info,
             "request_declined",
             {{"request", intake_.caller().id},
              {"target", declined.target},
              {"status", std::int64_t{declined.status}},
              {"other_target", declined.isTargetMismatch},
              {"rate_limit", declined.rateLimit.value_or(-1)},
              {"retry_after_ms", declined.retryAfter ? toMillis(*declined.retryAfter) : std::int64_t{-1}},
              {"sent_ms", toMillis(declined.age)}});
}

void RequestLog::undecided(std::string_view target, Duration age) const
{
    writeLog(LogLevel::Info, "request_undecided", {{"request", intake_.caller().id}, {"target", target}, {"sent_ms", toMillis(age)}});
}

void RequestLog::lost(const Lost &lost) const
{
    writeLog(LogLevel::Info,
             "target_lost",
             {{"request", intake_.caller().id},
              {"target", lost.target},
              {"fingerprint", featureText(lost.fingerprint)},
              {"parts", sharedPartsText(intake_.sharedParts())},
              {"why", lost.why},
              {"not_sent", lost.isNotSent},
              {"answered", lost.hasAnswered},
              {"relayed", lost.isAnswerStarted}});
}

void RequestLog::stalled(std::string_view target, Duration silence) const
{
    writeLog(LogLevel::Info, "target_stalled", {{"request", intake_.caller().id}, {"target", target}, {"silent_ms", toMillis(silence)}});
}

void RequestLog::failed(std::string_view target, int status, bool isRetriedElsewhere) const
{
    writeLog(LogLevel::Info,
             "target_failed",
             {{"request", intake_.caller().id}, {"target", target}, {"status", std::int64_t{status}}, {"tried_elsewhere", isRetriedElsewhere}});
}

void RequestLog::tokensDenied(double tokens, const TokenDecision &decision) const
{
    writeLog(LogLevel::Info,
             "tokens_denied",
             {{"request", intake_.caller().id},
              {"team", intake_.teamName()},
              {"tokens", tokens},
              {"homes_asked", static_cast<std::int64_t>(decision.homesAsked)},
              {"homes_silent", static_cast<std::int64_t>(decision.homesTimedOut)},
              {"retry_after_ms", toMillis(decision.retryAfter)}});
}

void RequestLog::refused(const Reason &reason, int status, bool mayHaveRun, Duration waited, Duration proofAge) const
{
    const bool isKeyAtFault = reason.code == ResultCode::UnknownKey || reason.code == ResultCode::KeyWithdrawn;
    writeLog(LogLevel::Info,
             "request_refused",
             {{"request", intake_.caller().id},
              {"code", std::int64_t{static_cast<int>(reason.code)}},
              {"reason", reason.text},
              {"status", std::int64_t{status}},
              {"may_have_run", mayHaveRun},
              {"waited_ms", toMillis(waited)},
              {"configuration", intake_.configurationVersion()},
              {"proof_age_ms", toMillis(proofAge)},
              {"key", isKeyAtFault ? fingerprint(intake_.caller().key) : std::string()}});
}

void RequestLog::aborted(std::string_view target, std::string_view why) const
{
    writeLog(LogLevel::Warning, "answer_broken_off", {{"request", intake_.caller().id}, {"target", target}, {"why", why}});
}

void RequestLog::ended(const EndedRequest &ended) const
{
    writeLog(LogLevel::Info,
             "request_ended",
             {{"request", intake_.caller().id},
              {"route", intake_.route() != nullptr ? std::string_view(intake_.route()->name) : std::string_view()},
              {"outcome", ended.outcome},
              {"status", std::int64_t{ended.status}},
              {"target", ended.target},
              {"relay", ended.relay},
              {"sends", std::int64_t{ended.sends}},
              {"first_ms", ended.timeToFirstByte ? toMillis(*ended.timeToFirstByte) : -1},
              {"ms", toMillis(ended.duration)},
              {"bytes", static_cast<std::int64_t>(ended.bytes)}});
}

} // namespace Lovageloft

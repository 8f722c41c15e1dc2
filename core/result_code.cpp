#include "core/result_code.h"

#include <algorithm>
#include <array>

namespace Lovageloft
{

namespace
{

constexpr std::array table = std::to_array<ResultCodeInfo>({
    {ResultCode::Ok, "ok", 200, "The request was carried out."},
    {ResultCode::MalformedHttp, "malformed_http", 400, "The request is not valid HTTP."},
    {ResultCode::MalformedJson, "malformed_json", 400, "The body is not valid JSON."},
    {ResultCode::MissingKey, "missing_key", 401, "No key came in the Authorization header."},
    {ResultCode::UnknownKey, "unknown_key", 401, "The key belongs to no team."},
    {ResultCode::UnknownModel, "unknown_model", 404, "No engine in service runs this model."},
    {ResultCode::BodyTooLarge, "body_too_large", 413, "The body is over the limit."},
    {ResultCode::HeaderTooLarge, "header_too_large", 431, "The header has too many or too long fields."},
    {ResultCode::CallerTooSlow, "caller_too_slow", 408, "The request did not arrive within the time allowed."},
    {ResultCode::UnknownPath, "unknown_path", 404, "Nothing is served at this path."},
    {ResultCode::MethodNotAllowed, "method_not_allowed", 405, "The path does not take this method."},
    {ResultCode::InvalidField, "invalid_field", 400, "A field of the body is missing or has a wrong type or range."},
    {ResultCode::CallerGone, "caller_gone", 499, "The caller hung up before the answer was whole."},
    {ResultCode::KeyWithdrawn, "key_withdrawn", 401, "The key was withdrawn while the request waited."},
    {ResultCode::OperatorKeyRequired, "operator_key_required", 401, "The call needs an operator key."},
    {ResultCode::IdempotencyKeyRequired, "idempotency_key_required", 400, "A call that may not be repeated needs an Idempotency-Key."},
    {ResultCode::IdempotencyKeyReused, "idempotency_key_reused", 422, "The Idempotency-Key was used before with another request."},
    {ResultCode::OverRate, "over_rate", 429, "The team has spent its rate and burst."},
    {ResultCode::QueueFull, "queue_full", 503, "The queue of the team is as long as its deadline allows."},
    {ResultCode::DeadlineWouldPass, "deadline_would_pass", 503, "The expected wait is longer than the deadline."},
    {ResultCode::NoTarget, "no_target", 503, "No target in service can take the request now."},
    {ResultCode::Draining, "draining", 503, "This host is shutting down."},
    {ResultCode::NotFresh, "not_fresh", 503, "This host can't confirm that its configuration is current."},
    {ResultCode::ExceedsBurst, "exceeds_burst", 413, "The request alone costs more tokens than the team's burst."},
    {ResultCode::RetryBudgetSpent, "retry_budget_spent", 503, "Too large a part of the traffic is retries already."},
    {ResultCode::Overloaded, "overloaded", 503, "This host has no room for another request."},
    {ResultCode::Quarantined, "quarantined", 503, "Several targets have ended when they began this request."},
    {ResultCode::StreamUnknown, "stream_unknown", 503, "The software version that began the stream is not known."},
    {ResultCode::TargetUnreachable, "target_unreachable", 502, "No connection to the target could be opened."},
    {ResultCode::TargetTimeout, "target_timeout", 504, "The target stopped answering."},
    {ResultCode::TargetMalformed, "target_malformed", 502, "The target's answer is malformed."},
    {ResultCode::TargetTruncated, "target_truncated", 502, "The target's answer ended before it was whole."},
    {ResultCode::TargetCrossed, "target_crossed", 502, "The target's answer belongs to another request."},
    {ResultCode::TargetRefused, "target_refused", 502, "The target refused the request."},
    {ResultCode::OrderFenced, "order_fenced", 409, "The target has seen a newer fencing token."},
    {ResultCode::StoreUnavailable, "store_unavailable", 503, "The store gave no answer and nothing was written."},
    {ResultCode::StoreAnswerLost, "store_answer_lost", 503, "The store gave no answer to a write, which may have taken effect."},
    {ResultCode::StoreConflict, "store_conflict", 409, "The key changed since it was read."},
    {ResultCode::StoreNotFound, "store_not_found", 404, "The store has no such key."},
    {ResultCode::LeaseLapsed, "lease_lapsed", 409, "The lease ended before the action."},
    {ResultCode::ClaimHeld, "claim_held", 409, "The same call is being carried out now."},
    {ResultCode::MayHaveRun, "may_have_run", 409, "The call may have run; it will not be sent again."},
    {ResultCode::PeerUnreachable, "peer_unreachable", 503, "Another host gave no answer."},
    {ResultCode::PeerRefused, "peer_refused", 403, "The peer did not prove that it belongs to the deployment."},
    {ResultCode::TicketStale, "ticket_stale", 409, "The ticket's number is not above that of every object it touches."},
    {ResultCode::TicketConflict, "ticket_conflict", 409, "The ticket's number was used with other content."},
    {ResultCode::TicketInvalid, "ticket_invalid", 400, "The ticket's content is not valid."},
    {ResultCode::TicketAlreadyAccepted, "ticket_already_accepted", 200, "The same ticket was accepted before."},
    {ResultCode::TicketRaced, "ticket_raced", 409, "Other tickets kept winning the race to commit."},
    {ResultCode::SettingsUnknownKey, "settings_unknown_key", 400, "The settings file has a key that does not exist."},
    {ResultCode::SettingsWrongType, "settings_wrong_type", 400, "A setting has the wrong type."},
    {ResultCode::SettingsOutOfRange, "settings_out_of_range", 400, "A setting is outside its range."},
    {ResultCode::SettingsSyntax, "settings_syntax", 400, "The settings file is not valid TOML."},
    {ResultCode::SettingsUnreadable, "settings_unreadable", 400, "The settings file can't be read."},
    {ResultCode::SettingsMissing, "settings_missing", 400, "A setting that has no default is missing."},
});

} // namespace

std::span<const ResultCodeInfo> resultCodeTable()
{
    return table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto row = std::lower_bound(table.begin(), table.end(), code, [](const ResultCodeInfo &info, ResultCode wanted) { return info.code < wanted; });
    return row != table.end() && row->code == code ? *row : table.front();
}

} // namespace Lovageloft

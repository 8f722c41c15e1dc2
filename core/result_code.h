#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// The result codes of the whole system, and the Reason that carries them. Functions that can fail return std::optional and set a Reason.
namespace Lovageloft
{

/// Result codes. The thousands digit shows where the cause lies: 1 caller, 2 refusal under load, 3 target, 4 coordination and store,
/// 5 configuration tickets, 6 settings. docs/RESULT-CODES.md has the same table.
enum class ResultCode : std::uint16_t
{
    Ok = 0,

    MalformedHttp = 1001,
    MalformedJson = 1002,
    MissingKey = 1003,
    UnknownKey = 1004,
    UnknownModel = 1005,
    BodyTooLarge = 1006,
    HeaderTooLarge = 1007,
    CallerTooSlow = 1008,
    UnknownPath = 1009,
    MethodNotAllowed = 1010,
    InvalidField = 1011,
    CallerGone = 1012,
    KeyWithdrawn = 1013,
    OperatorKeyRequired = 1014,
    IdempotencyKeyRequired = 1015,
    IdempotencyKeyReused = 1016,

    OverRate = 2001,
    QueueFull = 2002,
    DeadlineWouldPass = 2003,
    NoTarget = 2004,
    Draining = 2005,
    NotFresh = 2006,
    ExceedsBurst = 2007,
    RetryBudgetSpent = 2008,
    Overloaded = 2009,
    Quarantined = 2010,
    StreamUnknown = 2011,

    TargetUnreachable = 3001,
    TargetTimeout = 3002,
    TargetMalformed = 3003,
    TargetTruncated = 3004,
    TargetCrossed = 3005,
    TargetRefused = 3006,
    OrderFenced = 3007,

    StoreUnavailable = 4001,
    StoreAnswerLost = 4002,
    StoreConflict = 4003,
    StoreNotFound = 4004,
    LeaseLapsed = 4005,
    ClaimHeld = 4006,
    MayHaveRun = 4007,
    PeerUnreachable = 4008,
    PeerRefused = 4009,

    TicketStale = 5001,
    TicketConflict = 5002,
    TicketInvalid = 5003,
    TicketAlreadyAccepted = 5004,
    TicketRaced = 5005,

    SettingsUnknownKey = 6001,
    SettingsWrongType = 6002,
    SettingsOutOfRange = 6003,
    SettingsSyntax = 6004,
    SettingsUnreadable = 6005,
    SettingsMissing = 6006,
};

/// Whether a refused request may have been executed.
enum class RunState : std::uint8_t
{
    NotRun, ///< It was not and will not be executed; it is safe to send it again.
    MayHaveRun, ///< A target may have executed it.
};

/// A row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name; ///< In snake_case, as in responses and logs.
    int httpStatus; ///< Status of a response with this code.
    std::string_view meaning; ///< One sentence for operators and callers.
};

/// All rows, sorted by code.
std::span<const ResultCodeInfo> resultCodeTable();

/// The row of a code; that of Ok for a number that is not in the table.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// Why a call failed: a code and a sentence, which contains no API keys or prompt text.
struct Reason
{
    ResultCode code = ResultCode::Ok;
    std::string text;
};

} // namespace Lovageloft

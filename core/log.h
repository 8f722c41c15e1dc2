#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

/// Structured logs in JSON lines, by Boost.Log. Keys and prompt text never go into a record.
namespace Lovageloft
{

enum class LogLevel : std::uint8_t
{
    Debug,
    Info,
    Warning,
    Error,
};

/// By level, as they stand in records and settings.
inline constexpr std::array<std::string_view, 4> logLevelNames{"debug", "info", "warning", "error"};

/// One named value of a record.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Starts the log on standard output from `level` on. `host` stands in each record. Call once, before any thread starts.
void startLog(LogLevel level, std::string_view host);

/// Writes what is buffered and stops the log's thread.
void stopLog();

/// Writes one record: `{"time":...,"level":...,"host":...,"event":...,FIELDS}`. Each event has a rate; what is above it is suppressed and
/// told once a second as `lines_suppressed`. Records that the log's bounded queue has no room for are dropped and told as
/// `lines_dropped`, so that a reader that doesn't read never stops a request.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Lines that were not written since the start.
struct LogCounts
{
    std::uint64_t dropped = 0; ///< They found the queue full.
    std::map<std::string, std::uint64_t, std::less<>> suppressed; ///< By event: they were above its rate.
};

LogCounts logCounts();

/// The JSON text of a record's fields, without braces; for the log and its tests.
std::string formatLogFields(std::initializer_list<LogField> fields);

/// Appends `text` as a JSON string with its quotes.
void appendJsonString(std::string &out, std::string_view text);

} // namespace Lovageloft

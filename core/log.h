#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

/// Structured logs as JSON lines, by Boost.Log. Never log API keys or prompt text.
namespace Lovageloft
{

enum class LogLevel : std::uint8_t
{
    Debug,
    Info,
    Warning,
    Error,
};

/// Names of the levels in records and settings, indexed by LogLevel.
inline constexpr std::array<std::string_view, 4> logLevelNames{"debug", "info", "warning", "error"};

/// A named value of a record.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Starts to log records of `level` and above to standard output. Each record names `host`. Must be called once, before any thread starts.
void startLog(LogLevel level, std::string_view host);

/// Writes buffered records and stops the log's thread.
void stopLog();

/// Writes one record: `{"time":...,"level":...,"host":...,"event":...,FIELDS}`. Never blocks. Each event has a rate limit; records above it are
/// suppressed and counted in `lines_suppressed` records, once a second. Records that find the log's queue full, as when nobody reads the
/// output, are dropped and counted in `lines_dropped` records.
void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Numbers of lines that were not written since the start.
struct LogCounts
{
    std::uint64_t dropped = 0; ///< Because the queue was full.
    std::map<std::string, std::uint64_t, std::less<>> suppressed; ///< Because their event was above its rate limit; by event.
};

LogCounts logCounts();

/// The JSON text of fields, each after a comma, without braces.
std::string formatLogFields(std::initializer_list<LogField> fields);

/// Appends `text` as a quoted JSON string.
void appendJsonString(std::string &out, std::string_view text);

} // namespace Lovageloft

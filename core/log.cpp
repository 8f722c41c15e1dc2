#include "core/log.h"

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>

#include <boost/log/attributes/attribute_value_set.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include "core/log_limiter.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t queueRecords = 8192;

/// Rate limit of each event. A host of the fleet designed for serves 27 requests a second and logs each event once or twice per request. Bursts
/// of ten times that load are logged completely.
constexpr double maxEventLinesPerSecond = 270;

/// Lines of an event that may come at once: those of two seconds, as when all callers reconnect after a restart.
constexpr double maxEventBurst = 2 * maxEventLinesPerSecond;

/// Minimum time between two reports of lines that were not written.
constexpr Duration lossReportInterval = std::chrono::seconds(1);

std::atomic<std::uint64_t> &droppedLines()
{
    static std::atomic<std::uint64_t> count{0};
    return count;
}

/// Drops and counts records that find the queue full.
class CountingDropStrategy : public boost::log::sinks::drop_on_overflow
{
public:
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view & /*record*/, Lock & /*lock*/)
    {
        ++droppedLines();
        return false;
    }
};

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<Backend, boost::log::sinks::bounded_fifo_queue<queueRecords, CountingDropStrategy>>;

struct LogState
{
    LogLevel level = LogLevel::Info;
    std::string host;
    boost::shared_ptr<Sink> sink;
    std::mutex mutex; ///< Guards the members below.
    LogLimiter limiter{maxEventLinesPerSecond, maxEventBurst};
    TimePoint nextLossReport;
    std::uint64_t reportedDropped = 0;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

void appendNumber(std::string &out, double number)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.6g", number);
    out.append(text.data(), static_cast<std::size_t>(length));
}

std::string timeText()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(millis));
    return text.data();
}

void writeRecord(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "{\"time\":\"" + timeText() + "\",\"level\":\"";
    line.append(logLevelNames[static_cast<std::size_t>(level)]);
    line.append("\",\"host\":");
    appendJsonString(line, state().host);
    line.append(",\"event\":");
    appendJsonString(line, event);
    line.append(formatLogFields(fields));
    line.push_back('}');
    static thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << line;
}

/// Logs at intervals how many lines were not written, so that a reader of the log knows what is missing. `TimePoint::max()` logs it at once.
void reportLostLines(TimePoint now)
{
    std::vector<LogLimiter::Suppressed> suppressed;
    std::uint64_t dropped = 0;
    {
        const std::lock_guard lock(state().mutex);
        if (now < state().nextLossReport) {
            return;
        }
        state().nextLossReport = now == TimePoint::max() ? now : now + lossReportInterval;
        suppressed = state().limiter.consumeSuppressed();
        dropped = droppedLines() - std::exchange(state().reportedDropped, droppedLines());
    }
    for (const LogLimiter::Suppressed &item : suppressed) {
        writeRecord(LogLevel::Warning, "lines_suppressed", {{"of", item.event}, {"lines", static_cast<std::int64_t>(item.lines)}});
    }
    if (dropped > 0) {
        writeRecord(LogLevel::Warning, "lines_dropped", {{"lines", static_cast<std::int64_t>(dropped)}});
    }
}

} // namespace

void appendJsonString(std::string &out, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    out.push_back('"');
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out.push_back('\\');
            out.push_back(character);
        } else if (byte < 0x20) {
            out.append("\\u00");
            out.push_back(digits[byte >> 4U]);
            out.push_back(digits[byte & 0xfU]);
        } else {
            out.push_back(character);
        }
    }
    out.push_back('"');
}

std::string formatLogFields(std::initializer_list<LogField> fields)
{
    std::string out;
    for (const LogField &field : fields) {
        out.push_back(',');
        appendJsonString(out, field.name);
        out.push_back(':');
        if (const auto *text = std::get_if<std::string_view>(&field.value)) {
            appendJsonString(out, *text);
        } else if (const auto *integer = std::get_if<std::int64_t>(&field.value)) {
            out.append(std::to_string(*integer));
        } else if (const auto *number = std::get_if<double>(&field.value)) {
            appendNumber(out, *number);
        } else {
            out.append(std::get<bool>(field.value) ? "true" : "false");
        }
    }
    return out;
}

void startLog(LogLevel level, std::string_view host)
{
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    state().level = level;
    state().host = host;
    state().sink = sink;
}

void stopLog()
{
    if (state().sink == nullptr) {
        return;
    }
    reportLostLines(TimePoint::max());
    boost::log::core::get()->remove_sink(state().sink);
    state().sink->stop();
    state().sink->flush();
    state().sink.reset();
}

void writeLog(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (state().sink == nullptr || level < state().level) {
        return;
    }
    const TimePoint now = BootClock::now();
    reportLostLines(now);
    {
        const std::lock_guard lock(state().mutex);
        if (!state().limiter.admit(event, now)) {
            return;
        }
    }
    writeRecord(level, event, fields);
}

LogCounts logCounts()
{
    const std::lock_guard lock(state().mutex);
    return {droppedLines(), state().limiter.suppressed()};
}

} // namespace Lovageloft

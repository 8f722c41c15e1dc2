/// What the log costs a host, and that it never holds one up: `benchmark_log REQUESTS_PER_SECOND SECONDS reads|stuck`. Each request writes
/// the two lines that it does on a calm day. "stuck" gives standard output to a pipe that nobody reads.
///
/// Prints to standard error: lines a second offered, suppressed and dropped; bytes offered a second; and what one call cost, in
/// nanoseconds: the median, 99 of 100, the longest.

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/log.h"

using namespace Lovageloft;

namespace
{

/// Gives standard output away; false if that can't be had.
bool redirectOutput(bool isStuck)
{
    if (!isStuck) {
        const int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
        return sink >= 0 && dup2(sink, STDOUT_FILENO) >= 0;
    }
    std::array<int, 2> ends{};
    return pipe2(ends.data(), O_CLOEXEC) == 0 && dup2(ends[1], STDOUT_FILENO) >= 0;
}

void writeRequest(const std::string &id)
{
    writeLog(LogLevel::Info,
             "request_sent",
             {{"request", id},
              {"target", "i-21a78e6648"},
              {"service", "mile29a"},
              {"send", std::int64_t{1}},
              {"waited_ms", std::int64_t{2}},
              {"weights", std::int64_t{3}},
              {"cached", std::int64_t{13'312}},
              {"shared", std::int64_t{13'300}},
              {"fetch", ""},
              {"reused", true},
              {"configuration", std::int64_t{18}}});
    writeLog(LogLevel::Info,
             "request_ended",
             {{"request", id},
              {"route", "r-hm22uri"},
              {"outcome", "answered"},
              {"status", std::int64_t{200}},
              {"target", "i-21a78e6648"},
              {"sends", std::int64_t{1}},
              {"first_ms", std::int64_t{544}},
              {"ms", std::int64_t{1'001}},
              {"bytes", std::int64_t{951}}});
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int linesPerRequest = 2;
    if (argc != 4 || !redirectOutput(std::string_view(argv[3]) == "stuck")) {
        std::fputs("usage: benchmark_log REQUESTS_PER_SECOND SECONDS reads|stuck\n", stderr);
        return 2;
    }
    const int rate = std::atoi(argv[1]);
    const int seconds = std::atoi(argv[2]);
    startLog(LogLevel::Info, "front-vake-1");
    std::vector<std::int64_t> costs;
    const TimePoint begin = BootClock::now();
    for (int i = 0; i < rate * seconds; ++i) {
        std::this_thread::sleep_for(begin + std::chrono::nanoseconds(std::chrono::seconds(1)) * i / rate - BootClock::now());
        const TimePoint before = BootClock::now();
        writeRequest("req-" + std::to_string(i));
        costs.push_back(std::chrono::nanoseconds(BootClock::now() - before).count() / linesPerRequest);
    }
    const LogCounts counts = logCounts();
    std::uint64_t suppressed = 0;
    for (const auto &[event, lines] : counts.suppressed) {
        suppressed += lines;
    }
    std::sort(costs.begin(), costs.end());
    std::fprintf(stderr,
                 "offered %d lines/s, suppressed %.0f/s, dropped %.0f/s; a call costs %lld ns at the median, %lld at 99 of 100, %lld at most\n",
                 rate * linesPerRequest,
                 static_cast<double>(suppressed) / seconds,
                 static_cast<double>(counts.dropped) / seconds,
                 static_cast<long long>(costs[costs.size() / 2]),
                 static_cast<long long>(costs[costs.size() * 99 / 100]),
                 static_cast<long long>(costs.back()));
    // The log's thread may wait for the reader for ever.
    std::_Exit(0);
}

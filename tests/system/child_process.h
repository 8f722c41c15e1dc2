#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "core/clock.h"

namespace Lovageloft
{

/// Waits until a condition holds; false if it does not within `limit`.
template <typename Condition>
bool waitFor(Duration limit, Condition condition);

/// A process started by a test. It is killed when this object goes, and also when the test program ends in any other way.
class ChildProcess
{
public:
    /// Starts a program; all that it prints goes to the file at `outputPath`. Throws std::runtime_error if it can't be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, std::string outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int signal) const;

    /// Kills it at once and waits for its end.
    void kill();

    /// Stops all its threads until resume(), as a paused machine does.
    void freeze() const;
    void resume() const;

    /// The exit status, 128 + N for one that signal N ended, or nothing if it still runs after `limit`.
    std::optional<int> waitForExit(Duration limit);

    /// Whether it still runs.
    bool isRunning();

    /// Its resident memory in bytes, and its open descriptors; 0 if it has ended.
    std::size_t residentBytes() const;
    std::size_t openDescriptors() const;

    /// All that it has printed.
    std::string output() const;

    /// What the first group of a regular expression matches in the output, waited for; throws std::runtime_error if it does not come.
    std::string waitForOutput(const std::string &pattern) const;

private:
    std::string outputPath_;
    pid_t pid_ = 0;
    std::optional<int> exitStatus_;
};

template <typename Condition>
bool waitFor(Duration limit, Condition condition)
{
    const TimePoint deadline = BootClock::now() + limit;
    while (!condition()) {
        if (BootClock::now() >= deadline) {
            return false;
        }
        constexpr timespec pause{0, 10'000'000};
        ::nanosleep(&pause, nullptr);
    }
    return true;
}

} // namespace Lovageloft

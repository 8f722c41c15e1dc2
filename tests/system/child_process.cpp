#include "tests/system/child_process.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Lovageloft
{

namespace
{

constexpr int signalledBase = 128;
/// Longest time for a program to say that it is up on a busy machine.
constexpr std::chrono::seconds startLimit{20};

pid_t spawn(std::vector<std::string> &words, const std::string &outputPath)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = posix_spawnp(&pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error(words.front() + " can't be started");
    }
    return pid;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, std::string outputPath)
    : outputPath_(std::move(outputPath))
{
    // The kernel kills the process when a test program that crashed or ran into its time limit is gone.
    std::vector<std::string> words{"setpriv", "--pdeathsig", "KILL", program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    pid_ = spawn(words, outputPath_);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::sendSignal(int signal) const
{
    if (!exitStatus_) {
        ::kill(pid_, signal);
    }
}

void ChildProcess::kill()
{
    sendSignal(SIGKILL);
    waitForExit(startLimit);
}

void ChildProcess::freeze() const
{
    sendSignal(SIGSTOP);
}

void ChildProcess::resume() const
{
    sendSignal(SIGCONT);
}

std::optional<int> ChildProcess::waitForExit(Duration limit)
{
    waitFor(limit, [this] {
        int status = 0;
        if (!exitStatus_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : signalledBase + WTERMSIG(status);
        }
        return exitStatus_.has_value();
    });
    return exitStatus_;
}

bool ChildProcess::isRunning()
{
    return !waitForExit(Duration::zero());
}

std::size_t ChildProcess::residentBytes() const
{
    constexpr std::size_t kibibyte = 1'024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * kibibyte;
        }
    }
    return 0;
}

std::size_t ChildProcess::openDescriptors() const
{
    std::error_code ended;
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid_) + "/fd", ended);
    return ended ? 0 : static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::string ChildProcess::output() const
{
    const std::ifstream in(outputPath_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string ChildProcess::waitForOutput(const std::string &pattern) const
{
    const std::regex expression(pattern);
    std::smatch match;
    std::string text;
    const auto isThere = [&] {
        text = output();
        return std::regex_search(text, match, expression);
    };
    if (!waitFor(startLimit, isThere)) {
        throw std::runtime_error("no output like " + pattern + " but: " + text);
    }
    return match[1];
}

} // namespace Lovageloft

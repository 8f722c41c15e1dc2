/// The router: `lovageloftd SETTINGS`, or `lovageloftd --platform` on a host of the users' platform. Shuts down gracefully on SIGTERM and SIGINT.
/// With `--platform`, SIGHUP reloads the settings.

#include <csignal>
#include <iostream>
#include <thread>

#include <Poco/Exception.h>
#include <malloc.h>
#include <pthread.h>
#include <tclap/CmdLine.h>

#include "core/log.h"
#include "main/exit_codes.h"
#include "main/gateway_host.h"
#include "main/router_host.h"
#include "platform/node_file.h"

using namespace Lovageloft;

namespace
{

struct Arguments
{
    std::string settingsPath;
    bool isCheck = false;
    bool isPlatform = false;
    std::uint16_t metricsPort = 0;
    LogLevel logLevel = LogLevel::Info; ///< Only with --platform, whose settings file has no log level.
};

LogLevel parseLogLevel(std::string_view name)
{
    return static_cast<LogLevel>(std::find(logLevelNames.begin(), logLevelNames.end(), name) - logLevelNames.begin());
}

std::optional<Arguments> parseArguments(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Router for language-model traffic. Exit codes: 0 ended as asked, 1 failed, 2 wrong arguments or settings.", ' ', "0.1.0");
        line.setExceptionHandling(false);
        TCLAP::SwitchArg check("", "check-settings", "Check the settings file and exit.", line);
        TCLAP::ValueArg<std::uint16_t> metrics(
            "", "metrics-port", "With --platform: port of this host's address for metrics and operators' calls.", false, 0, "PORT", line);
        TCLAP::SwitchArg platform("", "platform", "The settings file is the platform's; without SETTINGS its path is taken from the environment.", line);
        std::vector<std::string> levels(logLevelNames.begin(), logLevelNames.end());
        TCLAP::ValuesConstraint<std::string> allowedLevels(levels);
        TCLAP::ValueArg<std::string> level("", "log-level", "With --platform: the least level of log lines.", false, "info", &allowedLevels, line);
        TCLAP::UnlabeledValueArg<std::string> settings("settings", "Settings file (TOML).", false, "", "SETTINGS", line);
        line.parse(argc, argv);
        Arguments arguments{settings.getValue(), check.getValue(), platform.getValue(), metrics.getValue(), parseLogLevel(level.getValue())};
        if (arguments.settingsPath.empty() && arguments.isPlatform) {
            arguments.settingsPath = nodeFilePath().value_or(std::string());
        }
        if (arguments.settingsPath.empty()) {
            std::cerr << "lovageloftd: no settings file; see lovageloftd --help\n";
            return std::nullopt;
        }
        return arguments;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "lovageloftd: " << error.error() << ' ' << error.argId() << "; see lovageloftd --help\n";
    } catch (const TCLAP::ExitException &) {
        std::exit(ExitOk);
    }
    return std::nullopt;
}

/// Blocks the handled signals in all threads, so that only sigwait() receives them, and ignores SIGPIPE. Must be called before any thread starts.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Has the allocator return large blocks to the system when they are freed. By default it keeps those of each thread once some were freed, and a crowd of
/// callers with large bodies would leave the process as large as it was at its peak.
void limitKeptMemory()
{
    constexpr int largeBlockBytes = 131'072;
    constexpr int arenas = 8;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_ARENA_MAX, arenas);
}

int serve(const Settings &settings, const sigset_t &signals)
{
    RouterHost host(settings);
    Reason reason;
    if (!host.start(reason)) {
        std::cerr << "lovageloftd: " << reason.text << '\n';
        return ExitUsage;
    }
    int signal = SIGHUP;
    while (signal == SIGHUP) {
        sigwait(&signals, &signal);
    }
    const bool isEmpty = host.drain();
    if (!isEmpty) {
        // Threads still serve callers at the drain limit. The process exits without waiting for them.
        stopLog();
        std::_Exit(ExitFailed);
    }
    return ExitOk;
}

/// Handles signals until the process ends.
void watchSignals(const sigset_t &signals, const std::string &settingsPath, GatewayHost &host)
{
    while (true) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != SIGHUP) {
            writeLog(LogLevel::Info, "signal_received", {{"signal", std::int64_t{signal}}});
            host.drain();
            continue;
        }
        Reason reason;
        const auto settings = loadNodeFile(settingsPath, reason);
        writeLog(settings ? LogLevel::Info : LogLevel::Error, "settings_read_again", {{"ok", settings.has_value()}, {"reason", reason.text}});
        if (settings) {
            host.reload(*settings);
        }
    }
}

int runOnPlatform(const Arguments &arguments)
{
    Reason reason;
    const auto settings = loadNodeFile(arguments.settingsPath, reason);
    if (!settings) {
        std::cerr << reason.text << '\n';
        return ExitUsage;
    }
    if (arguments.isCheck) {
        std::cout << arguments.settingsPath << ": ok\n";
        return ExitOk;
    }
    const sigset_t signals = blockSignals();
    startLog(arguments.logLevel, settings->hostName);
    GatewayHost host(*settings, arguments.metricsPort);
    if (!host.start(reason)) {
        std::cerr << "lovageloftd: " << reason.text << '\n';
        std::_Exit(ExitFailed);
    }
    std::thread(watchSignals, signals, arguments.settingsPath, std::ref(host)).detach();
    host.run();
    stopLog();
    // Store watches may still be pending, and their results are not needed.
    std::_Exit(ExitOk);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return ExitUsage;
    }
    limitKeptMemory();
    if (arguments->isPlatform) {
        return runOnPlatform(*arguments);
    }
    Reason reason;
    const auto settings = loadSettings(arguments->settingsPath, reason);
    if (!settings) {
        std::cerr << reason.text << '\n';
        return ExitUsage;
    }
    if (arguments->isCheck) {
        std::cout << arguments->settingsPath << ": ok\n";
        return ExitOk;
    }
    const sigset_t signals = blockSignals();
    startLog(parseLogLevel(settings->logLevel), settings->hostName);
    int code = ExitFailed;
    try {
        code = serve(*settings, signals);
    } catch (const Poco::Exception &error) {
        std::cerr << "lovageloftd: " << error.displayText() << '\n';
    } catch (const std::exception &error) {
        std::cerr << "lovageloftd: " << error.what() << '\n';
    }
    stopLog();
    return code;
}

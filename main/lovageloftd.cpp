/// The router: `lovageloftd SETTINGS`. Ends gracefully on SIGTERM and SIGINT.

#include <csignal>
#include <iostream>

#include <Poco/Exception.h>
#include <pthread.h>
#include <tclap/CmdLine.h>

#include "core/log.h"
#include "main/exit_codes.h"
#include "main/router_host.h"

using namespace Lovageloft;

namespace
{

struct Arguments
{
    std::string settingsPath;
    bool isCheck = false;
};

std::optional<Arguments> parseArguments(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Router for language-model traffic. Exit codes: 0 ended as asked, 1 failed, 2 wrong arguments or settings.", ' ', "0.1.0");
        line.setExceptionHandling(false);
        TCLAP::SwitchArg check("", "check", "Check the settings file and exit.", line);
        TCLAP::UnlabeledValueArg<std::string> settings("settings", "Settings file (TOML).", true, "", "SETTINGS", line);
        line.parse(argc, argv);
        return Arguments{settings.getValue(), check.getValue()};
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "lovageloftd: " << error.error() << ' ' << error.argId() << "; see lovageloftd --help\n";
    } catch (const TCLAP::ExitException &) {
        std::exit(ExitOk);
    }
    return std::nullopt;
}

LogLevel levelOf(const Settings &settings)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    const auto name = std::find(names.begin(), names.end(), settings.logLevel);
    return static_cast<LogLevel>(name - names.begin());
}

/// Blocks the signals in all threads, so that only the main thread's wait takes them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(const Settings &settings, const sigset_t &signals)
{
    RouterHost host(settings);
    Reason reason;
    if (!host.start(reason)) {
        std::cerr << "lovageloftd: " << reason.text << '\n';
        return ExitUsage;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    const bool isEmpty = host.drain();
    if (!isEmpty) {
        // Threads still serve callers at the limit; leaving at once is what the limit asks for.
        stopLog();
        std::_Exit(ExitFailed);
    }
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return ExitUsage;
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
    startLog(levelOf(*settings), settings->hostName);
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

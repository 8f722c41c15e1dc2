/// The command line for operators: calls the operator interface of a host, and reads its logs.

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <span>
#include <sstream>

#include <tclap/CmdLine.h>

#include "core/settings.h"
#include "drivers/http_exchange.h"
#include "main/answer_table.h"
#include "main/exit_codes.h"
#include "main/request_timeline.h"
#include "main/ticket_file.h"

using namespace Lovageloft;

namespace
{

struct Arguments
{
    std::string address;
    std::string keyFile;
    std::vector<std::string> words;
    bool isJson = false;
};

constexpr std::string_view usage =
    "Operators' calls. Commands: status | teams | engines | hosts | leader | rollouts | audit [FROM] | drain | ticket apply FILE | "
    "ticket show NUMBER | settings check FILE | explain REQUEST [FILE]. "
    "The key is read from --key-file or the environment variable LOVAGELOFT_OPERATOR_KEY. "
    "Exit codes: 0 done, 1 refused or outcome not known, 2 wrong arguments or settings, 3 the host gave no answer.";

std::optional<Arguments> parseArguments(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line(std::string(usage), ' ', "0.1.0");
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> address("", "host", "Operator address of a host.", false, "127.0.0.1:8081", "ADDRESS:PORT", line);
        TCLAP::ValueArg<std::string> keyFile("", "key-file", "File that holds the operators' key.", false, "", "FILE", line);
        TCLAP::SwitchArg json("", "json", "Print the answer as it came, in JSON.", line);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "What to do.", true, "COMMAND", line);
        line.parse(argc, argv);
        return Arguments{address.getValue(), keyFile.getValue(), words.getValue(), json.getValue()};
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "lovageloftctl: " << error.error() << ' ' << error.argId() << "; see lovageloftctl --help\n";
    } catch (const TCLAP::ExitException &) {
        std::exit(ExitOk);
    }
    return std::nullopt;
}

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream in(path);
    if (!in) {
        std::cerr << "lovageloftctl: can't read " << path << '\n';
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string operatorKey(const Arguments &arguments)
{
    if (arguments.keyFile.empty()) {
        const char *key = std::getenv("LOVAGELOFT_OPERATOR_KEY");
        return key == nullptr ? "" : key;
    }
    std::string key = readFile(arguments.keyFile).value_or("");
    while (!key.empty() && std::isspace(static_cast<unsigned char>(key.back())) != 0) {
        key.pop_back();
    }
    return key;
}

int call(const Arguments &arguments, std::string_view method, std::string_view path, std::string_view body)
{
    constexpr std::size_t maxAnswerBytes = 67'108'864;
    constexpr int firstErrorStatus = 400;
    const auto address = parseHostAddress(arguments.address);
    if (!address) {
        std::cerr << "lovageloftctl: --host must be ADDRESS:PORT\n";
        return ExitUsage;
    }
    Reason reason;
    HttpExchange exchange(*address, {std::chrono::seconds(2), std::chrono::seconds(30)});
    HttpRequestHead head;
    head.method = method;
    head.path = path;
    head.fields.push_back({"Authorization", "Bearer " + operatorKey(arguments)});
    head.body = body;
    if (!exchange.connect(reason)) {
        std::cerr << "lovageloftctl: " << reason.text << '\n';
        return ExitUnreachable;
    }
    std::optional<HttpAnswerHead> answer;
    std::optional<std::string> text;
    if (exchange.send(head, reason)) {
        answer = exchange.readHead(-1, reason);
        text = answer ? exchange.readAll(maxAnswerBytes, -1, reason) : std::nullopt;
    }
    if (!text) {
        std::cerr << "lovageloftctl: the outcome is not known: " << reason.text << '\n';
        return ExitFailed;
    }
    std::cout << (arguments.isJson ? *text + '\n' : formatAnswer(*text));
    return answer->status < firstErrorStatus ? ExitOk : ExitFailed;
}

int showStatus(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/status", {});
}

int showTeams(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/teams", {});
}

int showEngines(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/targets", {});
}

int showHosts(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/hosts", {});
}

int showLeader(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/leader", {});
}

int showRollouts(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/rollouts", {});
}

int showAudit(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/audit", {});
}

int showAuditFrom(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/audit?from=" + arguments.words.back(), {});
}

int drain(const Arguments &arguments)
{
    return call(arguments, "POST", "/operator/drain", {});
}

int showTicket(const Arguments &arguments)
{
    return call(arguments, "GET", "/operator/tickets?ticket=" + arguments.words.back(), {});
}

int applyTicket(const Arguments &arguments)
{
    const auto text = readFile(arguments.words.back());
    Reason reason;
    const auto ticket = text ? prepareTicket(*text, reason) : std::nullopt;
    if (!ticket) {
        std::cerr << "lovageloftctl: " << (text ? reason.text : "no ticket was sent") << '\n';
        return ExitUsage;
    }
    return call(arguments, "POST", "/operator/tickets", *ticket);
}

int checkSettings(const Arguments &arguments)
{
    Reason reason;
    if (!loadSettings(arguments.words.back(), reason)) {
        std::cerr << reason.text << '\n';
        return ExitUsage;
    }
    std::cout << arguments.words.back() << ": ok\n";
    return ExitOk;
}

/// Prints the timeline of a request from a log file, or from standard input if no file is given.
int explain(const Arguments &arguments)
{
    RequestTimeline timeline(arguments.words[1]);
    if (arguments.words.size() > 2) {
        std::ifstream in(arguments.words[2]);
        if (!in) {
            std::cerr << "lovageloftctl: can't read " << arguments.words[2] << '\n';
            return ExitUsage;
        }
        timeline.read(in);
    } else {
        timeline.read(std::cin);
    }
    const std::string text = timeline.text();
    std::cout << text;
    return text.empty() ? ExitFailed : ExitOk;
}

struct Command
{
    std::array<std::string_view, 2> words; ///< The second is empty for a command of one word.
    std::size_t operands = 0;
    int (*run)(const Arguments &);
};

constexpr std::array commands = std::to_array<Command>({
    {{"status", ""}, 0, &showStatus},
    {{"teams", ""}, 0, &showTeams},
    {{"engines", ""}, 0, &showEngines},
    {{"hosts", ""}, 0, &showHosts},
    {{"leader", ""}, 0, &showLeader},
    {{"rollouts", ""}, 0, &showRollouts},
    {{"audit", ""}, 0, &showAudit},
    {{"audit", ""}, 1, &showAuditFrom},
    {{"drain", ""}, 0, &drain},
    {{"ticket", "apply"}, 1, &applyTicket},
    {{"ticket", "show"}, 1, &showTicket},
    {{"settings", "check"}, 1, &checkSettings},
    {{"explain", ""}, 1, &explain},
    {{"explain", ""}, 2, &explain},
});

bool matches(const Command &command, std::span<const std::string> words)
{
    const std::size_t commandWords = command.words[1].empty() ? 1 : 2;
    if (words.size() != commandWords + command.operands || words[0] != command.words[0]) {
        return false;
    }
    return commandWords == 1 || words[1] == command.words[1];
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = parseArguments(argc, argv);
    if (!arguments) {
        return ExitUsage;
    }
    for (const Command &command : commands) {
        if (matches(command, arguments->words)) {
            return command.run(*arguments);
        }
    }
    std::cerr << "lovageloftctl: unknown command; see lovageloftctl --help\n";
    return ExitUsage;
}

#include <cstdio>

#include <tclap/CmdLine.h>

#include "tests/stand_ins/stand_in_caller.h"

using namespace Lovageloft;
using namespace Lovageloft::StandIns;

namespace
{

StandInCallerOptions parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Sends completion requests, checks the answers and prints one line of JSON. Exits with 0 if all were complete.", ' ', "1");
    const StandInCallerOptions defaults;
    const std::string number = "number";
    TCLAP::ValueArg<std::string> address("", "address", "Where to connect", true, "", "ADDRESS:PORT", line);
    TCLAP::ValueArg<std::string> key("", "key", "Sent as a bearer token", false, "", "key", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model asked for", false, defaults.model, "name", line);
    TCLAP::ValueArg<std::size_t> streams("", "streams", "Connections, each with one request at a time", false, defaults.streams, number, line);
    TCLAP::ValueArg<std::int64_t> requests("", "requests", "Requests in all", false, defaults.requests, number, line);
    TCLAP::ValueArg<std::size_t> promptBytes("", "prompt-bytes", "Length of each prompt", false, defaults.promptBytes, number, line);
    TCLAP::ValueArg<std::int64_t> sharedBytes("", "shared-bytes", "Leading bytes that all prompts share; -1 for all", false, -1, number, line);
    TCLAP::ValueArg<std::int64_t> tokens("", "max-tokens", "Tokens of each answer", false, defaults.maxCompletionTokens, number, line);
    TCLAP::ValueArg<std::int64_t> timeout("", "timeout-ms", "Longest silence within an answer", false, 30'000, number, line);
    TCLAP::SwitchArg isStream("", "stream", "Ask for streams", line);
    TCLAP::SwitchArg acceptsAnyId("", "any-id", "Don't expect the request's id in the answer", line);
    line.parse(argc, argv);
    StandInCallerOptions options{address.getValue(), key.getValue(), model.getValue(), streams.getValue(), requests.getValue()};
    options.promptBytes = promptBytes.getValue();
    options.sharedBytes = sharedBytes.getValue() < 0 ? options.promptBytes : static_cast<std::size_t>(sharedBytes.getValue());
    options.maxCompletionTokens = tokens.getValue();
    options.isStream = isStream.getValue();
    options.acceptsAnyId = acceptsAnyId.getValue();
    options.timeout = std::chrono::milliseconds(timeout.getValue());
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const StandInCallerOptions options = parseOptions(argc, argv);
        const StandInCallerResult result = runStandInCallers(options);
        std::printf("%s\n", result.toJson().c_str());
        return result.complete == options.requests ? 0 : 1;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}

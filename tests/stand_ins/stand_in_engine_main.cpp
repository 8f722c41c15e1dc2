#include <cstdio>

#include <tclap/CmdLine.h>

#include "tests/stand_ins/stand_in_engine.h"

using namespace Lovageloft;
using namespace Lovageloft::StandIns;

namespace
{

StandInEngineOptions parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("A stand-in for a language-model engine, for tests and benchmarks.", ' ', "1");
    const StandInEngineOptions defaults;
    const std::string number = "number";
    TCLAP::ValueArg<std::uint16_t> port("", "port", "TCP port on the loopback address; 0 takes a free one", false, 0, number, line);
    TCLAP::ValueArg<std::string> name("", "name", "Name in load reports", false, defaults.name, "name", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model served", false, defaults.model, "name", line);
    TCLAP::ValueArg<std::string> weights("", "weights", "Version of the weights", false, defaults.weights, "version", line);
    TCLAP::ValueArg<std::int64_t> tokenDelay("", "token-delay-us", "Time from token to token", false, 1000, number, line);
    TCLAP::ValueArg<std::int64_t> prefill("", "prefill-us-per-token", "Prefill of a token that isn't cached", false, 0, number, line);
    TCLAP::ValueArg<std::size_t> cacheBlocks("", "cache-blocks", "Blocks of 4096 bytes in the cache", false, defaults.cacheBlocks, number, line);
    TCLAP::ValueArg<std::int64_t> loadLag("", "load-lag-ms", "Age of the load reported", false, 0, number, line);
    TCLAP::SwitchArg checksFencing("", "checks-fencing", "Refuse orders with an old fencing number", line);
    line.parse(argc, argv);
    return StandInEngineOptions{port.getValue(),
                                name.getValue(),
                                model.getValue(),
                                weights.getValue(),
                                std::chrono::microseconds(tokenDelay.getValue()),
                                std::chrono::microseconds(prefill.getValue()),
                                cacheBlocks.getValue(),
                                std::chrono::milliseconds(loadLag.getValue()),
                                checksFencing.getValue()};
}

} // namespace

int main(int argc, char **argv)
{
    try {
        StandInServer::blockStopSignals();
        const StandInEngine engine(parseOptions(argc, argv));
        engine.server().runUntilStopped();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}

#include <cstdio>

#include <tclap/CmdLine.h>

#include "tests/stand_ins/stand_in_store.h"

using namespace Lovageloft;
using namespace Lovageloft::StandIns;

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("A stand-in for the key-value service, for tests and benchmarks.", ' ', "1");
        TCLAP::ValueArg<std::uint16_t> port("", "port", "TCP port on the loopback address; 0 takes a free one", false, 0, "number", line);
        line.parse(argc, argv);
        StandInServer::blockStopSignals();
        const StandInStore store(port.getValue());
        store.server().runUntilStopped();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
    return 0;
}

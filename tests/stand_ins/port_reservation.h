#pragma once

#include <cstdint>
#include <vector>

#include <Poco/Net/ServerSocket.h>

namespace Lovageloft::StandIns
{

/// Ports of the loopback interface for programs that a test starts, also repeatedly, for TCP and UDP. No other program gets them as long as this
/// reservation exists: it holds a TCP socket that is bound to each and does not listen. Programs that set SO_REUSEADDR can listen there all the same.
///
/// They lie below the kernel's range of ephemeral ports, and below that of ScriptedTarget.
class PortReservation
{
public:
    /// Searches from the `start`th port of the range on; test programs that run concurrently should start at different ones.
    PortReservation(std::size_t count, std::size_t start);

    const std::vector<std::uint16_t> &ports() const;

private:
    std::vector<Poco::Net::ServerSocket> sockets_;
    std::vector<std::uint16_t> ports_;
};

} // namespace Lovageloft::StandIns

#pragma once

#include <cstdint>
#include <vector>

#include <Poco/Net/DatagramSocket.h>

namespace Lovageloft::StandIns
{

/// TCP ports of the loopback interface for programs that a test starts, also repeatedly. No other reservation gets them as long as
/// this one exists, as it holds a UDP socket with the number of each port.
///
/// They lie below the kernel's range of ephemeral ports, and below that of ScriptedTarget.
class PortReservation
{
public:
    /// Searches from the `start`th port of the range on; test programs that run concurrently should start at different ones.
    PortReservation(std::size_t count, std::size_t start);

    const std::vector<std::uint16_t> &ports() const;

private:
    std::vector<Poco::Net::DatagramSocket> sockets_;
    std::vector<std::uint16_t> ports_;
};

} // namespace Lovageloft::StandIns

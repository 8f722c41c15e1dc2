#pragma once

#include <cstdint>
#include <vector>

#include <Poco/Net/DatagramSocket.h>

namespace Lovageloft::StandIns
{

/// TCP ports of the loopback interface for programs that are started with them, also again after they ended. Nobody else is given them as long as
/// the reservation lives: a datagram socket of the same number marks each.
///
/// They lie below the range from which the kernel takes the ports of outgoing connections, and below that of ScriptedTarget.
class PortReservation
{
public:
    /// Looks from the `start`th port of the range on; programs that run side by side should begin at different places.
    PortReservation(std::size_t count, std::size_t start);

    const std::vector<std::uint16_t> &ports() const;

private:
    std::vector<Poco::Net::DatagramSocket> marks_;
    std::vector<std::uint16_t> ports_;
};

} // namespace Lovageloft::StandIns

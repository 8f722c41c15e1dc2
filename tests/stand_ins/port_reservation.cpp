#include "tests/stand_ins/port_reservation.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace Lovageloft::StandIns
{

PortReservation::PortReservation(std::size_t count, std::size_t start)
{
    constexpr std::size_t first = 10'000;
    constexpr std::size_t span = 10'000;
    for (std::size_t i = 0; i < span && ports_.size() < count; ++i) {
        const auto port = static_cast<std::uint16_t>(first + (start + i) % span);
        const Poco::Net::SocketAddress address("127.0.0.1", port);
        try {
            Poco::Net::ServerSocket socket;
            socket.bind(address, false, false);
            socket.setReuseAddress(true);
            sockets_.push_back(socket);
            ports_.push_back(port);
        } catch (const Poco::Exception &) {
            continue; // In use by another test.
        }
    }
}

const std::vector<std::uint16_t> &PortReservation::ports() const
{
    return ports_;
}

} // namespace Lovageloft::StandIns

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

/// Callers on connections of their own that send bytes and leave the connections open, reading nothing or a little. The limit of this process for
/// descriptors is raised as far as allowed.
class Crowd
{
public:
    Crowd() = default;
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Opens connections to a port of the loopback interface, each of which sends `bytes`; all at once, as far as the peer takes them within a second.
    /// A connection that the peer refuses or resets is given up.
    void open(std::uint16_t port, std::size_t count, std::string_view bytes);

    /// Reads a few bytes from each connection that has any.
    void sip();

private:
    std::vector<int> sockets_;
};

/// Bytes that the kernel has received on connections to a port of the loopback interface and that nobody has read yet.
std::size_t unreadBytes(std::uint16_t port);

} // namespace Lovageloft

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/clock.h"

namespace Lovageloft
{

/// What the caller of a connection is doing.
enum class CallerPhase : std::uint8_t
{
    Idle, ///< No byte of a request has arrived.
    Arriving, ///< A request has begun and is incomplete.
    Served, ///< A request is complete, and its answer is not.
};

struct ConnectionLimits
{
    std::size_t connections = 0; ///< 0 for no limit.
    std::size_t bytes = 0; ///< 0 for no limit.
};

/// Bounds the connections of callers: their number, as each holds a descriptor, and the memory of each for itself and for what it has received
/// beyond the body of one request (`BufferBudget` bounds those). Tells which connection to close when there are too many.
///
/// Expendable are, in this order: the connections whose request has been arriving for `minArrivalTime`, the one that holds most first; idle ones, the
/// longest idle first; and connections on which many requests were sent ahead. Others are never closed: their callers do nothing unusual. Not thread-safe;
/// reads no clock.
class ConnectionBudget
{
public:
    using ConnectionId = std::uint64_t;

    /// What a connection costs that has received nothing: its objects, and the kernel's.
    static constexpr std::size_t connectionBytes = 8'192;

    /// More received bytes than this, beyond the request that is served, are requests that were sent ahead.
    static constexpr std::size_t maxAheadBytes = 16'384;

    /// A request within the limits arrives in less time in calm.
    static constexpr Duration minArrivalTime = std::chrono::seconds(2);

    explicit ConnectionBudget(const ConnectionLimits &limits = {});

    /// Registers a connection under an id that no other one has; BufferBudget gives such ids.
    void open(ConnectionId connection, TimePoint now);

    /// Does nothing if the connection is not registered.
    void close(ConnectionId connection);

    void setPhase(ConnectionId connection, CallerPhase phase, TimePoint now);

    /// Sets the bytes that were received and not used yet, and those that the connection holds of the request's body.
    void setReceived(ConnectionId connection, std::size_t unusedBytes, std::size_t bodyBytes);

    /// Whether there are more connections than allowed, or they hold more bytes.
    bool isExceeded() const;

    struct Expendable
    {
        ConnectionId connection = 0;
        CallerPhase phase{};
        std::size_t bytes = 0;
        Duration age{}; ///< Since the phase began.
    };

    /// The connection to close first; nothing if none is expendable.
    std::optional<Expendable> findExpendable(TimePoint now) const;

    /// The same among those whose body is arriving, whose memory others need.
    std::optional<Expendable> findExpendableBody(TimePoint now) const;

    std::size_t count() const
    {
        return connections_.size();
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    struct Connection
    {
        CallerPhase phase = CallerPhase::Idle;
        TimePoint since;
        std::size_t unusedBytes = 0;
        std::size_t bodyBytes = 0;
    };

    static int rankOf(const Connection &connection, TimePoint now);

    ConnectionLimits limits_;
    std::size_t bytes_ = 0;
    std::unordered_map<ConnectionId, Connection> connections_;
};

} // namespace Lovageloft

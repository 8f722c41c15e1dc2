#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/clock.h"

namespace Lovageloft
{

/// What a connection holds bytes for.
enum class BufferUse : std::uint8_t
{
    Response, ///< Part of a response that the caller has not read yet.
    IncompleteResponse, ///< Part of a response that is not sent to the caller before it is complete.
    RequestBody,
};

inline constexpr std::size_t bufferUses = 3;

/// Bounds the memory that a host holds for callers that read slowly and for request bodies.
///
/// Below half of the budget, each connection may hold up to `maxConnectionBytes` of a response. Above it, the free bytes are divided evenly among
/// the connections that hold a considerable amount, so that one slow caller can't take the capacity of the others. A connection that has reached
/// its bound must apply back-pressure to its source; what exceeds the bound by then is counted all the same.
///
/// Without a known size only the fixed bound applies, and no connection is ever reported as stalled.
class BufferBudget
{
public:
    using ConnectionId = std::uint64_t;

    /// Bound of a connection while less than half of the budget is in use.
    static constexpr std::size_t maxConnectionBytes = 262'144;

    /// Bound of a connection when the budget is used up: without it, a caller that reads quickly would be served nothing.
    static constexpr std::size_t minConnectionBytes = 16'384;

    /// A connection that sends its response without any progress for this long is stalled. Targets cut off responses that stay unread for some
    /// seconds.
    static constexpr Duration stallTime = std::chrono::seconds(2);

    /// A connection that holds a response, and for how long the caller has taken none of it.
    struct Stalled
    {
        ConnectionId connection = 0;
        std::size_t bytes = 0;
        Duration silence{};
    };

    /// `totalBytes` is the memory for all connections; 0 if it is not known.
    explicit BufferBudget(std::size_t totalBytes = 0);

    /// Changes the size of the budget. Connections keep what they hold.
    void setTotal(std::size_t totalBytes);

    /// Registers a connection that holds nothing.
    ConnectionId open();

    /// Releases all that a connection holds. Does nothing if it is not registered.
    void close(ConnectionId connection);

    /// Counts bytes that a registered connection begins to hold.
    void reserve(ConnectionId connection, BufferUse use, std::size_t bytes, TimePoint now);

    /// Counts bytes that a registered connection no longer holds, at most what it holds. Bytes of a response have been taken by the caller.
    void release(ConnectionId connection, BufferUse use, std::size_t bytes, TimePoint now);

    /// Maximum bytes of a response, complete or not, that each connection may hold now, between `minConnectionBytes` and `maxConnectionBytes`.
    std::size_t connectionBound() const;

    /// Whether the connection holds more unread bytes of a response than the bound, and its source must stop.
    bool isAtBound(ConnectionId connection) const;

    /// Whether this many more bytes fit. Always true without a known size.
    bool hasRoom(std::size_t bytes) const;

    /// Whether no byte is left, so that no further request body can be accepted. Never true without a known size.
    bool isExhausted() const;

    /// While nine tenths of the budget are in use, the connection with the most bytes among those whose caller has taken none for `stallTime`.
    /// Closing it releases its bytes; the next call returns the next one.
    std::optional<Stalled> findStalled(TimePoint now) const;

    /// Bytes that all connections hold.
    std::size_t reserved() const
    {
        return reserved_;
    }

    /// Size of the budget in bytes; 0 if it is not known.
    std::size_t total() const
    {
        return total_;
    }

private:
    struct Connection
    {
        std::array<std::size_t, bufferUses> bytes{};
        TimePoint progressAt; ///< When the caller last took bytes, or the first byte began to wait for it.

        std::size_t &of(BufferUse use)
        {
            return bytes[static_cast<std::size_t>(use)];
        }

        std::size_t of(BufferUse use) const
        {
            return bytes[static_cast<std::size_t>(use)];
        }

        bool isLarge() const
        {
            return of(BufferUse::Response) + of(BufferUse::IncompleteResponse) > minConnectionBytes;
        }
    };

    void change(Connection &connection, BufferUse use, std::size_t bytes);

    std::size_t total_;
    std::size_t reserved_ = 0;
    std::size_t largeConnections_ = 0; ///< Connections that hold more than `minConnectionBytes` of a response.
    ConnectionId nextConnection_ = 1;
    std::unordered_map<ConnectionId, Connection> connections_;
};

} // namespace Lovageloft

#include "memory/buffer_budget.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// Fraction of the budget in use above which the free bytes are divided.
constexpr double dividedFraction = 0.5;

/// Fraction of the budget in use above which stalled connections are to be closed.
constexpr double closingFraction = 0.9;

double fractionOf(std::size_t bytes, std::size_t total)
{
    return static_cast<double>(bytes) / static_cast<double>(total);
}

} // namespace

BufferBudget::BufferBudget(std::size_t totalBytes)
    : total_(totalBytes)
{
}

void BufferBudget::setTotal(std::size_t totalBytes)
{
    total_ = totalBytes;
}

BufferBudget::ConnectionId BufferBudget::open()
{
    const ConnectionId id = nextConnection_++;
    connections_.emplace(id, Connection{});
    return id;
}

void BufferBudget::close(ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    change(found->second, BufferUse::Response, 0);
    change(found->second, BufferUse::RequestBody, 0);
    connections_.erase(found);
}

void BufferBudget::reserve(ConnectionId connection, BufferUse use, std::size_t bytes, TimePoint now)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    if (use == BufferUse::Response && found->second.responseBytes == 0) {
        found->second.progressAt = now;
    }
    change(found->second, use, held(found->second, use) + bytes);
}

void BufferBudget::release(ConnectionId connection, BufferUse use, std::size_t bytes, TimePoint now)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || bytes == 0) {
        return;
    }
    if (use == BufferUse::Response) {
        found->second.progressAt = now;
    }
    const std::size_t current = held(found->second, use);
    change(found->second, use, current - std::min(bytes, current));
}

std::size_t BufferBudget::connectionBound() const
{
    if (total_ == 0 || fractionOf(reserved_, total_) < dividedFraction) {
        return maxConnectionBytes;
    }
    const std::size_t free = total_ - std::min(reserved_, total_);
    return std::clamp(free / std::max<std::size_t>(largeConnections_, 1), minConnectionBytes, maxConnectionBytes);
}

bool BufferBudget::isAtBound(ConnectionId connection) const
{
    const auto found = connections_.find(connection);
    return found != connections_.end() && found->second.responseBytes > connectionBound();
}

bool BufferBudget::isExhausted() const
{
    return total_ != 0 && reserved_ >= total_;
}

std::optional<BufferBudget::Stalled> BufferBudget::findStalled(TimePoint now) const
{
    if (total_ == 0 || fractionOf(reserved_, total_) <= closingFraction) {
        return std::nullopt;
    }
    std::optional<Stalled> largest;
    for (const auto &[id, connection] : connections_) {
        const Duration silence = now - connection.progressAt;
        if (connection.responseBytes == 0 || silence < stallTime) {
            continue;
        }
        // Of equal ones the oldest, so that the choice does not depend on the order of the table.
        const bool isLarger = !largest || connection.responseBytes > largest->bytes || (connection.responseBytes == largest->bytes && id < largest->connection);
        if (isLarger) {
            largest = Stalled{id, connection.responseBytes, silence};
        }
    }
    return largest;
}

std::size_t &BufferBudget::held(Connection &connection, BufferUse use)
{
    return use == BufferUse::Response ? connection.responseBytes : connection.bodyBytes;
}

/// Sets what a connection holds for a use, and updates the sums.
void BufferBudget::change(Connection &connection, BufferUse use, std::size_t bytes)
{
    std::size_t &current = held(connection, use);
    reserved_ = reserved_ - current + bytes;
    if (use == BufferUse::Response) {
        largeConnections_ -= current > minConnectionBytes ? 1 : 0;
        largeConnections_ += bytes > minConnectionBytes ? 1 : 0;
    }
    current = bytes;
}

} // namespace Lovageloft

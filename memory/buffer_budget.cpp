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
    for (const BufferUse use : {BufferUse::Response, BufferUse::IncompleteResponse, BufferUse::RequestBody}) {
        change(found->second, use, 0);
    }
    connections_.erase(found);
}

void BufferBudget::reserve(ConnectionId connection, BufferUse use, std::size_t bytes, TimePoint now)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    if (use == BufferUse::Response && found->second.of(use) == 0) {
        found->second.progressAt = now;
    }
    change(found->second, use, found->second.of(use) + bytes);
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
    const std::size_t current = found->second.of(use);
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
    return found != connections_.end() && found->second.of(BufferUse::Response) > connectionBound();
}

bool BufferBudget::hasRoom(std::size_t bytes) const
{
    return total_ == 0 || bytes <= total_ - std::min(reserved_, total_);
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
        const std::size_t bytes = connection.of(BufferUse::Response);
        if (bytes == 0 || silence < stallTime) {
            continue;
        }
        // Of equal ones the oldest, so that the choice does not depend on the order of the table.
        const bool isLarger = !largest || bytes > largest->bytes || (bytes == largest->bytes && id < largest->connection);
        if (isLarger) {
            largest = Stalled{id, bytes, silence};
        }
    }
    return largest;
}

/// Sets what a connection holds for a use, and updates the sums.
void BufferBudget::change(Connection &connection, BufferUse use, std::size_t bytes)
{
    std::size_t &current = connection.of(use);
    reserved_ = reserved_ - current + bytes;
    largeConnections_ -= connection.isLarge() ? 1 : 0;
    current = bytes;
    largeConnections_ += connection.isLarge() ? 1 : 0;
}

} // namespace Lovageloft

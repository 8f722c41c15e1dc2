#include "memory/connection_budget.h"

#include <algorithm>
#include <tuple>

namespace Lovageloft
{

namespace
{

/// Order in which connections are closed; those of rank 0 are not.
constexpr int notExpendable = 0;
constexpr int sentAhead = 1;
constexpr int idle = 2;
constexpr int incomplete = 3;

} // namespace

ConnectionBudget::ConnectionBudget(const ConnectionLimits &limits)
    : limits_(limits)
{
}

void ConnectionBudget::open(ConnectionId connection, TimePoint now)
{
    connections_.emplace(connection, Connection{CallerPhase::Idle, now, 0, 0});
    bytes_ += connectionBytes;
}

void ConnectionBudget::close(ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        bytes_ -= connectionBytes + found->second.unusedBytes;
        connections_.erase(found);
    }
}

void ConnectionBudget::setPhase(ConnectionId connection, CallerPhase phase, TimePoint now)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end() && found->second.phase != phase) {
        found->second.phase = phase;
        found->second.since = now;
    }
}

void ConnectionBudget::setReceived(ConnectionId connection, std::size_t unusedBytes, std::size_t bodyBytes)
{
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        bytes_ = bytes_ - found->second.unusedBytes + unusedBytes;
        found->second.unusedBytes = unusedBytes;
        found->second.bodyBytes = bodyBytes;
    }
}

bool ConnectionBudget::isExceeded() const
{
    return (limits_.connections != 0 && connections_.size() > limits_.connections) || (limits_.bytes != 0 && bytes_ > limits_.bytes);
}

int ConnectionBudget::rankOf(const Connection &connection, TimePoint now)
{
    switch (connection.phase) {
    case CallerPhase::Arriving:
        return now - connection.since >= minArrivalTime ? incomplete : notExpendable;
    case CallerPhase::Idle:
        return idle;
    case CallerPhase::Served:
        return connection.unusedBytes > maxAheadBytes ? sentAhead : notExpendable;
    }
    return notExpendable;
}

std::optional<ConnectionBudget::Expendable> ConnectionBudget::findExpendable(TimePoint now) const
{
    std::optional<Expendable> first;
    std::tuple<int, std::size_t, Duration, ConnectionId> best{notExpendable, 0, {}, 0};
    for (const auto &[id, connection] : connections_) {
        const std::size_t bytes = connection.unusedBytes + connection.bodyBytes;
        const std::tuple order{rankOf(connection, now), connection.phase == CallerPhase::Idle ? 0 : bytes, now - connection.since, id};
        if (std::get<0>(order) != notExpendable && order > best) {
            best = order;
            first = Expendable{id, connection.phase, bytes, now - connection.since};
        }
    }
    return first;
}

std::optional<ConnectionBudget::Expendable> ConnectionBudget::findExpendableBody(TimePoint now) const
{
    const auto first = findExpendable(now);
    return first && first->phase == CallerPhase::Arriving && first->bytes > maxAheadBytes ? first : std::nullopt;
}

} // namespace Lovageloft

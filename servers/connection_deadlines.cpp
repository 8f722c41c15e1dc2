#include "servers/connection_deadlines.h"

#include <chrono>

#include <sys/socket.h>

namespace Lovageloft
{

namespace
{

/// How late a connection is ended at most; a fraction of any sensible limit.
constexpr std::chrono::milliseconds period{50};

} // namespace

ConnectionDeadlines::ConnectionDeadlines()
    : thread_([this] { run(); })
{
}

ConnectionDeadlines::~ConnectionDeadlines()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void ConnectionDeadlines::setIdle(int socket)
{
    const std::lock_guard lock(mutex_);
    connections_[socket] = {State::Idle, BootClock::now(), {}, false};
    if (closesIdle_) {
        shutdown(socket, SHUT_RD);
    }
}

void ConnectionDeadlines::setArriving(int socket, Duration limit)
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = BootClock::now();
    connections_[socket] = {State::Arriving, now, now + limit, false};
}

bool ConnectionDeadlines::setServing(int socket)
{
    const std::lock_guard lock(mutex_);
    Connection &connection = connections_[socket];
    connection.state = State::Serving;
    return !connection.isLate;
}

bool ConnectionDeadlines::endOldestArriving(Duration minAge)
{
    return endOldest(State::Arriving, BootClock::now() - minAge);
}

bool ConnectionDeadlines::endOldestIdle()
{
    return endOldest(State::Idle, BootClock::now());
}

/// Of the connections that have been in a state since `since` or longer.
bool ConnectionDeadlines::endOldest(State state, TimePoint since)
{
    const std::lock_guard lock(mutex_);
    auto oldest = connections_.end();
    for (auto entry = connections_.begin(); entry != connections_.end(); ++entry) {
        const Connection &connection = entry->second;
        if (connection.state != state || connection.isLate || connection.since > since) {
            continue;
        }
        if (oldest == connections_.end() || connection.since < oldest->second.since) {
            oldest = entry;
        }
    }
    if (oldest == connections_.end()) {
        return false;
    }
    oldest->second.isLate = true;
    shutdown(oldest->first, SHUT_RD);
    return true;
}

void ConnectionDeadlines::remove(int socket)
{
    const std::lock_guard lock(mutex_);
    connections_.erase(socket);
}

void ConnectionDeadlines::closeIdle()
{
    const std::lock_guard lock(mutex_);
    closesIdle_ = true;
    for (const auto &[socket, connection] : connections_) {
        if (connection.state == State::Idle) {
            shutdown(socket, SHUT_RD);
        }
    }
}

void ConnectionDeadlines::run()
{
    std::unique_lock lock(mutex_);
    while (!wake_.wait_for(lock, period, [this] { return isStopping_; })) {
        const TimePoint now = BootClock::now();
        for (auto &[socket, connection] : connections_) {
            if (connection.state != State::Arriving || connection.isLate || now < connection.deadline) {
                continue;
            }
            connection.isLate = true;
            shutdown(socket, SHUT_RD);
        }
    }
}

} // namespace Lovageloft

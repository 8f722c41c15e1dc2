#pragma once

#include <cstdint>
#include <memory>

#include "coordination/store.h"
#include "core/clock.h"
#include "drivers/http_connection.h"

namespace Lovageloft
{

/// Result of waiting on a watch.
enum class EtcdWatchStatus : std::uint8_t
{
    Events,
    Timeout,
    Broken, ///< The stream can't be used any more; a new one has to continue from the last revision received.
    Compacted, ///< The store has compacted writes that were not received: the keys must be listed again.
};

/// An open watch stream. Not thread-safe.
class EtcdWatch
{
public:
    /// `connection`: one on which a watch of the writes after `afterRevision` was started.
    EtcdWatch(std::unique_ptr<HttpConnection> connection, std::int64_t afterRevision);

    /// The revision after which the stream still returns all writes.
    std::int64_t position() const;

    /// When anything was last received from the store, including its response to the start.
    TimePoint lastReceived() const;

    /// Waits for writes after `afterRevision`, which must be at least position(), and adds them to `reply`.
    EtcdWatchStatus wait(std::int64_t afterRevision, TimePoint deadline, StoreListReply &reply);

private:
    std::unique_ptr<HttpConnection> connection_;
    std::int64_t position_;
};

} // namespace Lovageloft

#pragma once

#include <cstdint>
#include <memory>

#include "coordination/store.h"
#include "core/clock.h"
#include "drivers/http_connection.h"

namespace Lovageloft
{

/// How waiting on a watch ended.
enum class EtcdWatchStatus : std::uint8_t
{
    Events,
    Timeout,
    Broken, ///< The stream is of no more use; a new one goes on from the last revision seen.
    Compacted, ///< The store has forgotten writes that were not seen; the keys have to be listed again.
};

/// One open watch stream of the store. Used by one thread at a time.
class EtcdWatch
{
public:
    /// Takes a connection on which the watch of the writes after `afterRevision` has been started.
    EtcdWatch(std::unique_ptr<HttpConnection> connection, std::int64_t afterRevision);

    /// The stream still holds all writes after this revision.
    std::int64_t position() const;

    /// When the store last sent anything, its answer to the start included.
    TimePoint lastReceived() const;

    /// Waits for the next writes after `afterRevision`, which must not be below position(), and puts them into `reply`.
    EtcdWatchStatus wait(std::int64_t afterRevision, TimePoint deadline, StoreListReply &reply);

private:
    std::unique_ptr<HttpConnection> connection_;
    std::int64_t position_;
};

} // namespace Lovageloft

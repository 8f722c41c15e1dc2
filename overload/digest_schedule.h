#pragma once

#include <cstddef>

#include "core/clock.h"
#include "core/random.h"

namespace Lovageloft
{

/// Time between two digests of a host: hosts / 100 s, at least 100 ms.
Duration digestInterval(std::size_t hosts);

/// Says when a host sends its digest: at every interval while it is active and for one second after, and at once when its backlog has grown by half
/// since the last digest and 100 ms have passed. Growth is that of a smoothed backlog, because the queue of a small host changes by more than half with
/// each request. A digest that is sent early postpones the next one by an interval, and there is at most one such digest ahead of its time, so that the fleet
/// sends 100 digests a second or less. Hosts
/// that become active together go on at different times.
class DigestSchedule
{
public:
    explicit DigestSchedule(Random::result_type seed);

    /// Sets the number of hosts including this one.
    void setHosts(std::size_t hosts);

    /// Whether a digest is due. `backlogSeconds` is the engine time queued at this host; `isActive` says whether requests are queued or were refused.
    bool isDue(double backlogSeconds, bool isActive, TimePoint now);

    /// A digest has been sent.
    void onSent(TimePoint now);

private:
    Random random_;
    Duration interval_ = digestInterval(1);
    TimePoint sentAt_;
    TimePoint dueAt_;
    TimePoint activeUntil_;
    TimePoint smoothedAt_;
    double smoothedBacklog_ = 0; ///< Seconds.
    double reportedBacklog_ = 0; ///< Largest smoothed backlog of recent digests; decays with each.
};

} // namespace Lovageloft

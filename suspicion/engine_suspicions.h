#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/decaying_count.h"
#include "decision/rendezvous.h"

namespace Lovageloft
{

/// An engine as the configuration names it. A restarted engine has a greater incarnation.
struct SuspicionEngine
{
    std::string id;
    std::string service;
    std::int64_t incarnation = 0;
};

/// Notice to all hosts: no byte has arrived from the engine although a request is overdue.
struct EngineSilent
{
    std::string engine;
    std::int64_t incarnation = 0;
    Duration silence{}; ///< Time without a byte.
    Duration suspectedFor{}; ///< Time since the sender came to suspect the engine; zero if it does not. Aligns the turns of the hosts' probes.
};

/// Notice to all hosts: the engine rejects requests because it is full.
struct EngineFull
{
    std::string engine;
    std::int64_t incarnation = 0;
    Duration duration{}; ///< How long no host is to send requests there.
};

/// Reply to EngineSilent, or notice to all hosts: a byte has arrived from the engine.
struct EngineHeard
{
    std::string engine;
    std::int64_t incarnation = 0;
    Duration age{}; ///< Time since the byte arrived.
};

/// What one host knows of silent and full engines, by its own requests and by the notices of all hosts. The owner sends the notices that the
/// functions return. Times stated in notices are ages, so hosts need no common clock. Notices may be lost or late: each of them only makes a
/// conclusion come earlier. Not thread-safe; reads no clock.
class EngineSuspicions
{
public:
    /// What has changed since the last call of takeChanges().
    struct Changes
    {
        std::vector<std::string> suspected; ///< Idempotent requests that wait there for their first byte are to be sent elsewhere.
        std::vector<std::string> cleared;
        std::vector<EngineHeard> announcements; ///< To be sent to all hosts.
    };

    /// Sets the engines; one that is missing is forgotten. A changed incarnation ends the suspicion of the engine.
    void setEngines(std::span<const SuspicionEngine> engines, TimePoint now);

    /// Sets this host's name and the names of all hosts that are up, in any order.
    void setHosts(std::string_view ownName, std::span<const std::string> hosts);

    /// A byte has arrived from the engine, on any connection of this host.
    void onBytes(std::string_view engine, TimePoint now);

    /// This process stood still for `pause` until now. The time does not count as silence, and what is read right after it counts as old.
    void onPaused(Duration pause, TimePoint now);

    /// To be called a few times a second for a request that waits for its next byte; `sentAt` is when it was sent, `expectedSeconds` its expected
    /// time to that byte. Returns the notice to send to all hosts, if one is due.
    std::optional<EngineSilent> checkSilence(std::string_view engine, TimePoint sentAt, double expectedSeconds, TimePoint now);

    /// The engine has rejected a request of this host because it is full. Returns the notice to send to all hosts, if one is due.
    std::optional<EngineFull> onRejected(std::string_view engine, TimePoint now);

    /// Handles a notice of another host. Returns the reply to that host, if this one has received a byte since the silence began.
    std::optional<EngineHeard> onNotice(std::string_view host, const EngineSilent &notice, TimePoint now);

    void onNotice(const EngineFull &notice, TimePoint now);
    void onNotice(const EngineHeard &notice, TimePoint now);

    /// Whether new requests may go to the engine only as probes.
    bool isSuspected(std::string_view engine, TimePoint now) const;

    /// Whether this host may send a request to a suspected engine now, as a probe. The hosts take turns of 0.1 to 0.7 s.
    bool mayProbe(std::string_view engine, TimePoint now) const;

    void onProbeSent(std::string_view engine, TimePoint now);

    /// Until when no request is to be sent to the engine because it is full; nothing if requests may be sent.
    std::optional<TimePoint> fullUntil(std::string_view engine, TimePoint now) const;

    /// To be called at least every 100 ms: also ends suspicions that no host has confirmed for some seconds, and repeats announcements.
    Changes takeChanges(TimePoint now);

private:
    struct Report
    {
        TimePoint silentSince;
        TimePoint receivedAt;
    };

    struct Suspicion
    {
        TimePoint silentSince; ///< Evidence of a later byte ends the suspicion.
        TimePoint beganAt;
        TimePoint confirmedAt; ///< When a host, also this one, last reported the silence.
        std::uint64_t probedTurn = 0; ///< The last turn in which this host has sent a probe.
    };

    struct Record
    {
        std::string service;
        std::int64_t incarnation = 0;
        TimePoint observedFrom; ///< When this incarnation became known.
        TimePoint heardAt; ///< Last byte at this host.
        TimePoint provenAt; ///< Last byte at any host that is known to contradict a report or suspicion.
        std::map<std::string, Report, std::less<>> reports; ///< Of silence, by host.
        std::optional<Suspicion> suspicion;
        bool isToldSuspected = false; ///< As takeChanges() has last told.
        std::optional<TimePoint> accusedFrom; ///< Begin of the silence that this host has reported and not retracted.
        std::optional<TimePoint> silentNoticeAt; ///< When a notice was last sent or received.
        std::optional<TimePoint> fullNoticeAt;
        DecayingCount fullNotices{std::chrono::seconds(1)}; ///< Sent and received.
        TimePoint fullUntil;
        std::size_t announcementsLeft = 0;
        TimePoint nextAnnouncementAt;
    };

    using Records = std::map<std::string, Record, std::less<>>;

    Record *find(std::string_view engine, std::int64_t incarnation);
    void setFull(std::string_view engine, Record &record, Duration duration, TimePoint now) const;
    void addReport(Record &record, std::string_view host, TimePoint silentSince, Duration suspectedFor, TimePoint now);
    bool isConvincing(const Record &record, TimePoint now) const;
    bool isThirdSuspected(std::string_view service, TimePoint now) const;
    bool isAfterPause(TimePoint now) const;
    bool isOwnTurn(std::string_view engine, const Record &record, std::uint64_t turn) const;
    bool isFullNoticeDrawn(std::string_view engine, const Record &record, TimePoint now) const;
    static bool isSuspected(const Record &record, TimePoint now);
    static void announce(Record &record, std::size_t times, TimePoint now);

    std::string host_;
    RendezvousNames hosts_;
    std::size_t hostCount_ = 0;
    Records records_;
    TimePoint heardAnyAt_; ///< Last byte from any engine.
    TimePoint linksUpFrom_; ///< Since then bytes have arrived without a long gap.
    TimePoint pausedFrom_;
    std::optional<TimePoint> pausedUntil_; ///< End of the last pause.
};

} // namespace Lovageloft

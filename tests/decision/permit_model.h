#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "core/random.h"
#include "decision/send_permits.h"

namespace Lovageloft
{

/// A model in virtual time of hosts that send requests to targets which state rate limits or rejection limits. Messages between hosts take time, may be
/// lost and may arrive twice; hosts pause, end and start anew, or are cut off from others. A target with a rejection limit holds few requests at a time,
/// rejects the others, which hosts then try at the next target, and falls over if it rejects more than it states.
class PermitModel
{
public:
    struct Options
    {
        std::size_t hosts = 9;
        std::size_t targets = 3;
        double demand = 6; ///< Requests a second for each target, over all hosts.
        double hostsWithDemand = 1; ///< Fraction of the hosts that get requests.
        double lossRate = 0; ///< Of messages.
        double doubledRate = 0;
        Duration jitter = std::chrono::milliseconds(3); ///< Largest variation of the time that a message takes.
        Duration rejectionDelay{}; ///< By which rejections leave late.
        double abandonedRate = 0; ///< Of requests that their hosts abandon while they are at a target.
        std::uint64_t seed = 0;
    };

    explicit PermitModel(const Options &options);

    /// The rate that a target states in its answers from now on; negative for none.
    void state(std::size_t target, double rate);

    /// A target states a rejection limit in its answers from now on, and holds `room` requests at a time.
    void stateRejections(std::size_t target, double rejections, std::size_t room);

    /// The room of a target changes, which it does not tell.
    void setRoom(std::size_t target, std::size_t room);

    /// A host stands still for a time. Messages to it wait.
    void pause(std::size_t host, Duration time);

    /// A host ends and starts again after a time, when it knows nothing. Others learn of both a moment later.
    void restart(std::size_t host, Duration downTime);

    /// Messages between a host and all others are lost for a time.
    void cutOff(std::size_t host, Duration time);

    /// Faults of a host, as by the functions above.
    static constexpr std::size_t faultKinds = 3;
    void disturb(std::size_t host, Duration time, std::size_t faultKind);

    void run(Duration time);

    /// The most requests that a target got in 4 s, from a second after it first stated a limit.
    std::size_t mostInWindow(std::size_t target) const;

    /// Requests that a target got since the time `since`.
    std::size_t arrivals(std::size_t target, Duration since) const;

    /// Time until all hosts that ran knew of a target's first statement; Duration::max() if some never did.
    Duration knownAfter(std::size_t target) const;

    /// How often all targets together have fallen over.
    std::size_t falls() const;

    /// The most rejections of a target in a second.
    std::size_t mostRejections() const;

    /// Requests that all targets together have run since the time `since`.
    std::size_t completed(Duration since) const;

    /// Messages sent by the busiest host so far.
    std::size_t mostMessages() const;

    Duration elapsed() const;

private:
    struct Host
    {
        std::string name;
        std::unique_ptr<StatementTable> table;
        std::unique_ptr<SendPermits> permits;
        std::vector<std::deque<TimePoint>> waiting; ///< Deadlines of waiting requests, by target.
        TimePoint pausedUntil;
        TimePoint downUntil;
        TimePoint cutUntil;
        std::size_t messages = 0;
        std::size_t waitingCount = 0; ///< Over all targets.
        std::size_t starts = 0;
    };

    struct Target
    {
        double rate = -1;
        std::vector<TimePoint> arrivals;
        std::optional<TimePoint> statedAt;
        std::optional<TimePoint> knownAt; ///< By all hosts.
        double rejectionLimit = 0; ///< 0 if it states none.
        std::size_t room = 0;
        std::size_t running = 0;
        std::deque<TimePoint> rejectedAt; ///< In the last second.
        std::vector<TimePoint> completedAt;
        std::int64_t incarnation = 1;
        TimePoint downUntil;
    };

    /// A request on its way to a target and back.
    struct Exchange
    {
        std::size_t host = 0;
        std::size_t hostStart = 0; ///< Start of the host that has sent it.
        std::size_t target = 0;
        std::int64_t incarnation = 0;
        SlotId slot = 0;
        TimePoint sentAt;
        TimePoint deadline;
        bool isAbandoned = false; ///< The host hears no answer to it.
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        std::size_t host = 0; ///< That it is for.
        bool isMessage = false;

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void start(Host &host);
    void updateHosts();
    bool isUp(const Host &host) const;
    bool isRunning(const Host &host) const;
    bool chance(double probability);
    void post(std::size_t host, Duration delay, bool isMessage, std::function<void()> action);
    void sendMessage(std::size_t from, std::size_t to, const std::function<void()> &action);
    std::size_t indexOf(const std::string &name) const;
    void step();
    void deliver();
    void serve(std::size_t host, std::size_t target);
    void wantPermits(std::size_t host, std::size_t target);
    void begin(std::size_t host, std::size_t target, TimePoint deadline);
    void arrive(const Exchange &exchange);
    void reject(const Exchange &exchange);
    void fall(std::size_t target);
    void onAnswer(const Exchange &exchange, double statedRate, double statedRejections, bool isRejected);
    void abandon(const Exchange &exchange);
    void onLost(const Exchange &exchange);
    bool isSender(const Exchange &exchange) const;
    void listTargets(Host &host);
    void hear(const Exchange &exchange, StatementKind kind, std::optional<double> value);
    void setSlotLinks(std::size_t host);
    void queryStatements(std::size_t host);
    void receive(std::size_t host, StatementTable::Update update);
    void broadcast(std::size_t from, const StatementTable::Update &update);
    void noteKnown();

    Options options_;
    Random random_;
    TimePoint now_ = TimePoint{} + std::chrono::hours(1);
    TimePoint startedAt_ = now_;
    std::vector<Host> hosts_;
    std::vector<Target> targets_;
    std::size_t falls_ = 0;
    std::size_t mostRejections_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t lastOrder_ = 0;
};

} // namespace Lovageloft

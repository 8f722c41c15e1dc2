#pragma once

#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "overload/digest_schedule.h"
#include "overload/fleet_admission.h"

namespace Lovageloft
{

/// Hosts of unlike size that run the classes under a simulated clock, in steps of a millisecond, against engines that hold one request and let one wait.
/// Queued requests of all hosts compete for an engine with equal chances; a host sends the one with the earliest deadline.
class FleetModel
{
public:
    struct Options
    {
        std::size_t hosts = 9;
        std::size_t teams = 4;
        double load = 3; ///< Offered, as a multiple of the capacity.
        double lostPart = 0; ///< Of digests.
        Duration delay = std::chrono::milliseconds(1); ///< Of digests.
        double killedPart = 0; ///< Of hosts, after 3 s of the measured time; their callers use the other hosts then.
    };

    struct Result
    {
        double utilisation = 0;
        double fairness = 0; ///< Worst of the teams held to their share, as a part of the mean of these.
        ClassSeconds servedPart{}; ///< In time, by priority class.
        double ofSingleQueue = 0; ///< Requests served in time, as a part of what a single queue with full knowledge serves.
        double ofSelectiveQueue = 0; ///< As above, of one that admits by exact size, so that it picks out the short requests.
        double digestRate = 0; ///< Digests a second over the fleet.
        double latePart = 0; ///< Of admitted requests.
    };

    explicit FleetModel(const Options &options);
    Result run(Duration warmUp, Duration measured);

private:
    struct Job
    {
        FleetRequest request;
        double engineSeconds = 0;
        TimePoint queuedAt;
        TimePoint deadline;

        bool operator<(const Job &other) const
        {
            return deadline > other.deadline;
        }
    };

    struct Host
    {
        explicit Host(std::size_t index);
        FleetDemand demand;
        FleetAdmission admission;
        DigestSchedule schedule;
        std::priority_queue<Job> queue;
        double weight = 1;
        bool isAlive = true;
    };

    struct Message
    {
        TimePoint at;
        std::size_t from;
        DemandDigest digest;
    };

    struct Tally
    {
        std::vector<double> teamSeconds;
        ClassSeconds offered{};
        ClassSeconds served{};
        double busy = 0, completed = 0, inTime = 0, admitted = 0, singleQueue = 0, selectiveQueue = 0, digests = 0;
    };

    void step();
    void arrive();
    void exchangeDigests();
    void startJobs();
    void finish(const Job &job);
    double uniform();
    std::size_t pick(const std::vector<double> &weights);

    Options options_;
    Random random_{1};
    TimePoint now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<double> hostWeights_;
    std::vector<double> teamWeights_;
    std::vector<TimePoint> engineFreeAt_;
    std::deque<Message> messages_;
    std::deque<double> pastWork_; ///< Work of the engines as hosts learn of it, 20 ms late.
    double singleQueueWork_ = 0; ///< Seconds of work in the single queue.
    double selectiveQueueWork_ = 0;
    double due_ = 0; ///< Part of the next arrival that has passed.
    Tally tally_;
};

} // namespace Lovageloft

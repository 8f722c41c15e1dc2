#include "decision/engine_load.h"

#include <algorithm>

namespace Lovageloft
{

namespace
{

/// Maximum records kept for an engine that has stopped reporting; enough for several seconds of short requests.
constexpr std::size_t maxSentRecords = 1024;

} // namespace

void EngineLoad::applyReport(TimePoint measuredAt, double backlog)
{
    if (measuredAt <= measuredAt_) {
        return;
    }
    measuredAt_ = measuredAt;
    drainedTo_ = measuredAt;
    backlog_ = std::max(0.0, backlog);
    while (!sentSinceReport_.empty() && sentSinceReport_.front().at <= measuredAt) {
        sentSinceReport_.pop_front();
    }
    for (const Sent &sent : sentSinceReport_) {
        drainTo(sent.at);
        backlog_ += sent.work;
    }
}

void EngineLoad::addDispatched(TimePoint now, double work)
{
    drainTo(now);
    backlog_ += work;
    if (sentSinceReport_.size() == maxSentRecords) {
        sentSinceReport_.pop_front();
    }
    sentSinceReport_.push_back({.at = now, .work = work});
}

std::size_t EngineLoad::sentSinceReport() const
{
    return sentSinceReport_.size();
}

void EngineLoad::clear()
{
    sentSinceReport_.clear();
    backlog_ = 0;
}

double EngineLoad::queueWait(TimePoint now) const
{
    return std::max(0.0, backlog_ - std::max(0.0, toSeconds(now - drainedTo_)));
}

void EngineLoad::drainTo(TimePoint time)
{
    backlog_ = queueWait(time);
    drainedTo_ = std::max(drainedTo_, time);
}

} // namespace Lovageloft

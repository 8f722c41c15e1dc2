#include "tests/overload/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Lovageloft
{

namespace
{

constexpr Duration tick = std::chrono::milliseconds(1);
constexpr std::size_t engines = 90;
constexpr double meanSeconds = 0.06;
constexpr double patience = 0.5; ///< Seconds until the deadline.
constexpr std::size_t viewDelayTicks = 20;
constexpr std::uint64_t service = 7;
const std::vector<double> classWeights{0.2, 0.3, 0.5};

} // namespace

FleetModel::Host::Host(std::size_t index)
    : demand(std::to_string(index))
    , admission(demand, index)
    , schedule(index)
{
}

FleetModel::FleetModel(const Options &options)
    : options_(options)
    , engineFreeAt_(engines, now_)
{
    for (std::size_t i = 0; i < options.hosts; ++i) {
        Host &host = *hosts_.emplace_back(std::make_unique<Host>(i));
        host.demand.setHosts(options.hosts);
        host.admission.own().setHosts(options.hosts);
        host.schedule.setHosts(options.hosts);
        hostWeights_.push_back(1 + static_cast<double>(i % 4));
    }
    for (std::size_t i = 0; i < options.teams; ++i) {
        teamWeights_.push_back(1 / (1 + static_cast<double>(i)));
    }
}

double FleetModel::uniform()
{
    return static_cast<double>(randomBelow(random_, 1 << 20)) / (1 << 20);
}

std::size_t FleetModel::pick(const std::vector<double> &weights)
{
    double left = uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t i = 0;
    while (i + 1 < weights.size() && left >= weights[i]) {
        left -= weights[i++];
    }
    return i;
}

FleetModel::Result FleetModel::run(Duration warmUp, Duration measured)
{
    tally_.teamSeconds.resize(options_.teams);
    for (const TimePoint end = now_ + warmUp; now_ < end;) {
        step();
    }
    tally_ = {.teamSeconds = std::vector<double>(options_.teams)};
    const TimePoint start = now_;
    while (now_ < start + measured) {
        if (now_ == start + std::chrono::seconds(3)) {
            for (std::size_t i = 0; i < static_cast<std::size_t>(options_.killedPart * static_cast<double>(hosts_.size())); ++i) {
                hosts_[i]->isAlive = false;
                hostWeights_[i] = 0;
            }
        }
        step();
    }
    const double seconds = toSeconds(measured);
    Result result{.utilisation = tally_.busy / (seconds * engines),
                  .ofSingleQueue = tally_.inTime / tally_.singleQueue,
                  .ofSelectiveQueue = tally_.inTime / tally_.selectiveQueue,
                  .digestRate = tally_.digests / seconds,
                  .latePart = 1 - tally_.inTime / tally_.completed};
    std::vector<double> demands = teamWeights_;
    const double weights = std::accumulate(demands.begin(), demands.end(), 0.0);
    std::for_each(demands.begin(), demands.end(), [this, weights](double &demand) { demand *= options_.load * engines / weights; });
    const double share = maxMinShare(demands, engines);
    double worst = 1e9;
    double sum = 0;
    std::size_t held = 0;
    for (std::size_t i = 0; i < options_.teams; ++i) {
        if (demands[i] > share) {
            worst = std::min(worst, tally_.teamSeconds[i]);
            sum += tally_.teamSeconds[i];
            ++held;
        }
    }
    result.fairness = worst * static_cast<double>(held) / sum;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        result.servedPart[i] = tally_.served[i] / tally_.offered[i];
    }
    return result;
}

void FleetModel::step()
{
    now_ += tick;
    double work = 0;
    for (const TimePoint freeAt : engineFreeAt_) {
        const double busy = toSeconds(std::max(freeAt - now_, Duration::zero()));
        work += busy;
        tally_.busy += std::min(busy, toSeconds(tick));
    }
    pastWork_.push_back(work);
    if (pastWork_.size() > viewDelayTicks) {
        pastWork_.pop_front();
    }
    singleQueueWork_ = std::max(singleQueueWork_ - engines * toSeconds(tick), 0.0);
    selectiveQueueWork_ = std::max(selectiveQueueWork_ - engines * toSeconds(tick), 0.0);
    arrive();
    startJobs();
    exchangeDigests();
}

void FleetModel::arrive()
{
    // Exponential gaps: arrivals are a Poisson process.
    for (due_ += toSeconds(tick); due_ > 0; due_ += std::log(1 - uniform()) * meanSeconds / (options_.load * engines)) {
        const double seconds = meanSeconds * (0.5 + uniform());
        Job job{.request = {.service = service,
                            .priority = pick(classWeights),
                            .team = 100 + pick(teamWeights_),
                            .engineSeconds = seconds,
                            .remaining = fromSeconds(patience),
                            .serviceTime = fromSeconds(seconds)},
                .engineSeconds = seconds,
                .queuedAt = now_,
                .deadline = now_ + fromSeconds(patience)};
        tally_.offered[job.request.priority] += 1;
        if (singleQueueWork_ / engines + meanSeconds <= patience) {
            singleQueueWork_ += seconds;
            tally_.singleQueue += 1;
        }
        if (selectiveQueueWork_ / engines + seconds <= patience) {
            selectiveQueueWork_ += seconds;
            tally_.selectiveQueue += 1;
        }
        Host &host = *hosts_[pick(hostWeights_)];
        host.admission.setEngines(service, engines, pastWork_.front());
        if (!host.admission.decide(job.request, now_).refusal) {
            tally_.admitted += 1;
            host.admission.own().onQueued(job.request, now_);
            host.queue.push(job);
        }
    }
}

void FleetModel::startJobs()
{
    std::vector<double> queued;
    for (const auto &host : hosts_) {
        queued.push_back(host->isAlive ? static_cast<double>(host->queue.size()) : 0);
    }
    for (TimePoint &freeAt : engineFreeAt_) {
        while (freeAt <= now_ + fromSeconds(meanSeconds / 2)) {
            const std::size_t chosen = pick(queued);
            if (queued[chosen] < 1) {
                break;
            }
            queued[chosen] -= 1;
            Host &host = *hosts_[chosen];
            const Job job = host.queue.top();
            host.queue.pop();
            host.admission.own().onLeft(job.request, job.queuedAt, now_);
            const TimePoint end = std::max(freeAt, now_) + fromSeconds(job.engineSeconds);
            tally_.completed += 1;
            if (end <= job.deadline) {
                freeAt = end;
                finish(job);
            }
        }
    }
}

void FleetModel::finish(const Job &job)
{
    tally_.inTime += 1;
    tally_.served[job.request.priority] += 1;
    tally_.teamSeconds[job.request.team - 100] += job.engineSeconds;
}

void FleetModel::exchangeDigests()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        Host &host = *hosts_[i];
        const double backlog = host.admission.own().queuedSeconds();
        if (!host.isAlive || !host.schedule.isDue(backlog, host.admission.isActive(now_), now_)) {
            continue;
        }
        host.schedule.onSent(now_);
        messages_.push_back({.at = now_ + options_.delay, .from = i, .digest = host.admission.own().digest(now_)});
        tally_.digests += 1;
    }
    for (; !messages_.empty() && messages_.front().at <= now_; messages_.pop_front()) {
        const Message &message = messages_.front();
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (i != message.from && hosts_[i]->isAlive && uniform() >= options_.lostPart) {
                hosts_[i]->demand.merge(std::to_string(message.from), message.digest, now_);
            }
        }
    }
}

} // namespace Lovageloft

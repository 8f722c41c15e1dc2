#include "servers/dispatcher.h"

#include <algorithm>
#include <future>
#include <utility>

#include "core/digest.h"

namespace Lovageloft
{

namespace
{

constexpr std::chrono::milliseconds longestWait{100};
/// Messages about a connection's request that may be under way at once: its first token, its end, a cancel and one to spare.
constexpr std::size_t notesPerConnection = 4;
/// Room for reports of engines.
constexpr std::size_t reportRoom = 4'096;

std::size_t ringSize(const Settings &settings)
{
    // What must not be lost has room of its own behind the limit for new requests: a lost end would hold a window's place for ever.
    return static_cast<std::size_t>(settings.ringCapacity) + static_cast<std::size_t>(settings.callerThreads) * notesPerConnection + reportRoom;
}

QueueLimits limitsOf(const Settings &settings)
{
    QueueLimits limits;
    limits.maxWait = std::chrono::milliseconds(settings.queueDeadline);
    return limits;
}

std::uint64_t seedOf(const std::string &hex)
{
    return std::stoull(hex, nullptr, 16);
}

} // namespace

void PendingDispatch::decide(DispatchOutcome outcome)
{
    const std::lock_guard lock(mutex_);
    outcome_ = std::move(outcome);
    decided_.notify_one();
}

std::optional<DispatchOutcome> PendingDispatch::wait(Duration timeout)
{
    std::unique_lock lock(mutex_);
    decided_.wait_for(lock, timeout, [this] { return outcome_.has_value(); });
    return outcome_;
}

Dispatcher::Dispatcher(const Settings &settings, const ConfigurationService &configuration)
    : configuration_(configuration)
    , submissionLimit_(static_cast<std::size_t>(settings.ringCapacity))
    , ring_(ringSize(settings))
    , scheduler_(limitsOf(settings))
    , random_(seedOf(randomHex(sizeof(std::uint64_t))))
    , state_(std::make_shared<ConfigurationState>())
    , thread_([this] { run(); })
{
}

Dispatcher::~Dispatcher()
{
    ring_.close();
    thread_.join();
}

std::shared_ptr<PendingDispatch> Dispatcher::submit(SchedulerRequest request, RequestId &id)
{
    id = RequestId{++lastId_};
    request.id = id;
    auto pending = std::make_shared<PendingDispatch>();
    if (ring_.size() >= submissionLimit_ || !ring_.tryPush(Submission{std::move(request), pending})) {
        return nullptr;
    }
    return pending;
}

void Dispatcher::cancel(RequestId id)
{
    post([this, id](RequestScheduler &scheduler) {
        const TimePoint now = BootClock::now();
        scheduler.cancel(id, now);
        // It may have been assigned just before.
        scheduler.onEnded(id, DispatchResult::Cancelled, now);
        pending_.erase(id);
    });
}

void Dispatcher::onFirstToken(RequestId id, std::optional<std::uint32_t> cachedTokens)
{
    post([id, cachedTokens, now = BootClock::now()](RequestScheduler &scheduler) { scheduler.onFirstToken(id, cachedTokens, now); });
}

void Dispatcher::onEnded(RequestId id, DispatchResult end)
{
    post([id, end, now = BootClock::now()](RequestScheduler &scheduler) { scheduler.onEnded(id, end, now); });
}

void Dispatcher::onEngineSeen(const std::string &engine, std::uint64_t incarnation, const std::string &weightsVersion)
{
    post([this, engine, incarnation, weightsVersion](RequestScheduler &) {
        EngineSeen &seen = seen_[engine];
        if (seen.incarnation == incarnation && seen.weightsVersion == weightsVersion) {
            return;
        }
        seen = {incarnation, weightsVersion};
        updateEngines();
    });
}

void Dispatcher::post(std::function<void(RequestScheduler &)> task)
{
    ring_.tryPush(Task(std::move(task)));
}

bool Dispatcher::inspect(const std::function<void(const RequestScheduler &)> &task)
{
    auto ran = std::make_shared<std::promise<void>>();
    auto isRun = ran->get_future();
    const bool isPosted = ring_.tryPush(Task([&task, ran](RequestScheduler &scheduler) {
        task(scheduler);
        ran->set_value();
    }));
    if (!isPosted) {
        return false;
    }
    // A task that the closing ring drops breaks its promise, which ends the wait too.
    isRun.wait();
    return true;
}

Duration Dispatcher::waitTime(TimePoint now) const
{
    const auto deadline = scheduler_.nextDeadline();
    if (!deadline) {
        return longestWait;
    }
    return std::clamp<Duration>(*deadline - now, Duration::zero(), longestWait);
}

void Dispatcher::run()
{
    while (!ring_.isClosed()) {
        auto message = ring_.pop(waitTime(BootClock::now()));
        const TimePoint now = BootClock::now();
        takeConfiguration(now);
        if (message) {
            if (auto *submission = std::get_if<Submission>(&*message)) {
                handle(*submission, now);
            } else {
                std::get<Task> (*message)(scheduler_);
            }
        }
        for (const SchedulerOutcome &outcome : scheduler_.decide(now, random_)) {
            settle(outcome);
        }
    }
}

void Dispatcher::handle(Submission &submission, TimePoint now)
{
    const RequestId id = submission.request.id;
    pending_.emplace(id, std::move(submission.pending));
    if (auto refusal = scheduler_.submit(std::move(submission.request), now)) {
        settle(std::move(*refusal));
    }
}

void Dispatcher::settle(const SchedulerOutcome &outcome)
{
    const RequestId id = std::visit([](const auto &item) { return item.id; }, outcome);
    const auto entry = pending_.find(id);
    if (entry == pending_.end()) {
        return;
    }
    if (const auto *assignment = std::get_if<SchedulerAssignment>(&outcome)) {
        const auto target = state_->targets().find(assignment->engine);
        const auto address = target == state_->targets().end() ? std::nullopt : parseHostAddress(target->second.address);
        entry->second->decide(Assignment{id, assignment->engine, address.value_or(HostAddress{})});
    } else {
        const auto &refusal = std::get<SchedulerRefusal>(outcome);
        entry->second->decide(Refusal{refusal.reason, RunState::NotRun, refusal.retryAfter});
    }
    pending_.erase(entry);
}

void Dispatcher::takeConfiguration(TimePoint now)
{
    auto current = configuration_.state();
    if (current == state_) {
        return;
    }
    const auto before = std::exchange(state_, std::move(current));
    withdrawKeys(*before, *state_, now);
    double rates = 0;
    for (const auto &[name, team] : state_->teams()) {
        rates += team.rate;
    }
    for (const auto &[name, team] : state_->teams()) {
        if (rates > 0 && team.rate > 0) {
            scheduler_.setTeamWeight(name, team.rate * static_cast<double>(state_->teams().size()) / rates);
        }
    }
    scheduler_.setHostCount(std::max<std::size_t>(1, state_->hosts().size()));
    updateEngines();
}

void Dispatcher::withdrawKeys(const ConfigurationState &before, const ConfigurationState &after, TimePoint now)
{
    for (const auto &[name, team] : before.teams()) {
        const auto kept = after.teams().find(name);
        for (const KeyDigest &key : team.keys) {
            const bool isKept = kept != after.teams().end() && std::find(kept->second.keys.begin(), kept->second.keys.end(), key) != kept->second.keys.end();
            if (isKept) {
                continue;
            }
            for (const SchedulerOutcome &outcome : scheduler_.withdrawKey(name, key.id, now)) {
                settle(outcome);
            }
        }
    }
}

void Dispatcher::updateEngines()
{
    std::vector<SchedulerEngine> engines;
    for (const auto &[name, target] : state_->targets()) {
        if (target.kind != TargetKind::Engine) {
            continue;
        }
        const auto model = state_->models().find(target.model);
        const EngineSeen seen = seen_[name];
        SchedulerEngine engine;
        engine.name = name;
        engine.model = target.model;
        engine.weightsVersion = !seen.weightsVersion.empty() || model == state_->models().end() ? seen.weightsVersion : model->second.weightsVersion;
        engine.incarnation = seen.incarnation;
        engine.prefillTokensPerSecond = target.prefillRate;
        engine.batchLimit = static_cast<std::uint32_t>(target.batchLimit);
        engine.isServing = target.state == TargetState::Serving;
        engines.push_back(std::move(engine));
    }
    scheduler_.setEngines(engines);
}

} // namespace Lovageloft

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/bounded_ring.h"
#include "core/random.h"
#include "core/settings.h"
#include "decision/request_scheduler.h"
#include "servers/configuration_service.h"
#include "servers/refusal.h"

namespace Lovageloft
{

/// The engine that a request goes to.
struct Assignment
{
    RequestId id{}; ///< For `onFirstToken` and `onEnded`.
    std::string engine;
    HostAddress address;
};

using DispatchOutcome = std::variant<Assignment, Refusal>;

/// One attempt of a request on its way through the decide duty: written by that, waited for by the caller's connection.
class PendingDispatch
{
public:
    void decide(DispatchOutcome outcome);

    /// Waits for the outcome; nothing if there is none after `timeout`.
    std::optional<DispatchOutcome> wait(Duration timeout);

private:
    std::mutex mutex_;
    std::condition_variable decided_;
    std::optional<DispatchOutcome> outcome_;
};

/// The decide duty: one thread that owns the scheduler. All else reaches it through a bounded ring.
class Dispatcher
{
public:
    Dispatcher(const Settings &settings, const ConfigurationService &configuration);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Hands a request to the decide duty and gives it an id; null if its ring is full. If it was assigned, `onEnded` must
    /// follow; if the caller leaves before the outcome, `cancel`.
    std::shared_ptr<PendingDispatch> submit(SchedulerRequest request, RequestId &id);

    void cancel(RequestId id);
    void onFirstToken(RequestId id, std::optional<std::uint32_t> cachedTokens);
    void onEnded(RequestId id, DispatchResult end);

    /// What an engine says of itself; `weightsVersion` is empty where it does not say.
    void onEngineSeen(const std::string &engine, std::uint64_t incarnation, const std::string &weightsVersion);

    /// Runs on the decide duty, in order with all else. Dropped if the ring is full.
    void post(std::function<void(RequestScheduler &)> task);

    /// As `post`, and waits until it ran; false if it could not.
    bool inspect(const std::function<void(const RequestScheduler &)> &task);

private:
    struct Submission
    {
        SchedulerRequest request;
        std::shared_ptr<PendingDispatch> pending;
    };

    /// What an engine said last.
    struct EngineSeen
    {
        std::uint64_t incarnation = 0;
        std::string weightsVersion;
    };

    using Task = std::function<void(RequestScheduler &)>;
    using Message = std::variant<Submission, Task>;

    void run();
    void handle(Submission &submission, TimePoint now);
    void settle(const SchedulerOutcome &outcome);
    void takeConfiguration(TimePoint now);
    void withdrawKeys(const ConfigurationState &before, const ConfigurationState &after, TimePoint now);
    void updateEngines();
    Duration waitTime(TimePoint now) const;

    const ConfigurationService &configuration_;
    std::size_t submissionLimit_;
    BoundedRing<Message> ring_;
    std::atomic<std::uint64_t> lastId_{0};
    RequestScheduler scheduler_;
    Random random_;
    std::shared_ptr<const ConfigurationState> state_;
    std::map<std::string, EngineSeen, std::less<>> seen_;
    std::unordered_map<RequestId, std::shared_ptr<PendingDispatch>> pending_;
    std::thread thread_;
};

} // namespace Lovageloft

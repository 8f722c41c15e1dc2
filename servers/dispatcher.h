#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/settings.h"
#include "servers/configuration_service.h"
#include "servers/refusal.h"

namespace Lovageloft
{

/// A request that waits for an engine.
struct DispatchRequest
{
    std::string id;
    std::string team;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    TimePoint deadline;
    std::vector<std::string> excluded; ///< Engines that failed this request already.
};

/// The engine that a request goes to.
struct Assignment
{
    std::string engine;
    HostAddress address;
};

/// One request on its way through the decide duty: written by that, waited for by the caller's connection.
class PendingDispatch
{
public:
    explicit PendingDispatch(DispatchRequest request);

    const DispatchRequest &request() const;

    void assign(Assignment assignment);
    void refuse(Refusal refusal);

    /// Waits for the outcome; nothing if there is none after `timeout`.
    std::optional<std::variant<Assignment, Refusal>> wait(Duration timeout);

private:
    const DispatchRequest request_;
    std::mutex mutex_;
    std::condition_variable decided_;
    std::optional<std::variant<Assignment, Refusal>> outcome_;
};

/// The decide duty: one thread that admits, queues and places all requests of this host.
class Dispatcher
{
public:
    Dispatcher(const Settings &settings, const ConfigurationService &configuration);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Hands a request to the decide duty; false if its ring is full.
    bool submit(std::shared_ptr<PendingDispatch> pending);

private:
    void run();
    void decide(PendingDispatch &pending);

    const ConfigurationService &configuration_;
    BoundedRing<std::shared_ptr<PendingDispatch>> ring_;
    std::size_t turn_ = 0;
    std::thread thread_;
};

} // namespace Lovageloft

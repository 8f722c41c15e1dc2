#include "servers/dispatcher.h"

#include <algorithm>
#include <utility>

namespace Lovageloft
{

namespace
{

constexpr std::chrono::milliseconds idleWait{100};

} // namespace

PendingDispatch::PendingDispatch(DispatchRequest request)
    : request_(std::move(request))
{
}

const DispatchRequest &PendingDispatch::request() const
{
    return request_;
}

void PendingDispatch::assign(Assignment assignment)
{
    const std::lock_guard lock(mutex_);
    outcome_ = std::move(assignment);
    decided_.notify_one();
}

void PendingDispatch::refuse(Refusal refusal)
{
    const std::lock_guard lock(mutex_);
    outcome_ = std::move(refusal);
    decided_.notify_one();
}

std::optional<std::variant<Assignment, Refusal>> PendingDispatch::wait(Duration timeout)
{
    std::unique_lock lock(mutex_);
    decided_.wait_for(lock, timeout, [this] { return outcome_.has_value(); });
    return outcome_;
}

Dispatcher::Dispatcher(const Settings &settings, const ConfigurationService &configuration)
    : configuration_(configuration)
    , ring_(static_cast<std::size_t>(settings.ringCapacity))
    , thread_([this] { run(); })
{
}

Dispatcher::~Dispatcher()
{
    ring_.close();
    thread_.join();
}

bool Dispatcher::submit(std::shared_ptr<PendingDispatch> pending)
{
    return ring_.tryPush(std::move(pending));
}

void Dispatcher::run()
{
    while (!ring_.isClosed()) {
        if (const auto pending = ring_.pop(idleWait)) {
            decide(**pending);
        }
    }
}

void Dispatcher::decide(PendingDispatch &pending)
{
    const DispatchRequest &request = pending.request();
    const auto state = configuration_.state();
    std::vector<const TargetConfiguration *> engines;
    for (const auto &[name, target] : state->targets()) {
        const bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), name) != request.excluded.end();
        if (target.kind != TargetKind::Engine || target.state != TargetState::Serving || target.model != request.model || isExcluded) {
            continue;
        }
        engines.push_back(&target);
    }
    if (engines.empty()) {
        pending.refuse({{ResultCode::NoTarget, {}}, RunState::NotRun, std::chrono::seconds(1)});
        return;
    }
    const TargetConfiguration &engine = *engines[turn_++ % engines.size()];
    pending.assign({engine.name, parseHostAddress(engine.address).value_or(HostAddress{})});
}

} // namespace Lovageloft

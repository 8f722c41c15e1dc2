#include "servers/claim_service.h"

#include <utility>

#include "core/digest.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t nonceBytes = 16;
/// Pause of the recording when nothing is due. The answer has gone to the caller by then; only another host's retry waits for it.
constexpr std::chrono::milliseconds recordPause{20};

} // namespace

ClaimService::ClaimService(Store &store, std::string prefix, ClaimTable &table, AskHolder askHolder)
    : store_(store)
    , prefix_(std::move(prefix))
    , table_(table)
    , lease_(table.options())
    , recorder_(table, store)
    , askHolder_(std::move(askHolder))
    , thread_([this] { record(); })
{
}

ClaimService::~ClaimService()
{
    isStopping_ = true;
    thread_.join();
}

void ClaimService::record()
{
    while (!isStopping_) {
        if (!recorder_.step(BootClock::now())) {
            std::this_thread::sleep_for(recordPause);
        }
    }
}

ClaimOutcome ClaimService::run(const ClaimCall &call, const ClaimActions &actions)
{
    ClaimRunner runner(table_, lease_, store_, prefix_, call, randomHex(nonceBytes));
    ClaimStep step = ClaimStep::Continue;
    while (true) {
        switch (step) {
        case ClaimStep::Continue:
            step = runner.step(BootClock::now());
            break;
        case ClaimStep::AskHolder: {
            const auto reply = askHolder_(runner.query());
            step = reply ? runner.onHolderReply(*reply, BootClock::now()) : runner.onHolderTimeout(BootClock::now());
            break;
        }
        case ClaimStep::Send:
        case ClaimStep::Wait:
            step = send(runner, actions);
            break;
        case ClaimStep::Answer:
            return {runner.answer(), {}, RunState::MayHaveRun, {}};
        case ClaimStep::Refuse:
            return {std::nullopt, runner.reason(), runner.runState(), runner.retryAfter()};
        }
    }
}

ClaimStep ClaimService::send(ClaimRunner &runner, const ClaimActions &actions)
{
    Reason reason;
    if (!actions.connect(reason) || !actions.mayRun(reason)) {
        return runner.cancel(reason, BootClock::now());
    }
    if (!runner.beginSend(BootClock::now())) {
        return ClaimStep::Refuse;
    }
    auto answer = actions.send(reason);
    return answer ? runner.onAnswer(std::move(*answer)) : runner.onLost(reason);
}

} // namespace Lovageloft

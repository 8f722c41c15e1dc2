#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "decision/request_scheduler.h"
#include "gateway/cache_plan.h"
#include "gateway/event_splitter.h"
#include "gateway/protocol.h"
#include "gateway/request_intake.h"
#include "gateway/request_log.h"
#include "gateway/target_connection.h"

namespace Lovageloft
{

class CallerSession;
class Gateway;

/// One request on its way: from the caller's complete request over the queue and one or more targets to the end of the answer.
/// Both sides are in one place, on one thread, so that a caller who leaves, a target that breaks off and a deadline are each
/// one call away from the other side.
///
/// What the request is comes from its intake; then its team is charged and it is queued.
class RoutedRequest final : public std::enable_shared_from_this<RoutedRequest>, private ExchangeEvents
{
public:
    RoutedRequest(Gateway &gateway, std::shared_ptr<CallerSession> session, HttpHead &&head, std::string &&body);

    /// Starts it, or lets it wait while this host has no configuration yet.
    void begin();
    void beginNow();

    /// The caller closed its connection. Work that may be repeated and streams are cancelled; a call that must run once is left
    /// to end, as breaking it off leaves open whether it took effect.
    void onCallerDisconnected();

    /// The caller has taken all that was sent.
    void onCallerBufferEmpty();

    /// What the scheduler decided.
    void onAssigned(const SchedulerAssignment &assignment);
    void onRefused(const SchedulerRefusal &refusal);

    RequestId schedulerId() const
    {
        return schedulerId_;
    }

    /// Whether a target may be at work on it.
    bool isRunning() const;

private:
    enum class Phase : std::uint8_t
    {
        Filtering, ///< Also while its team is being charged.
        Queued,
        Sent, ///< To a target that has not answered yet.
        Answering,
        Done,
    };

    /// A whole answer.
    struct HeldAnswer
    {
        HttpHead head;
        std::string body;
    };

    void charge();
    void admit();

    void enqueue();
    SchedulerRequest schedulerRequest() const;
    void send(const Target &target);

    void onAnswerHead(HttpHead &&head, const AnswerFacts &facts) override;
    void onAnswerBody(std::string_view bytes) override;
    void onAnswerEnd() override;
    void onTargetLost(TargetLoss loss, std::string_view why) override;

    void onNotExecuted();
    void onEvents(std::string_view events);
    void relay(std::string_view bytes);
    void endDispatch(DispatchResult end);
    bool isRetryable() const;
    bool isQuarantined() const;
    void failQuarantined();
    void tryElsewhere();
    void startAnswer(std::optional<std::size_t> bodyBytes);
    void relayHeld();
    void onTimer();
    void armTimer();
    Duration stallTime() const;
    void fail(const Reason &reason, Duration retryAfter = {});
    void answerFailure(const Reason &reason, Duration retryAfter);
    void breakOff(std::string_view why);
    void finish(std::string_view outcome, int status);
    Duration timeLeft(TimePoint now) const;

    Gateway &gateway_;
    std::shared_ptr<CallerSession> session_; ///< Null once the caller is gone.
    HttpHead head_;
    std::string body_;
    RequestIntake intake_;
    RequestLog log_;
    RequestFingerprint fingerprint_{};
    std::uint64_t targetStart_ = 0; ///< Digest of the name and start of the target that has it.
    double charged_ = 0; ///< Tokens taken from the team's rate.
    Phase phase_ = Phase::Filtering;
    TimePoint startedAt_;
    TimePoint limit_; ///< When the caller must have its final answer.
    TimePoint sentAt_;
    TimePoint stallAt_; ///< When the target's silence is to be looked at.
    RequestId schedulerId_{};
    boost::asio::steady_timer timer_;
    std::shared_ptr<TargetConnection> connection_;
    std::string targetId_;
    std::string holder_; ///< Another engine that is believed to hold more of the prompt.
    std::uint32_t expectedCached_ = 0; ///< Prompt tokens that the target is believed to hold.
    std::vector<std::string> failedTargets_;
    bool comesLate_ = false; ///< Its first token is expected after the route's latency target.
    int runs_ = 0; ///< Targets that may have run it.
    int sends_ = 0; ///< Targets that got it, also those that declined.
    int unreached_ = 0; ///< Targets that could not be reached.
    bool hasRun_ = false; ///< Some target may have run it.
    std::string held_; ///< Answer that is not passed on yet.
    HttpHead answerHead_;
    EventSplitter events_;
    AnswerFacts notExecuted_;
    bool isNotExecuted_ = false; ///< The answer being read says that the request did not run.
    std::optional<HeldAnswer> fallback_; ///< A target's failure, passed on if no other target does better.
    bool isFirstEventNoted_ = false;
    bool isReadingPaused_ = false;
    int lastStatus_ = 0;
    bool isAnswerStarted_ = false; ///< The caller has the head of an answer.
    bool isAnswerKept_ = false; ///< The answer being read is passed on.
    std::size_t relayedBytes_ = 0;
    std::optional<Duration> queued_; ///< Until it was first sent to a target.
    std::optional<Duration> firstByte_;
};

} // namespace Lovageloft

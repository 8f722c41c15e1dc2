#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "decision/request_scheduler.h"
#include "gateway/cache_plan.h"
#include "gateway/event_splitter.h"
#include "gateway/protocol.h"
#include "gateway/request_intake.h"
#include "gateway/request_log.h"
#include "gateway/rollout_exposure.h"
#include "gateway/stream_binding.h"
#include "gateway/target_connection.h"

namespace Lovageloft
{

class CallerSession;
class Gateway;

/// Handles one request from the caller's complete message to the end of the response: checks it, queues it, sends it to one or more
/// targets and relays the response. The caller's side and the target's side are in one object on one thread, so that a disconnected
/// caller, a lost target and a passed deadline reach the other side by a plain function call.
///
/// RequestIntake parses the request and authenticates its caller; then its team is charged and the request is queued.
class RoutedRequest final : public std::enable_shared_from_this<RoutedRequest>, private ExchangeEvents
{
public:
    RoutedRequest(Gateway &gateway, std::shared_ptr<CallerSession> session, HttpHead &&head, std::string &&body);

    /// Starts processing. While this host has no configuration yet, processing is delayed; see Gateway::beginWhenConfigured.
    void begin();
    void beginNow();

    /// The caller closed its connection. Idempotent requests and streams are cancelled; a non-idempotent call that a target may be running
    /// is left to complete, because after an abort nobody would know whether it took effect.
    void onCallerDisconnected();

    /// All bytes sent to the caller have left the send buffer.
    void onCallerBufferEmpty();

    /// The scheduler's decision.
    void onAssigned(const SchedulerAssignment &assignment);
    void onRefused(const SchedulerRefusal &refusal);

    /// Tries the request elsewhere if it is in flight on a direct connection over a lost link and may be repeated.
    void retryIfLinkIsLost();

    /// Ends the request if one of its features is quarantined and it is queued, or its target has not begun to answer. A non-idempotent call that a target
    /// may be running is left to complete.
    void endIfQuarantined();

    /// Sets an earlier deadline for a request that has been admitted.
    void limitDeadline(TimePoint deadline);

    RequestId schedulerId() const
    {
        return schedulerId_;
    }

    /// Whether a target may be processing the request.
    bool isRunning() const
    {
        return phase_ == Phase::Sent || phase_ == Phase::Answering;
    }

    /// Service that the request was routed to, and the last target chosen for it; empty before.
    const std::string &service() const
    {
        return intake_.service();
    }

    const std::string &targetId() const
    {
        return targetId_;
    }

private:
    enum class Phase : std::uint8_t
    {
        Accepting, ///< The request waits for the first configuration, is checked by the intake, or its team is being charged.
        Queued,
        Sent, ///< A target has the request and has not responded yet.
        Answering, ///< The target's response is being read.
        Done,
    };

    /// A complete response.
    struct BufferedAnswer
    {
        HttpHead head;
        std::string body;
    };

    void beginUnlessQuarantined();
    void findStreamVersion();
    void charge();
    void refundUnusedTokens();
    void onCharged(double tokens, const TokenDecision &decision);
    void admit();

    void enqueue();
    SchedulerRequest schedulerRequest() const;
    bool send(const Target &target);

    void onRequestSent() override;
    void onAnswerHead(HttpHead &&head, const AnswerFacts &facts) override;
    void onAnswerBody(std::string_view bytes) override;
    void onAnswerEnd() override;
    void onTargetLost(TargetLoss loss, std::string_view why) override;

    void reportFirstToken();
    void noteSound();
    void onNotExecuted();
    void onEvents(std::string_view events);
    void relay(std::string_view bytes);
    std::string takeBuffered();
    void endDispatch(DispatchResult result);
    bool isRetryable() const;
    bool isQuarantined() const;
    bool failIfQuarantined();
    void leaveTarget(std::string_view why);
    void retryElsewhere();
    void endUnread();
    void startAnswer(std::optional<std::size_t> bodyBytes);
    void relayBuffered();
    void onTimer();
    void armTimer();
    void fail(const Reason &reason, Duration retryAfter = {});
    void answerFailure(const Reason &reason, Duration retryAfter);
    void abortRelay(std::string_view why);
    void finish(std::string_view outcome, int status);

    void closeConnection()
    {
        if (const auto connection = std::move(connection_)) {
            connection->abort();
        }
    }

    RequestFeature fingerprint() const
    {
        return features_.empty() ? RequestFeature{} : features_.front();
    }

    bool isOnDirectConnection() const
    {
        return connection_ != nullptr && connection_->relay().empty();
    }

    Duration timeLeft(TimePoint now) const
    {
        return deadline_ - now;
    }

    Gateway &gateway_;
    std::shared_ptr<CallerSession> session_; ///< Null after the caller disconnected or got its final response.
    HttpHead head_;
    std::shared_ptr<const std::string> body_; ///< Null once no target can get it any more.
    std::size_t bodyBytes_ = 0;
    RequestIntake intake_;
    RequestLog log_;
    RolloutExposure exposure_;
    StreamBinding binding_;
    std::vector<RequestFeature> features_; ///< By which requests that crash targets are told; the first is the whole request.
    std::uint64_t targetIncarnationDigest_ = 0; ///< Digest of the current target's id and incarnation.
    std::uint64_t tokenRequestId_ = 0; ///< For FleetLink::cancelTokens().
    double chargedTokens_ = 0; ///< Tokens consumed from the team's rate.
    std::string chargedBy_; ///< Home host that granted them; empty for this host's share.
    Phase phase_ = Phase::Accepting;
    TimePoint startedAt_;
    TimePoint deadline_; ///< When the caller must have its final response, or when an orphaned call is abandoned.
    TimePoint sentAt_;
    TimePoint linkCheckAt_; ///< When the link to a target that has not responded is next checked.
    TimePoint stallCheckAt_; ///< When a target that has not responded is next checked for a stall.
    RequestId schedulerId_{};
    boost::asio::steady_timer timer_;
    std::shared_ptr<TargetConnection> connection_;
    std::string targetId_;
    std::string relay_; ///< Host that relayed the connection on which the last answer began; empty if it was direct.
    std::string sentTo_; ///< Id of the target that the request was last sent to.
    std::int64_t sentIncarnation_ = 0; ///< Incarnation of the target that the request was last sent to.
    SchedulerAssignment assignment_; ///< The newest one.
    std::vector<std::string> failedTargets_;
    bool isExpectedLate_ = false; ///< The first token is expected after the route's latency target.
    int attempts_ = 0; ///< Sends that count against the route's maxAttempts: all but declined and unreachable ones.
    int sends_ = 0; ///< Targets that received the request, including those that declined it.
    int unreachableTargets_ = 0; ///< Targets that could not be reached.
    bool mayHaveRun_ = false; ///< An earlier target may have run the request; for the current one see isRunning().
    std::string bufferedBody_; ///< Part of the response body that has not been relayed yet.
    HttpHead answerHead_;
    EventSplitter events_;
    AnswerFacts notExecutedFacts_;
    bool isNotExecuted_ = false; ///< The response being read says that the request did not run.
    bool isOnlyAwaited_ = false; ///< The caller has left, and only whether the target rejects the request still matters.
    std::optional<BufferedAnswer> fallback_; ///< A target's error response, relayed if no other target succeeds.
    bool isFirstTokenReported_ = false;
    TimePoint firstTokenAt_;
    bool isSoundNoted_ = false; ///< The current target has got past where it would have crashed.
    bool isReadingPaused_ = false;
    int failureStatus_ = 0;
    bool isAnswerStarted_ = false; ///< The head of a response was sent to the caller.
    bool isAnswerRelayed_ = false; ///< The response being read is relayed to the caller.
    std::size_t relayedBytes_ = 0;
    std::optional<Duration> queueTime_; ///< From the start until the request was first sent to a target.
    std::optional<Duration> timeToFirstByte_;
};

} // namespace Lovageloft

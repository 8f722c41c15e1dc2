#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "tests/stand_ins/completion.h"
#include "tests/stand_ins/fault_plan.h"
#include "tests/stand_ins/prefix_cache.h"
#include "tests/stand_ins/stand_in_server.h"

namespace Lovageloft::StandIns
{

/// Parameters of a stand-in engine.
struct StandInEngineOptions
{
    std::uint16_t port = 0; ///< 0: a free one.
    std::string name = "engine";
    std::string model = "model";
    std::string weights = "1";
    Duration tokenDelay = std::chrono::milliseconds(1);
    Duration prefillPerToken{}; ///< Prompts are computed one after the other.
    std::size_t cacheBlocks = 1024;
    Duration loadLag{}; ///< Age of the reported load.
    bool checksFencing = false;
};

/// A fault of the response to a completion request. Counts of tokens are those sent before it.
struct StandInEngineFault
{
    std::optional<std::int64_t> dropAfterTokens; ///< Closes the connection within the response.
    std::optional<std::int64_t> malformedAfterTokens; ///< Sends an event that is not JSON, and ends the response.
    std::optional<std::int64_t> freezeAfterTokens; ///< Stops sending and keeps the connection open.
    bool isCrossed = false; ///< Responds with the id of another request.
    bool isRefused = false; ///< Responds with 503.
    bool hasNoDone = false; ///< Ends the stream correctly but without [DONE].
    Duration delay{}; ///< Time before the response begins.
};

/// A language-model engine as seen by the router, with OpenAI's public API, a model of a prefix cache,
/// load reports, cache events, orders, and faults on demand. The content is "tok0 tok1 ..." so that a caller
/// can tell whether an answer is complete and in order.
class StandInEngine
{
public:
    explicit StandInEngine(const StandInEngineOptions &options);

    const StandInServer &server() const;

private:
    struct Order
    {
        std::string kind;
        std::int64_t fencing = 0;
        std::string value;
    };

    struct Load
    {
        std::int64_t running = 0;
        std::int64_t waiting = 0;
        std::int64_t queuedPrefillTokens = 0;
        std::size_t usedBlocks = 0;
        std::int64_t eventSequence = 0;
    };

    struct TimedLoad
    {
        TimePoint time;
        Load load;
    };

    struct Record
    {
        std::int64_t started = 0;
        std::int64_t streaming = 0; ///< Streams that have sent their first tokens, also those that have ended.
        std::int64_t completed = 0;
        std::int64_t cancelled = 0;
        std::int64_t faulted = 0;
        bool sawAuthorization = false;
        std::map<std::string, std::int64_t> requests;
        std::vector<Order> orders;
    };

    enum class Outcome : std::uint8_t
    {
        Completed,
        Cancelled,
        Faulted,
    };

    void handle(Exchange &exchange);
    void recordStreaming();
    void complete(Exchange &exchange, bool isChat);
    Outcome answer(Exchange &exchange, const CompletionRequest &request, const StandInEngineFault &fault);
    Outcome stream(Exchange &exchange, const CompletionRequest &request, const CompletionUsage &usage, const StandInEngineFault &fault);
    Outcome sendWhole(Exchange &exchange, const CompletionRequest &request, const CompletionUsage &usage, const StandInEngineFault &fault);
    CompletionHeading makeHeading(const Exchange &exchange, const CompletionRequest &request, const StandInEngineFault &fault);
    bool prefill(const Exchange &exchange, std::int64_t tokens);
    void recordStart(const Exchange &exchange);
    void recordOutcome(Outcome outcome);
    void publishLoad();

    void reportLoad(Exchange &exchange);
    void reportCacheEvents(Exchange &exchange);
    void executeOrder(Exchange &exchange);
    void restart(Exchange &exchange);
    void planFault(Exchange &exchange);
    void reportRecord(Exchange &exchange);

    StandInEngineOptions options_;
    FaultPlan<StandInEngineFault> faults_;
    std::mutex mutex_;
    std::string incarnation_;
    std::string weights_;
    PrefixCache cache_;
    Load load_;
    std::deque<TimedLoad> publishedLoads_; ///< In ascending order of time; the first one is reported.
    TimePoint prefillFreeAt_;
    Record record_;
    std::int64_t lastFencing_ = 0;
    std::int64_t lastId_ = 0;
    StandInServer server_; ///< Last member, so that it stops before the others are destroyed.
};

} // namespace Lovageloft::StandIns

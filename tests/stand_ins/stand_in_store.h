#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include <Poco/JSON/Object.h>

#include "coordination/memory_store.h"
#include "core/clock.h"
#include "tests/stand_ins/json_body.h"
#include "tests/stand_ins/stand_in_server.h"

namespace Lovageloft::StandIns
{

/// How a stand-in store misbehaves until told otherwise.
struct StandInStoreFault
{
    Duration delay{}; ///< Waits before each call, and performs it even when the caller has given up by then.
    bool isDown = false; ///< Answers 503 as etcd does without a leader, and ends all watches.
    bool closesConnections = false; ///< Closes each connection instead of performing the call.
    bool isFrozen = false; ///< Takes calls and says nothing.
    Duration trickle{}; ///< Waits before each piece of an answer.
    std::size_t trickleBytes = 1; ///< Of such a piece.
    std::int64_t lostAnswers = 0; ///< So many writes are performed, and the connection closed without an answer.
};

/// The platform's key-value service as the router sees it: etcd v3's HTTP/JSON mapping over a MemoryStore, with
/// faults on demand. A txn may hold one comparison, of one key, that guards one write of that key; creation revisions
/// and versions can be compared with 0 only and stand in no answer. Range options beside the keys are ignored.
class StandInStore
{
public:
    /// Serves on `port`, or on a free one for 0; keeps `historyLimit` writes for watches.
    explicit StandInStore(std::uint16_t port = 0, std::size_t historyLimit = 4096);

    const StandInServer &server() const;

    void setFault(const StandInStoreFault &fault);

    /// All connections that exist now go silent for good, their watches too; new ones work. So does a stateful
    /// firewall that has lost track of them.
    void silenceOpenConnections();

    /// How often a kind of call has come: "range", "put", "txn", "deleterange", "watch", "grant", "keepalive",
    /// "revoke". A waiting watch counts as one.
    std::int64_t callCount(const std::string &kind) const;

private:
    struct Answer
    {
        int status = 200;
        std::string json;
    };

    void handle(Exchange &exchange);
    void handleCall(Exchange &exchange);
    void planFault(Exchange &exchange);
    void reportRecord(Exchange &exchange);

    void countCall(const Exchange &exchange, const std::string &kind);
    StandInStoreFault currentFault() const;
    bool showFault(Exchange &exchange, const StandInStoreFault &fault);
    bool takeLostAnswer();
    bool isSilenced(const Exchange &exchange) const;

    Answer range(const JsonBody &call);
    Answer put(const JsonBody &call);
    Answer deleteRange(const JsonBody &call);
    Answer txn(const JsonBody &call);
    Answer grantLease(const JsonBody &call);
    Answer keepLeaseAlive(const JsonBody &call);
    Answer revokeLease(const JsonBody &call);
    void watch(Exchange &exchange);
    bool mayWatchGoOn(const Exchange &exchange) const;

    StoreListReply entriesOf(const JsonBody &call);
    Poco::JSON::Object::Ptr rangeResult(const JsonBody &call);
    static Answer txnAnswer(bool isSuccess, std::int64_t revision, const std::string &kind, const Poco::JSON::Object::Ptr &response);

    MemoryStore memory_;
    mutable std::mutex mutex_;
    StandInStoreFault fault_;
    std::map<std::string, std::int64_t> callCounts_;
    std::set<std::string> connections_; // Addresses of the callers' ends.
    std::set<std::string> silencedConnections_;
    StandInServer server_; // Last, so that it stops before the rest goes.
};

} // namespace Lovageloft::StandIns

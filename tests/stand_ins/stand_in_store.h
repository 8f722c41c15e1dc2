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

/// Faults of a stand-in store, which last until they are replaced.
struct StandInStoreFault
{
    Duration delay{}; ///< Time before each call is performed, even if the caller has given up by then.
    bool isDown = false; ///< Responds with 503, as etcd does without a leader, and ends all watches.
    bool closesConnections = false; ///< Closes each connection instead of performing the call.
    bool isFrozen = false; ///< Accepts calls and sends nothing.
    Duration trickle{}; ///< Time before each piece of a response.
    std::size_t trickleBytes = 1; ///< Size of such a piece.
    std::int64_t lostAnswers = 0; ///< Number of writes that are performed without a response; the connection is closed.
};

/// The platform's key-value service as seen by the router: etcd v3's HTTP/JSON mapping of a MemoryStore, with
/// faults on demand. A txn may hold one comparison, of one key, that guards one write of that key; creation revisions
/// and versions can be compared with 0 only and are in no response. Range options other than the keys are ignored.
class StandInStore
{
public:
    /// Listens on `port`, 0 for any free one. Keeps `historyLimit` writes for watches.
    explicit StandInStore(std::uint16_t port = 0, std::size_t historyLimit = 4096);

    const StandInServer &server() const;

    void setFault(const StandInStoreFault &fault);

    /// Stops all traffic on the existing connections, also on those with watches; new ones work. The same happens when a stateful
    /// firewall loses its connection table.
    void silenceOpenConnections();

    /// Number of calls of a kind: "range", "put", "txn", "deleterange", "watch", "grant", "keepalive",
    /// "revoke". A pending watch counts as one.
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
    bool applyFault(Exchange &exchange, const StandInStoreFault &fault);
    bool consumeLostAnswer();
    bool isSilenced(const Exchange &exchange) const;

    Answer range(const JsonBody &call);
    Answer put(const JsonBody &call);
    Answer deleteRange(const JsonBody &call);
    Answer txn(const JsonBody &call);
    Answer grantLease(const JsonBody &call);
    Answer keepLeaseAlive(const JsonBody &call);
    Answer revokeLease(const JsonBody &call);
    void watch(Exchange &exchange);
    bool canContinueWatch(const Exchange &exchange) const;

    StoreListReply entriesOf(const JsonBody &call);
    Poco::JSON::Object::Ptr rangeResult(const JsonBody &call);
    static Answer txnAnswer(bool isSuccess, std::int64_t revision, const std::string &kind, const Poco::JSON::Object::Ptr &response);

    MemoryStore memory_;
    mutable std::mutex mutex_;
    StandInStoreFault fault_;
    std::map<std::string, std::int64_t> callCounts_;
    std::set<std::string> connections_; ///< Addresses of the callers.
    std::set<std::string> silencedConnections_;
    StandInServer server_; ///< Last member, so that it stops before the others are destroyed.
};

} // namespace Lovageloft::StandIns

#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration.h"
#include "coordination/share_ledger.h"
#include "core/metrics.h"
#include "servers/refusal.h"

namespace Lovageloft
{

/// How the ledger's messages leave this host. A reply may never come.
class ShareTransport
{
public:
    ShareTransport() = default;
    ShareTransport(const ShareTransport &) = delete;
    ShareTransport &operator=(const ShareTransport &) = delete;
    virtual ~ShareTransport() = default;

    virtual void ask(const DebitRequest &request) = 0;
    virtual void settle(const DebitSettlement &settlement) = 0;
};

/// The ledger of this host for its many threads: callers' connections charge and settle, the peer duty answers other homes,
/// the store watch brings versions. A connection waits for other homes at most for the ledger's gather limit.
class ShareService
{
public:
    /// `isAlone` tells a deployment of one host on its own store, which needs no list of hosts. With any other store a host that
    /// took itself for the only home while the list is empty would give each team its rate once a host.
    ShareService(std::string host, std::string incarnation, bool isAlone, Metrics &metrics);

    /// Must be called before the first charge. The transport must outlive this object's use.
    void setTransport(ShareTransport &transport);

    /// A charge for one request, to be settled whatever becomes of it.
    struct Charge
    {
        std::uint64_t id = 0;
        double tokens = 0;
    };

    /// Charges up to `tokens`, or says why not and when to come back.
    std::optional<Charge> charge(std::string_view team, double tokens, Refusal &refusal);

    /// Ends a charge at what was used in the end.
    void settle(const Charge &charge, double used);

    DebitReply onDebit(const DebitRequest &request);
    void onReply(const DebitReply &reply);
    void onSettlement(const DebitSettlement &settlement);

    void setConfiguration(std::int64_t version, const ConfigurationState &state);
    void onInForce(std::int64_t version);
    void setFreshUntil(TimePoint until);

    /// This host's own tokens of a team.
    double balance(std::string_view team);

private:
    struct Waiter
    {
        std::condition_variable decided;
        std::optional<ShareDecision> decision;
    };

    ShareDecision decide(std::unique_lock<std::mutex> &lock, std::string_view team, double tokens, std::uint64_t id);
    ShareDecision waitForAnswers(std::unique_lock<std::mutex> &lock, ShareDecision asked);
    void send(const ShareDecision &decision);

    std::string host_;
    bool isAlone_;
    Metrics &metrics_;
    ShareTransport *transport_ = nullptr;
    std::mutex mutex_;
    ShareLedger ledger_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
};

} // namespace Lovageloft

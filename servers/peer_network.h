#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/bounded_ring.h"
#include "core/metrics.h"
#include "core/settings.h"
#include "servers/peer_handler.h"

namespace Lovageloft
{

/// The peer duty: one thread that serves other hosts over Cap'n Proto RPC and calls them. Calls return at once; an answer
/// comes to its function on the peer duty's thread, and nothing comes to it if there was none within the timeout.
/// A connection whose call timed out is dropped, so that one gone silent for good costs one timeout.
class PeerNetwork
{
public:
    /// Who this host is, for the proofs.
    struct Identity
    {
        std::string host;
        std::string incarnation;
    };

    /// Binds the address; throws std::runtime_error if it can't be bound. `handler` and `metrics` must outlive this object.
    PeerNetwork(const Settings &settings, Identity identity, PeerHandler &handler, Metrics &metrics);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    std::uint16_t port() const;

    void announce(const std::string &address, std::vector<std::string> entries);
    void askEntries(const std::string &address, std::int64_t sequence, std::function<void(std::optional<PeerEntries>)> onAnswer);
    void requestVersionReport(const std::string &address, std::function<void(std::optional<PeerAnswer>)> onAnswer);
    void askDebit(const std::string &address, const DebitRequest &request, std::function<void(std::optional<DebitReply>)> onAnswer);
    void settle(const std::string &address, const DebitSettlement &settlement);
    void askClaim(const std::string &address, const ClaimQuery &query, std::function<void(std::optional<ClaimQueryReply>)> onAnswer);
    void gossip(const std::string &address, std::string message);

private:
    class Loop;

    using Task = std::function<void(Loop &)>;

    void run(std::promise<std::uint16_t> &port);
    void post(Task task);

    const Settings &settings_;
    Identity identity_;
    PeerHandler &handler_;
    Metrics &metrics_;
    BoundedRing<Task> tasks_;
    int wakeDescriptor_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace Lovageloft

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "coordination/crash_quarantine.h"
#include "coordination/store.h"
#include "core/clock.h"
#include "core/random.h"
#include "core/result_code.h"
#include "core/settings.h"
#include "gateway/host_record.h"

namespace Lovageloft
{

/// A request with a long prompt was sent to an engine by another host.
struct DispatchNotice
{
    std::string engine; ///< As the scheduler names it.
    std::uint32_t workTokens = 0; ///< What the engine has to compute, in prompt tokens of a short prompt.
    std::uint32_t newTokens = 0; ///< That it adds to the engine's memory.
    std::vector<std::uint64_t> blocks; ///< Chain of the prompt's shared blocks.
};

/// A target is about to load new weights and declines requests meanwhile.
struct LoadingNotice
{
    std::string target;
    Duration time{};
};

struct TokenRequest
{
    std::uint64_t id = 0;
    std::string team;
    double tokens = 0;
};

struct TokenReply
{
    std::uint64_t id = 0;
    bool isGranted = false;
    Duration retryAfter{};
};

/// All that the store reported under a prefix after one revision and up to another.
struct ChangesNotice
{
    std::string prefix;
    std::int64_t after = 0;
    std::int64_t upTo = 0;
    std::vector<StoreEntry> entries; ///< In the order of their revisions.
    std::vector<bool> omitted; ///< For each entry whether its value is left out, as it is too long.
    Duration silence{}; ///< For how long before the sender could not have heard of them.

    /// Only for a receiver that has reached no more than this. Changes that were found by comparing two lists don't show what came and
    /// went between them, which a receiver in between may have seen come.
    std::int64_t latestStart = std::numeric_limits<std::int64_t>::max();

    std::optional<Duration> outage{}; ///< As in StoreListReply.
};

/// What changed under a prefix after a revision?
struct ChangesRequest
{
    std::uint64_t id = 0;
    std::string prefix;
    std::int64_t after = 0;
};

/// All changes up to a revision, of which the sender knew `age` before the reply was made.
struct ChangesReply
{
    std::uint64_t id = 0;
    ChangesNotice changes;
    Duration age{};
};

struct ProofRequest
{
    std::uint64_t id = 0;
};

/// The configuration with this revision was the newest `age` before the reply was made.
struct ProofReply
{
    std::uint64_t id = 0;
    std::int64_t revision = 0;
    Duration age{};
    std::int64_t version = 0; ///< The operators' number of it; 0 from hosts that don't tell.
};

struct CacheStoreNotice
{
    std::string address;
    bool isAlive = false;
};

/// Asks how long ago the weights were named that another host has heard of.
struct WeightsQuestion
{
};

/// New weights were named `age` before the answer was made.
struct WeightsAge
{
    std::string model;
    std::int64_t version = 0;
    Duration age{};
};

/// Receives what other hosts say.
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;
    virtual void onDispatchNotice(const DispatchNotice &notice) = 0;
    virtual void onLoadingNotice(const LoadingNotice &notice) = 0;
    virtual void onTokenRequest(const std::string &host, const TokenRequest &request) = 0;
    virtual void onTokenReply(const TokenReply &reply) = 0;
    virtual void onChangesNotice(const ChangesNotice &notice) = 0;
    virtual void onChangesRequest(const std::string &host, const ChangesRequest &request) = 0;
    virtual void onChangesReply(const ChangesReply &reply) = 0;
    virtual void onProofRequest(const std::string &host, const ProofRequest &request) = 0;
    virtual void onProofReply(const ProofReply &reply) = 0;
    virtual void onCacheStoreNotice(const CacheStoreNotice &notice) = 0;
    virtual void onWeightsQuestion(const std::string &host) = 0;
    virtual void onWeightsAge(const WeightsAge &age) = 0;
    virtual void onCrashReport(const std::string &host, const CrashReport &report) = 0;
    virtual void onQuarantined(RequestFingerprint request) = 0;

    /// Whether what comes in now may have lain unread; it is then not passed on to others.
    virtual bool isBehind() const = 0;
};

/// Single datagrams between the hosts of a fleet, encoded by Cap'n Proto, deflated if they are long. What comes from an address that is no
/// known host is dropped. What is told to all goes through forwarders: see planBroadcast.
class PeerSocket
{
public:
    PeerSocket(boost::asio::io_context &loop, PeerEvents &events);

    bool open(const HostAddress &address, Reason &reason);
    void close();

    /// The port as bound, for an address that takes any free one.
    std::uint16_t port() const;

    /// The other hosts by name.
    void setPeers(const std::map<std::string, HostRecord> &peers);

    /// To all other hosts.
    void broadcast(const DispatchNotice &notice);
    void broadcast(const LoadingNotice &notice);
    void broadcast(const CacheStoreNotice &notice);
    void broadcast(RequestFingerprint quarantined);

    /// In as many datagrams as it takes.
    void broadcast(const ChangesNotice &notice);

    /// To one host; nothing happens if it is not known.
    void send(const std::string &host, const TokenRequest &request);
    void send(const std::string &host, const TokenReply &reply);
    void send(const std::string &host, const ChangesRequest &request);
    void send(const std::string &host, const ChangesReply &reply);
    void send(const std::string &host, const ProofRequest &request);
    void send(const std::string &host, const ProofReply &reply);
    void send(const std::string &host, const WeightsQuestion &question);
    void send(const std::string &host, const WeightsAge &age);
    void send(const std::string &host, const CrashReport &report);
    void send(const std::string &host, RequestFingerprint quarantined);

private:
    using Endpoint = boost::asio::ip::udp::endpoint;

    void receive();
    void broadcastBytes(std::string_view datagram);
    void sendTo(const std::string &host, std::string_view datagram);
    void read(std::string_view bytes, const std::string &host);
    void readForwarded(std::string_view datagram, std::span<const Endpoint> receivers, const std::string &host);
    void sendBytes(std::string_view bytes, const Endpoint &endpoint);

    static constexpr std::size_t datagramLimit = 65'536;

    boost::asio::ip::udp::socket socket_;
    PeerEvents &events_;
    std::map<std::string, Endpoint> endpoints_;
    std::vector<Endpoint> receivers_; ///< All of endpoints_.
    std::vector<std::size_t> dataCentres_; ///< Of the same, numbered.
    std::map<Endpoint, std::string> hosts_;
    Random random_;
    alignas(8) std::array<char, datagramLimit> buffer_{};
};

} // namespace Lovageloft

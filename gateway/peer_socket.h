#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/clock.h"
#include "core/result_code.h"
#include "core/settings.h"

namespace Lovageloft
{

/// A request with a long prompt was sent to an engine by another host.
struct DispatchNotice
{
    std::string engine; ///< As the scheduler names it.
    std::uint32_t missedTokens = 0; ///< That the engine has to compute.
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

/// Receives what other hosts say.
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;
    virtual void onDispatchNotice(const DispatchNotice &notice) = 0;
    virtual void onLoadingNotice(const LoadingNotice &notice) = 0;
    virtual void onTokenRequest(const std::string &host, const TokenRequest &request) = 0;
    virtual void onTokenReply(const TokenReply &reply) = 0;
};

/// Single datagrams between the hosts of a fleet, encoded by Cap'n Proto. What comes from an address that is no known host is dropped.
class PeerSocket
{
public:
    PeerSocket(boost::asio::io_context &loop, PeerEvents &events);

    bool open(const HostAddress &address, Reason &reason);
    void close();

    /// The other hosts by name.
    void setPeers(const std::map<std::string, HostAddress> &peers);

    /// To all other hosts.
    void tellAll(const DispatchNotice &notice);
    void tellAll(const LoadingNotice &notice);

    /// To one host; nothing happens if it is not known.
    void send(const std::string &host, const TokenRequest &request);
    void send(const std::string &host, const TokenReply &reply);

private:
    using Endpoint = boost::asio::ip::udp::endpoint;

    void receive();
    void read(std::span<const char> bytes, const std::string &host);
    void sendBytes(std::string_view bytes, const Endpoint &endpoint);

    static constexpr std::size_t datagramLimit = 8'192;

    boost::asio::ip::udp::socket socket_;
    PeerEvents &events_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<Endpoint, std::string> hosts_;
    alignas(8) std::array<char, datagramLimit> buffer_{};
};

} // namespace Lovageloft

#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "decision/path_planner.h"
#include "drivers/http_parser.h"
#include "drivers/tcp_connection.h"

namespace Lovageloft
{

/// HTTP message between hosts that asks for a connection to a target: "POST /relay" with the target's id in `relayTargetField`.
///
/// The bodies of the request and of its answer carry the bytes to and from the target, both with chunked transfer coding. The answer ends with
/// its last chunk if the target has closed the connection, so that a relay that is killed does not seem to end an answer of the target.
inline constexpr std::string_view relayPath = "/relay";
inline constexpr std::string_view relayTargetField = "Relay-Target";

/// Field of an answer that refuses: the name of a host that has relayed connections of the host that refuses.
inline constexpr std::string_view relaySuggestionField = "Relay-Suggestion";

/// A connection to a target through another host, see RelayServer.
class RelayedStream final : public ByteStream, public std::enable_shared_from_this<RelayedStream>, private TcpEvents, private HttpEvents
{
public:
    /// Connects; onConnected() or onClosed() of `events` follows after `timeout` at the latest.
    static std::shared_ptr<RelayedStream>
    connect(boost::asio::io_context &loop, const HostAddress &relay, std::string_view targetId, Duration timeout, TcpEvents &events);

    RelayedStream(boost::asio::io_context &loop, TcpEvents &events);

    /// How the attempt to connect ended; to be read in onConnected() or in the first onClosed().
    RelayResult result() const;

    /// The host that a host which refused suggests instead; empty if it suggests none.
    const std::string &suggestion() const;

    void send(std::string_view bytes) override;
    void sendShared(const std::shared_ptr<const std::string> &bytes) override;
    std::size_t unsent() const override;
    void pauseReading() override;
    void resumeReading() override;
    void close() override;
    bool isQuiet() override;

private:
    void onConnected() override;
    void onBytes(std::string_view bytes) override;
    void onClosed(bool isReset) override;
    void onSent() override;
    void onHead(HttpHead &&head, std::optional<std::uint64_t> bodyBytes) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void fail();

    TcpEvents *events_;
    boost::asio::steady_timer timer_;
    HttpParser parser_;
    std::shared_ptr<TcpConnection> tcp_;
    std::string request_; ///< Sent when the other host accepts the connection.
    RelayResult result_ = RelayResult::Pending;
    std::string suggestion_;
};

} // namespace Lovageloft

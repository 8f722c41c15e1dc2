#include "gateway/peer_socket.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include "core/log.h"
#include "gateway/peer_messages.capnp.h"

namespace Lovageloft
{

namespace
{

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;
using PeerMessages::Datagram;

/// Most blocks of a prompt that are told: 64,000 tokens, which is more than most prompts share, and half a kilobyte.
constexpr std::size_t mostBlocks = 64;

/// Datagrams read before others get their turn.
constexpr int datagramsPerTurn = 32;

std::string encode(capnp::MallocMessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

} // namespace

PeerSocket::PeerSocket(boost::asio::io_context &loop, PeerEvents &events)
    : socket_(loop)
    , events_(events)
{
}

bool PeerSocket::open(const HostAddress &address, Reason &reason)
{
    ErrorCode error;
    const udp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        socket_.open(udp::v4(), error);
    }
    if (!error) {
        socket_.bind(endpoint, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        reason = {ResultCode::SettingsOutOfRange, "can't take datagrams on " + address.host + ':' + std::to_string(address.port) + ": " + error.message()};
        return false;
    }
    receive();
    return true;
}

void PeerSocket::close()
{
    ErrorCode ignored;
    socket_.close(ignored);
}

void PeerSocket::setPeers(const std::map<std::string, HostAddress> &peers)
{
    endpoints_.clear();
    hosts_.clear();
    for (const auto &[name, address] : peers) {
        ErrorCode error;
        const Endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
        if (!error) {
            endpoints_.emplace(name, endpoint);
            hosts_.emplace(endpoint, name);
        }
    }
}

void PeerSocket::tellAll(const DispatchNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto dispatch = message.initRoot<Datagram>().initDispatch();
    dispatch.setEngine(notice.engine);
    dispatch.setMissedTokens(notice.missedTokens);
    const auto count = static_cast<unsigned>(std::min(notice.blocks.size(), mostBlocks));
    auto blocks = dispatch.initBlocks(count);
    for (unsigned i = 0; i < count; ++i) {
        blocks.set(i, notice.blocks[i]);
    }
    const std::string bytes = encode(message);
    for (const auto &[name, endpoint] : endpoints_) {
        sendBytes(bytes, endpoint);
    }
}

void PeerSocket::tellAll(const LoadingNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto loading = message.initRoot<Datagram>().initLoading();
    loading.setTarget(notice.target);
    loading.setMilliseconds(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(notice.time).count()));
    const std::string bytes = encode(message);
    for (const auto &[name, endpoint] : endpoints_) {
        sendBytes(bytes, endpoint);
    }
}

void PeerSocket::send(const std::string &host, const TokenRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initTokenRequest();
    encoded.setId(request.id);
    encoded.setTeam(request.team);
    encoded.setTokens(request.tokens);
    if (const auto found = endpoints_.find(host); found != endpoints_.end()) {
        sendBytes(encode(message), found->second);
    }
}

void PeerSocket::send(const std::string &host, const TokenReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initTokenReply();
    encoded.setId(reply.id);
    encoded.setIsGranted(reply.isGranted);
    encoded.setRetryAfterMilliseconds(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(reply.retryAfter).count()));
    if (const auto found = endpoints_.find(host); found != endpoints_.end()) {
        sendBytes(encode(message), found->second);
    }
}

void PeerSocket::receive()
{
    socket_.async_wait(udp::socket::wait_read, [this](const ErrorCode &waited) {
        if (waited) {
            return;
        }
        for (int i = 0; i < datagramsPerTurn; ++i) {
            Endpoint from;
            ErrorCode error;
            const std::size_t size = socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
            if (error) {
                break;
            }
            if (const auto host = hosts_.find(from); host != hosts_.end()) {
                read({buffer_.data(), size}, host->second);
            }
        }
        receive();
    });
}

void PeerSocket::read(std::span<const char> bytes, const std::string &host)
{
    try {
        const kj::ArrayPtr<const capnp::word> words(reinterpret_cast<const capnp::word *>(bytes.data()), bytes.size() / sizeof(capnp::word));
        capnp::FlatArrayMessageReader reader(words);
        const auto datagram = reader.getRoot<Datagram>();
        switch (datagram.which()) {
        case Datagram::DISPATCH: {
            const auto dispatch = datagram.getDispatch();
            DispatchNotice notice{dispatch.getEngine(), dispatch.getMissedTokens(), {}};
            for (const std::uint64_t block : dispatch.getBlocks()) {
                notice.blocks.push_back(block);
            }
            events_.onDispatchNotice(notice);
            break;
        }
        case Datagram::LOADING: {
            const auto loading = datagram.getLoading();
            events_.onLoadingNotice({loading.getTarget(), std::chrono::milliseconds(loading.getMilliseconds())});
            break;
        }
        case Datagram::TOKEN_REQUEST: {
            const auto request = datagram.getTokenRequest();
            events_.onTokenRequest(host, {request.getId(), request.getTeam(), request.getTokens()});
            break;
        }
        case Datagram::TOKEN_REPLY: {
            const auto reply = datagram.getTokenReply();
            events_.onTokenReply({reply.getId(), reply.getIsGranted(), std::chrono::milliseconds(reply.getRetryAfterMilliseconds())});
            break;
        }
        }
    } catch (const kj::Exception &error) {
        writeLog(LogLevel::Warning, "datagram_unreadable", {{"host", host}, {"reason", error.getDescription().cStr()}});
    }
}

void PeerSocket::sendBytes(std::string_view bytes, const Endpoint &endpoint)
{
    ErrorCode error;
    socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), endpoint, 0, error);
    if (error && error != boost::asio::error::would_block) {
        writeLog(LogLevel::Debug, "datagram_not_sent", {{"reason", error.message()}});
    }
}

} // namespace Lovageloft

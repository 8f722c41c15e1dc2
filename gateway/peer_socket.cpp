#include "gateway/peer_socket.h"

#include <algorithm>

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

/// Longest value that goes into a datagram, and most bytes of values in one: no more than a packet's worth each, so that one lost
/// packet costs one datagram.
constexpr std::size_t longestValue = 1'000;
constexpr std::size_t valuesPerDatagram = 1'000;

std::string encode(capnp::MessageBuilder &message)
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

std::uint16_t PeerSocket::port() const
{
    boost::system::error_code ignored;
    return socket_.local_endpoint(ignored).port();
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
    dispatch.setWorkTokens(notice.workTokens);
    dispatch.setNewTokens(notice.newTokens);
    const auto count = static_cast<unsigned>(std::min(notice.blocks.size(), mostBlocks));
    auto blocks = dispatch.initBlocks(count);
    for (unsigned i = 0; i < count; ++i) {
        blocks.set(i, notice.blocks[i]);
    }
    broadcast(message);
}

void PeerSocket::tellAll(const LoadingNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto loading = message.initRoot<Datagram>().initLoading();
    loading.setTarget(notice.target);
    loading.setMilliseconds(static_cast<std::uint32_t>(toMillis(notice.time)));
    broadcast(message);
}

void PeerSocket::send(const std::string &host, const TokenRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initTokenRequest();
    encoded.setId(request.id);
    encoded.setTeam(request.team);
    encoded.setTokens(request.tokens);
    sendTo(host, message);
}

void PeerSocket::send(const std::string &host, const TokenReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initTokenReply();
    encoded.setId(reply.id);
    encoded.setIsGranted(reply.isGranted);
    encoded.setRetryAfterMilliseconds(static_cast<std::uint32_t>(toMillis(reply.retryAfter)));
    sendTo(host, message);
}

void PeerSocket::send(const std::string &host, const WeightsQuestion & /*question*/)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Datagram>().setWeightsQuestion();
    sendTo(host, message);
}

void PeerSocket::send(const std::string &host, const WeightsAge &age)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initWeightsAge();
    encoded.setModel(age.model);
    encoded.setVersion(age.version);
    encoded.setAgeMilliseconds(static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMillis(age.age))));
    sendTo(host, message);
}

void PeerSocket::tellAll(const CacheStoreNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto store = message.initRoot<Datagram>().initCacheStore();
    store.setAddress(notice.address);
    store.setIsAlive(notice.isAlive);
    broadcast(message);
}

void PeerSocket::tellAll(const ChangesNotice &notice)
{
    std::int64_t after = notice.after;
    std::size_t next = 0;
    do {
        std::size_t end = next;
        std::size_t bytes = 0;
        while (end < notice.entries.size() && (end == next || bytes + notice.entries[end].value.size() <= valuesPerDatagram)) {
            bytes += std::min(notice.entries[end].value.size(), longestValue);
            ++end;
        }
        const bool isLast = end == notice.entries.size();
        capnp::MallocMessageBuilder message;
        auto changes = message.initRoot<Datagram>().initChanges();
        changes.setPrefix(notice.prefix);
        changes.setAfter(after);
        changes.setUpTo(isLast ? notice.upTo : notice.entries[end - 1].revision);
        changes.setSilenceMilliseconds(static_cast<std::uint32_t>(toMillis(notice.silence)));
        after = changes.getUpTo();
        auto entries = changes.initEntries(static_cast<unsigned>(end - next));
        for (unsigned i = 0; next < end; ++next, ++i) {
            const StoreEntry &entry = notice.entries[next];
            entries[i].setKey(entry.key);
            entries[i].setRevision(entry.revision);
            entries[i].setIsDeleted(entry.isDeleted);
            entries[i].setIsOmitted(entry.value.size() > longestValue);
            if (entry.value.size() <= longestValue) {
                entries[i].setValue(kj::arrayPtr(reinterpret_cast<const unsigned char *>(entry.value.data()), entry.value.size()));
            }
        }
        broadcast(message);
    } while (next < notice.entries.size());
}

void PeerSocket::send(const std::string &host, const ProofRequest &request)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Datagram>().initProofRequest().setId(request.id);
    sendTo(host, message);
}

void PeerSocket::send(const std::string &host, const ProofReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initProofReply();
    encoded.setId(reply.id);
    encoded.setRevision(reply.revision);
    encoded.setAgeMicroseconds(static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::microseconds>(reply.age).count()));
    sendTo(host, message);
}

void PeerSocket::broadcast(capnp::MessageBuilder &message)
{
    const std::string bytes = encode(message);
    for (const auto &[name, endpoint] : endpoints_) {
        sendBytes(bytes, endpoint);
    }
}

void PeerSocket::sendTo(const std::string &host, capnp::MessageBuilder &message)
{
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
            DispatchNotice notice{dispatch.getEngine(), dispatch.getWorkTokens(), dispatch.getNewTokens(), {}};
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
        case Datagram::CHANGES: {
            const auto changes = datagram.getChanges();
            ChangesNotice notice{changes.getPrefix(), changes.getAfter(), changes.getUpTo(), {}, {}, {}};
            for (const auto entry : changes.getEntries()) {
                const auto value = entry.getValue().asChars();
                notice.entries.push_back({entry.getKey(), std::string(value.begin(), value.size()), entry.getRevision(), entry.getIsDeleted()});
                notice.omitted.push_back(entry.getIsOmitted());
            }
            notice.silence = std::chrono::milliseconds(changes.getSilenceMilliseconds());
            events_.onChangesNotice(notice);
            break;
        }
        case Datagram::PROOF_REQUEST: {
            events_.onProofRequest(host, {datagram.getProofRequest().getId()});
            break;
        }
        case Datagram::PROOF_REPLY: {
            const auto reply = datagram.getProofReply();
            events_.onProofReply({reply.getId(), reply.getRevision(), std::chrono::microseconds(reply.getAgeMicroseconds())});
            break;
        }
        case Datagram::CACHE_STORE: {
            const auto store = datagram.getCacheStore();
            events_.onCacheStoreNotice({store.getAddress(), store.getIsAlive()});
            break;
        }
        case Datagram::WEIGHTS_QUESTION: {
            events_.onWeightsQuestion(host);
            break;
        }
        case Datagram::WEIGHTS_AGE: {
            const auto age = datagram.getWeightsAge();
            // A century is more than any process lives, and keeps what a broken sender says from overflowing.
            constexpr std::uint64_t longest = 3'000'000'000'000;
            events_.onWeightsAge({age.getModel(), age.getVersion(), std::chrono::milliseconds(std::min(age.getAgeMilliseconds(), longest))});
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

#include "gateway/peer_socket.h"

#include <algorithm>
#include <random>

#include <capnp/message.h>
#include <kj/exception.h>

#include "coordination/broadcast_plan.h"
#include "core/log.h"
#include "gateway/changes_codec.h"
#include "gateway/crash_codec.h"
#include "gateway/datagram_codec.h"
#include "gateway/deflate.h"
#include "gateway/peer_messages.capnp.h"
#include "gateway/rollout_codec.h"
#include "gateway/statement_codec.h"
#include "gateway/stream_codec.h"
#include "gateway/token_codec.h"

namespace Lovageloft
{

namespace
{

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;
using PeerMessages::Datagram;

/// Datagrams read in a row before other handlers of the event loop run.
constexpr int maxDatagramsPerWakeup = 32;

/// Limits the total size of the values in a datagram with several changes. It then fits into one packet, so that a lost packet costs only one
/// datagram. A longer value is sent in a datagram of its own. Changes of the same revision are sent together even if they exceed this size.
constexpr std::size_t maxValueBytesPerDatagram = 1'000;

/// Datagrams that are longer than this once inflated are dropped as malformed.
constexpr std::size_t maxInflatedBytes = std::size_t{4} << 20U;

constexpr unsigned portBits = 16;

std::string encodeForward(std::string_view datagram, std::span<const udp::endpoint> receivers)
{
    capnp::MallocMessageBuilder message;
    auto forward = message.initRoot<Datagram>().initForward();
    auto addresses = forward.initReceivers(static_cast<unsigned>(receivers.size()));
    for (unsigned i = 0; i < receivers.size(); ++i) {
        addresses.set(i, (std::uint64_t{receivers[i].address().to_v4().to_uint()} << portBits) | receivers[i].port());
    }
    forward.setDatagram(toBytes(datagram));
    return encodeDatagram(message);
}

udp::endpoint decodeEndpoint(std::uint64_t address)
{
    constexpr std::uint64_t portMask = (1U << portBits) - 1;
    return {boost::asio::ip::address_v4(static_cast<std::uint32_t>(address >> portBits)), static_cast<std::uint16_t>(address & portMask)};
}

} // namespace

PeerSocket::PeerSocket(boost::asio::io_context &loop, PeerEvents &events)
    : socket_(loop)
    , events_(events)
    , random_(std::random_device{}())
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
        reason = {ResultCode::SettingsOutOfRange, "can't take datagrams on " + hostAddressText(address) + ": " + error.message()};
        return false;
    }
    startReceiving();
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

void PeerSocket::setPeers(const std::map<std::string, HostRecord> &peers, std::string_view dataCentre)
{
    endpoints_.clear();
    receivers_.clear();
    dataCentres_.clear();
    hostNames_.clear();
    remoteEndpoints_.clear();
    std::map<std::string_view, std::size_t> dataCentreNumbers;
    for (const auto &[name, record] : peers) {
        ErrorCode error;
        const Endpoint endpoint(boost::asio::ip::make_address(record.address.host, error), record.address.port);
        if (!error) {
            endpoints_.emplace(name, endpoint);
            receivers_.push_back(endpoint);
            dataCentres_.push_back(dataCentreNumbers.try_emplace(record.dataCentre, dataCentreNumbers.size()).first->second);
            hostNames_.emplace(endpoint, name);
            if (record.dataCentre != dataCentre) {
                remoteEndpoints_.insert(endpoint);
            }
        }
    }
}

const PeerTrafficCounter &PeerSocket::traffic() const
{
    return traffic_;
}

void PeerSocket::broadcast(const DispatchNotice &notice)
{
    broadcastBytes(encodeDispatchNotice(notice));
}

void PeerSocket::broadcast(const LoadingNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto loading = message.initRoot<Datagram>().initLoading();
    loading.setTarget(notice.target);
    loading.setModel(notice.model);
    loading.setMilliseconds(static_cast<std::uint32_t>(toMillis(notice.duration)));
    broadcastBytes(encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const TokenRequest &request)
{
    sendTo(host, encodeTokenRequest(request));
}

void PeerSocket::send(const std::string &host, const TokenReply &reply)
{
    sendTo(host, encodeTokenReply(reply));
}

void PeerSocket::send(const std::string &host, const TokenReturn &tokens)
{
    sendTo(host, encodeTokenReturn(tokens));
}

void PeerSocket::send(const std::string &host, const WeightsRequest & /*request*/)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Datagram>().setWeightsQuestion();
    sendTo(host, encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const WeightsAge &age)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initWeightsAge();
    encoded.setModel(age.model);
    encoded.setVersion(age.version);
    encoded.setAgeMilliseconds(static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMillis(age.age))));
    sendTo(host, encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const CrashReport &report)
{
    sendTo(host, encodeCrashReport(report));
}

void PeerSocket::send(const std::string &host, const QuarantineNotice &notice)
{
    sendTo(host, encodeQuarantineNotice(notice));
}

void PeerSocket::send(const std::string &host, const QuarantineObjection &objection)
{
    sendTo(host, encodeQuarantineObjection(objection));
}

void PeerSocket::broadcast(const QuarantineNotice &notice)
{
    broadcastBytes(encodeQuarantineNotice(notice));
}

void PeerSocket::broadcastLift(RequestFeature feature)
{
    broadcastBytes(encodeQuarantineLift(feature));
}

void PeerSocket::send(const std::string &host, const PermitRequest &request)
{
    sendTo(host, encodePermitRequest(request));
}

void PeerSocket::send(const std::string &host, const PermitReply &reply)
{
    sendTo(host, encodePermitReply(reply));
}

void PeerSocket::send(const std::string &host, const SlotReport &report)
{
    sendTo(host, encodeSlotReport(report));
}

void PeerSocket::send(const std::string &host, const SlotGrant &grant)
{
    sendTo(host, encodeSlotGrant(grant));
}

void PeerSocket::send(const std::string &host, const StreamRecord &record)
{
    sendTo(host, encodeStreamRecord(record));
}

void PeerSocket::send(const std::string &host, const StreamQuery &query)
{
    sendTo(host, encodeStreamQuery(query));
}

void PeerSocket::sendReply(const std::string &host, const StreamRecord &reply)
{
    sendTo(host, encodeStreamReply(reply));
}

void PeerSocket::send(const std::string &host, std::span<const StatementTable::Update> updates)
{
    for (const std::string &datagram : encodeStatements(updates, BootClock::now())) {
        sendTo(host, datagram);
    }
}

void PeerSocket::broadcast(std::span<const StatementTable::Update> updates)
{
    for (const std::string &datagram : encodeStatements(updates, BootClock::now())) {
        broadcastBytes(datagram);
    }
}

void PeerSocket::queryStatements(const std::string &host)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Datagram>().setStatementsQuery();
    sendTo(host, encodeDatagram(message));
}

void PeerSocket::broadcast(const CacheStoreNotice &notice)
{
    capnp::MallocMessageBuilder message;
    auto store = message.initRoot<Datagram>().initCacheStore();
    store.setAddress(notice.address);
    store.setIsAlive(notice.isAlive);
    broadcastBytes(encodeDatagram(message));
}

void PeerSocket::broadcast(const ChangesNotice &notice)
{
    const std::span<const StoreEntry> entries = notice.entries;
    if (notice.maxStartRevision < notice.upTo) {
        broadcastBytes(encodeChanges(notice, entries)); // A receiver of only some parts would be synced to a revision in between.
        return;
    }
    ChangesNotice part{notice.prefix, notice.after, notice.upTo, {}, {}, notice.silence, notice.maxStartRevision, notice.outage, notice.returnAge};
    part.age = notice.age;
    part.process = notice.process;
    part.sentAt = notice.sentAt;
    std::size_t next = 0;
    do {
        std::size_t end = next;
        std::size_t bytes = 0;
        // Changes of the same revision are sent in one datagram, as a receiver of the first of them counts as synced to that revision.
        const auto isSameRevision = [&] { return end > next && entries[end].revision == entries[end - 1].revision; };
        while (end < entries.size() && (end == next || isSameRevision() || bytes + entries[end].value.size() <= maxValueBytesPerDatagram)) {
            bytes += entries[end].value.size();
            ++end;
        }
        part.upTo = end == entries.size() ? notice.upTo : entries[end - 1].revision;
        broadcastBytes(encodeChanges(part, entries.subspan(next, end - next)));
        part.after = part.upTo;
        next = end;
    } while (next < entries.size());
}

void PeerSocket::broadcast(const std::vector<ChangesNotice> &notices)
{
    capnp::MallocMessageBuilder message;
    auto bundle = message.initRoot<Datagram>().initBundle(static_cast<unsigned>(notices.size()));
    for (unsigned i = 0; i < bundle.size(); ++i) {
        bundle.set(i, toBytes(encodeChanges(notices[i], {})));
    }
    broadcastBytes(encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const ChangesRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initChangesRequest();
    encoded.setId(request.id);
    encoded.setPrefix(request.prefix);
    encoded.setAfter(request.after);
    sendTo(host, encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const ChangesReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initChangesReply();
    encoded.setId(reply.id);
    encoded.setAgeMicroseconds(static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::microseconds>(reply.age).count()));
    writeChanges(encoded.initChanges(), reply.changes, reply.changes.entries, true);
    const std::string datagram = deflatedIfLong(encodeDatagram(message));
    if (datagram.size() <= maxSentDatagramBytes) {
        sendTo(host, datagram);
    }
}

void PeerSocket::send(const std::string &host, const ProofRequest &request)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Datagram>().initProofRequest().setId(request.id);
    sendTo(host, encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const ProofReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto encoded = message.initRoot<Datagram>().initProofReply();
    encoded.setId(reply.id);
    encoded.setRevision(reply.revision);
    encoded.setVersion(reply.version);
    encoded.setAgeMicroseconds(static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::microseconds>(reply.age).count()));
    sendTo(host, encodeDatagram(message));
}

void PeerSocket::send(const std::string &host, const RolloutReport &report)
{
    sendTo(host, deflatedIfLong(encodeRolloutReport(report)));
}

void PeerSocket::send(const std::string &host, const RolloutReply &reply)
{
    sendTo(host, encodeRolloutReply(reply));
}

void PeerSocket::broadcastBytes(std::string_view datagram)
{
    std::vector<Endpoint> receivers;
    for (const BroadcastBranch &branch : planBroadcast(dataCentres_, random_)) {
        if (branch.receivers.empty()) {
            sendBytes(datagram, receivers_[branch.forwarder]);
            continue;
        }
        receivers.clear();
        for (const std::size_t receiver : branch.receivers) {
            receivers.push_back(receivers_[receiver]);
        }
        sendBytes(encodeForward(datagram, receivers), receivers_[branch.forwarder]);
    }
}

void PeerSocket::sendTo(const std::string &host, std::string_view datagram)
{
    if (const auto found = endpoints_.find(host); found != endpoints_.end()) {
        sendBytes(datagram, found->second);
    }
}

void PeerSocket::startReceiving()
{
    socket_.async_wait(udp::socket::wait_read, [this](const ErrorCode &waitError) {
        if (waitError) {
            return;
        }
        for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
            Endpoint from;
            ErrorCode error;
            const std::size_t size = socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
            if (error) {
                break;
            }
            if (const auto host = hostNames_.find(from); host != hostNames_.end()) {
                traffic_.addReceived({buffer_.data(), size}, remoteEndpoints_.contains(from));
                handleDatagram({buffer_.data(), size}, host->second);
            }
        }
        startReceiving();
    });
}

/// Forwards a datagram, unless it may be stale, to those receivers that are known hosts, and handles it.
void PeerSocket::forwardAndHandleDatagram(std::string_view datagram, std::span<const Endpoint> receivers, const std::string &host)
{
    for (const Endpoint &receiver : receivers) {
        if (hostNames_.contains(receiver) && !events_.mayHaveStaleMessages()) {
            sendBytes(datagram, receiver);
        }
    }
    handleDatagram(datagram, host);
}

void PeerSocket::handleDatagram(std::string_view bytes, const std::string &host)
{
    try {
        DatagramReader reader(bytes);
        const auto datagram = reader.root();
        switch (datagram.which()) {
        case Datagram::DISPATCH:
            events_.onDispatchNotice(decodeDispatchNotice(datagram.getDispatch()));
            break;
        case Datagram::LOADING: {
            const auto loading = datagram.getLoading();
            events_.onLoadingNotice({loading.getTarget(), loading.getModel(), std::chrono::milliseconds(loading.getMilliseconds())});
            break;
        }
        case Datagram::TOKEN_REQUEST: {
            events_.onTokenRequest(host, decodeTokenRequest(datagram.getTokenRequest()));
            break;
        }
        case Datagram::CHANGES: {
            events_.onChangesNotice(readChanges(datagram.getChanges()));
            break;
        }
        case Datagram::CHANGES_REQUEST: {
            const auto request = datagram.getChangesRequest();
            events_.onChangesRequest(host, {request.getId(), request.getPrefix(), request.getAfter()});
            break;
        }
        case Datagram::CHANGES_REPLY: {
            const auto reply = datagram.getChangesReply();
            events_.onChangesReply({reply.getId(), readChanges(reply.getChanges()), std::chrono::microseconds(reply.getAgeMicroseconds())});
            break;
        }
        case Datagram::FORWARD: {
            const auto forward = datagram.getForward();
            std::vector<Endpoint> receivers;
            for (const std::uint64_t address : forward.getReceivers()) {
                receivers.push_back(decodeEndpoint(address));
            }
            forwardAndHandleDatagram(toText(forward.getDatagram()), receivers, host);
            break;
        }
        case Datagram::PACKED: {
            if (const auto inflatedDatagram = inflated(toText(datagram.getPacked()), maxInflatedBytes)) {
                handleDatagram(*inflatedDatagram, host);
            }
            break;
        }
        case Datagram::PROOF_REQUEST: {
            events_.onProofRequest(host, {datagram.getProofRequest().getId()});
            break;
        }
        case Datagram::PROOF_REPLY: {
            const auto reply = datagram.getProofReply();
            events_.onProofReply({reply.getId(), reply.getRevision(), std::chrono::microseconds(reply.getAgeMicroseconds()), reply.getVersion()});
            break;
        }
        case Datagram::CACHE_STORE: {
            const auto store = datagram.getCacheStore();
            events_.onCacheStoreNotice({store.getAddress(), store.getIsAlive()});
            break;
        }
        case Datagram::WEIGHTS_QUESTION: {
            events_.onWeightsRequest(host);
            break;
        }
        case Datagram::WEIGHTS_AGE: {
            const auto age = datagram.getWeightsAge();
            // About a century, longer than any process runs. Prevents an overflow if a faulty sender reports a huge age.
            constexpr std::uint64_t maxAgeMilliseconds = 3'000'000'000'000;
            events_.onWeightsAge({age.getModel(), age.getVersion(), std::chrono::milliseconds(std::min(age.getAgeMilliseconds(), maxAgeMilliseconds))});
            break;
        }
        case Datagram::CRASH_REPORT: {
            events_.onCrashReport(host, decodeCrashReport(datagram.getCrashReport()));
            break;
        }
        case Datagram::ROLLOUT_REPORT: {
            events_.onRolloutReport(host, readRolloutReport(datagram.getRolloutReport()));
            break;
        }
        case Datagram::ROLLOUT_REPLY: {
            events_.onRolloutReply(readRolloutReply(datagram.getRolloutReply()));
            break;
        }
        case Datagram::PERMIT_REQUEST: {
            events_.onPermitRequest(host, decodePermitRequest(datagram.getPermitRequest()));
            break;
        }
        case Datagram::PERMIT_REPLY: {
            events_.onPermitReply(decodePermitReply(datagram.getPermitReply()));
            break;
        }
        case Datagram::SLOT_REPORT: {
            events_.onSlotReport(host, decodeSlotReport(datagram.getSlotReport()));
            break;
        }
        case Datagram::SLOT_GRANT: {
            events_.onSlotGrant(host, decodeSlotGrant(datagram.getSlotGrant()));
            break;
        }
        case Datagram::STATEMENTS: {
            events_.onStatements(decodeStatements(datagram.getStatements(), BootClock::now()));
            break;
        }
        case Datagram::STREAM_RECORD: {
            events_.onStreamRecord(decodeStreamRecord(datagram.getStreamRecord()));
            break;
        }
        case Datagram::STREAM_QUERY: {
            events_.onStreamQuery(host, decodeStreamQuery(datagram.getStreamQuery()));
            break;
        }
        case Datagram::STREAM_REPLY: {
            events_.onStreamReply(host, decodeStreamReply(datagram.getStreamReply()));
            break;
        }
        case Datagram::STATEMENTS_QUERY: {
            events_.onStatementsQuery(host);
            break;
        }
        case Datagram::BUNDLE: {
            for (const auto member : datagram.getBundle()) {
                handleDatagram(toText(member), host);
            }
            break;
        }
        case Datagram::QUARANTINE: {
            events_.onQuarantined(host, {RequestFeature{datagram.getQuarantine()}, {}, false});
            break;
        }
        case Datagram::QUARANTINE_NOTICE: {
            events_.onQuarantined(host, decodeQuarantineNotice(datagram.getQuarantineNotice()));
            break;
        }
        case Datagram::QUARANTINE_OBJECTION: {
            events_.onQuarantineObjection(decodeQuarantineObjection(datagram.getQuarantineObjection()));
            break;
        }
        case Datagram::QUARANTINE_EXPLAINED: {
            events_.onQuarantineObjection({RequestFeature{datagram.getQuarantineExplained()}, {}, true});
            break;
        }
        case Datagram::QUARANTINE_LIFT: {
            events_.onQuarantineLifted(RequestFeature{datagram.getQuarantineLift()});
            break;
        }
        case Datagram::TOKEN_REPLY: {
            events_.onTokenReply(decodeTokenReply(datagram.getTokenReply()));
            break;
        }
        case Datagram::TOKEN_RETURN: {
            events_.onTokenReturn(decodeTokenReturn(datagram.getTokenReturn()));
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
    traffic_.addSent(bytes, remoteEndpoints_.contains(endpoint));
    socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), endpoint, 0, error);
    if (error && error != boost::asio::error::would_block) {
        writeLog(LogLevel::Debug, "datagram_not_sent", {{"reason", error.message()}});
    }
}

} // namespace Lovageloft

#include "servers/peer_network.h"

#include <map>
#include <stdexcept>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/debug.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "core/digest.h"
#include "core/log.h"
#include "servers/peer_authentication.h"
#include "servers/peer_codec.h"
#include "servers/peer_gate.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t taskCapacity = 16'384;
constexpr std::size_t nonceBytes = 16;
/// Data centres are a millisecond apart; an answer that takes this long is as good as none, and the connection may be dead.
constexpr auto callTimeout = 700 * kj::MILLISECONDS;
/// After a failed connection the next attempt waits this long, so that a dead host costs little.
constexpr auto reconnectDelay = 250 * kj::MILLISECONDS;

} // namespace

/// A connection to one host and the RPC system on it.
struct PeerConnection
{
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened))
        , client(*stream)
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
};

/// The event loop and all that lives on it.
class PeerNetwork::Loop final : private kj::TaskSet::ErrorHandler
{
public:
    Loop(PeerNetwork &network, kj::AsyncIoContext &io)
        : network_(network)
        , io_(io)
        , server_(kj::heap<PeerGate>(network.settings_.peerSecret, network.identity_, network.handler_, network.metrics_))
        , running_(*this)
    {
    }

    std::uint16_t listen()
    {
        const Settings &settings = network_.settings_;
        receiver_ = io_.provider->getNetwork().parseAddress(settings.peerAddress, static_cast<unsigned>(settings.peerPort)).wait(io_.waitScope)->listen();
        running_.add(server_.listen(*receiver_));
        return static_cast<std::uint16_t>(receiver_->getPort());
    }

    /// Runs tasks as they come until the ring is closed.
    void run()
    {
        kj::UnixEventPort::FdObserver observer(io_.unixEventPort, network_.wakeDescriptor_, kj::UnixEventPort::FdObserver::OBSERVE_READ);
        while (!network_.tasks_.isClosed()) {
            observer.whenBecomesReadable().wait(io_.waitScope);
            std::uint64_t count = 0;
            [[maybe_unused]] const auto size = ::read(network_.wakeDescriptor_, &count, sizeof(count));
            while (const auto task = network_.tasks_.pop(std::chrono::seconds(0))) {
                (*task)(*this);
            }
        }
        links_.clear();
    }

    /// Makes a call over the host's connection; `onEnd` gets the response or null.
    template <typename Results>
    void call(const std::string &address,
              kj::Function<capnp::RemotePromise<Results>(Rpc::Peer::Client &)> start,
              kj::Function<void(kj::Maybe<capnp::Response<Results> &>)> onEnd)
    {
        struct Ends
        {
            kj::Function<capnp::RemotePromise<Results>(Rpc::Peer::Client &)> start;
            kj::Function<void(kj::Maybe<capnp::Response<Results> &>)> onEnd;
        };

        auto ends = kj::heap<Ends>(Ends{kj::mv(start), kj::mv(onEnd)});
        Ends &callbacks = *ends;
        const std::shared_ptr<Link> link = linkTo(address);
        auto sent = peer(*link).then([&callbacks](Rpc::Peer::Client client) -> kj::Promise<capnp::Response<Results>> { return callbacks.start(client); });
        auto promise = io_.provider->getTimer()
                           .timeoutAfter(callTimeout, kj::mv(sent))
                           .then([&callbacks](capnp::Response<Results> &&response) { callbacks.onEnd(response); },
                                 [this, &callbacks, &link = *link, address](kj::Exception &&error) {
                                     onFailure(address, link, error);
                                     callbacks.onEnd(nullptr);
                                 })
                           .attach(kj::mv(ends), link);
        running_.add(kj::mv(promise));
    }

private:
    struct Link
    {
        kj::Own<PeerConnection> connection; // Null until it is open; before the promise, which ends first.
        kj::ForkedPromise<Rpc::Peer::Client> peer;
        kj::TimePoint usableFrom;
        bool hasFailed = false;
    };

    std::shared_ptr<Link> linkTo(const std::string &address)
    {
        const kj::TimePoint now = io_.provider->getTimer().now();
        std::shared_ptr<Link> &link = links_[address];
        if (link == nullptr || (link->hasFailed && now >= link->usableFrom)) {
            link = std::make_shared<Link>(Link{kj::Own<PeerConnection>(), kj::ForkedPromise<Rpc::Peer::Client>(nullptr), now, false});
            link->peer = connect(address, *link).fork();
        }
        return link;
    }

    static kj::Promise<Rpc::Peer::Client> peer(Link &link)
    {
        if (link.hasFailed) {
            return KJ_EXCEPTION(DISCONNECTED, "waiting before the next attempt");
        }
        return link.peer.addBranch();
    }

    kj::Promise<Rpc::Peer::Client> connect(const std::string &address, Link &link)
    {
        return io_.provider->getNetwork()
            .parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress> &&target) {
                auto connecting = target->connect();
                return connecting.attach(kj::mv(target));
            })
            .then([this, &link](kj::Own<kj::AsyncIoStream> &&stream) {
                link.connection = kj::heap<PeerConnection>(kj::mv(stream));
                return authenticate(link.connection->client.bootstrap().castAs<Rpc::PeerGate>());
            });
    }

    kj::Promise<Rpc::Peer::Client> authenticate(Rpc::PeerGate::Client gate)
    {
        return gate.greetRequest().send().then([this](capnp::Response<Rpc::PeerGate::GreetResults> &&greeted) {
            const std::string nonce = randomHex(nonceBytes);
            const std::string listenerNonce(toView(greeted.getNonce()));
            const PeerGreeting proved{listenerNonce, nonce, network_.identity_.host, network_.identity_.incarnation};
            const std::string &secret = network_.settings_.peerSecret;
            const std::string expected = peerProof(secret, PeerRole::Listener, proved);
            auto request = greeted.getSession().proveRequest();
            request.setHost(network_.identity_.host);
            request.setIncarnation(network_.identity_.incarnation);
            request.setNonce(toBytes(nonce));
            request.setProof(peerProof(secret, PeerRole::Caller, proved));
            return request.send().then([expected](capnp::Response<Rpc::PeerSession::ProveResults> &&proof) -> Rpc::Peer::Client {
                if (!equalInConstantTime(toString(proof.getProof()), expected)) {
                    kj::throwFatalException(KJ_EXCEPTION(FAILED, "4009 peer_refused: the other end holds another secret"));
                }
                return proof.getPeer();
            });
        });
    }

    void onFailure(const std::string &address, Link &link, const kj::Exception &error)
    {
        network_.metrics_.add("lovageloft_peer_calls_failed_total");
        if (link.hasFailed) {
            return;
        }
        link.hasFailed = true;
        link.usableFrom = io_.provider->getTimer().now() + reconnectDelay;
        const kj::StringPtr text = error.getDescription();
        writeLog(LogLevel::Debug, "peer_call_failed", {{"peer", address}, {"cause", std::string_view(text.begin(), text.size())}});
    }

    void taskFailed(kj::Exception &&error) override
    {
        const kj::StringPtr text = error.getDescription();
        writeLog(LogLevel::Warning, "peer_task_failed", {{"cause", std::string_view(text.begin(), text.size())}});
    }

    PeerNetwork &network_;
    kj::AsyncIoContext &io_;
    capnp::TwoPartyServer server_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    std::map<std::string, std::shared_ptr<Link>> links_;
    kj::TaskSet running_;
};

PeerNetwork::PeerNetwork(const Settings &settings, Identity identity, PeerHandler &handler, Metrics &metrics)
    : settings_(settings)
    , identity_(std::move(identity))
    , handler_(handler)
    , metrics_(metrics)
    , tasks_(taskCapacity)
    , wakeDescriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    std::promise<std::uint16_t> port;
    auto bound = port.get_future();
    thread_ = std::thread([this, &port] { run(port); });
    try {
        port_ = bound.get();
    } catch (...) {
        thread_.join();
        close(wakeDescriptor_);
        throw;
    }
}

PeerNetwork::~PeerNetwork()
{
    tasks_.close();
    constexpr std::uint64_t one = 1;
    [[maybe_unused]] const auto size = ::write(wakeDescriptor_, &one, sizeof(one));
    thread_.join();
    close(wakeDescriptor_);
}

std::uint16_t PeerNetwork::port() const
{
    return port_;
}

void PeerNetwork::run(std::promise<std::uint16_t> &port)
{
    auto io = kj::setupAsyncIo();
    std::unique_ptr<Loop> loop;
    try {
        loop = std::make_unique<Loop>(*this, io);
        port.set_value(loop->listen());
    } catch (const kj::Exception &error) {
        port.set_exception(std::make_exception_ptr(std::runtime_error("peers: " + std::string(error.getDescription().cStr()))));
        return;
    }
    loop->run();
}

void PeerNetwork::post(Task task)
{
    if (!tasks_.tryPush(std::move(task))) {
        metrics_.add("lovageloft_peer_calls_dropped_total");
        return;
    }
    constexpr std::uint64_t one = 1;
    [[maybe_unused]] const auto size = ::write(wakeDescriptor_, &one, sizeof(one));
}

void PeerNetwork::announce(const std::string &address, std::vector<std::string> entries)
{
    post([address, entries = std::move(entries)](Loop &loop) {
        loop.call<Rpc::Peer::AnnounceResults>(
            address,
            [entries](Rpc::Peer::Client &peer) {
                auto request = peer.announceRequest();
                write(entries, request.initEntries(static_cast<unsigned>(entries.size())));
                return request.send();
            },
            [](auto &&) {});
    });
}

void PeerNetwork::askEntries(const std::string &address, std::int64_t sequence, std::function<void(std::optional<PeerEntries>)> onAnswer)
{
    post([address, sequence, onAnswer = std::move(onAnswer)](Loop &loop) {
        loop.call<Rpc::Peer::EntriesAfterResults>(
            address,
            [sequence](Rpc::Peer::Client &peer) {
                auto request = peer.entriesAfterRequest();
                request.setSequence(sequence);
                return request.send();
            },
            [onAnswer](
                kj::Maybe<capnp::Response<Rpc::Peer::EntriesAfterResults> &> response) { // NOLINT(performance-unnecessary-value-param): a maybe of a reference.
                KJ_IF_MAYBE (found, response) {
                    onAnswer(PeerEntries{read(found->getEntries()), toString(found->getSnapshot())});
                } else {
                    onAnswer(std::nullopt);
                }
            });
    });
}

void PeerNetwork::requestVersionReport(const std::string &address, std::function<void(std::optional<PeerAnswer>)> onAnswer)
{
    post([address, onAnswer = std::move(onAnswer)](Loop &loop) {
        loop.call<Rpc::Peer::VouchResults>(
            address,
            [](Rpc::Peer::Client &peer) { return peer.vouchRequest().send(); },
            [onAnswer](kj::Maybe<capnp::Response<Rpc::Peer::VouchResults> &> response) { // NOLINT(performance-unnecessary-value-param): a maybe of a reference.
                KJ_IF_MAYBE (vouch, response) {
                    onAnswer(PeerAnswer{{toString(vouch->getHost()), vouch->getIncarnation(), vouch->getVersionHeld(), vouch->getIsCaughtUp()},
                                        vouch->getInForceVersion()});
                } else {
                    onAnswer(std::nullopt);
                }
            });
    });
}

void PeerNetwork::askDebit(const std::string &address, const DebitRequest &request, std::function<void(std::optional<DebitReply>)> onAnswer)
{
    post([address, request, onAnswer = std::move(onAnswer)](Loop &loop) {
        loop.call<Rpc::Peer::DebitResults>(
            address,
            [request](Rpc::Peer::Client &peer) {
                auto call = peer.debitRequest();
                write(request, call.initRequest());
                return call.send();
            },
            [onAnswer](kj::Maybe<capnp::Response<Rpc::Peer::DebitResults> &> response) { // NOLINT(performance-unnecessary-value-param): a maybe of a reference.
                KJ_IF_MAYBE (found, response) {
                    onAnswer(read(found->getReply()));
                } else {
                    onAnswer(std::nullopt);
                }
            });
    });
}

void PeerNetwork::settle(const std::string &address, const DebitSettlement &settlement)
{
    post([address, settlement](Loop &loop) {
        loop.call<Rpc::Peer::SettleResults>(
            address,
            [settlement](Rpc::Peer::Client &peer) {
                auto call = peer.settleRequest();
                write(settlement, call.initSettlement());
                return call.send();
            },
            [](auto &&) {});
    });
}

void PeerNetwork::askClaim(const std::string &address, const ClaimQuery &query, std::function<void(std::optional<ClaimQueryReply>)> onAnswer)
{
    post([address, query, onAnswer = std::move(onAnswer)](Loop &loop) {
        loop.call<Rpc::Peer::ClaimFateResults>(
            address,
            [query](Rpc::Peer::Client &peer) {
                auto call = peer.claimFateRequest();
                write(query, call.initQuery());
                return call.send();
            },
            [onAnswer](
                kj::Maybe<capnp::Response<Rpc::Peer::ClaimFateResults> &> response) { // NOLINT(performance-unnecessary-value-param): a maybe of a reference.
                KJ_IF_MAYBE (found, response) {
                    onAnswer(read(found->getReply()));
                } else {
                    onAnswer(std::nullopt);
                }
            });
    });
}

void PeerNetwork::gossip(const std::string &address, std::string message)
{
    post([address, message = std::move(message)](Loop &loop) {
        loop.call<Rpc::Peer::GossipResults>(
            address,
            [message](Rpc::Peer::Client &peer) {
                auto call = peer.gossipRequest();
                call.setMessage(toBytes(message));
                return call.send();
            },
            [](auto &&) {});
    });
}

} // namespace Lovageloft

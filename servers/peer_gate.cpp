#include "servers/peer_gate.h"

#include <kj/debug.h>

#include "core/digest.h"
#include "core/log.h"
#include "servers/peer_authentication.h"
#include "servers/peer_codec.h"

namespace Lovageloft
{

namespace
{

constexpr std::size_t nonceBytes = 16;

/// Serves a host that has proved itself.
class PeerServer final : public Rpc::Peer::Server
{
public:
    explicit PeerServer(PeerHandler &handler)
        : handler_(handler)
    {
    }

protected:
    kj::Promise<void> announce(AnnounceContext context) override
    {
        handler_.onAnnounced(read(context.getParams().getEntries()));
        return kj::READY_NOW;
    }

    kj::Promise<void> entriesAfter(EntriesAfterContext context) override
    {
        const PeerEntries found = handler_.entriesAfter(context.getParams().getSequence());
        write(found.entries, context.getResults().initEntries(static_cast<unsigned>(found.entries.size())));
        context.getResults().setSnapshot(found.snapshot);
        return kj::READY_NOW;
    }

    kj::Promise<void> vouch(VouchContext context) override
    {
        const PeerAnswer answer = handler_.reportVersion();
        context.getResults().setHost(answer.report.host);
        context.getResults().setIncarnation(answer.report.incarnation);
        context.getResults().setVersionHeld(answer.report.versionHeld);
        context.getResults().setIsCaughtUp(answer.report.isCaughtUp);
        context.getResults().setInForceVersion(answer.inForceVersion);
        return kj::READY_NOW;
    }

    kj::Promise<void> debit(DebitContext context) override
    {
        write(handler_.onDebit(read(context.getParams().getRequest())), context.getResults().initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> settle(SettleContext context) override
    {
        handler_.onSettlement(read(context.getParams().getSettlement()));
        return kj::READY_NOW;
    }

    kj::Promise<void> claimFate(ClaimFateContext context) override
    {
        write(handler_.onClaimQuery(read(context.getParams().getQuery())), context.getResults().initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> gossip(GossipContext context) override
    {
        handler_.onGossip(toView(context.getParams().getMessage()));
        return kj::READY_NOW;
    }

private:
    PeerHandler &handler_;
};

/// One connection's attempt to prove itself; its nonce serves once.
class PeerSession final : public Rpc::PeerSession::Server
{
public:
    PeerSession(std::string secret, std::string nonce, PeerHandler &handler, Metrics &metrics)
        : secret_(std::move(secret))
        , nonce_(std::move(nonce))
        , handler_(handler)
        , metrics_(metrics)
    {
    }

protected:
    kj::Promise<void> prove(ProveContext context) override
    {
        const auto params = context.getParams();
        const std::string host = toString(params.getHost());
        const std::string incarnation = toString(params.getIncarnation());
        const PeerGreeting greeting{nonce_, toView(params.getNonce()), host, incarnation};
        if (isSpent_ || !isPeerProof(toString(params.getProof()), secret_, PeerRole::Caller, greeting)) {
            metrics_.add("lovageloft_peers_refused_total");
            writeLog(LogLevel::Warning, "peer_refused", {{"peer", host}, {"code", static_cast<std::int64_t>(ResultCode::PeerRefused)}});
            return KJ_EXCEPTION(FAILED, "4009 peer_refused");
        }
        isSpent_ = true;
        context.getResults().setProof(peerProof(secret_, PeerRole::Listener, greeting));
        context.getResults().setPeer(kj::heap<PeerServer>(handler_));
        return kj::READY_NOW;
    }

private:
    std::string secret_;
    std::string nonce_;
    PeerHandler &handler_;
    Metrics &metrics_;
    bool isSpent_ = false;
};

} // namespace

PeerGate::PeerGate(std::string secret, PeerNetwork::Identity identity, PeerHandler &handler, Metrics &metrics)
    : secret_(std::move(secret))
    , identity_(std::move(identity))
    , handler_(handler)
    , metrics_(metrics)
{
}

kj::Promise<void> PeerGate::greet(GreetContext context)
{
    const std::string nonce = randomHex(nonceBytes);
    context.getResults().setNonce(toBytes(nonce));
    context.getResults().setSession(kj::heap<PeerSession>(secret_, nonce, handler_, metrics_));
    return kj::READY_NOW;
}

} // namespace Lovageloft

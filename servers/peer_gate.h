#pragma once

#include "servers/peer.capnp.h"
#include "servers/peer_handler.h"
#include "servers/peer_network.h"

namespace Lovageloft
{

/// What a connection of another host reaches first. It gives the Peer interface only to an end that proves that it
/// holds the deployment's secret.
class PeerGate final : public Rpc::PeerGate::Server
{
public:
    PeerGate(std::string secret, PeerNetwork::Identity identity, PeerHandler &handler, Metrics &metrics);

protected:
    kj::Promise<void> greet(GreetContext context) override;

private:
    std::string secret_;
    PeerNetwork::Identity identity_;
    PeerHandler &handler_;
    Metrics &metrics_;
};

} // namespace Lovageloft

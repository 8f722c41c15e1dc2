#pragma once

#include <string>
#include <string_view>

namespace Lovageloft
{

/// Which end of a peer connection a proof is for; a proof for one end is worth nothing at the other.
enum class PeerRole : bool
{
    Caller,
    Listener,
};

/// What both ends of a peer connection know when they prove themselves.
struct PeerGreeting
{
    std::string_view listenerNonce;
    std::string_view callerNonce;
    std::string_view callerHost;
    std::string_view callerIncarnation;
};

/// The proof that an end holds the deployment's secret: HMAC-SHA-256 over the greeting and the role, in hexadecimal.
/// What goes wrong without it: a stranger on the network debits teams' shares or announces a ticket of its own.
std::string peerProof(std::string_view secret, PeerRole role, const PeerGreeting &greeting);

/// Whether a proof is right; never under an empty secret.
bool isPeerProof(std::string_view proof, std::string_view secret, PeerRole role, const PeerGreeting &greeting);

} // namespace Lovageloft

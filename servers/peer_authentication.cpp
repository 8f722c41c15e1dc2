#include "servers/peer_authentication.h"

#include "core/digest.h"

namespace Lovageloft
{

std::string peerProof(std::string_view secret, PeerRole role, const PeerGreeting &greeting)
{
    std::string text = role == PeerRole::Caller ? "caller" : "listener";
    for (const std::string_view part : {greeting.listenerNonce, greeting.callerNonce, greeting.callerHost, greeting.callerIncarnation}) {
        // Lengths keep "ab"+"c" apart from "a"+"bc".
        text += '|' + std::to_string(part.size()) + ':';
        text += part;
    }
    return hmacSha256Hex(secret, text);
}

bool isPeerProof(std::string_view proof, std::string_view secret, PeerRole role, const PeerGreeting &greeting)
{
    return !secret.empty() && equalInConstantTime(proof, peerProof(secret, role, greeting));
}

} // namespace Lovageloft

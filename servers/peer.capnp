@0xd1b2f0a4c79e6358;
# What hosts say to each other. A stranger gets no further than PeerGate.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Lovageloft::Rpc");

interface PeerGate {
  # The first thing a connection offers.
  greet @0 () -> (session :PeerSession, nonce :Data);
}

interface PeerSession {
  # Proves that both ends hold the deployment's secret: the proof is an HMAC over both nonces, the caller's name and its role.
  prove @0 (host :Text, incarnation :Text, nonce :Data, proof :Text) -> (peer :Peer, proof :Text);
}

struct DebitRequest {
  from @0 :Text;
  fromIncarnation @1 :Text;
  to @2 :Text;
  askId @3 :UInt64;
  team @4 :Text;
  amount @5 :Float64;
}

struct DebitReply {
  from @0 :Text;
  fromIncarnation @1 :Text;
  to @2 :Text;
  toIncarnation @3 :Text;
  askId @4 :UInt64;
  team @5 :Text;
  granted @6 :Float64;
  balance @7 :Float64;
  reserved @8 :Float64;
}

struct DebitSettlement {
  from @0 :Text;
  fromIncarnation @1 :Text;
  to @2 :Text;
  toIncarnation @3 :Text;
  askId @4 :UInt64;
  isUsed @5 :Bool;
  used @6 :Float64;
}

enum ClaimFate {
  running @0;
  answered @1;
  neverSent @2;
  lost @3;
  otherProcess @4;
  forgotten @5;
}

struct ClaimQuery {
  host @0 :Text;
  incarnation @1 :Text;
  nonce @2 :Text;
}

struct ClaimQueryReply {
  nonce @0 :Text;
  fate @1 :ClaimFate;
  status @2 :Int32;
  contentType @3 :Text;
  body @4 :Data;
  isWhole @5 :Bool;
}

interface Peer {
  # Committed log entries as JSON; the receiver replays them in order.
  announce @0 (entries :List(Text));

  # Entries after a sequence; a snapshot as JSON where the entries are no longer kept.
  entriesAfter @1 (sequence :Int64) -> (entries :List(Text), snapshot :Text);

  # What this host holds of the configuration.
  vouch @2 () -> (host :Text, incarnation :UInt64, versionHeld :Int64, isCaughtUp :Bool, inForceVersion :Int64);

  # Takes from this host's part of a team's share for one request of the asker.
  debit @3 (request :DebitRequest) -> (reply :DebitReply);

  # What became of a debit.
  settle @4 (settlement :DebitSettlement);

  # One datagram of the membership protocol.
  gossip @5 (message :Data);

  # What became of a call that may not be repeated and that this host claimed.
  claimFate @6 (query :ClaimQuery) -> (reply :ClaimQueryReply);
}

@0xa4d81c5e9b3f7260;
# What the hosts of a fleet tell each other in single datagrams. Any of them may be lost: each only improves what the receiver
# would decide without it.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Lovageloft::PeerMessages");

struct Datagram {
  union {
    dispatch @0 :Dispatch;
    loading @1 :Loading;
    tokenRequest @2 :TokenRequest;
    tokenReply @3 :TokenReply;
    changes @4 :Changes;
    proofRequest @5 :ProofRequest;
    proofReply @6 :ProofReply;
    cacheStore @7 :CacheStore;
    weightsQuestion @8 :Void; # How long ago were the weights named that you know of? Each is answered by a weightsAge.
    weightsAge @9 :WeightsAge;
    forward @10 :Forward;
    packed @11 :Data; # A deflated datagram.
    changesRequest @12 :ChangesRequest;
    changesReply @13 :ChangesReply;
    crashReport @14 :CrashReport;
    quarantine @15 :UInt64; # Of earlier builds; see quarantineNotice.
    rolloutReport @16 :RolloutReport;
    rolloutReply @17 :RolloutReply;
    bundle @18 :List(Data); # Several datagrams.
    permitRequest @19 :PermitRequest;
    permitReply @20 :PermitReply;
    statements @21 :List(Statement); # What targets have begun or ceased to state.
    statementsQuery @22 :Void; # What do targets state? The reply is `statements`.
    streamRecord :group {
      # Targets of this software version began this stream.
      key @23 :UInt64;
      version @24 :UInt32; # Digest.
    }
    streamQuery :group {
      # Which version began this stream?
      key @25 :UInt64;
      service @26 :UInt32; # Digest of its name.
    }
    streamReply :group {
      key @27 :UInt64;
      version @28 :UInt32; # 0: not known.
    }
    slotReport @29 :SlotReport;
    slotGrant @30 :SlotGrant;
    quarantineNotice @31 :QuarantineNotice;
    quarantineObjection :group {
      # Requests with the feature were answered.
      feature @32 :UInt64;
      ageMicroseconds @33 :UInt64; # Since the last answer.
    }
    quarantineLift @34 :UInt64; # The feature is not in quarantine any more.
    tokenReturn @35 :TokenReturn;
    quarantineExplained @36 :UInt64; # The crashes counted for the feature are all those of features in quarantine.
  }
}

struct Forward {
  # A datagram for the receiver, who passes it on to others as well.
  receivers @0 :List(UInt64); # Each an IPv4 address in the upper bits, and 16 bits of its port.
  datagram @1 :Data;
}

struct PermitRequest {
  # May the sender send a request to a target that states a rate limit?
  id @0 :UInt64;
  target @1 :Text;
  rate @2 :Float64; # Requests a second, as the sender knows it.
}

struct PermitReply {
  id @0 :UInt64;
  isGranted @1 :Bool;
  waitMicroseconds @2 :UInt64; # Until the permit is valid, or until to ask again.
}

struct SlotReport {
  # What the sender has at a target that states a rejection limit.
  target @0 :Text;
  incarnation @1 :Int64;
  rejectionLimit @2 :Float64; # Rejections a second.
  sequence @3 :UInt64;
  wanted @4 :UInt32;
  inUse @5 :UInt32;
  undecided @6 :UInt32;
  rejections @7 :UInt64; # Since the sender began to count.
  lastGrant @8 :UInt64; # Newest grant that the report takes into account.
  rejectionMicroseconds @9 :UInt64; # Longest time from sending a request to its rejection; 0: not known.
  probe @10 :UInt64; # Newest grant for a probe that is undecided.
  acceptedProbe @11 :UInt64;
}

struct SlotGrant {
  # A home's reply to a report.
  target @0 :Text;
  id @1 :UInt64; # 0: nothing is granted.
  rate @2 :Float64; # Slots granted a second over all hosts while there are too few.
  report @3 :UInt64; # Sequence of the receiver's newest report.
  isProbe @4 :Bool;
  acceptanceMicroseconds @5 :UInt64; # A request that was not rejected within this time has been accepted; 0: not known.
}

struct Statement {
  # A value that a target states about itself.
  target @0 :Text;
  incarnation @1 :Int64;
  kind @2 :UInt8; # 0: rate limit, 1: rejection limit, 2: it leaves.
  value @3 :Float64;
  isEnded @4 :Bool; # It no longer does.
  ageMicroseconds @5 :UInt64; # Since it was first heard.
  heardBy @6 :Text;
}

struct CrashReport {
  # A target was lost that ran a request with this feature.
  feature @0 :UInt64;
  target @1 :UInt64; # Digest of the target's name and start.
  request @2 :UInt64; # Fingerprint of the whole request.
}

struct QuarantineNotice {
  # Requests with this feature are not to be sent to targets any more.
  feature @0 :UInt64;
  ageMicroseconds @1 :UInt64; # Since the first crash that was counted.
  isCertain @2 :Bool; # Also if it was sound before these crashes.
  targets @3 :List(UInt64); # The crashed ones that were counted, each a digest of its name and start.
}

struct ChangesRequest {
  # What changed under a prefix after a revision?
  id @0 :UInt64;
  prefix @1 :Text;
  after @2 :Int64;
}

struct ChangesReply {
  id @0 :UInt64;
  changes @1 :Changes;
  ageMicroseconds @2 :UInt64; # So long ago the sender knew of all changes up to this revision.
}

struct Dispatch {
  # A request with a long prompt was sent to an engine.
  engine @0 :Text;
  workTokens @1 :UInt32; # What the engine has to compute, in prompt tokens of a short prompt.
  newTokens @3 :UInt32; # That it adds to the engine's memory.
  isSaved @4 :Bool; # The engine saves the prompt to its cache store.
  blocks @2 :List(UInt64); # The last block of each part that other prompts may share; the engine then holds them and all before them.
  hostDigest @5 :UInt64; # Of the name of the host that sent the request; 0 without statistics.
  statistics @6 :List(Float32); # What that host has observed of the times of engines with the same model: see TimeStatistics.
}

struct Loading {
  # An engine is about to load new weights of a model and declines its requests meanwhile.
  target @0 :Text;
  milliseconds @1 :UInt32;
  model @2 :Text; # Empty from earlier builds: all models.
}

struct TokenRequest {
  id @0 :UInt64;
  team @1 :Text;
  tokens @2 :Float64;
  waitMilliseconds @3 :UInt32; # For how long the sender can wait for the tokens.
}

struct TokenReply {
  id @0 :UInt64;
  isGranted @1 :Bool;
  retryAfterMilliseconds @2 :UInt32;
  validInMilliseconds @3 :UInt32; # If granted: the tokens may be used from then on.
  hasNoPool @4 :Bool; # The sender holds no pool of the team.
}

struct TokenReturn {
  # Tokens that the receiver has granted and that were not used.
  team @0 :Text;
  tokens @1 :Float64;
}

struct Changes {
  # All that the store reported under a prefix between two of its revisions.
  prefix @0 :Text;
  after @1 :Int64;
  upTo @2 :Int64;
  entries @3 :List(Entry);
  silenceMilliseconds @4 :UInt32; # For how long before the sender could not have heard of them.
  latestStart @5 :Int64 = 0x7fffffffffffffff; # Only for a receiver that has reached no more than this.
  awayMilliseconds @6 :UInt32 = 0xffffffff; # For how long before the store had answered nobody; the default: not known.
  returnAgeMilliseconds @7 :UInt32; # Since it answers again after that.
  ageMilliseconds @8 :UInt32; # So long ago the sender knew that these are all changes up to then.
  process @9 :UInt64; # Random id of the sender's process; 0: not told.
  sentMicroseconds @10 :UInt64; # When the sender made this, by a clock of its own.

  struct Entry {
    key @0 :Text;
    value @1 :Data;
    revision @2 :Int64;
    isDeleted @3 :Bool;
    isOmitted @4 :Bool; # The value is too long for a datagram and has to be read from the store.
  }
}

struct ProofRequest {
  id @0 :UInt64;
}

struct ProofReply {
  # The configuration with this revision was the newest so long before this answer was made.
  id @0 :UInt64;
  revision @1 :Int64;
  ageMicroseconds @2 :UInt64;
  version @3 :Int64; # The operators' number of it; 0: not told.
}

struct WeightsAge {
  # New weights of a model were named so long before this answer was made.
  model @0 :Text;
  version @1 :Int64;
  ageMilliseconds @2 :UInt64;
}

struct RolloutReport {
  # What a host counted during the rollout of a service.
  id @0 :UInt64;
  service @1 :Text;
  order @2 :Int64; # Revision of the operator's order in the store.
  position @3 :Int64; # Of the newest record that the host has applied.
  orderAgeMilliseconds @4 :Int64 = -1; # Since the host learned of the order; negative if it found it when it started.
  otherInFlight @5 :UInt32; # Requests at targets of other versions than the ordered one.
  process @6 :UInt64;
  requests @7 :UInt32;
  exposed @8 :UInt32; # Requests sent to the ordered version.
  allowance @9 :UInt32;
  routes @10 :List(Route);
  targets @11 :List(Target);

  struct Route {
    route @0 :UInt64; # Digest of its name.
    serving @1 :List(UInt32); # Answers by slowness, then failures.
    candidate @2 :List(UInt32);
  }

  struct Target {
    target @0 :UInt64; # Digest of its id.
    answers @1 :UInt32;
    bad @2 :UInt32;
  }
}

struct RolloutReply {
  # The leader lets a host send requests to the ordered version.
  id @0 :UInt64; # Of the report.
  service @1 :Text;
  order @2 :Int64;
  position @3 :Int64;
  validMilliseconds @4 :UInt32; # From when the report was sent.
  allowance @5 :UInt32; # Requests since the host learned of the order.
  excludedTargets @6 :List(UInt64);
}

struct CacheStore {
  address @0 :Text;
  isAlive @1 :Bool;
}

@0xb7c15f0a9d3e4c21;
# Messages between hosts of a cell. Each struct mirrors the NamedTuple of the
# same name in messages.py or records.py. A change that other versions cannot
# decode increments PROTOCOL_VERSION in wire.py; version and sender keep their
# ordinals.

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  cell @2 :Text;
  body :union {
    heartbeat @3 :Heartbeat;
    recordNotice @4 :RecordNotice;
    grantRequest @5 :GrantRequest;
    grantReply @6 :GrantReply;
    grantCancel @7 :GrantCancel;
    grantRenew @8 :GrantRenew;
    grantExpired @9 :GrantExpired;
    grantProgress @10 :GrantProgress;
    grantRelease @11 :GrantRelease;
    holdingsQuery @12 :HoldingsQuery;
    holdingsReply @13 :HoldingsReply;
    chargeRequest @14 :ChargeRequest;
    chargeReply @15 :ChargeReply;
    chargeRelease @16 :ChargeRelease;
    claimRequest @17 :ClaimRequest;
    claimReply @18 :ClaimReply;
    outcomeReport @19 :OutcomeReport;
    outcomeAck @20 :OutcomeAck;
    bundleRequest @21 :BundleRequest;
    bundleReply @22 :BundleReply;
    findRequest @23 :FindRequest;
    findReply @24 :FindReply;
  }
}

struct Echo {
  host @0 :Text;
  sentMs @1 :Int64;
}

struct Support {
  partition @0 :Text;
  host @1 :Text;
}

struct PartitionLoad {
  partition @0 :Text;
  shortWaitMs @1 :Int64;
  mediumWaitMs @2 :Int64;
  longWaitMs @3 :Int64;
  queued @4 :Int64;
}

struct Blame {
  fingerprint @0 :UInt64;
  score @1 :Float64;
}

struct Heartbeat {
  cell @0 :Text;
  incarnation @1 :Text;
  epoch @2 :Int64;
  sentMs @3 :Int64;
  echoes @4 :List(Echo);
  supports @5 :List(Support);
  released @6 :List(Text);
  leaving @7 :Bool;
  configVersion @8 :Int64;
  loads @9 :List(PartitionLoad);
  blames @10 :List(Blame);
  votesNumber @11 :Int64;
  repeatsVotes @12 :Bool;
}

struct RecordNotice {
  epoch @0 :Int64;
  members @1 :List(Text);
}

struct RequestSpec {
  requestId @0 :Text;
  workspace @1 :Text;
  service @2 :Text;
  promptTokens @3 :Int64;
  maxOutputTokens @4 :Int64;
  fingerprint @5 :UInt64;
  bodyDigest @6 :UInt64;
  prefixHashes @7 :List(UInt64);
  idempotencyKey @8 :Text;
  keyAgeMs @9 :Int64;
}

struct GrantRequest {
  partition @0 :Text;
  request @1 :RequestSpec;
  remainingMs @2 :Int64;
  priority @3 :Int64;
  excludedTargets @4 :List(Text);
  sentMs @5 :Int64;
}

struct GrantedTarget {
  name @0 :Text;
  address @1 :Text;
  tokens @2 :Int64;
}

struct GrantReply {
  partition @0 :Text;
  requestId @1 :Text;
  granted @2 :Bool;
  attemptId @3 :Text;
  targets @4 :List(GrantedTarget);
  enginePriority @5 :Int64;
  fence @6 :Int64;
  code @7 :Text;
  retryAfterMs @8 :Int64;
  askedMs @9 :Int64;
}

struct GrantCancel {
  partition @0 :Text;
  requestId @1 :Text;
}

struct GrantRenew {
  partition @0 :Text;
  attemptIds @1 :List(Text);
}

struct GrantExpired {
  partition @0 :Text;
  attemptId @1 :Text;
  moved @2 :Bool;
}

struct GrantProgress {
  partition @0 :Text;
  attemptId @1 :Text;
  ttftMs @2 :Int64;
}

struct GrantRelease {
  partition @0 :Text;
  attemptId @1 :Text;
  outcome @2 :Text;
  outputTokens @3 :Int64;
  durationMs @4 :Int64;
}

struct HoldingsQuery {
  partition @0 :Text;
}

struct Holding {
  attemptId @0 :Text;
  request @1 :RequestSpec;
  targets @2 :List(GrantedTarget);
  remainingMs @3 :Int64;
  firstTokenSeen @4 :Bool;
}

struct ChargeRequest {
  partition @0 :Text;
  requestId @1 :Text;
  workspace @2 :Text;
  tokens @3 :Int64;
}

struct HoldingsReply {
  partition @0 :Text;
  holdings @1 :List(Holding);
  charges @2 :List(ChargeRequest);
}

struct ChargeReply {
  partition @0 :Text;
  requestId @1 :Text;
  granted @2 :Bool;
  code @3 :Text;
  retryAfterMs @4 :Int64;
  bundleVersion @5 :Int64;
}

struct ChargeRelease {
  partition @0 :Text;
  requestId @1 :Text;
  workspace @2 :Text;
  tokens @3 :Int64;
}

struct ClaimRequest {
  partition @0 :Text;
  claimId @1 :Text;
  workspace @2 :Text;
  key @3 :Text;
  keyAgeMs @4 :Int64;
  bodyDigest @5 :UInt64;
}

struct ClaimReply {
  partition @0 :Text;
  claimId @1 :Text;
  outcome @2 :Text;
  recorded @3 :Data;
  retryAfterMs @4 :Int64;
}

struct OutcomeReport {
  partition @0 :Text;
  claimId @1 :Text;
  workspace @2 :Text;
  key @3 :Text;
  state @4 :Text;
  answer @5 :Data;
}

struct OutcomeAck {
  partition @0 :Text;
  claimId @1 :Text;
}

struct BundleRequest {
  version @0 :Int64;
}

struct BundleReply {
  version @0 :Int64;
  content @1 :Data;
}

struct FindRequest {
  partition @0 :Text;
  requestId @1 :Text;
}

struct FindReply {
  partition @0 :Text;
  requestId @1 :Text;
  found @2 :Bool;
  attemptId @3 :Text;
  targets @4 :List(GrantedTarget);
  remainingMs @5 :Int64;
}

@0xd1a5b7c3e9f04812;

# State of one host, sent to its peers as a datagram. A later message of the
# same incarnation replaces an earlier one.
struct HostState {
  name @0 :Text;
  zone @1 :Text;
  callerAddress @2 :Text;
  peerAddress @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt32;
  ready @6 :Bool;
  storeRevision @7 :UInt64;
  commitments @8 :List(Commitment);
  notes @9 :List(TargetNote);
  # Not sent any more.
  crashes @10 :List(CrashCount);
  # Time since the store last answered this host.
  storeAgeMs @11 :UInt32;
  blamed @12 :List(BlamedRequest);
  crashedRuns @13 :List(CrashedRun);
  # Not sent any more.
  served @14 :List(UInt64);
  # Runs that broke the connection and may have crashed.
  brokenRuns @15 :List(CrashedRun);
  # Fingerprints that a peer blames or suspects and that were served here.
  servedRequests @16 :List(ServedRequest);
  # Targets that have named a limit, or did so until lately.
  limits @17 :List(NamedLimit);
  # Services whose targets this host does not reach over its own links.
  lostServices @18 :List(Text);
  # Whether this host serves requests that peers send to it.
  acceptsRequests @19 :Bool;
  # When the targets of these services failed.
  failingTargets @20 :List(TargetAge);
  # Targets that fail at a peer and that this host has reached since.
  reachedTargets @21 :List(TargetAge);
  # Revision up to which this host knows which items have changed; it may still
  # lack large ones. Above 0, the host answers /news and /item.
  newsRevision @22 :UInt64;
  # Name of the sender's cell; empty for older builds.
  cell @23 :Text;
  # For a host of another cell: without commitments and notes.
  isSummary @24 :Bool;
  # What the sender's cell has free; only in summaries.
  rooms @25 :List(ServiceRoom);
  # History of the store that storeRevision and newsRevision belong to; 0 for
  # older builds.
  storeEra @26 :UInt64;
  # Whether this host refuses requests of peers of which its own configuration
  # says something else.
  checksDecisions @27 :Bool;
  # Version of the configuration in force; above 0, the host answers
  # /configuration.
  configurationVersion @28 :UInt64;
  # Hundredths of a core that the host can use; 0 if it does not tell, as older
  # builds do not.
  capacity @29 :UInt32;
  # Load in per cent of the capacity.
  load @30 :UInt8;
}

# What the targets of one service in one cell have free.
struct ServiceRoom {
  service @0 :Text;
  targets @1 :UInt32;
  freeSlots @2 :UInt32;
  # Mean prefill that is pending on a target.
  pendingMs @3 :Float32;
}

struct TargetAge {
  targetId @0 :Text;
  startedMs @1 :UInt64;
  ageMs @2 :UInt32;
}

struct Commitment {
  targetId @0 :Text;
  ageMs @1 :UInt32;
  readMs @2 :Float32;
  writes @3 :Bool;
  writing @4 :Bool;
  pauseGoalMs @5 :UInt32;
  contextTokens @6 :UInt32;
  value @7 :Float32;
  memoryTokens @8 :UInt32;
  # Hash of the attempt id, the same on all targets of the request.
  request @9 :UInt32;
  isPart @10 :Bool;
  # Time after the placement at which the first token is late.
  goalMs @11 :Int32;
  # Time after the placement at which the caller disconnects.
  patienceMs @12 :Int32;
  # Hash of the name of the workspace; 0 for older builds.
  workspace @13 :UInt32;
}

struct TargetNote {
  targetId @0 :Text;
  failing @1 :Float32;
  slowness @2 :Float32;
  # Time for which the target is not selected, as it refuses connections.
  refusingMs @3 :UInt32;
}

# A request that all hosts refuse, as it crashes targets.
struct BlamedRequest {
  fingerprint @0 :UInt64;
  # Time since it was last received.
  ageMs @1 :UInt32;
  # The crashes that led to the blame, 0 if they are not known.
  crashes @2 :UInt32;
  # Time since all hosts began to refuse it.
  sinceAgeMs @3 :UInt32;
}

# What a host knows of the limit of one run of a target.
struct NamedLimit {
  targetId @0 :Text;
  startedMs @1 :UInt64;
  # Whether the target has told this host itself; the next three fields are
  # empty otherwise.
  isTold @2 :Bool;
  isLimited @3 :Bool;
  # Requests a second.
  perS @4 :Float64;
  # Time since the answer that told it.
  ageMs @5 :UInt32;
  # Times since the latest requests of this host to the target.
  sentAgesMs @6 :List(UInt32);
}

# Successes at one host since its fingerprint was suspected.
struct ServedRequest {
  fingerprint @0 :UInt64;
  successes @1 :UInt32;
  # Time since the last one.
  ageMs @2 :UInt32;
}

# A run of a target that crashed under a request.
struct CrashedRun {
  fingerprint @0 :UInt64;
  # Hash of the target's id and start.
  run @1 :UInt64;
}

struct CrashCount {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
}

# A request that a host has a peer serve.
struct RelayedRequest {
  sender @0 :Text;
  method @1 :Text;
  # Path and query.
  target @2 :Text;
  headers @3 :List(Header);
  keys @4 :List(Text);
  # Time until the final answer is due.
  remainingMs @5 :UInt32;
  # Tries that were sent to a target, and these targets.
  triesSent @6 :UInt16;
  reachedTargetIds @7 :List(Text);
  lastEventId @8 :Text;
  # Whether the retry budget of the sender counts the request.
  isCounted @9 :Bool;
  # Without a service for older builds.
  decision @10 :Decision;
  # A blamed part that the request is to try, 0 for other requests.
  trialPart @11 :UInt64;
}

# What the sender's configuration says of a request.
struct Decision {
  service @0 :Text;
  # Empty where no key is required.
  workspace @1 :Text;
  streaming @2 :Bool;
  retryPolicy @3 :Text;
  maxTargets @4 :UInt32;
}

struct Header {
  name @0 :Text;
  text @1 :Text;
}

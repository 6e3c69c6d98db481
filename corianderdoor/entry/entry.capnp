# Messages between entry hosts.
#
# Fields must not be renumbered or removed: hosts of two releases exchange
# messages during an upgrade.

@0xc5b1d63f08a47e21;

# Heartbeat to the other entry hosts.
struct Heartbeat {
  sender @0 :Text;
  boot @1 :UInt64;
  revision @2 :UInt64;
  contactAgeMs @3 :UInt32;  # since the last contact with the store
  leaving @4 :Bool;
  loads @5 :List(Load);
  cachedParts @6 :List(CachedPart);
  livePeers @7 :UInt16;  # number of peers whose heartbeats arrive
  ejected @8 :List(UInt64);  # digests of ejected servers
  crashes @9 :List(Crash);
  intervalMs @10 :UInt16 = 200;  # until the next heartbeat
  cpuPercent @11 :UInt8;  # in percent
  unreached @12 :List(UInt64);  # digests of servers
  linksCut @13 :Bool;  # the sender reaches servers only through peers
  era @14 :UInt64;  # era of the store that the revision belongs to
  leavingServers @15 :List(UInt64);  # digests of servers' incarnations
  rooms @16 :List(Room);
  rollouts @17 :List(Rollout);
  attempts @18 :List(Attempt);
  parts @19 :List(SuspectPart);
  limits @20 :List(Limit);
  hasOverrides @21 :Bool;  # pages of the sender have overrides
  overridesDigest @22 :UInt32;  # of those, 0: not told
}

# What hosts tell each other of the origin of a stream.
struct StreamMessage {
  stream @0 :UInt64;  # digest of the id of the attempt that began it
  kind @1 :Kind;
  question @2 :UInt32;  # number of the question, and of its answer
  service @3 :Text;
  version @4 :Text;  # software version of the server that began it
  leftMs @5 :UInt32;  # how long its caller may resume it

  enum Kind {
    record @0;
    question @1;
    known @2;
    unknown @3;
  }
}

# An attempt at a backend server that crashed meanwhile.
struct Attempt {
  id @0 :UInt64;
  request @1 :UInt64;  # fingerprint
  server @2 :UInt64;  # digest of the server's id
  ageMs @3 :UInt32;  # since the connection failed
  begun @4 :Bool;  # whether the head of the answer had arrived
  parts @5 :List(UInt64);  # digests of the prompt's shared parts, in order
}

# The rate of requests that a backend server takes from all hosts together.
struct Limit {
  server @0 :UInt64;  # digest of the server's id
  perSecond @1 :Float64;  # negative: its answers no longer name one
  ageMs @2 :UInt32;  # since the answer that said so
}

# A part of prompts that may crash the servers that answer it.
struct SuspectPart {
  part @0 :UInt64;  # digest of the part's id
  answeredAgeMs @1 :UInt32 = 0xffffffff;  # highest value: not told
  quarantinedAgeMs @2 :UInt32 = 0xffffffff;  # highest value: it is not
  periodMs @3 :UInt32;  # of the quarantine
}

# A request, identified by a digest, during which a backend server crashed.
struct Crash {
  request @0 :UInt64;
  server @1 :UInt64;
}

# A part of prompts that a backend server keeps in its cache.
struct CachedPart {
  part @0 :UInt64;  # digest of the part's id
  server @1 :UInt64;
}

# Room of a backend server that falls over if it turns away too much.
struct Room {
  server @0 :UInt64;  # digest of the server's id
  limit @1 :UInt32;  # rejections in a second that the server bears
  rejected @2 :UInt16;  # rejections of the last second, by the sender
  room @3 :UInt16;  # requests in progress
}

# What the sender has counted since the order of a rollout. The counts only
# grow within one boot of the sender.
struct Rollout {
  service @0 :UInt64;  # digest of the service's name
  orderRevision @1 :UInt64;  # revision of the order in the store
  sharePermille @2 :UInt16;  # share of requests sent to the new version
  isBad @3 :Bool;  # the sender has found the version bad
  routes @4 :List(RouteCounts);
  servers @5 :List(NewServer);
}

# Answers of one route by version.
struct RouteCounts {
  route @0 :UInt64;  # digest of the route's name
  oldAnswers @1 :UInt32;
  oldBad @2 :UInt32;
  newAnswers @3 :UInt32;
  newBad @4 :UInt32;
}

# Answers of one server of the new version.
struct NewServer {
  server @0 :UInt64;  # digest of the server's id
  answers @1 :UInt32;
  bad @2 :UInt32;
}

# Requests that the sender has in progress at one backend server.
struct Load {
  server @0 :UInt64;  # digest of the server's id
  count @1 :UInt16;
  unread @2 :UInt32;  # tokens of their prompts that are not yet read
}

# Contents of the servers' caches, saved in the store for hosts that start.
struct Caches {
  servers @0 :List(Text);
  cachedParts @1 :List(CachedPart);  # each `server` is an index into `servers`
}

struct Page {
  revision @0 :UInt64;
  full @1 :Bool;  # whether it has all items
  changes @2 :List(Change);
  era @3 :UInt64;  # era of the store
  restoredRevision @4 :UInt64;  # items up to it may come from a copy
  overrides @5 :List(Change);  # in force in place of items of the copy
  # Digests of all that was listed there in this era; none: not told.
  listed @6 :List(UInt64);
}

struct Change {
  key @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  graceMs @3 :UInt32;
  value @4 :Data;
}

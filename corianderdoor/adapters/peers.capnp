# Datagrams between the daemons of a fleet.
#
# Fields are never renumbered or removed, because daemons of two releases
# exchange datagrams during an upgrade. Unknown message types are dropped and
# counted.

@0xd4a1f0c76be2935d;

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;

  # One line per message type; the structs are defined below.
  union {
    none @3 :Void;
    ping @4 :Ping;
    indirectPing @5 :IndirectPing;
    ack @6 :Ack;
    quotaAsk @7 :QuotaAsk;
    quotaGrant @8 :QuotaGrant;
    load @9 :LoadMessage;
    nack @10 :Nack;
    syncRequest @11 :SyncRequest;
    syncPage @12 :SyncPage;
    configNotice @13 :ConfigNotice;
    crashReports @14 :CrashReports;
  }
}

# The state of one member, as spread by gossip.
struct Update {
  name @0 :Text;
  incarnation @1 :UInt64;
  refutations @2 :UInt32;
  state @3 :UInt8;
  control @4 :Text;
  dataCentre @5 :Text;
  region @6 :Text;
}

# Fields that ping, indirectPing and ack share.
struct Gossip {
  revision @0 :UInt64;
  digest @1 :UInt32;
  updates @2 :List(Update);
}

struct Ping {
  id @0 :UInt32;
  gossip @1 :Gossip;
}

struct IndirectPing {
  id @0 :UInt32;
  target @1 :Text;
  gossip @2 :Gossip;
}

struct Ack {
  id @0 :UInt32;
  gossip @1 :Gossip;
}

struct Nack {
  id @0 :UInt32;
}

struct SyncRequest {
  digests @0 :List(UInt32);
}

struct SyncPage {
  updates @0 :List(Update);
}

# The sender holds this configuration revision and serves it to peers that
# pull it. `ask` requests the receiver's own notice in return.
struct ConfigNotice {
  revision @0 :UInt64;
  ask @1 :Bool;
}

# The limit of one workspace in one pool.
struct QuotaSlot {
  workspace @0 :Text;
  pool @1 :Text;
  rate @2 :UInt32;
  concurrency @3 :UInt32;
}

struct QuotaAsk {
  slot @0 :QuotaSlot;
  seq @1 :UInt64;
  inUse @2 :UInt32;
  wantSlots @3 :UInt32;
  wantTokens @4 :UInt32;
  demand @5 :UInt32;
}

struct QuotaGrant {
  slot @0 :QuotaSlot;
  seq @1 :UInt64;
  slots @2 :UInt32;
  tokens @3 :UInt32;
  share @4 :UInt32;
  holdMs @5 :UInt32;
  retryMs @6 :UInt32;
}

# Messages with which routers enforce the load bound of servers.
struct LoadMessage {
  union {
    ask @0 :PermitAsk;
    answer @1 :PermitAnswer;
    release @2 :PermitRelease;
    handOff @3 :HandOff;
    takeOver @4 :TakeOver;
    digest @5 :LoadDigest;
  }
}

struct PermitAsk {
  id @0 :UInt64;
  server @1 :Text;
  weight @2 :UInt32;
  ttlMs @3 :UInt32;
  tier @4 :UInt8;
  workspace @5 :UInt32;
  priority @6 :UInt8;
}

struct PermitAnswer {
  id @0 :UInt64;
  verdict @1 :Text;
}

struct PermitRelease {
  id @0 :UInt64;
  server @1 :Text;
  served @2 :Bool;
  firstTokenMs @3 :Int32 = -1;
  crashed @4 :Bool;
}

struct HandOff {
  server @0 :Text;
  incarnation @1 :UInt64;
  work @2 :UInt64;
  requests @3 :UInt32;
  allowed @4 :UInt32;
}

struct TakeOver {
  server @0 :Text;
  incarnation @1 :UInt64;
}

struct LoadDigest {
  seq @0 :UInt64;
  sums @1 :List(PoolSum);
  levels @2 :List(Level);
  scope @3 :UInt8;
}

struct PoolSum {
  pool @0 :Text;
  load @1 :UInt64;
  capacity @2 :UInt32;
}

struct Level {
  server @0 :Text;
  level @1 :UInt8;
}

# Evidence that a request crashed a backend server.
struct CrashReport {
  key @0 :UInt64;
  exact @1 :Bool;
  server @2 :Text;
  incarnation @3 :UInt64;
  number @4 :UInt32;
  sole @5 :Bool;
  ageMs @6 :UInt32;
}

struct CrashReports {
  reports @0 :List(CrashReport);
}

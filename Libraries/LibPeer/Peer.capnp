@0xd3b8f6a1c27e4590;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("radishcross::peer::wire");

struct Address {
  host @0 :Text;
  port @1 :UInt16;
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct Target {
  service @0 :Text;
  targetId @1 :Text;
  address @2 :Address;
  state @3 :UInt8;
  slots @4 :UInt32;
  connections @5 :UInt32;
  loadPermille @6 :UInt32;
  epoch @7 :UInt64;
  softwareVersion @8 :Text;
  statedWarmUp @9 :UInt16; # Milliseconds and 1; 0: not stated.
}

struct HeldException {
  configuration @0 :Text;
  version @1 :UInt64;
}

struct Departure {
  targetId @0 :Text;
  epoch @1 :UInt64;
}

struct Content {
  dataCentre @0 :Text;
  region @1 :Text;
  labels @2 :List(Label);
  gossip @3 :Address;
  peer @4 :Address;
  mesh @5 :Address;
  administration @6 :Address;
  targets @7 :List(Target);
  exceptions @8 :List(HeldException);
  knowsExceptions @9 :Bool;
  departures @10 :List(Departure);
  knowsDepartures @11 :Bool;
}

struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  state @3 :UInt8;
  content @4 :Content;
  held @5 :UInt64;
  isRecovered @6 :Bool;
  inForce @7 :UInt64;
}

struct Notice {
  topic @0 :Text;
  text @1 :Text;
  revision @2 :UInt64;
  lifetimeMilliseconds @3 :UInt32;
}

struct Digest {
  held @0 :UInt64;
  foldHash @1 :UInt64;
  membersHash @2 :UInt64;
  isRecovered @3 :Bool;
  inForce @4 :UInt64;
  external @5 :UInt64;
  externalAge @6 :UInt32;
}

struct AllotmentNeed {
  tenant @0 :Text;
  used @1 :UInt64;
  stock @2 :UInt32;
  want @3 :UInt32;
}

struct AllotmentGrant {
  tenant @0 :Text;
  kept @1 :UInt32;
  granted @2 :UInt32;
}

struct Allotment {
  isAnswer @0 :Bool;
  group @1 :UInt32;
  session @2 :UInt64;
  sequence @3 :UInt64;
  stamp @4 :UInt64;
  shareOf @5 :UInt32;
  needs @6 :List(AllotmentNeed);
  grants @7 :List(AllotmentGrant);
}

struct Datagram {
  sender @0 :Text;
  epoch @1 :UInt64;
  sequence @2 :UInt64;
  kind @3 :UInt8;
  probe @4 :UInt64;
  subject @5 :Text;
  summary @6 :Digest;
  updates @7 :List(Member);
  notices @8 :List(Notice);
  allotment @9 :Allotment;
}

struct Record {
  at @0 :UInt64;
  bytes @1 :Data;
}

struct PullRequest {
  sender @0 :Text;
  nonce @1 :UInt64;
  kind @2 :UInt8;
  from @3 :UInt64;
  buckets @4 :List(UInt64);
}

struct PullAnswer {
  nonce @0 :UInt64;
  kind @1 :UInt8;
  code @2 :UInt16;
  retryAfterMilliseconds @3 :UInt32;
  summary @4 :Digest;
  records @5 :List(Record);
  state @6 :Data;
  stateOffset @7 :UInt64;
  members @8 :List(Member);
}

@0xd4a1b6c09e3f7752;
# Messages between daemons. Daemon is served over TCP, Gossip travels in UDP datagrams.

enum Outcome { ran @0; notRun @1; unknown @2; }

enum Reason {
  none @0; busy @1; late @2; leaving @3; held @4; noTarget @5; unreachable @6;
  crashed @7; cut @8; expired @9; storeDown @10; conflict @11; alreadyRan @12;
  inProgress @13; refusedBefore @14; tooDeep @15; tooLarge @16; unknownService @17;
  unknownMethod @18; targetShed @19; targetFailing @20; badRequest @21; unknownPath @22; notReady @23;
  slow @24; storeRestored @25; unknownKey @26; overQuota @27; evacuated @28;
}

struct Header { name @0 :Text; value @1 :Data; }

struct Load {
  inFlight @0 :UInt16;
  queued @1 :UInt16;
  slots @2 :UInt16;
  serviceMicros @3 :UInt32;
  leaving @4 :Bool;
  patient @5 :UInt16;
  pacePercent @6 :UInt16;
  startPeriodMicros @7 :UInt32;
}

struct Request {
  id @0 :Text;
  service @1 :Text;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  remainingMicros @6 :UInt32;
  depth @7 :UInt8;
  mayWait @8 :Bool;
  mayQueue @9 :Bool;
  repeatable @10 :Bool;
  crashes @11 :UInt8;
  claimTag @12 :Text;
  recallOnly @14 :Bool;
  fingerprint @13 :UInt64;
  caller @15 :Text;
  kind @16 :Text;
  rank @17 :UInt8;
  aimMicros @18 :UInt32;
  once @19 :Bool;
  entry @20 :UInt64;
  organisation @21 :Text;
  organisationPriority @22 :UInt8;
}

struct Answer {
  outcome @0 :Outcome;
  reason @1 :Reason;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  load @5 :Load;
  retryAfterMillis @6 :UInt32;
  node @7 :UInt64;
  serviceMicros @8 :UInt32;
}

struct Change {
  revision @0 :UInt64;
  service @1 :Text;
  body @2 :Text;
  published @3 :UInt64;
}

struct Member {
  node @0 :UInt64;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  address @3 :Text;
  dataCentre @4 :Text;
  service @5 :Text;
  slots @6 :UInt16;
}

struct Hold {
  fingerprint @0 :UInt64;
  crash @1 :UInt64;
  held @2 :Bool;
}

struct QuotaWant {
  organisation @0 :Text;
  tokens @1 :Float64;
}

struct QuotaRequest {
  from @0 :UInt64;
  borrows @1 :Bool;
  credit @2 :Float64;
  wants @3 :List(QuotaWant);
}

struct QuotaGrant {
  organisation @0 :Text;
  tokens @1 :Float64;
  retryAfterMillis @2 :UInt32;
}

struct QuotaReply {
  grants @0 :List(QuotaGrant);
}

interface Daemon {
  call @0 (request :Request) -> (answer :Answer);
  load @1 () -> (load :Load);
  changes @2 (after :UInt64) -> (revision :UInt64, changes :List(Change));
  members @3 (bucketDigests :List(UInt64)) -> (members :List(Member));
  explain @4 (id :Text) -> (lines :List(Text));
  exchangeQuota @5 (request :QuotaRequest) -> (reply :QuotaReply);
}

struct Gossip {
  kind @0 :UInt8;
  sequence @1 :UInt64;
  sender @2 :Member;
  revision @3 :UInt64;
  subject @4 :UInt64;
  updates @5 :List(Member);
  holds @6 :List(Hold);
  digest @7 :UInt64;
  load @8 :Load;
  storeRound @9 :UInt64;
  storeAgeMillis @10 :UInt32;
  hosts @11 :UInt32;
  evacuated @12 :List(Text);
  evacuationEra @13 :UInt64;
  evacuationVersion @14 :UInt64;
}

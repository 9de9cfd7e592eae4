# What voters say to each other, and the records of the data folder. Encoded
# and decoded by flamingohollow/peer_codec.cc; the fields mean what
# flamingohollow/raft_message.h and raft_log.h say.
@0x92883401323c6e5c;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingohollow::schema");

struct PeerMember {
  id @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  learner @3 :Bool;
}

struct PeerEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  command @3 :Data;
  membership @4 :List(PeerMember);
}

struct PeerVoteRequest {
  preVote @0 :Bool;
  transfer @1 :Bool;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct PeerVoteReply {
  preVote @0 :Bool;
  granted @1 :Bool;
}

struct PeerAppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  commit @2 :UInt64;
  round @3 :UInt64;
  sent @4 :Int64;
  entries @5 :List(PeerEntry);
}

struct PeerAppendReply {
  accepted @0 :Bool;
  match @1 :UInt64;
  round @2 :UInt64;
  sent @3 :Int64;
  holdsLog @4 :Bool;
}

struct PeerSnapshotChunk {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :List(PeerMember);
  offset @3 :UInt64;
  total @4 :UInt64;
  data @5 :Data;
  round @6 :UInt64;
  sent @7 :Int64;
}

struct PeerSnapshotReply {
  index @0 :UInt64;
  offset @1 :UInt64;
  round @2 :UInt64;
  sent @3 :Int64;
}

struct PeerProbe {
  nonce @0 :UInt64;
  members @1 :List(UInt64);
}

struct PeerProbeReply {
  nonce @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  state @3 :UInt8;
  pledge @4 :UInt64;
}

struct PeerFoundRequest {
  take @0 :Bool;
  membership @1 :List(PeerMember);
}

struct PeerFoundReply {
  take @0 :Bool;
  accepted @1 :Bool;
  name @2 :Text;
  digest @3 :UInt64;
}

struct PeerMessage {
  group @0 :UInt32;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  fromAddress @4 :Text;
  body :union {
    voteRequest @5 :PeerVoteRequest;
    voteReply @6 :PeerVoteReply;
    appendRequest @7 :PeerAppendRequest;
    appendReply @8 :PeerAppendReply;
    snapshotChunk @9 :PeerSnapshotChunk;
    snapshotReply @10 :PeerSnapshotReply;
    campaignNow @11 :Void;
    probe @12 :PeerProbe;
    probeReply @13 :PeerProbeReply;
    foundRequest @14 :PeerFoundRequest;
    foundReply @15 :PeerFoundReply;
  }
}

# One record of a segment file.
struct DiskRecord {
  union {
    # Opens a segment: the last entry that earlier segments hold.
    base @0 :DiskBase;
    hardState @1 :DiskHardState;
    # Ends the log at its index: what was there and after it is gone.
    entry @2 :PeerEntry;
  }
}

struct DiskBase {
  index @0 :UInt64;
  term @1 :UInt64;
}

struct DiskHardState {
  term @0 :UInt64;
  vote @1 :UInt64;
  pledge @2 :UInt64;
}

# What stands before the owner's bytes in a snapshot file.
struct DiskSnapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :List(PeerMember);
  data @3 :Data;
}

struct DiskIdentity {
  voter @0 :UInt64;
  group @1 :UInt32;
  name @2 :Text;
}

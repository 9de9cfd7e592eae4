# The binary form of durable records and of the messages between entries and
# control. flamingohollow/codec.cc turns it into the plain structs and back.
# Regenerate with tools/generate.

@0xd2b1c37e55a0f4b1;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingohollow::wire");

struct Cell {
  count @0 :UInt32;
  accelerators @1 :UInt32;
  adjacency @2 :UInt8;
}

struct Row {
  customer @0 :Text;
  weight @1 :Float64;
  guaranteed @2 :List(Cell);
  maxBorrowed @3 :UInt32;
  maxQueued @4 :UInt32;
  maxRate @5 :Float64;
  version @6 :UInt64;
}

struct TableChange {
  requestId @0 :Text;
  baseVersion @1 :UInt64;
  upserts @2 :List(Row);
  removals @3 :List(Text);
  operator @4 :Text;
  atMs @5 :Int64;
}

struct TableResult {
  outcome @0 :UInt8;
  version @1 :UInt64;
  reason @2 :Text;
}

struct ChangeRecord {
  requestId @0 :Text;
  bodyHash @1 :UInt64;
  operator @2 :Text;
  atMs @3 :Int64;
  changed @4 :List(Text);
  result @5 :TableResult;
}

struct Table {
  version @0 :UInt64;
  rows @1 :List(Row);
  history @2 :List(ChangeRecord);
}

struct JobSpec {
  customer @0 :Text;
  requestId @1 :Text;
  accelerators @2 :UInt32;
  adjacency @3 :UInt8;
  urgent @4 :Bool;
  idempotent @5 :Bool;
  reclaimable @6 :Bool;
  runTimeMs @7 :Int64;
  deadlineMs @8 :Int64;
}

struct Slice {
  worker @0 :Text;
  incarnation @1 :UInt64;
  accelerators @2 :UInt32;
}

struct JobAccepted {
  spec @0 :JobSpec;
  atMs @1 :Int64;
}

struct JobMayRun {
  job @0 :UInt64;
  attempt @1 :UInt32;
  slices @2 :List(Slice);
  atMs @3 :Int64;
}

struct JobRequeued {
  job @0 :UInt64;
  attempt @1 :UInt32;
  reason @2 :Text;
  atMs @3 :Int64;
  onOrder @4 :Bool;
}

struct JobEnded {
  job @0 :UInt64;
  outcome @1 :UInt8;
  reason @2 :Text;
  retryAfterMs @3 :Int64;
  parts @4 :List(Data);
  atMs @5 :Int64;
}

# Evacuates a failure domain, or takes it back.
struct EvacuationOrder {
  domain @0 :Text;
  evacuate @1 :Bool;
  number @2 :UInt64;
  atMs @3 :Int64;
}

struct Evacuation {
  domain @0 :Text;
  inForce @1 :Bool;
  number @2 :UInt64;
  orderedMs @3 :Int64;
}

struct Command {
  union {
    tableChange @0 :TableChange;
    jobAccepted @1 :JobAccepted;
    jobMayRun @2 :JobMayRun;
    jobRequeued @3 :JobRequeued;
    jobEnded @4 :JobEnded;
    evacuation @5 :EvacuationOrder;
  }
}

struct JobRecord {
  id @0 :UInt64;
  spec @1 :JobSpec;
  acceptedAtMs @2 :Int64;
  mayRunAttempt @3 :UInt32;
  slices @4 :List(Slice);
  mayBeRunning @5 :Bool;
  end :union {
    none @6 :Void;
    some @7 :JobEnded;
  }
  mayRunAttempts @8 :UInt32;
  attemptsStoppedOnOrder @9 :UInt32;
}

struct JobRecords {
  jobs @0 :List(JobRecord);
  evacuations @1 :List(Evacuation);
}

struct JobView {
  job @0 :UInt64;
  spec @1 :JobSpec;
  outcome @2 :UInt8;
  reason @3 :Text;
  retryAfterMs @4 :Int64;
  parts @5 :List(Data);
  attempt @6 :UInt32;
  slices @7 :List(Slice);
}

struct LeaseReport {
  job @0 :UInt64;
  attempt @1 :UInt32;
  task @2 :UInt32;
  accelerators @3 :UInt32;
  state @4 :UInt8;
  part @5 :Data;
}

struct WorkerReport {
  worker @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  address @3 :Text;
  region @4 :Text;
  failureDomain @5 :Text;
  rack @6 :Text;
  accelerators @7 :UInt32;
  slots @8 :UInt32;
  connections @9 :UInt32;
  cores @10 :UInt32;
  memoryBytes @11 :UInt64;
  usedMemoryBytes @12 :UInt64;
  state @13 :UInt8;
  leases @14 :List(LeaseReport);
}

struct WorkerCommand {
  kind @0 :UInt8;
  worker @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
  job @4 :UInt64;
  attempt @5 :UInt32;
  task @6 :UInt32;
  term @7 :UInt64;
  accelerators @8 :UInt32;
  leaseMs @9 :Int64;
  requestId @10 :Text;
  customer @11 :Text;
  runTimeMs @12 :Int64;
}

struct EntrySync {
  entry @0 :Text;
  incarnation @1 :UInt64;
  tableVersion @2 :UInt64;
  exclusionsVersion @3 :UInt64;
  reports @4 :List(WorkerReport);
  alive @5 :List(Text);
  watched @6 :List(UInt64);
  sequence @7 :UInt64;
  silent @8 :List(Text);
}

struct ControlSync {
  isLeader @0 :Bool;
  leaderAddress @1 :Text;
  term @2 :UInt64;
  leaseMs @3 :Int64;
  tableVersion @4 :UInt64;
  table :union {
    unchanged @5 :Void;
    newer @6 :Table;
  }
  exclusionsVersion @7 :UInt64;
  exclusions :union {
    unchanged @8 :Void;
    newer @9 :List(UInt64);
  }
  workerLeaseMs @10 :Int64;
  acknowledged @11 :List(Text);
  sendAllReports @12 :Bool;
  commands @13 :List(WorkerCommand);
  jobs @14 :List(JobView);
}

struct CallRequest {
  kind @0 :UInt8;
  onBehalfOf @1 :Text;
  caller @2 :Text;
  change @3 :TableChange;
  dryRun @4 :Bool;
  spec @5 :JobSpec;
  job @6 :UInt64;
  voter @7 :Text;
  address @8 :Text;
  traceParent @9 :Text;
  domain @10 :Text;
}

struct CallReply {
  isLeader @0 :Bool;
  leaderAddress @1 :Text;
  status @2 :UInt16;
  body @3 :Text;
  retryAfterMs @4 :Int64;
  job :union {
    none @5 :Void;
    some @6 :JobView;
  }
}

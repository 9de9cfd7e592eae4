// The leader's work on graph jobs: opens attempts, orders workers, notes ends.
//
// Pure: events in, actions out; the caller gives the replicated state and the
// time. Rules that it keeps:
//   - a start order leaves only after its attempt is in the log, and a worker
//     is told to forget an end only after that is in the log;
//   - an attempt counts as over only by the worker's own word under this
//     leader's token, by the end of that worker's life, or once its lease is
//     surely over. A start whose order had no answer is stopped first;
//   - a gang's next attempt begins only after all members of the last ended;
//   - a worker that drains, is silent or fails everything gets no new tasks.
//
// Bounds: one look at a time per worker; one record of ends per worker, and one
// of new attempts in the log at a time.

#ifndef FLAMINGOHOLLOW_GRAPH_SCHEDULER_H_
#define FLAMINGOHOLLOW_GRAPH_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "flamingohollow/fleet.h"
#include "flamingohollow/graph_placement.h"
#include "flamingohollow/graph_records.h"
#include "flamingohollow/graph_state.h"
#include "flamingohollow/worker_pace.h"
#include "util/clock.h"

namespace flamingohollow {

struct SchedulerOptions {
  // Leases of workers; the worker protocol sets the longest allowed.
  Duration lease_ = Duration(10000);
  // In a start order. Short, so that a start that gets lost binds its task only
  // this long; the first look extends it.
  Duration start_lease_ = Duration(4000);
  // How long a look waits at the worker for an end.
  Duration look_wait_ = Duration(2000);
  // An order without an answer is sent again after this long.
  Duration resend_ = Duration(300);
  // A start that had no answer is given up and stopped after this many orders:
  // in 2 s, while the other members of a gang still wait for it.
  std::uint32_t max_start_orders_ = 2;
  // Tasks on a worker that drains are stopped this long before it may leave, at
  // the latest.
  Duration evacuate_ahead_ = Duration(900);
  // Failures in a row, of different jobs, before a worker is avoided, and for
  // how long.
  std::uint32_t avoid_after_ = 3;
  Duration avoid_for_ = Duration(8000);
  // Ended jobs are kept this long.
  Duration keep_ended_ = Duration(150000);
  GraphPlacementOptions placement_;
};

// Where an order goes.
struct OrderTarget {
  WorkerId worker_;
  WorkerLife life_;
  std::string address_;
  FencingToken token_;
};

struct StartOrder {
  OrderTarget target_;
  AttemptRef attempt_;
  std::string payload_;
  Checkpoint checkpoint_;
  // On the worker's clock.
  std::int64_t lease_until_ms_ = 0;
};

struct StopOrder {
  OrderTarget target_;
  AttemptRef attempt_;
};

struct LookOrder {
  OrderTarget target_;
  std::uint64_t number_ = 0;
  // The worker may forget its ends up to here.
  std::uint64_t last_end_ = 0;
  // 0: the look leaves the lease as it is.
  std::int64_t lease_until_ms_ = 0;
  Duration wait_;
};

using SchedulerAction =
    std::variant<StartOrder, StopOrder, LookOrder, GraphRecord>;

enum class OrderOutcome : std::uint8_t {
  kDone,
  // The worker did nothing and never will for this attempt.
  kRefused,
  // The worker did nothing now; the same order may work later.
  kNotNow,
  // Another worker answered at the address: this one is gone.
  kOtherWorker,
  // A later life of the worker answered; its report is still to come.
  kOtherLife,
  // Unknown whether it was or will be carried out.
  kNoAnswer,
};

struct StartResult {
  WorkerId worker_;
  WorkerLife life_;
  AttemptRef attempt_;
  OrderOutcome outcome_ = OrderOutcome::kNoAnswer;
  // The worker's clock; 0 when it did not say.
  std::int64_t clock_ms_ = 0;
  // The worker's own word for a refusal, for the log line.
  std::string reason_;
};

struct StopResult {
  WorkerId worker_;
  WorkerLife life_;
  AttemptRef attempt_;
  OrderOutcome outcome_ = OrderOutcome::kNoAnswer;
  // The worker's clock; 0 when it did not say.
  std::int64_t clock_ms_ = 0;
};

struct RunningRow {
  AttemptRef attempt_;
  Checkpoint checkpoint_;
  // Of its work; nothing when the worker does not say.
  std::optional<std::int64_t> done_percent_;
};

struct EndRow {
  std::uint64_t number_ = 0;
  AttemptRef attempt_;
  AttemptEnd end_ = AttemptEnd::kFailed;
  Checkpoint checkpoint_;
};

struct LookResult {
  WorkerId worker_;
  WorkerLife life_;
  std::uint64_t number_ = 0;
  OrderOutcome outcome_ = OrderOutcome::kNoAnswer;
  std::int64_t clock_ms_ = 0;
  std::vector<RunningRow> running_;
  // Ascending by number.
  std::vector<EndRow> ends_;
};

struct WorkerLeft {
  WorkerId id_;
};

// A record of the log was applied, by whoever proposed it.
struct RecordApplied {
  const GraphRecord* record_ = nullptr;
};

// A record that this scheduler proposed did not make it into the log.
struct RecordLost {
  GraphRecord record_;
};

struct SchedulerTick {
  Time wall_;
};

using SchedulerEvent =
    std::variant<PoolWorkerReport, WorkerLeft, StartResult, StopResult,
                 LookResult, RecordApplied, RecordLost, SchedulerTick>;

struct Scheduler {
  SchedulerOptions options_;
  FencingToken token_;
  Fleet fleet_;
  // By address, the worker that was born last there.
  std::map<std::string, WorkerId> addresses_;
  // What tasks of each step that runs do in a second.
  std::map<StepRef, StepPace> step_paces_;
  // When each active job became known here.
  std::map<GraphJobKey, Time> since_;
  // Records of new attempts that are on their way into the log.
  std::uint32_t opening_ = 0;
  // Something changed since the last placement.
  bool dirty_ = true;
  Time next_placement_;
  Time last_placement_;
  std::set<GraphJobKey> due_proposed_;
  std::set<GraphJobKey> forget_proposed_;
  Time wall_;
};

// A new leader's scheduler: every open attempt of the log is to be looked for.
Scheduler MakeScheduler(const SchedulerOptions& options, FencingToken token,
                        const GraphState& state, Time now, Time wall);

std::vector<SchedulerAction> Step(Scheduler& scheduler, const GraphState& state,
                                  const SchedulerEvent& event, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_SCHEDULER_H_

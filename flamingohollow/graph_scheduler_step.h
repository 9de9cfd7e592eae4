// The parts of one step of the scheduler; graph_scheduler.h tells the rules.
// Internal to graph_scheduler*.cc.
//
//   graph_scheduler_orders.cc   orders to workers, and ends by the leader's own
//                               finding
//   graph_scheduler_workers.cc  what workers say of themselves, and their
//                               answers to starts and stops
//   graph_scheduler_looks.cc    what a look shows: what runs, what has ended
//   graph_scheduler_records.cc  records that made it into the log, or did not
//   graph_scheduler.cc          time, placement, and a new leader's start

#ifndef FLAMINGOHOLLOW_GRAPH_SCHEDULER_STEP_H_
#define FLAMINGOHOLLOW_GRAPH_SCHEDULER_STEP_H_

#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/graph_scheduler.h"

namespace flamingohollow::graph_scheduler_internal {

struct Context {
  Scheduler& scheduler_;
  const GraphState& state_;
  Time now_;
  std::vector<SchedulerAction>& actions_;
};

// graph_scheduler_orders.cc

OrderTarget TargetOf(const Context& ctx, const FleetWorker& worker);
// Null when the worker is unknown, or in another life by now.
FleetWorker* FindLife(const Context& ctx, const WorkerId& id, WorkerLife life);
// Null when the attempt is not on the worker.
Run* FindRun(FleetWorker& worker, const AttemptRef& attempt);
// The worker that the attempt runs on; null when none does.
FleetWorker* FindHolder(const Context& ctx, const AttemptRef& attempt);
// "JOB.OCCURRENCE.STEP.TASK#ATTEMPT", for log lines.
std::string Describe(const AttemptRef& attempt);
void Propose(Context& ctx, GraphRecord record);
void SetPhase(Context& ctx, Run& run, RunPhase phase);
// Ends these runs of the worker by the leader's own finding.
void ProposeEnds(Context& ctx, FleetWorker& worker,
                 const std::vector<AttemptRef>& attempts, AttemptEnd end);
// Everything on the worker is over: it restarted, left, or its lease ran out.
void LoseRuns(Context& ctx, FleetWorker& worker, std::string_view why);
void SendStart(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
               Run& run);
void SendStop(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
              Run& run);
void StopRun(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
             Run& run, std::string_view why);
void SendLook(Context& ctx, FleetWorker& worker);

// graph_scheduler_workers.cc

void NoteAnswer(Context& ctx, FleetWorker& worker, OrderOutcome outcome);
// Whether the answer says that this life of the worker is over.
bool TakeEndOfLife(Context& ctx, FleetWorker& worker, OrderOutcome outcome);
void On(Context& ctx, const PoolWorkerReport& report);
void On(Context& ctx, const WorkerLeft& left);
void On(Context& ctx, const StartResult& result);
void On(Context& ctx, const StopResult& result);

// graph_scheduler_looks.cc

void On(Context& ctx, const LookResult& result);

// graph_scheduler_records.cc

void On(Context& ctx, const RecordApplied& applied);
void On(Context& ctx, const RecordLost& lost);

// graph_scheduler.cc

void On(Context& ctx, const SchedulerTick& tick);

}  // namespace flamingohollow::graph_scheduler_internal

#endif  // FLAMINGOHOLLOW_GRAPH_SCHEDULER_STEP_H_

// Event handlers and helpers of the scheduler; graph_scheduler.h has the rules.
// Internal to graph_scheduler*.cc.
//
//   graph_scheduler_commands.cc  commands to workers, and ends that the leader
//                                determines itself
//   graph_scheduler_workers.cc   workers' reports, and their answers to starts
//                                and stops
//   graph_scheduler_polls.cc     poll results: running and ended attempts
//   graph_scheduler_records.cc   proposed records that were committed or lost
//   graph_scheduler.cc           timers, placement, and a new leader's recovery

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

// graph_scheduler_commands.cc

CommandTarget TargetOf(const Context& ctx, const FleetWorker& worker);
// Null if the worker is unknown or has another incarnation by now.
FleetWorker* FindIncarnation(const Context& ctx, const WorkerId& id,
                             WorkerIncarnation incarnation);
// Whether the worker's failure domain is evacuated, so that nothing may start
// there.
bool IsEvacuated(const Context& ctx, const FleetWorker& worker);
// Null unless the job is active.
JobTrace* FindTrace(const Context& ctx, const GraphJobKey& key);
// Null if the attempt is not on the worker.
Run* FindRun(FleetWorker& worker, const AttemptRef& attempt);
// The worker that the attempt is assigned to; null if there is none.
FleetWorker* FindWorkerOf(const Context& ctx, const AttemptRef& attempt);
// "JOB.OCCURRENCE.STEP.TASK" and "JOB.OCCURRENCE.STEP.TASK#ATTEMPT", for log
// lines.
std::string Describe(const TaskRef& task);
std::string Describe(const AttemptRef& attempt);
void Propose(Context& ctx, GraphRecord record);
void SetPhase(Context& ctx, Run& run, RunPhase phase);
// Proposes these ends, which the leader determined itself, for runs of the
// worker. Skips runs whose end is proposed or whose attempt is not committed.
void ProposeEnds(Context& ctx, FleetWorker& worker,
                 const std::vector<AttemptRef>& attempts, AttemptEnd end);
// Proposes the end of all runs of a worker that left, was replaced at its
// address, or whose lease expired.
void ProposeLostRuns(Context& ctx, FleetWorker& worker, std::string_view why);
void SendStart(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
               Run& run);
void SendStop(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
              Run& run);
void StopRun(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
             Run& run, std::string_view why);
void SendPoll(Context& ctx, FleetWorker& worker);
// Polls the worker if something is to be learned from it now.
void PollIfDue(Context& ctx, FleetWorker& worker);
// Records which of the worker's accused attempts are known to have begun (see
// worker_crashes.h).
void ProposeConfirmed(Context& ctx, const FleetWorker& worker);
// Records which of the worker's attempts were running there as far as is known,
// before a record shows that the worker crashed or that they are lost.
void ProposeRunning(Context& ctx, const FleetWorker& worker);

// graph_scheduler_workers.cc

// Whether another worker may still be at the address of this one, which has yet
// to answer there. A report alone may be another writer's, or a delayed one of
// an earlier process.
bool IsAddressContested(const Context& ctx, const FleetWorker& worker);
// Proposes to list the worker if its report is not in the log, and assigns its
// address to it. Another worker that was there is over, and so are its runs.
void ListWorker(Context& ctx, const FleetWorker& worker);
// Lists a worker whose address is no longer contested.
void ListIfSettled(Context& ctx, const FleetWorker& worker);
void RecordAnswer(Context& ctx, FleetWorker& worker, CommandOutcome outcome);
// Returns whether the answer shows that this incarnation of the worker is over,
// and updates the worker accordingly.
bool HandleIncarnationEnd(Context& ctx, FleetWorker& worker,
                          CommandOutcome outcome);
// Sends the worker's unconfirmed stops that are due.
void ResendStops(Context& ctx, FleetWorker& worker);
void On(Context& ctx, const PoolWorkerReport& report);
void On(Context& ctx, const WorkerLeft& left);
// Removes a worker that has left: its process is over, and so are its runs.
void RemoveLeft(Context& ctx, FleetWorker& worker);
void On(Context& ctx, const WorkerCold& cold);
void On(Context& ctx, const StartResult& result);
void On(Context& ctx, const StopResult& result);

// graph_scheduler_polls.cc

void On(Context& ctx, const PollResult& result);

// graph_scheduler_records.cc

void On(Context& ctx, const RecordApplied& applied);
void On(Context& ctx, const RecordLost& lost);

// graph_scheduler.cc

// Whether workers crashed in waves lately, and strong suspects wait until that
// is over, so that their next crash tells something.
bool AwaitsCalm(const Scheduler& scheduler, Time now);
void On(Context& ctx, const SchedulerTick& tick);

}  // namespace flamingohollow::graph_scheduler_internal

#endif  // FLAMINGOHOLLOW_GRAPH_SCHEDULER_STEP_H_

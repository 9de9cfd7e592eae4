// The leader's scheduler for graph jobs: opens attempts, sends commands to
// workers and records how attempts end.
//
// The scheduler does no I/O: it turns events into actions, and the caller
// supplies the replicated state and the time. Its rules:
//   - A start command is sent only after its attempt is in the log, and a
//     worker may forget an end only after that end is in the log.
//   - An attempt counts as ended only if its start command was never sent, if
//     its worker says so under this leader's token, if the worker left and
//     refuses connections, if it was replaced at its address, or if its lease
//     is known to have expired. An attempt whose start command had no answer,
//     or whose worker restarted, is stopped first. A worker that shows an
//     attempt neither as running nor as ended says so only if it has no further
//     ends to show.
//   - A gang's next attempt starts only after all members of the last one
//     ended.
//   - A worker that drains, does not answer or is likely to make its tasks fail
//     gets no new tasks.
//
// Limits: one poll in flight per worker, or one each `resend_interval_` while
// another worker may be at its address; one uncommitted record of reported ends
// per worker, and one uncommitted record of new attempts.

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
#include "flamingohollow/graph_waits.h"
#include "flamingohollow/job_trace.h"
#include "flamingohollow/slow_runs.h"
#include "flamingohollow/urgent_demand.h"
#include "flamingohollow/worker_pace.h"
#include "util/clock.h"

namespace flamingohollow {

struct SchedulerOptions {
  // Duration of a worker's lease. The worker protocol limits it.
  Duration lease_ = Duration(10000);
  // Duration of the lease in a start command. Short, because a start that gets
  // lost blocks its task for this long; the first poll extends the lease.
  Duration start_lease_ = Duration(4000);
  // How long the worker holds a poll open while no attempt ends.
  Duration poll_wait_ = Duration(2000);
  // The same while urgent work runs there, so that its progress is known in
  // time to move it (see slow_runs.h).
  Duration urgent_poll_wait_ = Duration(700);
  // Polls that may be held open at the same time, as each takes a connection.
  // Further workers are polled every `poll_wait_` instead.
  std::size_t max_held_polls_ = 4096;
  // A command without an answer is sent again after this long.
  Duration resend_interval_ = Duration(300);
  // An attempt whose start command was sent this often without an answer is
  // stopped. This happens within 2 s, while the other members of its gang still
  // wait for it.
  std::uint32_t max_start_commands_ = 2;
  // A task that won't finish before its draining worker leaves is stopped at
  // the latest this long before the worker leaves.
  Duration evacuation_lead_ = Duration(900);
  // How long ended jobs are kept.
  Duration ended_job_retention_ = Duration(150000);
  GraphPlacementOptions placement_;
  SlowRunOptions slow_runs_;
};

// The worker that a command is sent to, and the leader's token.
struct CommandTarget {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  std::string address_;
  FencingToken token_;
};

struct StartCommand {
  CommandTarget target_;
  AttemptRef attempt_;
  std::string payload_;
  Checkpoint checkpoint_;
  // End of the lease on the worker's clock.
  std::int64_t lease_until_ms_ = 0;
  // To be sent on a connection of its own, so that its end tells that the
  // worker was alive when it got the command.
  bool new_connection_ = false;
};

struct StopCommand {
  CommandTarget target_;
  AttemptRef attempt_;
};

struct PollCommand {
  CommandTarget target_;
  std::uint64_t number_ = 0;
  // The worker may forget its ends up to this number.
  std::uint64_t last_end_ = 0;
  // End of the lease on the worker's clock; 0 leaves the lease unchanged.
  std::int64_t lease_until_ms_ = 0;
  // How long the worker may wait for an attempt to end before it answers.
  Duration wait_;
};

using SchedulerAction =
    std::variant<StartCommand, StopCommand, PollCommand, GraphRecord>;

enum class CommandOutcome : std::uint8_t {
  kDone,
  // The worker did nothing and will never start this attempt.
  kRefused,
  // The worker did nothing; the same command may succeed later.
  kRetryLater,
  // Another worker answered at the address, so the addressed one is gone.
  kOtherWorker,
  // A later incarnation of the worker answered; its report has yet to arrive.
  kOtherIncarnation,
  // The leader had no connection free for the command in time, so it was not
  // sent. Says nothing about the worker.
  kNotSent,
  // It is unknown whether the command was or will be carried out.
  kNoAnswer,
};

struct StartResult {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  AttemptRef attempt_;
  CommandOutcome outcome_ = CommandOutcome::kNoAnswer;
  // The worker's clock when it answered; 0 if the answer has none.
  std::int64_t clock_ms_ = 0;
  // The worker's reason for a refusal, for the log.
  std::string reason_;
  // With kNoAnswer: the command was sent on a connection opened for it, and the
  // connection ended before the time for the answer was over.
  bool broke_off_ = false;
};

struct StopResult {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  AttemptRef attempt_;
  CommandOutcome outcome_ = CommandOutcome::kNoAnswer;
  // The worker's clock when it answered; 0 if the answer has none.
  std::int64_t clock_ms_ = 0;
};

struct RunningAttempt {
  AttemptRef attempt_;
  Checkpoint checkpoint_;
  // Percentage of its work that is done; empty if not reported.
  std::optional<std::int64_t> done_percent_;
};

struct ReportedEnd {
  std::uint64_t number_ = 0;
  AttemptRef attempt_;
  AttemptEnd end_ = AttemptEnd::kFailed;
  Checkpoint checkpoint_;
};

struct PollResult {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  std::uint64_t number_ = 0;
  CommandOutcome outcome_ = CommandOutcome::kNoAnswer;
  // The worker's clock when it answered; 0 if the answer has none.
  std::int64_t clock_ms_ = 0;
  std::vector<RunningAttempt> running_;
  // In ascending order of `number_`.
  std::vector<ReportedEnd> ends_;
  // The worker may have further ends, which follow those in `ends_`. An attempt
  // that is in neither list may have ended in any way.
  bool more_ends_ = false;
  // With kNoAnswer: the connection was refused, so that nothing listens at the
  // worker's address, or a cut refuses connections.
  bool refused_ = false;
};

struct WorkerLeft {
  WorkerId id_;
};

// How much longer a worker is slow after its start, as of one of its reports.
// Follows the report.
struct WorkerCold {
  WorkerId id_;
  WorkerIncarnation incarnation_;
  std::uint64_t sequence_ = 0;
  Duration left_;
};

// A record of the log was applied, whichever leader proposed it.
struct RecordApplied {
  const GraphRecord* record_ = nullptr;
};

// A record that this scheduler proposed was not committed.
struct RecordLost {
  GraphRecord record_;
};

struct SchedulerTick {
  Time wall_;
  // How long the caller took for the previous tick and its actions.
  Duration previous_cost_ = Duration();
};

using SchedulerEvent = std::variant<PoolWorkerReport, WorkerLeft, StartResult,
                                    StopResult, PollResult, RecordApplied,
                                    RecordLost, SchedulerTick, WorkerCold>;

struct Scheduler {
  SchedulerOptions options_;
  FencingToken token_;
  Fleet fleet_;
  // Of workers that have left, as a process may return under their id.
  std::map<WorkerId, UnansweredStarts> unanswered_by_left_;
  // The worker that started last at each address.
  std::map<std::string, WorkerId> addresses_;
  // Progress per second of the tasks of each step.
  std::map<StepRef, StepPace> step_paces_;
  std::map<StepRef, StepRate> step_rates_;
  // How many times as fast the fast workers of the most uneven pool are as its
  // slow ones, in the last placement pass; 1 if no pool is uneven.
  double speed_ratio_ = 1;
  // No speeds are recorded before this.
  Time next_speeds_record_;
  // When a job was accepted last, or this scheduler began.
  Time last_accepted_;
  // When this scheduler learned of each job; its waiting time starts then.
  std::map<GraphJobKey, Time> queued_since_;
  // Of the active jobs.
  std::map<GraphJobKey, JobTrace> traces_;
  IdleJobs idle_jobs_;
  Time next_idle_update_;
  // What units waited for in a recent pass, and when a pass says so again.
  std::map<GraphJobKey, UnitWait> unit_waits_;
  Time next_explanation_;
  // When the waits are logged next.
  Time next_waits_;
  // What urgent jobs needed lately, by pool.
  UrgentDemands urgent_demands_;
  // Number of polls in flight that the workers may hold open. Counted anew at
  // each tick.
  std::size_t held_polls_ = 0;
  // Proposed records of new attempts that are not committed yet.
  std::uint32_t open_records_in_flight_ = 0;
  // Something changed since the last placement pass.
  bool placement_due_ = true;
  // A job of priority 0 was accepted since the last placement pass.
  bool urgent_placement_due_ = false;
  // A pass runs then even if nothing changed.
  Time next_placement_;
  Time last_placement_;
  // The previous tick ran a placement pass.
  bool placed_in_last_tick_ = false;
  // Duration of the last tick that ran a pass.
  Duration placement_cost_;
  // Jobs of which some runs may have to be stopped.
  std::set<GraphJobKey> jobs_to_check_;
  // Jobs with a proposed occurrence or removal that is not committed yet.
  std::set<GraphJobKey> due_proposed_;
  std::set<GraphJobKey> forget_proposed_;
  // Since when this scheduler knows of the tasks that are to be given up unless
  // they were in a wave of crashes (see Verdict), and when it looks for more.
  std::map<TaskRef, Time> verdicts_since_;
  Time next_verdicts_;
  // When the last series of waves of crashes was noticed, and its last crash.
  Time waves_began_;
  Time last_in_wave_;
  // Time between the last two waves of a series; 0 if there was one wave only.
  Duration wave_interval_;
  Time wall_time_;
};

// Makes a new leader's scheduler. It recovers the open attempts of the state by
// polling their workers.
Scheduler MakeScheduler(const SchedulerOptions& options, FencingToken token,
                        const GraphState& state, Time now, Time wall);

// Whether a task of the job may have begun: an attempt has ended that may have
// started, or a worker runs one, or an earlier leader has opened one. O(tasks).
bool HasBegun(const Scheduler& scheduler, const GraphJob& job);

// Handles one event and returns the resulting actions.
std::vector<SchedulerAction> Step(Scheduler& scheduler, const GraphState& state,
                                  const SchedulerEvent& event, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_GRAPH_SCHEDULER_H_

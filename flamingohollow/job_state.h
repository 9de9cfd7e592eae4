// The job controller's state.
//
// Internal to the job controller's modules:
//   job_attempt  the state of one attempt's tasks
//   job_outcome  decides the outcome of a job whose attempt is being stopped
//   job_workers  the workers, their reports, and orphaned leases
//   job_queue    jobs in the queue
//   job_stopping stops an attempt
//   job_propose  proposes records to the log
//   job_phases   moves a job through its phases
//   job          handles external events
//
// An event is handled in time proportional to the jobs that it concerns. A tick
// makes one pass over the workers and over the jobs that wait for a worker or
// for the log. It sends no further commands once it has reached
// kMaxCommandsPerTick; the next ticks send the rest.

#ifndef FLAMINGOHOLLOW_JOB_STATE_H_
#define FLAMINGOHOLLOW_JOB_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "flamingohollow/job.h"
#include "flamingohollow/job_attempt.h"
#include "flamingohollow/lease_table.h"

namespace flamingohollow {

inline constexpr std::size_t kMaxCommandsPerTick = 4096;
// A proposal that has not been committed is repeated after this long.
inline constexpr Duration kProposeInterval = Duration(3000);
// Minimum time between two placement runs that events cause.
inline constexpr Duration kDecideInterval = Duration(10);
// Back-off before a job whose prepare was refused is placed again. There is
// none after the first refusal; then it starts at kFirstBackOff and doubles up
// to kMaxBackOff.
inline constexpr Duration kFirstBackOff = Duration(100);
inline constexpr Duration kMaxBackOff = Duration(2000);
// When placement refuses a job but the refusal may be due to workers that are
// not known yet, the job is placed again after this long.
inline constexpr Duration kRefusedRetryDelay = Duration(1000);
// A worker without tasks is removed after this long without a message.
inline constexpr Duration kRemoveWorkerAfter = Duration(600'000);

enum class JobPhase : std::uint8_t {
  kQueued,
  // Prepares have been sent; no JobMayRun is proposed.
  kPreparing,
  // JobMayRun is proposed.
  kConfirming,
  // JobMayRun is committed; starts are being sent.
  kRunning,
  // Stops are being sent; no task is started any more.
  kStopping,
  // JobEnded is committed; some leases may still be held.
  kEnded,
};

// A job that has not ended, or that ended and may still hold leases.
struct LiveJob {
  JobId id_;
  JobSpec spec_;
  JobPhase phase_ = JobPhase::kQueued;
  // Set in all phases except kQueued; optional in kEnded.
  std::optional<Attempt> attempt_;
  // The highest attempt id in any record or report. The next attempt gets a
  // higher one.
  AttemptId last_attempt_;
  // The record that is proposed and not committed yet. While it is set, the job
  // takes no other decision, as the record may be committed at any time.
  std::optional<Command> proposed_;
  Time proposed_at_;

  Time queued_at_;
  // Accepted under an earlier leader.
  bool inherited_ = false;
  // Consecutive refusals.
  std::uint32_t refusals_ = 0;
  // Pending requests, handled as soon as the phase allows it.
  bool cancel_requested_ = false;
  bool reclaim_requested_ = false;
  bool deadline_passed_ = false;

  // The outcome at the last NotifyAction.
  Outcome notified_outcome_ = Outcome::kAccepted;
  // Counted in JobController::queued_.
  bool counted_as_queued_ = false;
};

// A lease at a worker that belongs to no live attempt.
struct OrphanedLease {
  // Must be stopped before it can be released.
  bool maybe_active_ = false;
  Accelerators accelerators_;
  // When a command for it was last sent.
  std::optional<Time> sent_at_;
};

struct WorkerInfo {
  // The newest report. The `part_` of its leases is cleared.
  WorkerReport report_;
  // False until a report arrives: the worker is then known only from records of
  // an earlier leader.
  bool known_ = false;
  // When the worker was last known to be alive.
  Time heard_at_;
  // As of the last event or tick.
  bool silent_ = false;
  // The value last passed to placement.
  std::optional<PlacementWorker> sent_to_placement_;
  // Tasks of live attempts on this worker, in any of its incarnations.
  std::set<LeaseKey> tasks_;
  // Orphaned leases as of the newest report; disjoint from `tasks_`.
  std::map<LeaseKey, OrphanedLease> orphaned_;
  // Some lease in `orphaned_` may hold accelerators.
  bool holds_orphaned_ = false;
  // When CleanUpWorker last ran for this worker.
  Time cleaned_up_at_;
};

struct JobController {
  JobControllerOptions options_;
  const JobRecords* records_ = nullptr;
  Term term_;
  Time became_leader_at_;
  PlacementPtr placement_;
  std::map<JobId, LiveJob> jobs_;
  std::map<WorkerId, WorkerInfo> workers_;
  std::map<CustomerId, std::uint32_t> queued_;
  // Jobs that wait for a worker's answer, for the log or for leases to end.
  std::set<JobId> busy_;
  // The job of `busy_` that was advanced last; the next tick continues after
  // it.
  JobId busy_cursor_;
  // Workers with orphaned leases to stop or release.
  std::set<WorkerId> cleanup_workers_;
  // Deadlines of jobs that have not started, and the times at which refused
  // jobs return to placement.
  std::set<std::pair<Time, JobId>> deadlines_;
  std::set<std::pair<Time, JobId>> back_offs_;
  Time decided_at_;
  bool placement_due_ = true;
};

// Context for handling one event: the controller, the time and the actions
// collected so far.
struct Step {
  JobController& controller_;
  Time now_;
  JobActions actions_;
  std::size_t commands_ = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_STATE_H_

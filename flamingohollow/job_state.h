// The job controller's state.
//
// Internal to the job controller's modules:
//   job_attempt  what is known of one attempt's tasks
//   job_outcome  what may be said of a stopped attempt
//   job_workers  the workers, their reports and leases that nobody wants
//   job_queue    a job in the queue
//   job_stopping an attempt that is being stopped
//   job_propose  the records that it proposes
//   job_phases   a job's way from the queue to its end
//   job          the events from outside
//
// Events touch only the jobs that they concern. A tick costs one pass over the
// workers and over the jobs that wait for a worker or for the log, and sends at
// most kMaxCommandsPerTick commands; what is left comes with the next ticks.

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
// A proposal that has not come back is made again after this long.
inline constexpr Duration kProposeInterval = Duration(3000);
// Placement decides at most this often.
inline constexpr Duration kDecideInterval = Duration(10);
// A job whose prepare was refused waits before it is placed again: not at all
// the first time, then this long, doubled each time up to the most.
inline constexpr Duration kFirstBackOff = Duration(100);
inline constexpr Duration kMaxBackOff = Duration(2000);
// A job that placement refuses before enough is known is placed again after
// this long.
inline constexpr Duration kRefusedAgainAfter = Duration(1000);
// A silent worker without tasks is forgotten after this long.
inline constexpr Duration kForgetWorker = Duration(600'000);

enum class JobPhase : std::uint8_t {
  kQueued,
  // Prepares are out; no JobMayRun is proposed.
  kPreparing,
  // JobMayRun is proposed.
  kConfirming,
  // JobMayRun is committed; starts are out.
  kRunning,
  // Stops are out; nothing is started any more.
  kStopping,
  // The end is committed; its leases are not over yet.
  kEnded,
};

// A job that has not ended, or whose leases are not all over.
struct LiveJob {
  JobId id_;
  JobSpec spec_;
  JobPhase phase_ = JobPhase::kQueued;
  // There in all phases but kQueued; may be there in kEnded.
  std::optional<Attempt> attempt_;
  // The newest attempt that anyone has seen; the next one is above it.
  AttemptId last_attempt_;
  // Attempts that may have run, as far as this leader knows.
  std::uint32_t runs_ = 0;
  // The one record that is proposed and not committed. While it is there, the
  // job's course can't change: the record may be committed at any time.
  std::optional<Command> proposed_;
  Time proposed_at_;

  Time queued_at_;
  // Accepted before this leader took office.
  bool inherited_ = false;
  // Refusals in a row.
  std::uint32_t refusals_ = 0;
  // Asked for from outside; acted on as soon as the phase allows it.
  bool cancel_ = false;
  bool reclaim_ = false;
  bool deadline_passed_ = false;

  // What callers were last told.
  Outcome notified_ = Outcome::kAccepted;
  // Counted in JobController::queued_.
  bool counted_ = false;
};

// A lease at a worker that no attempt of this leader wants.
struct UnwantedLease {
  // Must be stopped before it can be released.
  bool maybe_active_ = false;
  Accelerators accelerators_;
  std::optional<Time> sent_at_;
};

struct WorkerInfo {
  // The newest report, without the leases' parts.
  WorkerReport report_;
  // False while only an earlier leader's records speak of it.
  bool known_ = false;
  Time heard_at_;
  // As of the last event or tick.
  bool silent_ = false;
  // As placement was last told.
  std::optional<PlacementWorker> told_;
  // The tasks of live attempts on this worker, of any incarnation.
  std::set<LeaseKey> tasks_;
  // As of the newest report; disjoint from `tasks_`.
  std::map<LeaseKey, UnwantedLease> unwanted_;
  // Some lease of `unwanted_` may hold accelerators.
  bool holds_unwanted_ = false;
  // When the commands for `unwanted_` were last gone through.
  Time cleaned_at_;
};

struct JobController {
  JobControllerOptions options_;
  const JobRecords* records_ = nullptr;
  Term term_;
  Time took_office_at_;
  PlacementPtr placement_;
  std::map<JobId, LiveJob> jobs_;
  std::map<WorkerId, WorkerInfo> workers_;
  std::map<CustomerId, std::uint32_t> queued_;
  // Jobs that wait for a worker's answer, the log or the end of leases.
  std::set<JobId> busy_;
  // Where the next tick goes on in `busy_`.
  JobId busy_cursor_;
  // Workers with unwanted leases.
  std::set<WorkerId> cleaning_;
  // Deadlines of queued jobs, and when refused jobs go back to placement.
  std::set<std::pair<Time, JobId>> deadlines_;
  std::set<std::pair<Time, JobId>> back_offs_;
  Time decided_at_;
  bool decide_ = true;
};

// One event's handling: what it works on and what it wants done.
struct Step {
  JobController& controller_;
  Time now_;
  JobActions actions_;
  std::size_t commands_ = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_STATE_H_

// One attempt at running a job: what is known of each of its tasks.
//
// Internal to the job controller. Knowledge only grows: once a task's end is
// known, no later report changes it. All functions are pure and cost at most
// one pass over the attempt's tasks.

#ifndef FLAMINGOHOLLOW_JOB_ATTEMPT_H_
#define FLAMINGOHOLLOW_JOB_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/job.h"
#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

struct WorkerInfo;

enum class TaskState : std::uint8_t {
  // Nothing heard of its lease yet.
  kAsked,
  kPrepared,
  kRunning,
  kFinished,
  kFailed,
  // Ended by a stop or by expiry after it had started.
  kStopped,
  // Confirmed by its worker: never started and never will.
  kNeverRan,
  // Its worker restarted, or goes on reporting without the lease: it is over,
  // but may have run.
  kLost,
};

struct AttemptTask {
  Slice slice_;
  // What is known of the worker; set while it lists the task among its own.
  WorkerInfo* worker_ = nullptr;
  TaskState state_ = TaskState::kAsked;
  // The worker once held the lease.
  bool granted_ = false;
  // Since when the worker's reports don't show the granted lease. One such
  // report may be an old one that an entry held back over a leader change.
  std::optional<Time> missing_since_;
  // Some report showed that it had started.
  bool started_ = false;
  // The task's part of the answer, or its error.
  std::string part_;
  // When a command for it last went out, if any did.
  std::optional<Time> sent_at_;
};

// Why an attempt is being stopped.
enum class StopCause : std::uint8_t {
  // A worker refused, did not answer, or left before all had granted.
  kRefused,
  // A worker or its lease was lost.
  kLost,
  kTaskFailed,
  kCancelled,
  kReclaimed,
  // The job's deadline passed.
  kDeadline,
};

struct Attempt {
  AttemptId id_;
  // In task order; never changes in length.
  std::vector<AttemptTask> tasks_;
  Time began_at_;
  // The JobMayRun record is committed. No start goes out before.
  bool may_run_ = false;
  // Set once the attempt is being stopped; no start goes out after.
  std::optional<StopCause> stop_cause_;
  Time stop_began_at_;
  std::string stop_reason_;
  // Since when entries are told not to renew the attempt's leases.
  std::optional<Time> excluded_at_;
};

// The slices of a new attempt, one task each.
Attempt MakeAttempt(AttemptId id, const std::vector<Slice>& slices, Time now);
// An attempt that an earlier leader let run: its leases were all granted, and
// its tasks may have started.
Attempt RestoreAttempt(const JobRecord& record, Time now);

// Takes in what the task's worker reports of its lease. False when that is
// nothing new.
bool ApplyLeaseReport(AttemptTask& task, const LeaseReport& report);
// The task is over without its worker's word on how. False when it was over
// already.
bool MarkLost(AttemptTask& task);
bool AnyMissing(const Attempt& attempt);

// The task runs no more and holds no accelerators.
constexpr bool IsOver(TaskState state) { return state >= TaskState::kFinished; }

bool AllPrepared(const Attempt& attempt);
bool AllFinished(const Attempt& attempt);
bool AllNeverRan(const Attempt& attempt);
bool AllOver(const Attempt& attempt);
bool AnyStarted(const Attempt& attempt);
// All tasks hold a lease that is prepared or runs, or have finished: the gang
// can still complete.
bool AllAlive(const Attempt& attempt);
// All tasks have been seen to start.
bool AllRunning(const Attempt& attempt);

// Nothing of the attempt runs any more: every task's end is confirmed, or the
// time is over within which an entry could still have renewed a lease and the
// lease then lasted.
bool SurelyOver(const Attempt& attempt, const JobControllerOptions& options,
                Time now);
// When a job excluded from renewal at `excluded_at` surely holds no lease.
Time LeasesSurelyEndAt(const JobControllerOptions& options, Time excluded_at);

// The parts in task order; for a completed attempt.
std::vector<std::string> PartsOf(const Attempt& attempt);
std::vector<Slice> SlicesOf(const Attempt& attempt);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_ATTEMPT_H_

// One attempt to run a job, with the last known state of each of its tasks.
//
// Internal to the job controller. Once a task's end is known, no later report
// changes it. The functions touch only their arguments and make at most one
// pass over the attempt's tasks.

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
  // No report has shown its lease yet.
  kPending,
  kPrepared,
  kRunning,
  kFinished,
  kFailed,
  // Stopped or expired after it had started.
  kStopped,
  // Its worker confirmed that it never started and never will.
  kNeverRan,
  // Its worker restarted, or kept sending reports without the lease for a whole
  // lease time. The task is over, but may have run.
  kLost,
};

struct AttemptTask {
  Slice slice_;
  // The task's worker; set while WorkerInfo::tasks_ contains the task.
  WorkerInfo* worker_ = nullptr;
  TaskState state_ = TaskState::kPending;
  // The worker granted the lease: a report has shown it, or the attempt's
  // JobMayRun was committed under an earlier leader.
  bool granted_ = false;
  // When a report first lacked the granted lease; null while reports show it. A
  // single report without it may be an old one that an entry delayed over a
  // leader change.
  std::optional<Time> missing_since_;
  // A report has shown that the task started.
  bool started_ = false;
  // The task's part of the answer, or its error text.
  std::string part_;
  // When a command for the task was last sent; null when the next one is due.
  std::optional<Time> sent_at_;
};

// Why an attempt is being stopped.
enum class StopCause : std::uint8_t {
  // A worker refused, did not answer or became unavailable before JobMayRun was
  // proposed.
  kRefused,
  // A worker or its lease was lost.
  kLost,
  kTaskFailed,
  kCancelled,
  kReclaimed,
  // A failure domain with one of its tasks is evacuated.
  kEvacuated,
  // The job's deadline passed.
  kDeadline,
};

struct Attempt {
  AttemptId id_;
  // In task order; the size never changes.
  std::vector<AttemptTask> tasks_;
  Time began_at_;
  // JobMayRun is committed. No start is sent before that.
  bool may_run_ = false;
  // Set once the attempt is being stopped. No start is sent after that.
  std::optional<StopCause> stop_cause_;
  Time stop_began_at_;
  std::string stop_reason_;
  // When the attempt's leases were excluded from renewal.
  std::optional<Time> excluded_at_;
};

// Makes an attempt with one task for each slice.
Attempt MakeAttempt(AttemptId id, const std::vector<Slice>& slices, Time now);
// Restores an attempt whose JobMayRun an earlier leader proposed: all its
// leases were granted, and its tasks may have started.
Attempt RestoreAttempt(const JobRecord& record, Time now);

// Applies the worker's report of the task's lease. Returns false when the
// task's state stays the same.
bool ApplyLeaseReport(AttemptTask& task, const LeaseReport& report);
// Marks the task as over without a report of how it ended. Returns false when
// it was over already.
bool MarkLost(AttemptTask& task);
// Some task that is not over has a granted lease that its worker no longer
// reports.
bool AnyMissing(const Attempt& attempt);

// The task no longer runs and holds no accelerators.
constexpr bool IsOver(TaskState state) { return state >= TaskState::kFinished; }

bool AllPrepared(const Attempt& attempt);
bool AllFinished(const Attempt& attempt);
bool AllNeverRan(const Attempt& attempt);
bool AllOver(const Attempt& attempt);
bool AnyStarted(const Attempt& attempt);
// All tasks are prepared, running or finished: the gang can still complete.
bool CanComplete(const Attempt& attempt);
// Reports have shown that every task started.
bool AllRunning(const Attempt& attempt);

// No task of the attempt runs any more: every task's end is confirmed, or
// LatestLeaseExpiry has passed.
bool IsGuaranteedOver(const Attempt& attempt,
                      const JobControllerOptions& options, Time now);
// The time from which a job excluded from renewal at `excluded_at` is
// guaranteed to hold no lease.
Time LatestLeaseExpiry(const JobControllerOptions& options, Time excluded_at);

// The parts of a completed attempt in task order.
std::vector<std::string> PartsOf(const Attempt& attempt);
std::vector<Slice> SlicesOf(const Attempt& attempt);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_ATTEMPT_H_

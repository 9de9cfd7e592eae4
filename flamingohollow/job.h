// The life cycle of a job, from durable acceptance to its only terminal record.
//
// accepted > queued > preparing > starting > running >
//     completed | failed | cancelled | not_run | unknown
//
// A gang is first prepared on every worker: each grants a lease that runs
// nothing yet. When all workers have granted, the JobMayRun record is
// committed, and only then are starts sent. If a worker refuses before that,
// all leases are released and the job never ran. If a worker is lost after
// that, all tasks are stopped.
//
// The state has two parts. `JobRecords` is durable: every voter builds it from
// the log with ApplyJobCommand. `JobController` exists only at the leader: a
// new leader rebuilds it from JobRecords and the workers' reports, and drops it
// when it stops leading.

#ifndef FLAMINGOHOLLOW_JOB_H_
#define FLAMINGOHOLLOW_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "flamingohollow/command.h"
#include "flamingohollow/evacuation.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

// The durable part of one job.
struct JobRecord {
  JobId id_;
  JobSpec spec_;
  Time accepted_at_;
  // The newest attempt that may have run, with its slices.
  AttemptId may_run_attempt_;
  // Number of attempts that may have run.
  std::uint32_t may_run_attempts_ = 0;
  // Of these, those that ended by JobRequeued with `on_order_`. They say
  // nothing about the job.
  std::uint32_t attempts_stopped_on_order_ = 0;
  std::vector<Slice> slices_;
  // True from JobMayRun until JobRequeued or JobEnded.
  bool may_be_running_ = false;
  // Set by the first JobEnded; later ones are ignored.
  std::optional<JobEnded> end_;
};

struct JobRecords {
  std::map<JobId, JobRecord> jobs_;
  std::map<std::pair<CustomerId, RequestId>, JobId> by_request_;
  // Ended jobs by end time, oldest first; the first is removed next. The first
  // ApplyJobCommand derives it from `jobs_`, so snapshots don't contain it.
  std::set<std::pair<Time, JobId>> ended_;
  // Bytes of the reasons and parts of all ended jobs.
  std::size_t ended_bytes_ = 0;
  // `ended_` and `ended_bytes_` have been derived from `jobs_`.
  bool ended_index_built_ = false;
  // The newest order for each failure domain.
  Evacuations evacuations_;
};

// Limits on the number and on the total bytes of ended jobs. Beyond either one,
// the oldest ended jobs are removed together with their request ids. The newest
// ended job is always kept.
inline constexpr std::size_t kMaxEndedJobs = 20000;
inline constexpr std::size_t kMaxEndedBytes = 16 * 1024 * 1024;

enum class ApplyOutcome : std::uint8_t {
  kApplied,
  // The same request was accepted before as `job_`.
  kDuplicate,
  // The request id was used before with a different body.
  kRequestIdReused,
  // The record no longer fits the job's state and was ignored.
  kIgnored,
};

struct JobApplyResult {
  ApplyOutcome outcome_ = ApplyOutcome::kIgnored;
  JobId job_;
};

// Applies one committed record other than a TableChange. Deterministic.
JobApplyResult ApplyJobCommand(JobRecords& records, LogIndex index,
                               const Command& command);

struct JobControllerOptions {
  // Time limit for preparing an attempt. A stop counts as timed out after the
  // same time, but its commands are still sent again.
  Duration prepare_timeout_ = Duration(3000);
  // Commands without an answer are sent again after this long.
  Duration resend_interval_ = Duration(500);
  // A worker that has sent nothing for this long gets no new work.
  Duration worker_silence_ = Duration(2500);
  // The worker ends a lease that is not renewed for this long.
  Duration lease_ = Duration(10000);
  // How long an entry may renew leases after its last contact with the leader.
  Duration entry_authority_ = Duration(3000);
  // Added when waiting for leases to expire, for differences between clocks.
  Duration clock_margin_ = Duration(2000);
  // An idempotent job is not requeued after this many attempts that may have
  // run and were not stopped on order.
  std::uint32_t max_attempts_ = 5;
  // Wall time at which the controller is made. It gives the times in proposed
  // records and the deadlines of jobs that an earlier leader accepted. If 0,
  // these deadlines start again.
  Time wall_at_start_;
  PlacementOptions placement_;
};

// Actions for the caller to execute. The controller repeats a proposal that is
// not committed, so the caller need not.
struct ProposeAction {
  Command command_;
};
struct SendAction {
  WorkerCommand command_;
};
// The job's state changed; waiting callers may be notified.
struct NotifyAction {
  JobId job_;
};
// Starts (or ends, if `excluded_` is false) the exclusion of this job's leases
// from renewal by entries.
struct ExcludeFromRenewalAction {
  JobId job_;
  bool excluded_ = true;
};
using JobAction = std::variant<ProposeAction, SendAction, NotifyAction,
                               ExcludeFromRenewalAction>;
using JobActions = std::vector<JobAction>;

struct JobController;
struct JobControllerDeleter {
  void operator()(JobController* controller) const;
};
using JobControllerPtr = std::unique_ptr<JobController, JobControllerDeleter>;

// Makes the controller of a new leader. `records` must outlive it and change
// only through ApplyJobCommand, followed by OnCommitted. Each `now` is
// monotonic time.
JobControllerPtr MakeJobController(const JobControllerOptions& options,
                                   const JobRecords* records,
                                   const Table& table, Term term, Time now);

JobActions OnTable(JobController& controller, const Table& table, Time now);
// Call for every committed job record after ApplyJobCommand.
JobActions OnCommitted(JobController& controller, const Command& command,
                       const JobApplyResult& result, Time now);
JobActions OnWorkerReport(JobController& controller, const WorkerReport& report,
                          Time now);
// Call with the workers that sent a message and whose report is unchanged.
JobActions OnWorkersAlive(JobController& controller,
                          const std::vector<WorkerId>& workers, Time now);
JobActions OnCancel(JobController& controller, JobId job, Time now);
// Call at least every 100 ms.
JobActions OnTick(JobController& controller, Time now);

// The state of a job as shown to callers.
struct JobView {
  JobId job_;
  JobSpec spec_;
  Outcome outcome_ = Outcome::kUnknown;
  std::string reason_;
  Duration retry_after_;
  std::vector<std::string> parts_;
  AttemptId attempt_;
  std::vector<Slice> slices_;
};
// Null when the job is not known.
std::optional<JobView> ViewJob(const JobController& controller, JobId job);
// The view from the durable records alone, for processes that are not leader.
std::optional<JobView> ViewRecord(const JobRecords& records, JobId job);

struct WorkerView {
  WorkerReport report_;
  Accelerators free_;
  bool silent_ = false;
  bool quarantined_ = false;
};
std::vector<WorkerView> ViewWorkers(const JobController& controller);
// Number of accepted jobs that don't run yet, by customer, for queue limits.
std::map<CustomerId, std::uint32_t> QueuedJobs(const JobController& controller);
const PlacementState& Placement(const JobController& controller);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_H_

// A job's life, from the durable acceptance to its one terminal record.
//
// accepted > queued > preparing > starting > running >
//     completed | failed | cancelled | not_run | unknown
//
// A gang is prepared on every worker; such a lease runs nothing. When all have
// granted, the JobMayRun record is committed and only then do starts go out.
// A refusal before that releases all: the job never ran. A loss after it stops
// all.
//
// Two parts. `JobRecords` is the durable part: every voter builds it from the
// log with ApplyJobCommand. `JobController` is the leader's: it is rebuilt
// from JobRecords and from the workers' announcements when a leader takes
// office, and dropped when it leaves.

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
  std::vector<Slice> slices_;
  // True from JobMayRun until JobRequeued or JobEnded.
  bool may_be_running_ = false;
  // Set by the first JobEnded; later ones are ignored.
  std::optional<JobEnded> end_;
};

struct JobRecords {
  std::map<JobId, JobRecord> jobs_;
  std::map<std::pair<CustomerId, RequestId>, JobId> by_request_;
  // Ended jobs by the time of their end: which to forget next. Worked out from
  // `jobs_` by the first ApplyJobCommand, so it needs no place in a snapshot.
  std::set<std::pair<Time, JobId>> ended_;
  // What the answers of the ended jobs take.
  std::size_t ended_bytes_ = 0;
  bool ended_known_ = false;
};

// Ended jobs are kept for this many later endings, and while their answers take
// no more than this together; then they are forgotten with their request ids.
// The newest is always kept.
inline constexpr std::size_t kKeptEndedJobs = 20000;
inline constexpr std::size_t kKeptEndedBytes = 16 * 1024 * 1024;

enum class ApplyOutcome : std::uint8_t {
  kApplied,
  // The same request was accepted before; `job_` is that job.
  kDuplicate,
  // The request id was used before with another body.
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
  Duration prepare_timeout_ = Duration(3000);
  // Commands without an answer are sent again after this long.
  Duration resend_interval_ = Duration(500);
  // A silent worker takes no new work after this long.
  Duration worker_silence_ = Duration(2500);
  // A lease that is not renewed ends at its worker after this long.
  Duration lease_ = Duration(10000);
  // For how long an entry may renew leases after it last heard from the
  // leader.
  Duration entry_authority_ = Duration(3000);
  Duration clock_margin_ = Duration(2000);
  std::uint32_t max_attempts_ = 5;
  // Wall time when the controller is made: for the times in its records, and
  // for the deadlines of jobs that an earlier leader accepted. At 0 these start
  // anew.
  Time wall_at_start_;
  PlacementOptions placement_;
};

// What the controller wants done. A proposal that is lost is made again.
struct ProposeAction {
  Command command_;
};
struct SendAction {
  WorkerCommand command_;
};
// The job's state changed; waiting callers may be told.
struct NotifyAction {
  JobId job_;
};
// While in force, entries leave this job out when they renew leases.
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

// A new leader's controller. `records` must outlive it and change only through
// ApplyJobCommand, followed by OnCommitted. All `now` are monotonic time.
JobControllerPtr MakeJobController(const JobControllerOptions& options,
                                   const JobRecords* records,
                                   const Table& table, Term term, Time now);

JobActions OnTable(JobController& controller, const Table& table, Time now);
// Any committed job record, after it was applied.
JobActions OnCommitted(JobController& controller, const Command& command,
                       const JobApplyResult& result, Time now);
JobActions OnWorkerReport(JobController& controller, const WorkerReport& report,
                          Time now);
// Workers that are alive with an unchanged report.
JobActions OnWorkersAlive(JobController& controller,
                          const std::vector<WorkerId>& workers, Time now);
JobActions OnCancel(JobController& controller, JobId job, Time now);
// Call at least every 100 ms.
JobActions OnTick(JobController& controller, Time now);

// What a caller is shown of a job.
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
std::optional<JobView> ViewJob(const JobController& controller, JobId job);
// The view that durable records alone give, for those who are not leader.
std::optional<JobView> ViewRecord(const JobRecords& records, JobId job);

struct WorkerView {
  WorkerReport report_;
  Accelerators free_;
  bool silent_ = false;
  bool quarantined_ = false;
};
std::vector<WorkerView> ViewWorkers(const JobController& controller);
// Jobs that are accepted and not running, by customer: for queue limits.
std::map<CustomerId, std::uint32_t> QueuedJobs(const JobController& controller);
const PlacementState& Placement(const JobController& controller);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_H_

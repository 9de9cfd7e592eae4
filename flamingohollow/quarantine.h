// Quarantines workers on which all jobs fail, and identifies jobs that fail on
// all workers.
//
// A worker is blamed when several different jobs fail on it without a success
// in between. Failures of a single job don't suffice, as they may be the job's
// own fault. A job is blamed when it fails on several good workers, that is,
// workers on which the last result of other jobs was a success. Failures of a
// blamed job no longer count against any worker. A blamed worker is
// quarantined: it gets no tasks for a while. The next task placed on it
// afterwards is the probe: one failure quarantines the worker again for twice
// as long, one success clears it. The share of workers in quarantine is
// limited.
//
// Memory is bounded: a few ids for each known worker, and the last
// kMaxTrackedJobs jobs.

#ifndef FLAMINGOHOLLOW_QUARANTINE_H_
#define FLAMINGOHOLLOW_QUARANTINE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// Number of different jobs that must fail on a worker before it is blamed.
inline constexpr std::size_t kJobsToBlameWorker = 3;
// Number of good workers that a job must fail on before it is blamed.
inline constexpr std::size_t kWorkersToBlameJob = 3;
inline constexpr Duration kFirstQuarantine = Duration(30 * 1000);
inline constexpr Duration kLongestQuarantine = Duration(60 * 60 * 1000);
inline constexpr std::size_t kMaxTrackedJobs = 8192;
// Maximum number of workers that are avoided for one job.
inline constexpr std::size_t kMaxAvoidedWorkers = 16;

struct WorkerHealth {
  // Jobs that failed on this worker since its last success.
  std::set<JobId> failed_jobs_;
  // Whether a task has succeeded here since the last quarantine.
  bool has_succeeded_ = false;
  bool quarantined_ = false;
  // The quarantine has ended, and no success has cleared the worker yet.
  bool on_probation_ = false;
  Time quarantined_until_;
  // Duration of the next quarantine.
  Duration next_duration_ = kFirstQuarantine;
};

struct JobHealth {
  // Good workers that the job failed on.
  std::set<WorkerId> failed_on_good_workers_;
  // All workers that the job failed on recently. The job is placed elsewhere
  // if possible, so that it isn't retried on one bad worker for ever.
  std::set<WorkerId> avoided_workers_;
  bool blamed_ = false;
};

struct Quarantine {
  double max_share_ = 0;
  std::map<WorkerId, WorkerHealth> workers_;
  std::map<JobId, JobHealth> jobs_;
  // The keys of `jobs_`, oldest first.
  std::deque<JobId> job_order_;
  std::size_t quarantined_count_ = 0;
};

// Records the result of one task. True when the worker's quarantine started or
// ended.
bool RecordOutcome(Quarantine& quarantine, JobId job, const WorkerId& worker,
                   bool succeeded, std::size_t known_workers, Time now);
// Ends the quarantines whose time is over and returns their workers.
std::vector<WorkerId> EndQuarantines(Quarantine& quarantine, Time now);
// Removes a worker that no longer exists. True when it was quarantined.
bool ForgetWorker(Quarantine& quarantine, const WorkerId& worker);

bool IsWorkerQuarantined(const Quarantine& quarantine, const WorkerId& worker);
// Workers that the job should not be placed on again if possible.
std::set<WorkerId> WorkersAvoidedBy(const Quarantine& quarantine, JobId job);
bool IsJobBlamed(const Quarantine& quarantine, JobId job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_QUARANTINE_H_

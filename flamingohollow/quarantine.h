// Workers that fail everything, and jobs that fail everywhere.
//
// A worker is blamed when different jobs fail on it with no success between:
// one job's failures are evidence against the job as much as the worker. A job
// that fails on several good workers, where others' last results were
// successes, is blamed itself, and no longer counts against any worker. A
// blamed worker takes no work for a while; then whatever is placed on it is the
// probe. One failure sends it back for twice as long, one success clears it.
// Never more than a stated share of the workers is away.
//
// Memory is bounded: a few ids a known worker, and the last kMaxJudgedJobs
// jobs.

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

// Different jobs that must fail on a worker before it is blamed.
inline constexpr std::size_t kJobsToBlameWorker = 3;
// Different good workers that a job must fail on before it is blamed.
inline constexpr std::size_t kWorkersToBlameJob = 3;
inline constexpr Duration kFirstQuarantine = Duration(30 * 1000);
inline constexpr Duration kLongestQuarantine = Duration(60 * 60 * 1000);
inline constexpr std::size_t kMaxJudgedJobs = 8192;
// At most this many workers are avoided for one job.
inline constexpr std::size_t kMaxAvoided = 16;

struct WorkerHealth {
  // Jobs that failed here since the last success.
  std::set<JobId> failed_;
  // Something has succeeded here since the last quarantine.
  bool proven_ = false;
  bool quarantined_ = false;
  // Out of quarantine and not yet cleared by a success.
  bool on_probation_ = false;
  Time until_;
  // How long the next quarantine lasts.
  Duration next_ = kFirstQuarantine;
};

struct JobHealth {
  // Good workers only.
  std::set<WorkerId> failed_on_;
  // All workers where it failed lately; it is placed elsewhere if it can be,
  // so that one job and one bad worker don't meet for ever.
  std::set<WorkerId> avoided_;
  bool blamed_ = false;
};

struct Quarantine {
  double max_share_ = 0;
  std::map<WorkerId, WorkerHealth> workers_;
  std::map<JobId, JobHealth> jobs_;
  // The jobs of `jobs_`, oldest first.
  std::deque<JobId> job_order_;
  std::size_t quarantined_count_ = 0;
};

// Evidence from one task. True when the worker's quarantine changed.
bool RecordEvidence(Quarantine& quarantine, JobId job, const WorkerId& worker,
                    bool succeeded, std::size_t known_workers, Time now);
// Ends the quarantines that are over and returns their workers.
std::vector<WorkerId> EndQuarantines(Quarantine& quarantine, Time now);
// The worker is gone. True when it was quarantined.
bool ForgetWorker(Quarantine& quarantine, const WorkerId& worker);

bool IsWorkerQuarantined(const Quarantine& quarantine, const WorkerId& worker);
// The workers that the job had better not meet again.
std::set<WorkerId> AvoidedBy(const Quarantine& quarantine, JobId job);
bool IsJobBlamed(const Quarantine& quarantine, JobId job);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_QUARANTINE_H_

// Attributes failures to workers or jobs by the results of different jobs.

#include "flamingohollow/quarantine.h"

#include <algorithm>

namespace flamingohollow {
namespace {

JobHealth& GetOrAddJobHealth(Quarantine& quarantine, JobId job) {
  const auto [it, added] = quarantine.jobs_.try_emplace(job);
  if (!added) return it->second;
  quarantine.job_order_.push_back(job);
  if (quarantine.job_order_.size() > kMaxTrackedJobs) {
    quarantine.jobs_.erase(quarantine.job_order_.front());
    quarantine.job_order_.pop_front();
  }
  return it->second;
}

// True when one more quarantined worker keeps the share within its limit.
bool CanQuarantineAnother(const Quarantine& quarantine,
                          std::size_t known_workers) {
  const double limit =
      quarantine.max_share_ * static_cast<double>(known_workers);
  return static_cast<double>(quarantine.quarantined_count_ + 1) <= limit;
}

void QuarantineWorker(Quarantine& quarantine, const WorkerId& worker,
                      WorkerHealth& health, Time now) {
  health.quarantined_ = true;
  health.on_probation_ = false;
  health.quarantined_until_ = now + health.next_duration_;
  health.next_duration_ =
      std::min(health.next_duration_ * 2, kLongestQuarantine);
  ++quarantine.quarantined_count_;
  // The worker is blamed, so its failures no longer count against the jobs.
  for (const JobId job : health.failed_jobs_) {
    const auto it = quarantine.jobs_.find(job);
    if (it != quarantine.jobs_.end())
      it->second.failed_on_good_workers_.erase(worker);
  }
  health.failed_jobs_.clear();
  health.has_succeeded_ = false;
}

void BlameJob(Quarantine& quarantine, JobId job, JobHealth& health) {
  health.blamed_ = true;
  for (const WorkerId& worker : health.failed_on_good_workers_) {
    const auto it = quarantine.workers_.find(worker);
    if (it != quarantine.workers_.end()) it->second.failed_jobs_.erase(job);
  }
}

bool RecordSuccess(Quarantine& quarantine, JobId job, const WorkerId& worker) {
  const auto job_health = quarantine.jobs_.find(job);
  if (job_health != quarantine.jobs_.end()) {
    job_health->second.failed_on_good_workers_.clear();
    job_health->second.avoided_workers_.clear();
  }
  WorkerHealth& health = quarantine.workers_[worker];
  const bool was_quarantined = health.quarantined_;
  if (was_quarantined) --quarantine.quarantined_count_;
  health = {};
  health.has_succeeded_ = true;
  return was_quarantined;
}

// True when the worker has succeeded and no other job has failed on it since.
bool IsGoodWorkerFor(const WorkerHealth& health, JobId job) {
  if (!health.has_succeeded_) return false;
  return health.failed_jobs_.empty() ||
         (health.failed_jobs_.size() == 1 && health.failed_jobs_.contains(job));
}

}  // namespace

bool RecordOutcome(Quarantine& quarantine, JobId job, const WorkerId& worker,
                   bool succeeded, std::size_t known_workers, Time now) {
  if (succeeded) return RecordSuccess(quarantine, job, worker);
  JobHealth& job_health = GetOrAddJobHealth(quarantine, job);
  if (job_health.blamed_) return false;
  if (job_health.avoided_workers_.size() == kMaxAvoidedWorkers)
    job_health.avoided_workers_.clear();
  job_health.avoided_workers_.insert(worker);
  WorkerHealth& health = quarantine.workers_[worker];
  if (health.quarantined_) return false;
  if (IsGoodWorkerFor(health, job))
    job_health.failed_on_good_workers_.insert(worker);
  if (health.failed_jobs_.size() < kJobsToBlameWorker)
    health.failed_jobs_.insert(job);
  const bool blame_worker =
      health.on_probation_ || health.failed_jobs_.size() >= kJobsToBlameWorker;
  if (blame_worker && CanQuarantineAnother(quarantine, known_workers)) {
    QuarantineWorker(quarantine, worker, health, now);
    return true;
  }
  if (job_health.failed_on_good_workers_.size() >= kWorkersToBlameJob) {
    BlameJob(quarantine, job, job_health);
  }
  return false;
}

std::vector<WorkerId> EndQuarantines(Quarantine& quarantine, Time now) {
  std::vector<WorkerId> ended;
  if (quarantine.quarantined_count_ == 0) return ended;
  for (auto& [worker, health] : quarantine.workers_) {
    if (!health.quarantined_ || health.quarantined_until_ > now) continue;
    health.quarantined_ = false;
    health.on_probation_ = true;
    --quarantine.quarantined_count_;
    ended.push_back(worker);
  }
  return ended;
}

bool ForgetWorker(Quarantine& quarantine, const WorkerId& worker) {
  const auto it = quarantine.workers_.find(worker);
  if (it == quarantine.workers_.end()) return false;
  const bool was_quarantined = it->second.quarantined_;
  if (was_quarantined) --quarantine.quarantined_count_;
  quarantine.workers_.erase(it);
  return was_quarantined;
}

bool IsWorkerQuarantined(const Quarantine& quarantine, const WorkerId& worker) {
  const auto it = quarantine.workers_.find(worker);
  return it != quarantine.workers_.end() && it->second.quarantined_;
}

std::set<WorkerId> WorkersAvoidedBy(const Quarantine& quarantine, JobId job) {
  const auto it = quarantine.jobs_.find(job);
  return it == quarantine.jobs_.end() ? std::set<WorkerId>()
                                      : it->second.avoided_workers_;
}

bool IsJobBlamed(const Quarantine& quarantine, JobId job) {
  const auto it = quarantine.jobs_.find(job);
  return it != quarantine.jobs_.end() && it->second.blamed_;
}

}  // namespace flamingohollow

// Blame by evidence from different jobs.

#include "flamingohollow/quarantine.h"

#include <algorithm>

namespace flamingohollow {
namespace {

JobHealth& HealthOf(Quarantine& quarantine, JobId job) {
  const auto [it, added] = quarantine.jobs_.try_emplace(job);
  if (!added) return it->second;
  quarantine.job_order_.push_back(job);
  if (quarantine.job_order_.size() > kMaxJudgedJobs) {
    quarantine.jobs_.erase(quarantine.job_order_.front());
    quarantine.job_order_.pop_front();
  }
  return it->second;
}

// Adding one more keeps the share within its limit.
bool HasRoomFor(const Quarantine& quarantine, std::size_t known_workers) {
  const double limit =
      quarantine.max_share_ * static_cast<double>(known_workers);
  return static_cast<double>(quarantine.quarantined_count_ + 1) <= limit;
}

void SendAway(Quarantine& quarantine, const WorkerId& worker,
              WorkerHealth& health, Time now) {
  health.quarantined_ = true;
  health.on_probation_ = false;
  health.until_ = now + health.next_;
  health.next_ = std::min(health.next_ * 2, kLongestQuarantine);
  ++quarantine.quarantined_count_;
  // The worker is to blame, so its failures no longer speak against the jobs.
  for (const JobId job : health.failed_) {
    const auto it = quarantine.jobs_.find(job);
    if (it != quarantine.jobs_.end()) it->second.failed_on_.erase(worker);
  }
  health.failed_.clear();
  health.proven_ = false;
}

void BlameJob(Quarantine& quarantine, JobId job, JobHealth& health) {
  health.blamed_ = true;
  for (const WorkerId& worker : health.failed_on_) {
    const auto it = quarantine.workers_.find(worker);
    if (it != quarantine.workers_.end()) it->second.failed_.erase(job);
  }
}

bool RecordSuccess(Quarantine& quarantine, JobId job, const WorkerId& worker) {
  const auto judged = quarantine.jobs_.find(job);
  if (judged != quarantine.jobs_.end()) {
    judged->second.failed_on_.clear();
    judged->second.avoided_.clear();
  }
  WorkerHealth& health = quarantine.workers_[worker];
  const bool was_quarantined = health.quarantined_;
  if (was_quarantined) --quarantine.quarantined_count_;
  health = {};
  health.proven_ = true;
  return was_quarantined;
}

// Nothing but this job speaks against the worker.
bool IsGoodFor(const WorkerHealth& health, JobId job) {
  if (!health.proven_) return false;
  return health.failed_.empty() ||
         (health.failed_.size() == 1 && health.failed_.contains(job));
}

}  // namespace

bool RecordEvidence(Quarantine& quarantine, JobId job, const WorkerId& worker,
                    bool succeeded, std::size_t known_workers, Time now) {
  if (succeeded) return RecordSuccess(quarantine, job, worker);
  JobHealth& judged = HealthOf(quarantine, job);
  if (judged.blamed_) return false;
  if (judged.avoided_.size() == kMaxAvoided) judged.avoided_.clear();
  judged.avoided_.insert(worker);
  WorkerHealth& health = quarantine.workers_[worker];
  if (health.quarantined_) return false;
  if (IsGoodFor(health, job)) judged.failed_on_.insert(worker);
  if (health.failed_.size() < kJobsToBlameWorker) health.failed_.insert(job);
  const bool blame_worker =
      health.on_probation_ || health.failed_.size() >= kJobsToBlameWorker;
  if (blame_worker && HasRoomFor(quarantine, known_workers)) {
    SendAway(quarantine, worker, health, now);
    return true;
  }
  if (judged.failed_on_.size() >= kWorkersToBlameJob) {
    BlameJob(quarantine, job, judged);
  }
  return false;
}

std::vector<WorkerId> EndQuarantines(Quarantine& quarantine, Time now) {
  std::vector<WorkerId> ended;
  if (quarantine.quarantined_count_ == 0) return ended;
  for (auto& [worker, health] : quarantine.workers_) {
    if (!health.quarantined_ || health.until_ > now) continue;
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

std::set<WorkerId> AvoidedBy(const Quarantine& quarantine, JobId job) {
  const auto it = quarantine.jobs_.find(job);
  return it == quarantine.jobs_.end() ? std::set<WorkerId>()
                                      : it->second.avoided_;
}

bool IsJobBlamed(const Quarantine& quarantine, JobId job) {
  const auto it = quarantine.jobs_.find(job);
  return it != quarantine.jobs_.end() && it->second.blamed_;
}

}  // namespace flamingohollow

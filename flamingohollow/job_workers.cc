// The workers as known to the leader: see job_workers.h.

#include "flamingohollow/job_workers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingohollow {
namespace {

PlacementWorker PlacementWorkerOf(const WorkerInfo& worker) {
  PlacementWorker placement_worker;
  placement_worker.id_ = worker.report_.worker_;
  placement_worker.incarnation_ = worker.report_.incarnation_;
  placement_worker.place_ = worker.report_.place_;
  placement_worker.accelerators_ = worker.report_.accelerators_;
  placement_worker.slots_ = worker.report_.slots_;
  return placement_worker;
}

// Whether the worker's failure domain is evacuated.
bool IsEvacuated(const Step& step, const WorkerInfo& worker) {
  return flamingohollow::IsEvacuated(step.controller_.records_->evacuations_,
                                     worker.report_.place_.failure_domain_);
}

bool IsAvailable(const Step& step, const WorkerInfo& worker) {
  return worker.known_ && !IsEvacuated(step, worker) &&
         worker.report_.state_ == WorkerState::kReady &&
         !IsSilent(step.controller_, worker, step.now_) &&
         !worker.holds_orphaned_;
}

bool SameForPlacement(const PlacementWorker& a, const PlacementWorker& b) {
  return a.id_ == b.id_ && a.incarnation_ == b.incarnation_ &&
         a.place_ == b.place_ && a.accelerators_ == b.accelerators_ &&
         a.slots_ == b.slots_ && a.available_ == b.available_;
}

// Passes the worker to placement if that changes anything. Most reports only
// change leases, which placement knows from its own decisions.
void UpdatePlacement(Step& step, WorkerInfo& worker) {
  PlacementWorker now = PlacementWorkerOf(worker);
  now.available_ = IsAvailable(step, worker);
  if (worker.sent_to_placement_ &&
      SameForPlacement(*worker.sent_to_placement_, now))
    return;
  SetWorker(*step.controller_.placement_, now, step.now_);
  worker.sent_to_placement_ = std::move(now);
  step.controller_.placement_due_ = true;
}

bool RecentlySent(const Step& step, const std::optional<Time>& sent_at) {
  return sent_at &&
         step.now_ - *sent_at < step.controller_.options_.resend_interval_;
}

void Send(Step& step, const WorkerInfo& worker, WorkerCommand command) {
  command.worker_ = worker.report_.worker_;
  command.incarnation_ = worker.report_.incarnation_;
  command.address_ = worker.report_.address_;
  command.term_ = step.controller_.term_;
  command.lease_ = step.controller_.options_.lease_;
  step.actions_.push_back(SendAction{std::move(command)});
  ++step.commands_;
}

// Stops an orphaned lease, or releases it once it has ended.
void StopOrRelease(Step& step, const WorkerInfo& worker, const LeaseKey& key,
                   OrphanedLease& lease) {
  if (RecentlySent(step, lease.sent_at_)) return;
  lease.sent_at_ = step.now_;
  WorkerCommand command;
  command.kind_ = lease.maybe_active_ ? WorkerCommandKind::kStop
                                      : WorkerCommandKind::kRelease;
  command.job_ = key.job_;
  command.attempt_ = key.attempt_;
  command.task_ = key.task_;
  command.accelerators_ = lease.accelerators_;
  Send(step, worker, std::move(command));
}

void AddOrphaned(Step& step, WorkerInfo& worker, const LeaseKey& key,
                 const OrphanedLease& lease) {
  OrphanedLease& added = worker.orphaned_[key];
  added = lease;
  worker.holds_orphaned_ |= lease.maybe_active_;
  step.controller_.cleanup_workers_.insert(worker.report_.worker_);
  if (worker.known_) StopOrRelease(step, worker, key, added);
}

// Returns the task that a reported lease belongs to, or null when the lease is
// orphaned.
AttemptTask* FindTask(Step& step, const WorkerReport& report,
                      const LeaseKey& key) {
  const auto found = step.controller_.jobs_.find(key.job_);
  if (found == step.controller_.jobs_.end()) return nullptr;
  LiveJob& job = found->second;
  job.last_attempt_ = std::max(job.last_attempt_, key.attempt_);
  if (!job.attempt_ || job.attempt_->id_ != key.attempt_) return nullptr;
  if (key.task_.value() >= job.attempt_->tasks_.size()) return nullptr;
  AttemptTask& task = job.attempt_->tasks_[key.task_.value()];
  const bool same_worker = task.slice_.worker_ == report.worker_ &&
                           task.slice_.incarnation_ == report.incarnation_;
  return same_worker ? &task : nullptr;
}

void RecordResult(Step& step, const LeaseKey& key, const AttemptTask& task) {
  const bool finished = task.state_ == TaskState::kFinished;
  if (!finished && task.state_ != TaskState::kFailed) return;
  RecordTaskResult(*step.controller_.placement_, key.job_, task.slice_.worker_,
                   finished, step.now_);
}

// Applies the reported leases to their tasks; the others become orphaned. Adds
// the leases of tasks to `seen` and the jobs whose tasks changed to `changed`.
void ApplyLeases(Step& step, WorkerInfo& worker, const WorkerReport& report,
                 std::set<LeaseKey>& seen, std::vector<JobId>& changed) {
  std::map<LeaseKey, OrphanedLease> orphaned;
  bool holds_orphaned = false;
  for (const LeaseReport& lease : report.leases_) {
    const LeaseKey key{lease.job_, lease.attempt_, lease.task_};
    if (AttemptTask* task = FindTask(step, report, key)) {
      seen.insert(key);
      if (!ApplyLeaseReport(*task, lease)) continue;
      RecordResult(step, key, *task);
      changed.push_back(key.job_);
      continue;
    }
    OrphanedLease& entry = orphaned[key];
    entry.maybe_active_ = IsActive(lease.state_);
    holds_orphaned |= entry.maybe_active_;
    entry.accelerators_ = lease.accelerators_;
    const auto old = worker.orphaned_.find(key);
    const bool known = old != worker.orphaned_.end() &&
                       old->second.maybe_active_ == entry.maybe_active_;
    if (known) entry.sent_at_ = old->second.sent_at_;
  }
  // The prepare of an orphaned lease may still be in transit: the lease may be
  // granted until the worker has recorded the stop.
  if (report.incarnation_ == worker.report_.incarnation_) {
    for (const auto& [key, lease] : worker.orphaned_) {
      if (!lease.maybe_active_ || orphaned.contains(key)) continue;
      orphaned.emplace(key, lease);
      holds_orphaned = true;
    }
  }
  worker.orphaned_ = std::move(orphaned);
  worker.holds_orphaned_ = holds_orphaned;
}

// Marks the worker's tasks that are not in `seen`: those of an earlier
// incarnation as lost, those with a granted lease as missing. A task without
// a granted lease is left as it is: its prepare may still be granted.
void MarkMissing(Step& step, const WorkerInfo& worker,
                 const std::set<LeaseKey>& seen, std::vector<JobId>& changed) {
  for (const LeaseKey& key : worker.tasks_) {
    if (seen.contains(key)) continue;
    LiveJob& job = step.controller_.jobs_.at(key.job_);
    AttemptTask& task = job.attempt_->tasks_[key.task_.value()];
    if (task.slice_.incarnation_ < worker.report_.incarnation_) {
      if (MarkLost(task)) changed.push_back(key.job_);
    } else if (task.granted_ && !task.missing_since_) {
      task.missing_since_ = step.now_;
      changed.push_back(key.job_);
    }
  }
}

void SortUnique(std::vector<JobId>& jobs) {
  std::sort(jobs.begin(), jobs.end());
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
}

void CleanUpWorker(Step& step, WorkerInfo& worker) {
  worker.cleaned_up_at_ = step.now_;
  for (auto& [key, lease] : worker.orphaned_) {
    StopOrRelease(step, worker, key, lease);
  }
}

// Sends commands for orphaned leases. Removes workers that have none from
// `cleanup_workers_`.
void CleanUpWorkers(Step& step) {
  std::set<WorkerId>& cleaning = step.controller_.cleanup_workers_;
  for (auto it = cleaning.begin(); it != cleaning.end();) {
    if (step.commands_ >= kMaxCommandsPerTick) return;
    WorkerInfo& worker = step.controller_.workers_.at(*it);
    if (worker.orphaned_.empty()) {
      it = cleaning.erase(it);
      continue;
    }
    const bool reachable =
        worker.known_ && !IsSilent(step.controller_, worker, step.now_);
    const bool due = !RecentlySent(step, worker.cleaned_up_at_);
    if (reachable && due) CleanUpWorker(step, worker);
    ++it;
  }
}

bool ShouldRemove(const Step& step, const WorkerInfo& worker) {
  return worker.tasks_.empty() &&
         step.now_ - worker.heard_at_ > kRemoveWorkerAfter;
}

}  // namespace

LeaseKey LeaseKeyOf(const LiveJob& job, std::size_t task) {
  return {job.id_, job.attempt_->id_,
          TaskIndex(static_cast<std::uint32_t>(task))};
}

bool IsSilent(const JobController& controller, const WorkerInfo& worker,
              Time now) {
  return now - worker.heard_at_ >= controller.options_.worker_silence_;
}

bool IsLost(const JobController& controller, const WorkerInfo& worker,
            Time now) {
  return now - worker.heard_at_ >= controller.options_.lease_;
}

bool TakesWork(const Step& step, const AttemptTask& task) {
  const WorkerInfo& worker = *task.worker_;
  return worker.report_.incarnation_ == task.slice_.incarnation_ &&
         worker.report_.state_ == WorkerState::kReady &&
         !IsEvacuated(step, worker) &&
         !IsSilent(step.controller_, worker, step.now_);
}

bool IsEvacuated(const Step& step, const AttemptTask& task) {
  return IsEvacuated(step, *task.worker_);
}

bool IsUnreachable(const Step& step, const AttemptTask& task) {
  return IsSilent(step.controller_, *task.worker_, step.now_);
}

bool IsWorkerLost(const Step& step, const AttemptTask& task) {
  return IsLost(step.controller_, *task.worker_, step.now_);
}

void MarkLongMissing(const Step& step, Attempt& attempt) {
  for (AttemptTask& task : attempt.tasks_) {
    if (!task.missing_since_ || IsUnreachable(step, task)) continue;
    const bool long_missing =
        step.now_ - *task.missing_since_ >= step.controller_.options_.lease_;
    if (long_missing) MarkLost(task);
  }
}

void AddTasks(Step& step, LiveJob& job) {
  for (std::size_t i = 0; i < job.attempt_->tasks_.size(); ++i) {
    AttemptTask& task = job.attempt_->tasks_[i];
    const Slice& slice = task.slice_;
    const auto [it, is_new] =
        step.controller_.workers_.try_emplace(slice.worker_);
    WorkerInfo& worker = it->second;
    if (is_new) {
      worker.report_.worker_ = slice.worker_;
      worker.report_.incarnation_ = slice.incarnation_;
      worker.heard_at_ = step.now_;
    }
    worker.tasks_.insert(LeaseKeyOf(job, i));
    task.worker_ = &worker;
  }
}

void RemoveTasks(Step& step, const LiveJob& job) {
  for (std::size_t i = 0; i < job.attempt_->tasks_.size(); ++i) {
    const AttemptTask& task = job.attempt_->tasks_[i];
    WorkerInfo& worker = *task.worker_;
    worker.tasks_.erase(LeaseKeyOf(job, i));
    const bool gone = task.slice_.incarnation_ != worker.report_.incarnation_ ||
                      task.state_ == TaskState::kLost;
    if (gone) continue;
    AddOrphaned(step, worker, LeaseKeyOf(job, i),
                {!IsOver(task.state_), task.slice_.accelerators_, {}});
    UpdateAvailable(step, worker);
  }
}

void SendTask(Step& step, LiveJob& job, std::size_t task,
              WorkerCommandKind kind) {
  AttemptTask& target = job.attempt_->tasks_[task];
  if (RecentlySent(step, target.sent_at_)) return;
  const WorkerInfo& worker = *target.worker_;
  if (!worker.known_) return;
  if (worker.report_.incarnation_ != target.slice_.incarnation_) return;
  target.sent_at_ = step.now_;
  const LeaseKey key = LeaseKeyOf(job, task);
  WorkerCommand command;
  command.kind_ = kind;
  command.job_ = key.job_;
  command.attempt_ = key.attempt_;
  command.task_ = key.task_;
  command.accelerators_ = target.slice_.accelerators_;
  command.request_id_ = job.spec_.request_id_;
  command.customer_ = job.spec_.customer_;
  command.run_time_ = job.spec_.run_time_;
  Send(step, worker, std::move(command));
}

void ResetSendTimes(Attempt& attempt) {
  for (AttemptTask& task : attempt.tasks_) task.sent_at_.reset();
}

std::vector<JobId> ApplyReport(Step& step, const WorkerReport& report) {
  WorkerInfo& worker = step.controller_.workers_[report.worker_];
  const WorkerReport& old = worker.report_;
  if (worker.known_ || !worker.tasks_.empty()) {
    if (report.incarnation_ < old.incarnation_) return {};
  }
  const bool same = worker.known_ && report.incarnation_ == old.incarnation_;
  if (same && report.sequence_ < old.sequence_) return {};
  worker.heard_at_ = step.now_;
  if (same && report.sequence_ == old.sequence_) {
    UpdateAvailable(step, worker);
    return {};
  }

  std::set<LeaseKey> seen;
  std::vector<JobId> changed;
  ApplyLeases(step, worker, report, seen, changed);
  worker.report_ = report;
  for (LeaseReport& lease : worker.report_.leases_) lease.part_.clear();
  worker.known_ = true;
  worker.silent_ = false;
  MarkMissing(step, worker, seen, changed);
  UpdatePlacement(step, worker);
  if (!worker.orphaned_.empty()) {
    step.controller_.cleanup_workers_.insert(report.worker_);
    CleanUpWorker(step, worker);
  }
  SortUnique(changed);
  return changed;
}

void MarkAlive(Step& step, const WorkerId& id) {
  const auto found = step.controller_.workers_.find(id);
  if (found == step.controller_.workers_.end()) return;
  if (!found->second.known_) return;
  found->second.heard_at_ = step.now_;
  UpdateAvailable(step, found->second);
}

void UpdateAvailable(Step& step, WorkerInfo& worker) {
  worker.silent_ = IsSilent(step.controller_, worker, step.now_);
  if (!worker.known_) return;
  const bool was_available =
      worker.sent_to_placement_ && worker.sent_to_placement_->available_;
  if (IsAvailable(step, worker) != was_available) UpdatePlacement(step, worker);
}

void UpdateDomain(Step& step, const FailureDomain& domain) {
  for (auto& [id, worker] : step.controller_.workers_) {
    if (worker.report_.place_.failure_domain_ != domain) continue;
    UpdateAvailable(step, worker);
  }
}

void TickWorkers(Step& step) {
  auto& workers = step.controller_.workers_;
  for (auto it = workers.begin(); it != workers.end();) {
    if (ShouldRemove(step, it->second)) {
      RemoveWorker(*step.controller_.placement_, it->first, step.now_);
      step.controller_.cleanup_workers_.erase(it->first);
      it = workers.erase(it);
      continue;
    }
    UpdateAvailable(step, it->second);
    ++it;
  }
  CleanUpWorkers(step);
}

}  // namespace flamingohollow

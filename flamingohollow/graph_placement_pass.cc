// Collects the workers' free resources and the running groups at the start of
// a pass.

#include "flamingohollow/graph_placement_pass.h"

#include <algorithm>
#include <utility>

namespace flamingohollow::graph_placement_internal {

bool HasLabel(const PoolWorkerReport& report, const std::string& label) {
  if (label.empty()) return true;
  return std::find(report.labels_.begin(), report.labels_.end(), label) !=
         report.labels_.end();
}

bool MatchesStep(const PoolWorkerReport& report, const StepSpec& spec,
                 const PoolName& pool) {
  return report.pool_ == pool && HasLabel(report, spec.label_);
}

void CollectGuaranteed(Pass& pass) {
  std::vector<const GraphJob*> urgent;
  for (const auto& [key, job] : pass.state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    if (job.terms_.priority_ == 0) urgent.push_back(&job);
  }
  std::stable_sort(urgent.begin(), urgent.end(),
                   [](const GraphJob* a, const GraphJob* b) {
                     return a->accepted_ < b->accepted_;
                   });
  std::map<CustomerId, std::int64_t> used;
  for (const GraphJob* job : urgent) {
    std::int64_t widest = 0;
    for (const StepSpec& step : job->spec_.steps_) {
      widest = std::max(widest, step.tasks_ * step.need_.accelerators_);
    }
    const std::int64_t limit =
        GuaranteeOf(pass.state_.catalog_, job->customer_);
    std::int64_t& sum = used[job->customer_];
    if (sum + widest > limit) continue;
    sum += widest;
    pass.guaranteed_.insert(job->key_);
  }
}

// At most one in this many of a pool's workers is excluded as very slow.
constexpr std::size_t kVerySlowShareDivisor = 4;

// Excludes very slow workers from new tasks. If there are too many of them, the
// measurement is assumed to be wrong and none is excluded.
void SetPaces(Pass& pass, const std::vector<std::size_t>& pool) {
  std::vector<double> paces;
  for (const std::size_t worker : pool) {
    const WorkerPace& pace = pass.workers_[worker].fleet_worker_->pace_;
    if (pace.samples_ > 0) paces.push_back(pace.log_pace_);
  }
  const double typical = TypicalPace(std::move(paces));
  std::size_t very_slow = 0;
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    worker.pace_ = PaceOf(worker.fleet_worker_->pace_, typical, pass.now_);
    if (worker.pace_ == PaceClass::kVerySlow) ++very_slow;
  }
  if (very_slow * kVerySlowShareDivisor > pool.size()) return;
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    if (worker.pace_ == PaceClass::kVerySlow) worker.usable_ = false;
  }
}

void CollectWorkers(Pass& pass) {
  std::map<PoolName, std::vector<std::size_t>> pools;
  for (const auto& [id, worker] : pass.fleet_) {
    if (!worker.reported_) continue;
    PassWorker added;
    added.fleet_worker_ = &worker;
    added.usable_ =
        AcceptsTasks(worker, pass.options_.report_interval_, pass.now_);
    added.free_ = worker.report_.capacity_ - worker.used_;
    added.free_after_stops_ = added.free_;
    for (const auto& [attempt, run] : worker.runs_) {
      ++added.tasks_[StepOf(attempt.task_)];
      if (IsEnding(run))
        added.free_after_stops_ = added.free_after_stops_ + run.need_;
    }
    pass.racks_[worker.report_.rack_].push_back(pass.workers_.size());
    pools[worker.report_.pool_].push_back(pass.workers_.size());
    pass.workers_.push_back(std::move(added));
  }
  // No job runs on several pools, so paces of different pools can't be
  // compared.
  for (const auto& [name, pool] : pools) SetPaces(pass, pool);
}

// An accelerator counts as this many cores in the cost of lost work.
constexpr std::int64_t kCoresPerAccelerator = 8;
// Stopping a task costs this much of its work in addition to the work lost: it
// must be restored from its checkpoint, and its job is delayed.
constexpr std::int64_t kStopCostMs = 1500;

std::int64_t WeightOf(const Resources& need) {
  return need.accelerators_ * kCoresPerAccelerator + need.millicores_ / 1000;
}

void AddToGroup(const Pass& pass, RunGroup& group, std::size_t worker,
                const AttemptRef& attempt, const Run& run) {
  const Time now = pass.now_;
  const Time began = run.began_.value_or(now);
  const StepSpec& spec = group.job_->spec_.steps_[attempt.task_.step_.value()];
  const std::int64_t left = RemainingTime(run, spec.estimate_, now).ms();
  group.members_.push_back({worker, attempt, run.need_});
  // A task that takes checkpoints also takes one when it is stopped.
  const std::int64_t lost = spec.checkpoints_ ? 0 : (now - began).ms();
  group.lost_work_ += (lost + kStopCostMs) * WeightOf(run.need_);
  group.remaining_ms_ = std::max(group.remaining_ms_, left);
  const bool runs = run.phase_ == RunPhase::kRunning && !run.end_proposed_;
  group.all_running_ = group.all_running_ && runs;
}

void SortGroups(Pass& pass) {
  pass.by_end_ = pass.by_loss_;
  for (std::vector<std::size_t>& here : pass.by_loss_) {
    std::sort(here.begin(), here.end(), [&pass](std::size_t a, std::size_t b) {
      return pass.groups_[a].lost_work_ < pass.groups_[b].lost_work_;
    });
  }
  for (std::vector<std::size_t>& here : pass.by_end_) {
    std::sort(here.begin(), here.end(), [&pass](std::size_t a, std::size_t b) {
      return pass.groups_[a].remaining_ms_ < pass.groups_[b].remaining_ms_;
    });
  }
}

void CollectGroups(Pass& pass) {
  std::map<StepRef, std::size_t> gangs;
  pass.by_loss_.resize(pass.workers_.size());
  for (std::size_t worker = 0; worker < pass.workers_.size(); ++worker) {
    for (const auto& [attempt, run] :
         pass.workers_[worker].fleet_worker_->runs_) {
      const TaskRef& task = attempt.task_;
      const GraphJob* job = FindJob(pass.state_, task.job_);
      if (job == nullptr) continue;
      std::size_t index = pass.groups_.size();
      if (job->spec_.steps_[task.step_.value()].gang_) {
        index = gangs.emplace(StepOf(task), index).first->second;
      }
      if (index == pass.groups_.size()) {
        pass.groups_.emplace_back().job_ = job;
      }
      AddToGroup(pass, pass.groups_[index], worker, attempt, run);
      std::vector<std::size_t>& here = pass.by_loss_[worker];
      if (here.empty() || here.back() != index) here.push_back(index);
    }
  }
  SortGroups(pass);
}

void MeasureUse(Pass& pass) {
  Resources used;
  Resources total;
  for (const PassWorker& worker : pass.workers_) {
    if (!worker.usable_) continue;
    used = used + worker.fleet_worker_->used_;
    total = total + worker.fleet_worker_->report_.capacity_;
  }
  pass.busy_ = used.accelerators_ * 2 > total.accelerators_ ||
               used.memory_mb_ * 2 > total.memory_mb_ ||
               used.millicores_ * 2 > total.millicores_;
}

bool MayPreempt(const Pass& pass, const RunGroup& group, const Unit& unit) {
  if (group.preempted_ || !group.all_running_) return false;
  if (group.job_->terms_.priority_ > 0) return true;
  return pass.guaranteed_.contains(unit.job_->key_) &&
         !pass.guaranteed_.contains(group.job_->key_);
}

}  // namespace flamingohollow::graph_placement_internal

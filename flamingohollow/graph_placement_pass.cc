// The workers' room at the start of a pass, and the groups that run in it.

#include "flamingohollow/graph_placement_pass.h"

#include <algorithm>
#include <utility>

namespace flamingohollow::graph_placement_internal {

bool HasLabel(const PoolWorkerReport& report, const std::string& label) {
  if (label.empty()) return true;
  return std::find(report.labels_.begin(), report.labels_.end(), label) !=
         report.labels_.end();
}

bool Suits(const PoolWorkerReport& report, const StepSpec& spec,
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

// Of a pool's workers, one in so many may be left out for being very slow.
constexpr std::size_t kMaxVerySlowShare = 4;

// Workers that are very slow get nothing new, unless so many are that it is
// rather the measure that is wrong.
void SetPaces(Pass& pass, const std::vector<std::size_t>& pool) {
  std::vector<double> paces;
  for (const std::size_t room : pool) {
    const WorkerPace& pace = pass.rooms_[room].worker_->pace_;
    if (pace.samples_ > 0) paces.push_back(pace.log_pace_);
  }
  const double typical = TypicalPace(std::move(paces));
  std::size_t very_slow = 0;
  for (const std::size_t index : pool) {
    Room& room = pass.rooms_[index];
    room.pace_ = PaceOf(room.worker_->pace_, typical, pass.now_);
    if (room.pace_ == PaceClass::kVerySlow) ++very_slow;
  }
  if (very_slow * kMaxVerySlowShare > pool.size()) return;
  for (const std::size_t index : pool) {
    Room& room = pass.rooms_[index];
    if (room.pace_ == PaceClass::kVerySlow) room.usable_ = false;
  }
}

void CollectRooms(Pass& pass) {
  std::map<PoolName, std::vector<std::size_t>> pools;
  for (const auto& [id, worker] : pass.fleet_) {
    if (!worker.reported_) continue;
    Room room;
    room.worker_ = &worker;
    room.usable_ =
        TakesTasks(worker, pass.options_.report_interval_, pass.now_);
    room.free_ = worker.report_.capacity_ - worker.used_;
    room.soon_ = room.free_;
    for (const auto& [attempt, run] : worker.runs_) {
      ++room.tasks_[StepOf(attempt.task_)];
      if (IsLeaving(run)) room.soon_ = room.soon_ + run.need_;
    }
    pass.racks_[worker.report_.rack_].push_back(pass.rooms_.size());
    pools[worker.report_.pool_].push_back(pass.rooms_.size());
    pass.rooms_.push_back(std::move(room));
  }
  // No job runs on several pools, so their paces have nothing in common.
  for (const auto& [name, pool] : pools) SetPaces(pass, pool);
}

// What a core-millisecond of an accelerator counts for.
constexpr std::int64_t kCoresPerAccelerator = 8;
// To stop a group costs as much as this time of its work, besides what is lost:
// its checkpoint must be taken up again, and its job gets late.
constexpr std::int64_t kStopCostMs = 1500;

std::int64_t WeightOf(const Resources& need) {
  return need.accelerators_ * kCoresPerAccelerator + need.millicores_ / 1000;
}

void AddToGroup(const Pass& pass, Group& group, std::size_t room,
                const AttemptRef& attempt, const Run& run) {
  const Time now = pass.now_;
  const Time began = run.began_.value_or(now);
  const StepSpec& spec = group.job_->spec_.steps_[attempt.task_.step_.value()];
  const std::int64_t left = RemainingTime(run, spec.estimate_, now).ms();
  group.members_.push_back({room, attempt, run.need_});
  // What saves its work does so when it is stopped, too.
  const std::int64_t lost = spec.checkpoints_ ? 0 : (now - began).ms();
  group.lost_ += (lost + kStopCostMs) * WeightOf(run.need_);
  group.remaining_ms_ = std::max(group.remaining_ms_, left);
  const bool runs = run.phase_ == RunPhase::kRunning && !run.end_proposed_;
  group.running_ = group.running_ && runs;
}

void SortGroups(Pass& pass) {
  pass.by_end_ = pass.by_loss_;
  for (std::vector<std::size_t>& here : pass.by_loss_) {
    std::sort(here.begin(), here.end(), [&pass](std::size_t a, std::size_t b) {
      return pass.groups_[a].lost_ < pass.groups_[b].lost_;
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
  pass.by_loss_.resize(pass.rooms_.size());
  for (std::size_t room = 0; room < pass.rooms_.size(); ++room) {
    for (const auto& [attempt, run] : pass.rooms_[room].worker_->runs_) {
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
      AddToGroup(pass, pass.groups_[index], room, attempt, run);
      std::vector<std::size_t>& here = pass.by_loss_[room];
      if (here.empty() || here.back() != index) here.push_back(index);
    }
  }
  SortGroups(pass);
}

void MeasureUse(Pass& pass) {
  Resources used;
  Resources total;
  for (const Room& room : pass.rooms_) {
    if (!room.usable_) continue;
    used = used + room.worker_->used_;
    total = total + room.worker_->report_.capacity_;
  }
  pass.busy_ = used.accelerators_ * 2 > total.accelerators_ ||
               used.memory_mb_ * 2 > total.memory_mb_ ||
               used.millicores_ * 2 > total.millicores_;
}

bool MayStop(const Pass& pass, const Group& group, const Unit& unit) {
  if (group.taken_ || !group.running_) return false;
  if (group.job_->terms_.priority_ > 0) return true;
  return pass.guaranteed_.contains(unit.job_->key_) &&
         !pass.guaranteed_.contains(group.job_->key_);
}

}  // namespace flamingohollow::graph_placement_internal

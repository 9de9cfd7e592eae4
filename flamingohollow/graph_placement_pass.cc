// Collects the workers' free resources and the running groups at the start of
// a pass.

#include "flamingohollow/graph_placement_pass.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace flamingohollow::graph_placement_internal {

namespace {

bool HasLabel(const PoolWorkerReport& report, const std::string& label) {
  if (label.empty()) return true;
  return std::find(report.labels_.begin(), report.labels_.end(), label) !=
         report.labels_.end();
}

}  // namespace

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
    pass.guaranteed_.insert(job);
  }
}

namespace {

// At most one in this many of a pool's workers is excluded for one reason.
constexpr std::size_t kExcludedShareDivisor = 4;

// Excludes workers from new tasks. If there are too many of them, the reason
// for the exclusion is assumed to be wrong and none is excluded.
template <class Predicate>
void Exclude(Pass& pass, const std::vector<std::size_t>& pool,
             const Predicate& is_excluded) {
  std::vector<std::size_t> excluded;
  std::copy_if(pool.begin(), pool.end(), std::back_inserter(excluded),
               [&](std::size_t i) { return is_excluded(pass.workers_[i]); });
  if (excluded.size() * kExcludedShareDivisor > pool.size()) return;
  for (const std::size_t worker : excluded) {
    pass.workers_[worker].usable_ = false;
  }
}

// Classifies the workers by pace, and excludes very slow ones.
void SetPaces(Pass& pass, const std::vector<std::size_t>& pool) {
  std::vector<double> paces;
  for (const std::size_t worker : pool) {
    const WorkerPace& pace = pass.workers_[worker].fleet_worker_->pace_;
    if (pace.samples_ > 0) paces.push_back(pace.log_pace_);
  }
  const double typical = TypicalPace(std::move(paces));
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    worker.pace_ = PaceOf(worker.fleet_worker_->pace_, typical, pass.now_);
  }
  Exclude(pass, pool, [](const PassWorker& worker) {
    return worker.pace_ == PaceClass::kVerySlow;
  });
}

// Sets the workers' speeds if they are known to differ widely.
void SetSpeeds(Pass& pass, const PoolName& name,
               const std::vector<std::size_t>& pool) {
  std::vector<double> known;
  for (const std::size_t index : pool) {
    const WorkerSpeed& speed = pass.workers_[index].fleet_worker_->speed_;
    if (IsSpeedKnown(speed, pass.now_)) {
      known.push_back(MeasuredLogSpeed(speed));
    }
  }
  const auto spread = FindWideSpread(std::move(known));
  if (!spread.has_value()) return;
  const SpeedSpread& kept =
      pass.plan_.spreads_.emplace(name, *spread).first->second;
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    const WorkerSpeed& speed = worker.fleet_worker_->speed_;
    worker.spread_ = &kept;
    worker.speed_ = SpeedOf(speed, kept, pass.now_);
    worker.speed_class_ = ClassOf(speed, kept, pass.now_);
  }
}

void SetSuspects(Pass& pass, const std::vector<std::size_t>& pool) {
  if (!pass.options_.avoid_suspects_) return;
  std::size_t suspects = 0;
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    worker.suspect_ = IsSuspect(worker.fleet_worker_->suspicion_, pass.now_);
    if (worker.suspect_) ++suspects;
  }
  if (suspects * kExcludedShareDivisor <= pool.size()) {
    for (const std::size_t index : pool) {
      PassWorker& worker = pass.workers_[index];
      worker.shunned_ = worker.suspect_;
    }
    pass.any_shunned_ = pass.any_shunned_ || suspects > 0;
  }
  Exclude(pass, pool, [&pass](const PassWorker& worker) {
    return worker.suspect_ &&
           IsLikelyFaulty(worker.fleet_worker_->suspicion_, pass.now_);
  });
}

}  // namespace

namespace {

// A task has not crashed its worker at the start if the worker was heard of
// this long after it.
constexpr Duration kProvenAfter = Duration(2000);

// Sets `recent_start_` and `recent_suspicion_`.
void SetRecentStarts(const Pass& pass, PassWorker& worker) {
  const CrashLedger& ledger = pass.state_.crashes_;
  if (ledger.histories_.empty()) return;
  for (const auto& [attempt, run] : worker.fleet_worker_->runs_) {
    const Time began = run.began_.value_or(pass.now_);
    if (worker.fleet_worker_->last_heard_at_ - began >= kProvenAfter) continue;
    worker.recent_start_ =
        std::max(worker.recent_start_.value_or(began), began);
    worker.recent_suspicion_ =
        std::max(worker.recent_suspicion_, SuspicionOf(ledger, attempt.task_));
  }
}

}  // namespace

void CollectWorkers(Pass& pass) {
  std::map<PoolName, std::vector<std::size_t>> pools;
  std::map<Rack, std::vector<std::size_t>> racks;
  for (const auto& [id, worker] : pass.fleet_) {
    if (!worker.reported_) continue;
    PassWorker added;
    added.fleet_worker_ = &worker;
    added.cold_ = IsCold(worker, pass.now_);
    SetRecentStarts(pass, added);
    const bool evacuated =
        IsEvacuated(pass.state_.evacuations_, worker.report_.failure_domain_);
    added.usable_ =
        !evacuated &&
        AcceptsTasks(worker, pass.options_.report_interval_, pass.now_);
    added.awaited_ =
        !evacuated &&
        IsAwaited(worker, pass.options_.report_interval_, pass.now_);
    const Resources free = worker.report_.capacity_ - TakenResources(worker);
    Resources free_after_stops = free + worker.strays_;
    for (const auto& [attempt, run] : worker.runs_) {
      if (IsEnding(run)) free_after_stops = free_after_stops + run.need_;
    }
    racks[worker.report_.rack_].push_back(pass.workers_.size());
    pools[worker.report_.pool_].push_back(pass.workers_.size());
    pass.workers_.push_back(std::move(added));
    pass.capacity_.push_back(worker.report_.capacity_);
    pass.unused_.push_back(free);
    pass.free_.push_back(free);
    pass.free_after_stops_.push_back(free_after_stops);
  }
  for (auto& [name, workers] : racks) {
    const std::size_t first = workers.front();
    pass.racks_.push_back({&pass.workers_[first].fleet_worker_->report_.rack_,
                           std::move(workers)});
  }
  // No job runs on several pools, so paces of different pools can't be
  // compared.
  for (const auto& [name, pool] : pools) {
    SetPaces(pass, pool);
    SetSpeeds(pass, name, pool);
    SetSuspects(pass, pool);
  }
}

const EligibleWorkers& FindEligible(Pass& pass, const Unit& unit,
                                    LeftOut left_out) {
  const auto [found, added] = pass.eligible_.try_emplace(
      {unit.job_->terms_.pool_, unit.spec_->label_, left_out});
  EligibleWorkers& eligible = found->second;
  if (!added) return eligible;
  const auto matches = [&](std::size_t index) {
    const PassWorker& worker = pass.workers_[index];
    const bool slow =
        worker.spread_ != nullptr && worker.speed_class_ == SpeedClass::kSlow;
    if (worker.shunned_ && left_out == LeftOut::kSuspects) return false;
    return !(slow && left_out == LeftOut::kSlow) &&
           MatchesStep(worker.fleet_worker_->report_, *unit.spec_,
                       unit.job_->terms_.pool_);
  };
  const auto accepts = [&](std::size_t index) {
    return pass.workers_[index].usable_ && matches(index);
  };
  const auto expected = [&](std::size_t index) {
    const PassWorker& worker = pass.workers_[index];
    return (worker.usable_ || worker.awaited_) && matches(index);
  };
  for (std::size_t i = 0; i < pass.workers_.size(); ++i) {
    if (accepts(i)) eligible.all_.push_back(i);
  }
  for (std::size_t rack = 0; rack < pass.racks_.size(); ++rack) {
    const std::vector<std::size_t>& workers = pass.racks_[rack].workers_;
    EligibleWorkers::OnRack here{rack, {}, {}};
    std::copy_if(workers.begin(), workers.end(),
                 std::back_inserter(here.workers_), accepts);
    std::copy_if(workers.begin(), workers.end(),
                 std::back_inserter(here.expected_), expected);
    if (!here.expected_.empty()) eligible.racks_.push_back(std::move(here));
  }
  return eligible;
}

namespace {

// An accelerator counts as this many cores in the cost of lost work.
constexpr std::int64_t kCoresPerAccelerator = 8;
// Stopping a task costs this much of its work in addition to the work lost: it
// must be restored from its checkpoint, and its job is delayed.
constexpr std::int64_t kStopCostMs = 1500;
// A task with this many earlier attempts is stopped only if no others can be.
constexpr std::uint64_t kMaxRepeats = 3;
constexpr std::int64_t kLastResortMs = 1'000'000;

std::int64_t WeightOf(const Resources& need) {
  return need.accelerators_ * kCoresPerAccelerator + need.millicores_ / 1000;
}

void AddToGroup(const Pass& pass, RunGroup& group, std::size_t worker,
                const AttemptRef& attempt, const Run& run) {
  const Time now = pass.now_;
  const Time began = run.began_.value_or(now);
  const StepSpec& spec = group.job_->spec_.steps_[attempt.task_.step_.value()];
  const std::int64_t left = RemainingTime(run, spec.estimate_, now).ms();
  group.members_.push_back({worker, &attempt, run.need_});
  // A task that takes checkpoints also takes one when it is stopped.
  std::int64_t lost = spec.checkpoints_ ? 0 : (now - began).ms();
  const bool urgent = group.job_->terms_.priority_ == 0;
  if (urgent || attempt.attempt_.value() > kMaxRepeats) lost += kLastResortMs;
  group.lost_work_ += (lost + kStopCostMs) * WeightOf(run.need_);
  group.remaining_ms_ = std::max(group.remaining_ms_, left);
  const bool runs = run.phase_ == RunPhase::kRunning && !run.end_proposed_;
  group.all_running_ = group.all_running_ && runs;
  group.lasts_ = spec.long_running_;
}

void SortGroups(Pass& pass) {
  pass.by_end_ = pass.by_loss_;
  const auto sort = [&pass](std::vector<GroupOnWorker>& here, auto value) {
    std::stable_sort(
        here.begin(), here.end(),
        [&pass, value](const GroupOnWorker& a, const GroupOnWorker& b) {
          return pass.groups_[a.group_].*value < pass.groups_[b.group_].*value;
        });
  };
  for (auto& here : pass.by_loss_) sort(here, &RunGroup::lost_work_);
  for (auto& here : pass.by_end_) sort(here, &RunGroup::remaining_ms_);
}

// All jobs by key. A lookup for each run in the ordered map of the state would
// take longer than the rest of CollectGroups.
std::unordered_map<std::string_view, const GraphJob*> IndexJobs(
    const GraphState& state) {
  std::unordered_map<std::string_view, const GraphJob*> jobs;
  jobs.reserve(state.jobs_.size());
  for (const auto& [key, job] : state.jobs_) jobs.emplace(key.value(), &job);
  return jobs;
}

}  // namespace

void CollectGroups(Pass& pass) {
  if (std::exchange(pass.groups_collected_, true)) return;
  const auto jobs = IndexJobs(pass.state_);
  std::unordered_map<const StepRecord*, std::size_t> gangs;
  // Gangs of occurrences that have finished in the meantime.
  std::map<StepRef, std::size_t> finished_gangs;
  pass.by_loss_.resize(pass.workers_.size());
  for (std::size_t worker = 0; worker < pass.workers_.size(); ++worker) {
    for (const auto& [attempt, run] :
         pass.workers_[worker].fleet_worker_->runs_) {
      const TaskRef& task = attempt.task_;
      const auto found = jobs.find(task.job_.value());
      if (found == jobs.end()) continue;
      const GraphJob* job = found->second;
      std::size_t index = pass.groups_.size();
      if (job->spec_.steps_[task.step_.value()].gang_) {
        const StepRecord* step = FindStep(*job, task.occurrence_, task.step_);
        index = step != nullptr
                    ? gangs.emplace(step, index).first->second
                    : finished_gangs.emplace(StepOf(task), index).first->second;
      }
      if (index == pass.groups_.size()) {
        pass.groups_.emplace_back().job_ = job;
      }
      AddToGroup(pass, pass.groups_[index], worker, attempt, run);
      // Members of one gang are adjacent among a worker's runs.
      std::vector<GroupOnWorker>& here = pass.by_loss_[worker];
      if (here.empty() || here.back().group_ != index) {
        here.push_back({index, run.need_});
      } else {
        here.back().need_ = here.back().need_ + run.need_;
      }
    }
  }
  SortGroups(pass);
}

void MeasureUse(Pass& pass) {
  struct Use {
    Resources used_;
    Resources total_;
  };
  std::map<PoolName, Use> pools;
  for (const PassWorker& worker : pass.workers_) {
    if (!worker.usable_) continue;
    const PoolWorkerReport& report = worker.fleet_worker_->report_;
    Use& use = pools[report.pool_];
    use.used_ = use.used_ + TakenResources(*worker.fleet_worker_);
    use.total_ = use.total_ + report.capacity_;
  }
  for (const auto& [pool, use] : pools) {
    const bool busy = use.used_.accelerators_ * 2 > use.total_.accelerators_ ||
                      use.used_.memory_mb_ * 2 > use.total_.memory_mb_ ||
                      use.used_.millicores_ * 2 > use.total_.millicores_;
    if (busy) pass.busy_.insert(pool);
  }
}

bool IsBusy(const Pass& pass, const Unit& unit) {
  return pass.busy_.contains(unit.job_->terms_.pool_);
}

bool MayPreempt(const Pass& pass, const RunGroup& group, const Unit& unit) {
  if (group.preempted_ || !group.all_running_) return false;
  if (group.job_->terms_.priority_ > 0) return true;
  return unit.guaranteed_ && !pass.guaranteed_.contains(group.job_);
}

}  // namespace flamingohollow::graph_placement_internal

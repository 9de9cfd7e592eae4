// The straightforward version of a placement pass, kept as the oracle of
// PlanPlacement: it tries each task on each worker anew. graph_placement.h has
// the rules.

#include "flamingohollow/testing/slow_placement.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "flamingohollow/worker_pace.h"
#include "flamingohollow/worker_speed.h"

namespace flamingohollow::testing {
namespace {

enum class Lateness : std::uint8_t {
  kOnTime = 0,
  // The deadline will be missed, but the result still has some value.
  kLate = 1,
  // The result will have no value by the time that it is ready.
  kTooLate = 2,
};

// A whole gang or a single task that waits to start.
struct Unit {
  const GraphJob* job_ = nullptr;
  const StepSpec* spec_ = nullptr;
  const StepRecord* step_ = nullptr;
  Occurrence occurrence_;
  StepIndex index_;
  std::vector<TaskIndex> tasks_;
  // Lateness of the job, if the unit starts now and takes as long as estimated.
  Lateness lateness_ = Lateness::kOnTime;
  Time deadline_;
  // Estimated run time of the rest of the job, if it starts now.
  Duration remaining_;
  // Speed of a worker on which the job would end in time, also if it is half as
  // long again as estimated.
  double required_speed_ = 0;
  Time queued_at_;
  // Not placed on slow workers.
  bool avoids_slow_ = false;
  // Suspects are left out.
  bool avoids_suspects_ = false;
};

// A worker's state within one pass.
struct PassWorker {
  const FleetWorker* fleet_worker_ = nullptr;
  bool usable_ = false;
  PaceClass pace_ = PaceClass::kFull;
  // Set if the speeds of the worker's pool differ widely.
  std::optional<SpeedSpread> spread_;
  SpeedClass speed_class_ = SpeedClass::kUnknown;
  bool suspect_ = false;
  // A suspect in a pool that has few of them.
  bool shunned_ = false;
  // Resources that are free now, apart from those for which runs are stopped,
  // and what of them is not held for a unit.
  Resources unused_;
  Resources free_;
  // Resources that are free once all runs that are being stopped have ended.
  Resources free_after_stops_;
  // Number of tasks per step on this worker, for `max_per_worker_`.
  std::map<StepRef, std::uint32_t> tasks_;
};

// Runs that are stopped together: a whole gang or a single task.
struct RunGroup {
  struct Member {
    // Index into `Pass::workers_`.
    std::size_t worker_ = 0;
    AttemptRef attempt_;
    Resources need_;
  };
  const GraphJob* job_ = nullptr;
  std::vector<Member> members_;
  // Work lost if the group is stopped, plus a fixed cost for each member, in
  // core-milliseconds.
  std::int64_t lost_work_ = 0;
  // Estimated time until the last member ends by itself.
  std::int64_t remaining_ms_ = 0;
  // Only a group whose members all run may be stopped.
  bool all_running_ = true;
  bool lasts_ = false;
  bool preempted_ = false;
};

struct Pass {
  const GraphState& state_;
  const Fleet& fleet_;
  const GraphPlacementOptions& options_;
  const IdleJobs& idle_;
  Time now_;
  std::vector<PassWorker> workers_;
  std::map<Rack, std::vector<std::size_t>> racks_;
  // Jobs of priority 0 that are within their customer's guarantee.
  std::set<GraphJobKey> guaranteed_;
  std::vector<RunGroup> groups_;
  // For each worker, the indices of the groups with a member on it, ordered by
  // least lost work and by earliest end.
  std::vector<std::vector<std::size_t>> by_loss_;
  std::vector<std::vector<std::size_t>> by_end_;
  // More than half of the usable workers' capacity is in use.
  bool busy_ = false;
  // Number of units that may still hold resources in this pass.
  std::size_t reservations_ = 0;
  // Steps of which this pass has opened an attempt.
  std::set<const StepRecord*> opened_;
  PlacementPlan plan_;
};

// Returns the resources of a worker that a unit may be fitted into.
using FreeResourcesFn = std::function<Resources(std::size_t worker)>;

// Whether the worker's pool and labels allow tasks of the step.
bool MatchesStep(const PoolWorkerReport& report, const StepSpec& spec,
                 const PoolName& pool);
// Fills `guaranteed_`.
void CollectGuaranteed(Pass& pass);
void CollectWorkers(Pass& pass);
void CollectGroups(Pass& pass);
// Sets `busy_`.
void MeasureUse(Pass& pass);
bool MayPreempt(const Pass& pass, const RunGroup& group, const Unit& unit);

// Returns the units in the order in which they are placed.
std::vector<Unit> CollectUnits(const Pass& pass, const JobQueuedAt& queued_at);

// Returns how many tasks with this need fit into `free`, at most `limit`.
std::uint64_t CountFits(const Resources& need, const Resources& free,
                        std::uint64_t limit);
bool WantsOneRack(const Unit& unit);
bool AnyRackCouldHold(const Pass& pass, const Unit& unit);
// Whether the unit would fit on these workers if they were empty.
bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& workers);
std::vector<std::size_t> AllWorkers(const Pass& pass);
// Returns the number of tasks of the unit's step on the worker.
std::uint32_t StepTasksOn(const PassWorker& worker, const Unit& unit);
// Whether the worker accepts tasks of the unit, regardless of free resources.
bool MayRunOn(const PassWorker& worker, const Unit& unit);
// Lower is better. Compares distance from the data, then the worker's pace as
// it matters to the unit, then the accelerators and memory left over.
using FitRank = std::tuple<bool, int, std::int64_t, std::int64_t>;
FitRank RankFit(const PassWorker& worker, const Unit& unit,
                const Resources& left);
// Returns a worker index for each task, or nothing if not all tasks fit. A unit
// that wants one rack is placed on several only if `may_spread`.
std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                const FreeResourcesFn& free_of,
                                                bool may_spread);

// Cost of assuming that a group has ended.
using GroupCost = std::int64_t (*)(const RunGroup& group);

std::int64_t LostWork(const RunGroup& group);
std::int64_t RemainingMs(const RunGroup& group);

// A placement of a unit that assumes that some groups have ended.
struct TrialPlacement {
  // A worker index for each task.
  std::vector<std::size_t> chosen_;
  // Indices of the groups that must end first.
  std::set<std::size_t> groups_;
  std::int64_t cost_ = 0;
};

// Selects the groups that a trial may assume to have ended, and their cost.
struct TrialOptions {
  GroupCost cost_ = &LostWork;
  // Considers only groups that the unit may preempt; otherwise all groups that
  // are not preempted already.
  bool preemptible_only_ = true;
};

// Returns the cheapest trial placement that was found, or nothing if the unit
// would not fit even if all groups that the options select had ended.
std::optional<TrialPlacement> FindCheapestPlacement(
    const Pass& pass, const Unit& unit, const TrialOptions& trial_options,
    bool may_spread);

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

void SetSpeeds(Pass& pass, const std::vector<std::size_t>& pool) {
  std::vector<double> known;
  for (const std::size_t worker : pool) {
    const WorkerSpeed& speed = pass.workers_[worker].fleet_worker_->speed_;
    if (IsSpeedKnown(speed, pass.now_)) {
      known.push_back(MeasuredLogSpeed(speed));
    }
  }
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    worker.spread_ = FindWideSpread(known);
    if (!worker.spread_.has_value()) continue;
    worker.speed_class_ =
        ClassOf(worker.fleet_worker_->speed_, *worker.spread_, pass.now_);
  }
}

void SetSuspects(Pass& pass, const std::vector<std::size_t>& pool) {
  if (!pass.options_.avoid_suspects_) return;
  std::size_t faulty = 0;
  const auto is_faulty = [&pass](const PassWorker& worker) {
    return IsLikelyFaulty(worker.fleet_worker_->suspicion_, pass.now_);
  };
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    worker.suspect_ = IsSuspect(worker.fleet_worker_->suspicion_, pass.now_);
    if (is_faulty(worker)) ++faulty;
  }
  const auto suspects = std::count_if(
      pool.begin(), pool.end(),
      [&pass](std::size_t index) { return pass.workers_[index].suspect_; });
  for (const std::size_t index : pool) {
    pass.workers_[index].shunned_ =
        pass.workers_[index].suspect_ &&
        static_cast<std::size_t>(suspects) * kVerySlowShareDivisor <=
            pool.size();
  }
  if (faulty * kVerySlowShareDivisor > pool.size()) return;
  for (const std::size_t index : pool) {
    PassWorker& worker = pass.workers_[index];
    if (is_faulty(worker)) worker.usable_ = false;
  }
}

void CollectWorkers(Pass& pass) {
  std::map<PoolName, std::vector<std::size_t>> pools;
  for (const auto& [id, worker] : pass.fleet_) {
    if (!worker.reported_) continue;
    PassWorker added;
    added.fleet_worker_ = &worker;
    added.usable_ =
        !IsEvacuated(pass.state_.evacuations_,
                     worker.report_.failure_domain_) &&
        AcceptsTasks(worker, pass.options_.report_interval_, pass.now_);
    added.free_ = worker.report_.capacity_ - worker.used_;
    added.unused_ = added.free_;
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
  for (const auto& [name, pool] : pools) {
    SetPaces(pass, pool);
    SetSpeeds(pass, pool);
    SetSuspects(pass, pool);
  }
}

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
  group.members_.push_back({worker, attempt, run.need_});
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
  for (std::vector<std::size_t>& here : pass.by_loss_) {
    std::stable_sort(
        here.begin(), here.end(), [&pass](std::size_t a, std::size_t b) {
          return pass.groups_[a].lost_work_ < pass.groups_[b].lost_work_;
        });
  }
  for (std::vector<std::size_t>& here : pass.by_end_) {
    std::stable_sort(
        here.begin(), here.end(), [&pass](std::size_t a, std::size_t b) {
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

std::uint32_t StepTasksOn(const PassWorker& worker, const Unit& unit) {
  const auto found =
      worker.tasks_.find({unit.job_->key_, unit.occurrence_, unit.index_});
  return found == worker.tasks_.end() ? 0 : found->second;
}

bool MayRunOn(const PassWorker& worker, const Unit& unit) {
  if (!worker.usable_) return false;
  const bool slow =
      worker.spread_.has_value() && worker.speed_class_ == SpeedClass::kSlow;
  if (slow && unit.avoids_slow_) return false;
  if (worker.shunned_ && unit.avoids_suspects_) return false;
  return MatchesStep(worker.fleet_worker_->report_, *unit.spec_,
                     unit.job_->terms_.pool_);
}

// Urgent units prefer the fastest workers. Others prefer the slowest on which
// they end in time, and those that end in time on slow ones, or never, also
// unknown ones.
int RankSpeed(const PassWorker& worker, const Unit& unit) {
  const SpeedClass speed = worker.speed_class_;
  const bool slow = speed == SpeedClass::kSlow;
  const bool fast = speed == SpeedClass::kFast;
  const bool unknown = speed == SpeedClass::kUnknown;
  const double required = unit.required_speed_;
  if (unit.job_->terms_.priority_ == 0) return slow ? 2 : (fast ? 0 : 1);
  if (required <= worker.spread_->slow_ || required > worker.spread_->fast_) {
    return slow || unknown ? 0 : (fast ? 2 : 1);
  }
  if (required <= 1) return slow ? 2 : (fast ? 1 : 0);
  return slow ? 2 : (fast ? 0 : 1);
}

// Urgent units have the least slack and prefer the fastest workers. Other units
// only avoid very slow workers, which are likely to be faulty.
int RankPace(const PassWorker& worker, const Unit& unit) {
  const bool urgent = unit.job_->terms_.priority_ == 0;
  const bool averse = urgent || (unit.spec_->gang_ && unit.tasks_.size() > 1);
  const int suspect = averse && worker.suspect_ ? 3 : 0;
  if (worker.spread_.has_value()) {
    const bool faulty = worker.pace_ == PaceClass::kVerySlow;
    return suspect + (faulty ? 3 : RankSpeed(worker, unit));
  }
  if (urgent) return suspect + static_cast<int>(worker.pace_);
  return suspect + (worker.pace_ == PaceClass::kVerySlow ? 1 : 0);
}

FitRank RankFit(const PassWorker& worker, const Unit& unit,
                const Resources& left) {
  const bool away =
      IsAwayFromData(*unit.spec_, worker.fleet_worker_->report_.rack_);
  return {away, RankPace(worker, unit), left.accelerators_, left.memory_mb_};
}

std::uint64_t CountFits(const Resources& need, const Resources& free,
                        std::uint64_t limit) {
  if (!Fits(need, free)) return 0;
  const auto times = [&limit](std::int64_t one, std::int64_t all) {
    if (one > 0) {
      limit = std::min(limit, static_cast<std::uint64_t>(all / one));
    }
  };
  times(need.millicores_, free.millicores_);
  times(need.memory_mb_, free.memory_mb_);
  times(need.accelerators_, free.accelerators_);
  return limit;
}

// Returns how many more tasks of the unit's step the worker may take under
// `max_per_worker_`.
std::uint64_t TasksAllowed(const PassWorker& worker, const Unit& unit) {
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  if (limit == 0) return unit.tasks_.size();
  const std::uint32_t here = StepTasksOn(worker, unit);
  return here >= limit ? 0 : limit - here;
}

// A worker with free resources for at least one task of a unit.
struct Candidate {
  std::size_t worker_ = 0;
  Resources free_;
  std::uint64_t fits_ = 0;
};

std::vector<Candidate> FindCandidates(const Pass& pass, const Unit& unit,
                                      const std::vector<std::size_t>& workers,
                                      const FreeResourcesFn& free_of) {
  const Resources need = ReservedResources(*unit.spec_);
  std::vector<Candidate> candidates;
  for (const std::size_t index : workers) {
    const PassWorker& worker = pass.workers_[index];
    if (!MayRunOn(worker, unit)) continue;
    const Resources free = free_of(index);
    const std::uint64_t fits =
        CountFits(need, free, TasksAllowed(worker, unit));
    if (fits > 0) candidates.push_back({index, free, fits});
  }
  return candidates;
}

std::uint64_t SumFits(const std::vector<Candidate>& candidates) {
  std::uint64_t sum = 0;
  for (const Candidate& candidate : candidates) sum += candidate.fits_;
  return sum;
}

// Places the unit's tasks one by one on the best fitting of `workers`. Returns
// a worker index for each task, or nothing if not all tasks fit.
std::optional<std::vector<std::size_t>> FitAmong(
    const Pass& pass, const Unit& unit, const std::vector<std::size_t>& workers,
    const FreeResourcesFn& free_of) {
  std::vector<Candidate> candidates =
      FindCandidates(pass, unit, workers, free_of);
  if (SumFits(candidates) < unit.tasks_.size()) return std::nullopt;
  const Resources need = ReservedResources(*unit.spec_);
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    Candidate* best = nullptr;
    FitRank best_rank;
    for (Candidate& candidate : candidates) {
      if (candidate.fits_ == 0) continue;
      const FitRank rank = RankFit(pass.workers_[candidate.worker_], unit,
                                   candidate.free_ - need);
      if (best != nullptr && best_rank <= rank) continue;
      best = &candidate;
      best_rank = rank;
    }
    best->free_ = best->free_ - need;
    --best->fits_;
    chosen.push_back(best->worker_);
  }
  return chosen;
}

bool WantsOneRack(const Unit& unit) {
  return unit.spec_->same_rack_ && unit.tasks_.size() > 1;
}

std::vector<std::size_t> AllWorkers(const Pass& pass) {
  std::vector<std::size_t> all(pass.workers_.size());
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  return all;
}

std::int64_t FreeAccelerators(const std::vector<std::size_t>& workers,
                              const FreeResourcesFn& free_of) {
  std::int64_t sum = 0;
  for (const std::size_t worker : workers) sum += free_of(worker).accelerators_;
  return sum;
}

// Fits the whole unit into one rack. Prefers racks near the data, then faster
// workers, then the rack with the fewest free accelerators.
std::optional<std::vector<std::size_t>> FitOneRack(
    const Pass& pass, const Unit& unit, const FreeResourcesFn& free_of) {
  std::optional<std::vector<std::size_t>> best;
  std::tuple<bool, int, std::int64_t> best_rank;
  for (const auto& [rack, workers] : pass.racks_) {
    auto fit = FitAmong(pass, unit, workers, free_of);
    if (!fit.has_value()) continue;
    const bool away = IsAwayFromData(*unit.spec_, rack);
    int pace = 0;
    for (const std::size_t worker : *fit) {
      pace = std::max(pace, RankPace(pass.workers_[worker], unit));
    }
    const std::tuple rank(away, pace, FreeAccelerators(workers, free_of));
    if (best.has_value() && best_rank <= rank) continue;
    best = std::move(fit);
    best_rank = rank;
  }
  return best;
}

bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& workers) {
  const FreeResourcesFn whole = [&pass](std::size_t worker) {
    return pass.workers_[worker].fleet_worker_->report_.capacity_;
  };
  return SumFits(FindCandidates(pass, unit, workers, whole)) >=
         unit.tasks_.size();
}

bool AnyRackCouldHold(const Pass& pass, const Unit& unit) {
  Pass later = pass;
  for (PassWorker& worker : later.workers_) {
    worker.usable_ =
        worker.usable_ ||
        (!IsEvacuated(pass.state_.evacuations_,
                      worker.fleet_worker_->report_.failure_domain_) &&
         IsAwaited(*worker.fleet_worker_, pass.options_.report_interval_,
                   pass.now_));
  }
  return std::any_of(
      pass.racks_.begin(), pass.racks_.end(),
      [&](const auto& rack) { return CouldHold(later, unit, rack.second); });
}

std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                const FreeResourcesFn& free_of,
                                                bool may_spread) {
  if (WantsOneRack(unit)) {
    if (auto fit = FitOneRack(pass, unit, free_of)) return fit;
    if (!may_spread) return std::nullopt;
  }
  return FitAmong(pass, unit, AllWorkers(pass), free_of);
}

std::int64_t LostWork(const RunGroup& group) { return group.lost_work_; }
std::int64_t RemainingMs(const RunGroup& group) { return group.remaining_ms_; }

// Changes that a trial assumes so far, by worker index.
struct TrialState {
  // Resources freed by the trial's groups, less the needs of its tasks.
  std::map<std::size_t, Resources> free_change_;
  std::map<std::size_t, std::uint32_t> tasks_;
};

// A place for one task on a worker, free once the groups have ended.
struct WorkerOffer {
  std::size_t worker_ = 0;
  std::vector<std::size_t> groups_;
  std::int64_t cost_ = 0;
  Resources left_;
};

bool IsCandidate(const Pass& pass, const RunGroup& group, const Unit& unit,
                 const TrialOptions& trial_options) {
  return trial_options.preemptible_only_ ? MayPreempt(pass, group, unit)
                                         : !group.preempted_ && !group.lasts_;
}

Resources NeedOn(const RunGroup& group, std::size_t worker) {
  Resources sum;
  for (const RunGroup::Member& member : group.members_) {
    if (member.worker_ == worker) sum = sum + member.need_;
  }
  return sum;
}

// Picks groups on the worker, cheapest first, until `need` fits once they end.
// Returns nothing if it does not fit even then.
std::optional<WorkerOffer> OfferWorker(const Pass& pass, const Unit& unit,
                                       const TrialOptions& trial_options,
                                       const TrialPlacement& trial,
                                       const TrialState& state,
                                       std::size_t worker,
                                       const Resources& need) {
  WorkerOffer offer;
  offer.worker_ = worker;
  Resources free = pass.workers_[worker].free_after_stops_;
  const auto change = state.free_change_.find(worker);
  if (change != state.free_change_.end()) free = free + change->second;
  if (Fits(need, free)) {
    offer.left_ = free - need;
    return offer;
  }
  const auto& groups = trial_options.preemptible_only_ ? pass.by_loss_[worker]
                                                       : pass.by_end_[worker];
  for (const std::size_t index : groups) {
    if (Fits(need, free)) break;
    const RunGroup& group = pass.groups_[index];
    if (trial.groups_.contains(index)) continue;
    if (!IsCandidate(pass, group, unit, trial_options)) continue;
    free = free + NeedOn(group, worker);
    offer.groups_.push_back(index);
  }
  if (!Fits(need, free)) return std::nullopt;
  // Drops groups that turned out not to be needed, the most expensive first.
  for (std::size_t i = offer.groups_.size(); i-- > 0;) {
    const Resources own = NeedOn(pass.groups_[offer.groups_[i]], worker);
    if (!Fits(need, free - own)) continue;
    free = free - own;
    offer.groups_.erase(offer.groups_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const std::size_t index : offer.groups_) {
    offer.cost_ += trial_options.cost_(pass.groups_[index]);
  }
  offer.left_ = free - need;
  return offer;
}

std::optional<WorkerOffer> BestOffer(const Pass& pass, const Unit& unit,
                                     const TrialOptions& trial_options,
                                     const TrialPlacement& trial,
                                     TrialState& state,
                                     const std::vector<std::size_t>& among) {
  const Resources need = ReservedResources(*unit.spec_);
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  std::optional<WorkerOffer> best;
  for (const std::size_t worker : among) {
    if (!MayRunOn(pass.workers_[worker], unit)) continue;
    const bool at_limit =
        limit > 0 &&
        StepTasksOn(pass.workers_[worker], unit) + state.tasks_[worker] >=
            limit;
    if (at_limit) continue;
    auto offer =
        OfferWorker(pass, unit, trial_options, trial, state, worker, need);
    if (!offer.has_value()) continue;
    const auto key = [&](const WorkerOffer& o) {
      return std::tuple(o.cost_,
                        RankFit(pass.workers_[o.worker_], unit, o.left_));
    };
    if (!best.has_value() || key(*offer) < key(*best)) best = std::move(offer);
  }
  return best;
}

constexpr std::int64_t kNoCostLimit = std::numeric_limits<std::int64_t>::max();

// Returns nothing if not all tasks fit, or if the cost reaches `limit`.
std::optional<TrialPlacement> FindPlacementAmong(
    const Pass& pass, const Unit& unit, const TrialOptions& trial_options,
    const std::vector<std::size_t>& among, std::int64_t limit) {
  const Resources need = ReservedResources(*unit.spec_);
  TrialPlacement trial;
  TrialState state;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    const auto offer =
        BestOffer(pass, unit, trial_options, trial, state, among);
    if (!offer.has_value()) return std::nullopt;
    for (const std::size_t index : offer->groups_) {
      trial.groups_.insert(index);
      for (const RunGroup::Member& member : pass.groups_[index].members_) {
        state.free_change_[member.worker_] =
            state.free_change_[member.worker_] + member.need_;
      }
    }
    state.free_change_[offer->worker_] =
        state.free_change_[offer->worker_] - need;
    ++state.tasks_[offer->worker_];
    trial.chosen_.push_back(offer->worker_);
    trial.cost_ += offer->cost_;
    if (trial.cost_ >= limit) return std::nullopt;
  }
  return trial;
}

std::optional<TrialPlacement> FindCheapestPlacement(
    const Pass& pass, const Unit& unit, const TrialOptions& trial_options,
    bool may_spread) {
  if (!WantsOneRack(unit) || may_spread) {
    return FindPlacementAmong(pass, unit, trial_options, AllWorkers(pass),
                              kNoCostLimit);
  }
  std::optional<TrialPlacement> best;
  std::int64_t limit = kNoCostLimit;
  for (const auto& [rack, workers] : pass.racks_) {
    if (!CouldHold(pass, unit, workers)) continue;
    auto trial = FindPlacementAmong(pass, unit, trial_options, workers, limit);
    if (!trial.has_value()) continue;
    limit = trial->cost_;
    best = std::move(trial);
  }
  return best;
}

// Returns the length of the longest chain of steps, where `length` gives the
// length of each step. A step may depend on steps with higher indices, so the
// lengths are recomputed until they no longer change.
Duration FindLongestChain(
    const GraphSpec& spec,
    const std::function<Duration(std::size_t step)>& length) {
  std::vector<Duration> until(spec.steps_.size());
  Duration longest;
  for (std::size_t round = 0; round < spec.steps_.size(); ++round) {
    bool changed = false;
    for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
      Duration before;
      for (const std::uint32_t step : spec.steps_[i].after_) {
        before = std::max(before, until[step]);
      }
      const Duration end = before + length(i);
      changed = changed || until[i] != end;
      until[i] = end;
      longest = std::max(longest, end);
    }
    if (!changed) break;
  }
  return longest;
}

bool PredecessorsDone(const OccurrenceRecord& occurrence,
                      const StepSpec& spec) {
  return std::all_of(spec.after_.begin(), spec.after_.end(),
                     [&occurrence](std::uint32_t step) {
                       return IsDone(occurrence.steps_[step]);
                     });
}

// Returns the length of the longest chain of steps that are not done. A step
// that is open counts with its whole estimate.
Duration RemainingChain(const GraphJob& job,
                        const OccurrenceRecord& occurrence) {
  return FindLongestChain(job.spec_, [&](std::size_t step) {
    return IsDone(occurrence.steps_[step]) ? Duration()
                                           : job.spec_.steps_[step].estimate_;
  });
}

void SetUrgency(Unit& unit, const OccurrenceRecord& occurrence, Time queued_at,
                Time now) {
  const GraphJob& job = *unit.job_;
  const Duration chain = LongestChain(job.spec_);
  const Duration allowed =
      Duration(static_cast<std::int64_t>(job.terms_.slack_ *
                                         static_cast<double>(chain.ms()))) +
      job.terms_.objective_;
  unit.remaining_ = RemainingChain(job, occurrence);
  const Time finish = now + unit.remaining_;
  // A late job has reduced value until three times the allowed time, and none
  // after that.
  const Time late = queued_at + allowed * 6;
  unit.queued_at_ = queued_at;
  unit.deadline_ = queued_at + allowed;
  const auto left = static_cast<double>((unit.deadline_ - now).ms());
  unit.required_speed_ =
      left > 0 ? static_cast<double>(unit.remaining_.ms()) * 1.5 / left
               : std::numeric_limits<double>::infinity();
  if (finish > unit.deadline_ && !unit.spec_->long_running_)
    unit.lateness_ = finish > late ? Lateness::kTooLate : Lateness::kLate;
}

void CollectStep(const Unit& base, std::vector<Unit>& units) {
  const StepRecord& step = *base.step_;
  if (base.spec_->gang_) {
    if (step.open_ > 0) return;
    Unit unit = base;
    for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
      unit.tasks_.emplace_back(i);
    }
    units.push_back(std::move(unit));
    return;
  }
  for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
    if (step.tasks_[i].open_ || step.tasks_[i].done_) continue;
    Unit unit = base;
    unit.tasks_.emplace_back(i);
    units.push_back(std::move(unit));
  }
}

void CollectJob(const GraphJob& job, Time queued_at, Time now,
                std::vector<Unit>& units) {
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepRecord& step = occurrence.steps_[i];
      const StepSpec& spec = job.spec_.steps_[i];
      const bool waits = !IsDone(step) &&
                         step.open_ + step.done_ < step.tasks_.size() &&
                         PredecessorsDone(occurrence, spec);
      if (!waits) continue;
      Unit unit{.job_ = &job,
                .spec_ = &spec,
                .step_ = &step,
                .occurrence_ = number,
                .index_ = StepIndex(i),
                .tasks_ = {},
                .deadline_ = {},
                .remaining_ = {},
                .queued_at_ = {}};
      SetUrgency(unit, occurrence, queued_at, now);
      CollectStep(unit, units);
    }
  }
}

std::vector<Unit> CollectUnits(const Pass& pass, const JobQueuedAt& queued_at) {
  std::vector<Unit> units;
  for (const auto& [key, job] : pass.state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    CollectJob(job, queued_at(job), pass.now_, units);
  }
  // Units that may preempt come before the units that they may preempt.
  // Otherwise a preempted unit would take the freed resources first and be
  // preempted again, forever.
  const auto order = [&pass](const Unit& unit) {
    const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
    const bool too_late = unit.lateness_ == Lateness::kTooLate;
    return std::tuple(!guaranteed, too_late, unit.job_->terms_.priority_,
                      unit.lateness_, unit.deadline_);
  };
  std::stable_sort(
      units.begin(), units.end(),
      [&order](const Unit& a, const Unit& b) { return order(a) < order(b); });
  return units;
}

void DeductFromFree(Pass& pass, const Unit& unit,
                    const std::vector<std::size_t>& chosen) {
  const Resources need = ReservedResources(*unit.spec_);
  for (const std::size_t index : chosen) {
    PassWorker& worker = pass.workers_[index];
    worker.free_after_stops_ = worker.free_after_stops_ - need;
    worker.free_ = ElementwiseMin(worker.free_, worker.free_after_stops_);
    ++worker.tasks_[{unit.job_->key_, unit.occurrence_, unit.index_}];
  }
}

// As DeductFromFree, of what is being freed for the unit.
void HoldForStops(Pass& pass, const Unit& unit,
                  const std::vector<std::size_t>& chosen) {
  DeductFromFree(pass, unit, chosen);
  for (const std::size_t index : chosen) {
    PassWorker& worker = pass.workers_[index];
    worker.unused_ = ElementwiseMin(worker.unused_, worker.free_after_stops_);
  }
}

AttemptId NextAttempt(const Unit& unit) {
  AttemptId newest;
  for (const TaskIndex task : unit.tasks_) {
    newest = std::max(newest, unit.step_->tasks_[task.value()].attempt_);
  }
  return Next(newest);
}

void OpenAttempts(Pass& pass, const Unit& unit,
                  const std::vector<std::size_t>& chosen) {
  const Resources need = ReservedResources(*unit.spec_);
  const AttemptId attempt = NextAttempt(unit);
  if (!chosen.empty()) pass.opened_.insert(unit.step_);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    PassWorker& worker = pass.workers_[chosen[i]];
    worker.unused_ = worker.unused_ - need;
    worker.free_ = worker.free_ - need;
    worker.free_after_stops_ = worker.free_after_stops_ - need;
    ++worker.tasks_[{unit.job_->key_, unit.occurrence_, unit.index_}];
    const PoolWorkerReport& report = worker.fleet_worker_->report_;
    const TaskRef task{unit.job_->key_, unit.occurrence_, unit.index_,
                       unit.tasks_[i]};
    pass.plan_.open_.push_back(
        {{task, attempt}, report.id_, report.incarnation_});
  }
}

void StopGroups(Pass& pass, const TrialPlacement& trial) {
  for (const std::size_t index : trial.groups_) {
    RunGroup& group = pass.groups_[index];
    group.preempted_ = true;
    for (const RunGroup::Member& member : group.members_) {
      PassWorker& worker = pass.workers_[member.worker_];
      worker.free_after_stops_ = worker.free_after_stops_ + member.need_;
      pass.plan_.stop_.push_back(
          {worker.fleet_worker_->report_.id_, member.attempt_});
    }
  }
}

// Returns the time from which the unit may preempt. It is as late as the unit's
// deadline or its customer's guarantee allows, since resources may become free
// without preemption.
Time EarliestPreemption(const Pass& pass, const Unit& unit) {
  const Duration remaining(
      static_cast<std::int64_t>(static_cast<double>(unit.remaining_.ms()) *
                                pass.options_.estimate_safety_factor_));
  const Time in_time = unit.deadline_ - remaining - pass.options_.restart_time_;
  const Time from = std::max(in_time, unit.queued_at_);
  if (!pass.guaranteed_.contains(unit.job_->key_)) return from;
  return std::min(from, unit.queued_at_ + pass.options_.max_guarantee_wait_);
}

// Holds the resources that are likely to become free first.
void ReserveSoonestFree(Pass& pass, const Unit& unit, bool may_spread) {
  if (pass.reservations_ == 0) return;
  --pass.reservations_;
  const TrialOptions trial_options{.cost_ = &RemainingMs,
                                   .preemptible_only_ = false};
  const auto trial =
      FindCheapestPlacement(pass, unit, trial_options, may_spread);
  if (trial.has_value()) DeductFromFree(pass, unit, trial->chosen_);
}

// Returns whether it holds resources for the unit.
bool PlaceUrgent(Pass& pass, const Unit& unit, bool may_spread) {
  const FreeResourcesFn free_after_stops = [&pass](std::size_t worker) {
    return pass.workers_[worker].free_after_stops_;
  };
  if (const auto fit = FitUnit(pass, unit, free_after_stops, may_spread)) {
    HoldForStops(pass, unit, *fit);
    return true;
  }
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  const bool may_preempt = guaranteed || unit.lateness_ != Lateness::kTooLate;
  const bool worth_stops = guaranteed || unit.lateness_ == Lateness::kOnTime;
  if (worth_stops && pass.now_ >= EarliestPreemption(pass, unit)) {
    if (const auto trial = FindCheapestPlacement(pass, unit, {}, may_spread)) {
      StopGroups(pass, *trial);
      HoldForStops(pass, unit, trial->chosen_);
      return true;
    }
  }
  if (may_preempt && !unit.avoids_slow_ && !unit.avoids_suspects_) {
    ReserveSoonestFree(pass, unit, may_spread);
  }
  return false;
}

// Whether a gang that wants one rack may now be placed on several. An urgent
// gang first tries to preempt within one rack, since it runs much longer when
// spread.
bool MaySpread(const Pass& pass, const Unit& unit) {
  if (!WantsOneRack(unit)) return false;
  const Duration waited = pass.now_ - unit.queued_at_;
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  const bool begun = unit.step_->tasks_.front().attempt_ != AttemptId();
  if (guaranteed && !begun && waited > pass.options_.max_rack_wait_) {
    return true;
  }
  if (!pass.busy_ && waited > pass.options_.max_idle_rack_wait_) return true;
  return !AnyRackCouldHold(pass, unit);
}

// Whether the gang is urgent, would be late on slow workers and may be on time
// on others.
bool ShouldAvoidSlow(const Pass& pass, const Unit& unit) {
  const bool urgent = unit.job_->terms_.priority_ == 0;
  if (!urgent || !unit.spec_->gang_ || unit.lateness_ != Lateness::kOnTime) {
    return false;
  }
  return std::any_of(
      pass.workers_.begin(), pass.workers_.end(), [&](const PassWorker& w) {
        return w.fleet_worker_->report_.pool_ == unit.job_->terms_.pool_ &&
               w.spread_.has_value() && unit.required_speed_ > w.spread_->slow_;
      });
}

bool HaveRoomTwice(const Pass& pass, const Unit& unit,
                   const FreeResourcesFn& free_of) {
  const Resources need = ReservedResources(*unit.spec_);
  const std::uint64_t wanted = 2 * unit.tasks_.size();
  std::uint64_t sum = 0;
  for (const Candidate& candidate :
       FindCandidates(pass, unit, AllWorkers(pass), free_of)) {
    sum += CountFits(need, candidate.free_, wanted);
  }
  return sum >= wanted;
}

// Starts the unit in resources that are held for others, if it lasts and has
// run before, or nothing of its job has run for too long. Returns whether other
// tasks of its step need not be tried in this pass.
bool StartIdle(Pass& pass, const Unit& unit, bool may_spread) {
  const FreeResourcesFn unused = [&pass](std::size_t worker) {
    return pass.workers_[worker].unused_;
  };
  std::vector<TaskIndex> lost;
  for (std::uint32_t i = 0; i < unit.step_->tasks_.size(); ++i) {
    const TaskRecord& task = unit.step_->tasks_[i];
    const bool waits = !task.open_ && !task.done_;
    if (unit.spec_->long_running_ && waits && task.attempt_ != AttemptId()) {
      lost.emplace_back(i);
    }
  }
  if (!unit.spec_->gang_ && !lost.empty()) {
    for (const TaskIndex task : lost) {
      Unit single = unit;
      single.tasks_ = {task};
      if (const auto fit = FitUnit(pass, single, unused, false)) {
        OpenAttempts(pass, single, *fit);
      }
    }
    return pass.opened_.contains(unit.step_);
  }
  const auto idle = pass.idle_.find(unit.job_->key_);
  const bool too_long =
      idle != pass.idle_.end() && !pass.busy_ &&
      pass.now_ - idle->second >= pass.options_.max_kept_wait_;
  if (!too_long && lost.empty()) return false;
  if (!HaveRoomTwice(pass, unit, unused)) return false;
  const auto fit = FitUnit(pass, unit, unused, may_spread);
  if (fit.has_value()) OpenAttempts(pass, unit, *fit);
  return fit.has_value();
}

// Starts the unit or, if it does not fit now, may hold or free resources for
// it. Returns false if other tasks of its step need not be tried in this pass.
bool PlaceUnit(Pass& pass, const Unit& unit) {
  const FreeResourcesFn free = [&pass](std::size_t worker) {
    return pass.workers_[worker].free_;
  };
  const bool may_spread = MaySpread(pass, unit);
  const auto place_elsewhere = [&](const Unit& elsewhere) {
    if (const auto fit = FitUnit(pass, elsewhere, free, may_spread)) {
      OpenAttempts(pass, unit, *fit);
      return true;
    }
    return PlaceUrgent(pass, elsewhere, may_spread);
  };
  Unit elsewhere = unit;
  elsewhere.avoids_slow_ = true;
  if (ShouldAvoidSlow(pass, unit) && place_elsewhere(elsewhere)) return true;
  elsewhere.avoids_slow_ = false;
  elsewhere.avoids_suspects_ = true;
  // Without suspects, what follows does the same.
  const bool urgent_gang =
      unit.spec_->gang_ && unit.job_->terms_.priority_ == 0 &&
      std::any_of(pass.workers_.begin(), pass.workers_.end(),
                  [](const PassWorker& worker) { return worker.shunned_; });
  if (urgent_gang && place_elsewhere(elsewhere)) return true;
  if (const auto fit = FitUnit(pass, unit, free, may_spread)) {
    OpenAttempts(pass, unit, *fit);
    return true;
  }
  const bool opened = pass.opened_.contains(unit.step_);
  if (!opened && StartIdle(pass, unit, may_spread)) return false;
  if (unit.job_->terms_.priority_ == 0) {
    PlaceUrgent(pass, unit, may_spread);
    // Resources may still be held for other tasks of the same step.
    return true;
  }
  const bool gang =
      unit.tasks_.size() > 1 && unit.lateness_ != Lateness::kTooLate;
  if (gang) ReserveSoonestFree(pass, unit, may_spread);
  return false;
}

// Withholds room for urgent jobs, each time from the worker with the most free
// accelerators; among equals the one in the rack with the most.
void KeepFree(Pass& pass, const ResourcesByPool& keep_free) {
  if (!pass.busy_) return;
  for (const auto& [pool, limit] : keep_free) {
    std::set<std::size_t> left;
    std::map<Rack, std::int64_t> on_rack;
    Resources total;
    for (std::size_t i = 0; i < pass.workers_.size(); ++i) {
      const PassWorker& worker = pass.workers_[i];
      const PoolWorkerReport& report = worker.fleet_worker_->report_;
      if (!worker.usable_ || report.pool_ != pool) continue;
      left.insert(i);
      on_rack[report.rack_] += worker.free_after_stops_.accelerators_;
      total = total + report.capacity_;
    }
    std::int64_t accelerators =
        std::min(limit.accelerators_, total.accelerators_ / 4);
    std::int64_t millicores =
        std::min(limit.millicores_, total.millicores_ / 4);
    while (!left.empty() && (accelerators > 0 || millicores > 0)) {
      std::size_t best = *left.begin();
      const auto rank = [&](std::size_t i) {
        const PassWorker& worker = pass.workers_[i];
        return std::pair(worker.free_after_stops_.accelerators_,
                         on_rack[worker.fleet_worker_->report_.rack_]);
      };
      for (const std::size_t i : left) {
        if (rank(i) > rank(best)) best = i;
      }
      left.erase(best);
      PassWorker& worker = pass.workers_[best];
      accelerators -= worker.free_after_stops_.accelerators_;
      millicores -= worker.free_after_stops_.millicores_;
      worker.free_after_stops_ =
          ElementwiseMin(worker.free_after_stops_, Resources());
      worker.free_ = ElementwiseMin(worker.free_, worker.free_after_stops_);
    }
  }
}

}  // namespace

PlacementPlan SlowPlanPlacement(const GraphState& state, const Fleet& fleet,
                                const GraphPlacementOptions& options,
                                const JobQueuedAt& queued_at, Time now,
                                const ResourcesByPool& keep_free,
                                const IdleJobs& idle) {
  Pass pass{.state_ = state,
            .fleet_ = fleet,
            .options_ = options,
            .idle_ = idle,
            .now_ = now,
            .workers_ = {},
            .racks_ = {},
            .guaranteed_ = {},
            .groups_ = {},
            .by_loss_ = {},
            .by_end_ = {},
            .reservations_ = 0,
            .opened_ = {},
            .plan_ = {}};
  CollectGuaranteed(pass);
  const std::vector<Unit> units = CollectUnits(pass, queued_at);
  if (units.empty()) return {};
  CollectWorkers(pass);
  CollectGroups(pass);
  MeasureUse(pass);
  pass.reservations_ =
      std::clamp(pass.workers_.size() / options.workers_per_reservation_,
                 options.min_reservations_, options.max_reservations_);
  // Equal tasks of a step are adjacent in the order: if one does not fit, the
  // others don't either.
  const StepRecord* full_step = nullptr;
  bool kept = false;
  for (const Unit& unit : units) {
    if (pass.plan_.open_.size() >= options.max_starts_) break;
    if (unit.job_->terms_.priority_ != 0 && !std::exchange(kept, true)) {
      KeepFree(pass, keep_free);
    }
    if (unit.step_ == full_step) continue;
    if (!PlaceUnit(pass, unit)) full_step = unit.step_;
  }
  return std::move(pass.plan_);
}

}  // namespace flamingohollow::testing

// The decisions of a placement pass: which units start, which wait, and which
// runs are stopped.

#include "flamingohollow/graph_placement.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow {
namespace {

using graph_placement_internal::AnyRackCouldHold;
using graph_placement_internal::CollectGuaranteed;
using graph_placement_internal::CollectUnits;
using graph_placement_internal::CollectWorkers;
using graph_placement_internal::CountFits;
using graph_placement_internal::FailedFit;
using graph_placement_internal::FindCheapestPlacement;
using graph_placement_internal::FindEligible;
using graph_placement_internal::FindQuietWorkers;
using graph_placement_internal::FitMost;
using graph_placement_internal::FitUnit;
using graph_placement_internal::HaveRoomTwice;
using graph_placement_internal::IsBusy;
using graph_placement_internal::Lateness;
using graph_placement_internal::LeftOut;
using graph_placement_internal::MatchesStep;
using graph_placement_internal::MeasureUse;
using graph_placement_internal::Pass;
using graph_placement_internal::PassWorker;
using graph_placement_internal::RemainingMs;
using graph_placement_internal::RunGroup;
using graph_placement_internal::TrialOptions;
using graph_placement_internal::TrialPlacement;
using graph_placement_internal::Unit;
using graph_placement_internal::WantsOneRack;

// Counts a task towards the `max_per_worker_` of its step.
void CountPlaced(Pass& pass, const Unit& unit, std::size_t worker) {
  if (unit.spec_->max_per_worker_ == 0) return;
  pass.workers_[worker].placed_.push_back(unit.step_);
}

void DeductFromFree(Pass& pass, const Unit& unit,
                    const std::vector<std::size_t>& chosen) {
  for (const std::size_t worker : chosen) {
    Resources& after_stops = pass.free_after_stops_[worker];
    after_stops = after_stops - unit.need_;
    pass.free_[worker] = ElementwiseMin(pass.free_[worker], after_stops);
    CountPlaced(pass, unit, worker);
  }
}

// As DeductFromFree, of what is being freed for the unit and so is not left to
// others for any reason.
void HoldForStops(Pass& pass, const Unit& unit,
                  const std::vector<std::size_t>& chosen) {
  DeductFromFree(pass, unit, chosen);
  for (const std::size_t worker : chosen) {
    pass.unused_[worker] =
        ElementwiseMin(pass.unused_[worker], pass.free_after_stops_[worker]);
  }
}

AttemptId NextAttempt(const Unit& unit) {
  AttemptId newest;
  for (const TaskIndex task : unit.tasks_) {
    newest = std::max(newest, unit.step_->tasks_[task.value()].attempt_);
  }
  return Next(newest);
}

// Opens attempts of the unit's first tasks on the chosen workers.
void OpenAttempts(Pass& pass, const Unit& unit,
                  const std::vector<std::size_t>& chosen) {
  const AttemptId gang_attempt = NextAttempt(unit);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const std::size_t worker = chosen[i];
    pass.unused_[worker] = pass.unused_[worker] - unit.need_;
    pass.free_[worker] = pass.free_[worker] - unit.need_;
    pass.free_after_stops_[worker] =
        pass.free_after_stops_[worker] - unit.need_;
    CountPlaced(pass, unit, worker);
    PassWorker& state = pass.workers_[worker];
    state.recent_start_ = pass.now_;
    state.recent_suspicion_ =
        std::max(state.recent_suspicion_, unit.suspicion_);
    const PoolWorkerReport& report = state.fleet_worker_->report_;
    const TaskIndex index = unit.tasks_[i];
    const AttemptId attempt =
        unit.spec_->gang_ ? gang_attempt
                          : Next(unit.step_->tasks_[index.value()].attempt_);
    const TaskRef task{unit.job_->key_, unit.occurrence_, unit.index_, index};
    pass.plan_.open_.push_back(
        {{task, attempt}, report.id_, report.incarnation_});
  }
}

// Whether one of the fits asked for no more than this one.
bool IsKnownToFail(const std::vector<FailedFit>& failed_fits,
                   const FailedFit& fit) {
  return std::any_of(failed_fits.begin(), failed_fits.end(),
                     [&fit](const FailedFit& failed) {
                       return failed.eligible_ == fit.eligible_ &&
                              failed.tasks_ <= fit.tasks_ &&
                              (!failed.one_rack_ || fit.one_rack_) &&
                              failed.guaranteed_ == fit.guaranteed_ &&
                              Fits(failed.need_, fit.need_);
                     });
}

// Whether what fails for the unit fails because of its resources only. A step
// with a limit for each worker may fail because of that limit, and a strong
// suspect because of what has just started.
bool IsComparable(const Unit& unit) {
  return unit.spec_->max_per_worker_ == 0 &&
         unit.suspicion_ != Suspicion::kStrong;
}

// Counts a search for room.
void CountSearch(Pass& pass) {
  if (pass.searches_left_ > 0) --pass.searches_left_;
}

FailedFit RequestOf(const Unit& unit, std::size_t tasks, bool may_spread) {
  return {unit.eligible_, unit.need_, tasks, WantsOneRack(unit) && !may_spread};
}

void StopGroups(Pass& pass, const TrialPlacement& trial) {
  pass.failed_after_stops_.clear();
  for (const std::size_t index : trial.groups_) {
    RunGroup& group = pass.groups_[index];
    group.preempted_ = true;
    for (const RunGroup::Member& member : group.members_) {
      Resources& after_stops = pass.free_after_stops_[member.worker_];
      after_stops = after_stops + member.need_;
      const PassWorker& worker = pass.workers_[member.worker_];
      pass.plan_.stop_.push_back(
          {worker.fleet_worker_->report_.id_, *member.attempt_});
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
  if (!unit.guaranteed_) return from;
  return std::min(from, unit.queued_at_ + pass.options_.max_guarantee_wait_);
}

// Holds the resources that are likely to become free first for `tasks` tasks of
// the unit.
void ReserveSoonestFree(Pass& pass, const Unit& unit, std::size_t tasks,
                        bool may_spread) {
  if (pass.reservations_ == 0) return;
  --pass.reservations_;
  const TrialOptions trial_options{.cost_ = &RemainingMs,
                                   .preemptible_only_ = false};
  const auto trial =
      FindCheapestPlacement(pass, unit, tasks, trial_options, may_spread);
  if (trial.has_value()) DeductFromFree(pass, unit, trial->chosen_);
}

// Holds resources that are being freed for `tasks` tasks of the unit, or frees
// some. Returns false if it may not preempt, or not enough.
bool HoldOrPreempt(Pass& pass, const Unit& unit, std::size_t tasks,
                   bool may_spread) {
  FailedFit request = RequestOf(unit, tasks, may_spread);
  const bool comparable = IsComparable(unit);
  if (!IsKnownToFail(pass.failed_after_stops_, request)) {
    CountSearch(pass);
    if (const auto fit =
            FitUnit(pass, unit, tasks, &Pass::free_after_stops_, may_spread)) {
      HoldForStops(pass, unit, *fit);
      return true;
    }
    if (comparable) pass.failed_after_stops_.push_back(request);
  }
  // A late result has too little value to lose other work for it.
  const bool may_preempt =
      unit.guaranteed_ || unit.lateness_ == Lateness::kOnTime;
  if (!may_preempt || pass.now_ < EarliestPreemption(pass, unit)) return false;
  request.guaranteed_ = unit.guaranteed_;
  if (IsKnownToFail(pass.failed_preemptions_, request)) return false;
  CountSearch(pass);
  const auto trial = FindCheapestPlacement(pass, unit, tasks, {}, may_spread);
  if (!trial.has_value()) {
    if (comparable) pass.failed_preemptions_.push_back(request);
    return false;
  }
  StopGroups(pass, *trial);
  HoldForStops(pass, unit, trial->chosen_);
  return true;
}

// Holds or frees resources for `tasks` tasks of the unit.
void PlaceUrgent(Pass& pass, const Unit& unit, std::size_t tasks,
                 bool may_spread) {
  if (HoldOrPreempt(pass, unit, tasks, may_spread)) return;
  const bool may_reserve =
      unit.guaranteed_ || unit.lateness_ != Lateness::kTooLate;
  if (may_reserve) ReserveSoonestFree(pass, unit, tasks, may_spread);
}

// As AnyRackCouldHold, which is the same all through a pass for gangs alike.
bool CouldBeOnOneRack(Pass& pass, const Unit& unit) {
  const FailedFit request = RequestOf(unit, unit.tasks_.size(), false);
  const bool comparable = IsComparable(unit);
  if (comparable && IsKnownToFail(pass.no_rack_holds_, request)) return false;
  // A request that holds for more holds for less.
  const bool held = std::any_of(
      pass.rack_holds_.begin(), pass.rack_holds_.end(),
      [&request](const FailedFit& more) {
        return more.eligible_ == request.eligible_ &&
               more.tasks_ >= request.tasks_ && Fits(request.need_, more.need_);
      });
  if (comparable && held) return true;
  const bool holds = AnyRackCouldHold(pass, unit);
  if (comparable) {
    (holds ? pass.rack_holds_ : pass.no_rack_holds_).push_back(request);
  }
  return holds;
}

// Whether a gang that wants one rack may now be placed on several. An urgent
// gang first tries to preempt within one rack, since it runs much longer when
// spread.
bool MaySpread(Pass& pass, const Unit& unit) {
  if (!WantsOneRack(unit)) return false;
  const Duration waited = pass.now_ - unit.queued_at_;
  // A customer may reclaim its guarantee until a job has begun. One that was
  // stopped since is served better by a wait for a rack than by a spread.
  const bool begun = unit.step_->tasks_.front().attempt_ != AttemptId();
  if (unit.guaranteed_ && !begun && waited > pass.options_.max_rack_wait_) {
    return true;
  }
  if (!IsBusy(pass, unit) && waited > pass.options_.max_idle_rack_wait_)
    return true;
  return !CouldBeOnOneRack(pass, unit);
}

// Starts a whole gang if it fits now.
bool StartGang(Pass& pass, const Unit& unit, bool may_spread) {
  const std::size_t tasks = unit.tasks_.size();
  const FailedFit request = RequestOf(unit, tasks, may_spread);
  const bool comparable = IsComparable(unit);
  if (IsKnownToFail(pass.failed_fits_, request)) return false;
  CountSearch(pass);
  const auto fit = FitUnit(pass, unit, tasks, &Pass::free_, may_spread);
  if (fit.has_value()) {
    OpenAttempts(pass, unit, *fit);
  } else if (comparable) {
    pass.failed_fits_.push_back(request);
  }
  return fit.has_value();
}

// The tasks of the unit that last and have run before. Each of them is wanted
// again at once, whatever else of its job runs.
std::vector<TaskIndex> LostLastingTasks(const Unit& unit) {
  std::vector<TaskIndex> lost;
  if (!unit.spec_->long_running_) return lost;
  for (const TaskIndex task : unit.tasks_) {
    const TaskRecord& record = unit.step_->tasks_[task.value()];
    if (record.attempt_ != AttemptId()) lost.push_back(task);
  }
  return lost;
}

// Whether nothing of the unit's job has run for so long that room that is held
// for others must not keep it waiting.
bool IsIdleTooLong(const Pass& pass, const Unit& unit) {
  const auto idle = pass.idle_.find(unit.job_->key_);
  return idle != pass.idle_.end() &&
         pass.now_ - idle->second >= pass.options_.max_kept_wait_ &&
         !IsBusy(pass, unit);
}

// Starts the unit's first `tasks` tasks in room that is held for units that
// don't fit. This answers loads in which a gang waits for workers that take
// long to become free, beside small jobs and an idle pool.
bool StartInKeptRoom(Pass& pass, const Unit& unit, std::size_t tasks,
                     bool may_spread) {
  const FailedFit request = RequestOf(unit, tasks, may_spread);
  const bool comparable = IsComparable(unit);
  if (IsKnownToFail(pass.failed_kept_fits_, request)) return false;
  CountSearch(pass);
  // What is left then is for the units that it is held for.
  std::optional<std::vector<std::size_t>> fit;
  if (HaveRoomTwice(pass, unit, tasks, &Pass::unused_)) {
    fit = FitUnit(pass, unit, tasks, &Pass::unused_, may_spread);
  }
  if (fit.has_value()) {
    OpenAttempts(pass, unit, *fit);
  } else if (comparable) {
    pass.failed_kept_fits_.push_back(request);
  }
  return fit.has_value();
}

// As StartInKeptRoom, for tasks that must not wait for others to fit.
bool StartIdle(Pass& pass, const Unit& unit, bool may_spread) {
  const bool gang = unit.spec_->gang_;
  std::vector<TaskIndex> lost = LostLastingTasks(unit);
  if (!gang && !lost.empty()) {
    Unit again = unit;
    again.tasks_ = std::move(lost);
    CountSearch(pass);
    const auto chosen =
        FitMost(pass, again, again.tasks_.size(), &Pass::unused_);
    OpenAttempts(pass, again, chosen);
    return !chosen.empty();
  }
  if (lost.empty() && !IsIdleTooLong(pass, unit)) return false;
  // Of a job of single tasks, one that runs is enough.
  return StartInKeptRoom(pass, unit, gang ? unit.tasks_.size() : 1, may_spread);
}

// Keeps other tasks off some workers until a strong suspect may start there.
// Returns false if it waits for room instead.
bool HoldQuietWorkers(Pass& pass, const Unit& unit, bool may_spread) {
  if (unit.suspicion_ != Suspicion::kStrong || pass.reservations_ == 0) {
    return false;
  }
  const auto workers = FindQuietWorkers(pass, unit, may_spread);
  if (workers.empty()) return false;
  --pass.reservations_;
  for (const std::size_t worker : workers) pass.workers_[worker].held_ = true;
  return true;
}

// Starts the gang, or holds or frees resources for it, without some workers.
bool PlaceWithout(Pass& pass, const Unit& unit, LeftOut left_out,
                  bool may_spread) {
  Unit elsewhere = unit;
  elsewhere.eligible_ = &FindEligible(pass, unit, left_out);
  return StartGang(pass, elsewhere, may_spread) ||
         HoldOrPreempt(pass, elsewhere, unit.tasks_.size(), may_spread);
}

// An urgent gang that would be late on slow workers and can be on time on
// others starts, holds or frees resources there. This answers a load of urgent
// gangs in a pool where slow workers are the first to be free.
bool PlaceOffSlowWorkers(Pass& pass, const Unit& unit, bool may_spread) {
  const auto spread = pass.plan_.spreads_.find(unit.job_->terms_.pool_);
  if (spread == pass.plan_.spreads_.end()) return false;
  const bool on_time_elsewhere = unit.job_->terms_.priority_ == 0 &&
                                 unit.lateness_ == Lateness::kOnTime &&
                                 unit.required_speed_ > spread->second.slow_;
  if (!on_time_elsewhere) return false;
  return PlaceWithout(pass, unit, LeftOut::kSlow, may_spread);
}

// One member that fails breaks its gang, and few attempts are allowed. So an
// urgent gang starts, or holds or frees resources, on other workers than
// suspects, and goes to these only if that fails. This answers loads in which
// some workers fail all that they start, and are idle for that reason.
bool PlaceOffSuspects(Pass& pass, const Unit& unit, bool may_spread) {
  if (!pass.any_shunned_ || unit.job_->terms_.priority_ != 0) return false;
  return PlaceWithout(pass, unit, LeftOut::kSuspects, may_spread);
}

void PlaceGang(Pass& pass, const Unit& unit) {
  const bool may_spread = MaySpread(pass, unit);
  if (PlaceOffSlowWorkers(pass, unit, may_spread)) return;
  if (PlaceOffSuspects(pass, unit, may_spread)) return;
  if (StartGang(pass, unit, may_spread)) return;
  if (StartIdle(pass, unit, may_spread)) return;
  if (HoldQuietWorkers(pass, unit, may_spread)) return;
  const std::size_t tasks = unit.tasks_.size();
  if (unit.job_->terms_.priority_ == 0) {
    return PlaceUrgent(pass, unit, tasks, may_spread);
  }
  if (tasks > 1 && unit.lateness_ != Lateness::kTooLate) {
    ReserveSoonestFree(pass, unit, tasks, may_spread);
  }
}

// Holds or frees resources for the unit's tasks from the one numbered `first`,
// each for itself.
void PlaceUrgentTasks(Pass& pass, const Unit& unit, std::size_t first) {
  const bool comparable = IsComparable(unit);
  const bool may_reserve =
      unit.guaranteed_ || unit.lateness_ != Lateness::kTooLate;
  bool failed = false;
  for (std::size_t i = first; i < unit.tasks_.size(); ++i) {
    if (pass.searches_left_ == 0) return;
    if (!failed && HoldOrPreempt(pass, unit, 1, false)) continue;
    // The unit's tasks are alike.
    failed = comparable;
    if (may_reserve) ReserveSoonestFree(pass, unit, 1, false);
    if (failed && (!may_reserve || pass.reservations_ == 0)) return;
  }
}

// Starts as many of the tasks as fit now. Urgent tasks that don't fit may hold
// or free resources.
void PlaceTasks(Pass& pass, const Unit& unit) {
  const FailedFit request = RequestOf(unit, 1, false);
  const std::size_t most = std::min(
      unit.tasks_.size(), pass.options_.max_starts_ - pass.plan_.open_.size());
  std::size_t started = 0;
  if (!IsKnownToFail(pass.failed_fits_, request)) {
    CountSearch(pass);
    const auto chosen = FitMost(pass, unit, most, &Pass::free_);
    OpenAttempts(pass, unit, chosen);
    started = chosen.size();
    if (started == most && most < unit.tasks_.size()) return;
    const bool failed = started < unit.tasks_.size();
    if (failed && IsComparable(unit)) pass.failed_fits_.push_back(request);
  }
  if (started == 0 && StartIdle(pass, unit, false)) return;
  if (started == 0 && HoldQuietWorkers(pass, unit, false)) return;
  if (unit.job_->terms_.priority_ == 0) PlaceUrgentTasks(pass, unit, started);
}

// Room that other jobs leave free is at most one part in this many of a pool.
constexpr std::int64_t kKeptShareDivisor = 4;

void KeepFreeIn(Pass& pass, std::vector<std::size_t> workers, Resources room) {
  Resources total;
  for (const std::size_t worker : workers) {
    total = total + pass.capacity_[worker];
  }
  room.accelerators_ =
      std::min(room.accelerators_, total.accelerators_ / kKeptShareDivisor);
  room.millicores_ =
      std::min(room.millicores_, total.millicores_ / kKeptShareDivisor);
  std::map<Rack, std::int64_t> on_rack;
  const auto rack_of = [&pass](std::size_t worker) -> const Rack& {
    return pass.workers_[worker].fleet_worker_->report_.rack_;
  };
  for (const std::size_t worker : workers) {
    on_rack[rack_of(worker)] += pass.free_after_stops_[worker].accelerators_;
  }
  const auto order = [&](std::size_t worker) {
    return std::tuple(-pass.free_after_stops_[worker].accelerators_,
                      -on_rack[rack_of(worker)], worker);
  };
  std::sort(workers.begin(), workers.end(),
            [&](std::size_t a, std::size_t b) { return order(a) < order(b); });
  for (const std::size_t worker : workers) {
    if (room.accelerators_ <= 0 && room.millicores_ <= 0) return;
    Resources& after_stops = pass.free_after_stops_[worker];
    room = room - ElementwiseMax(after_stops, Resources());
    after_stops = ElementwiseMin(after_stops, Resources());
    pass.free_[worker] = ElementwiseMin(pass.free_[worker], after_stops);
  }
}

// Withholds room for urgent jobs from the units that follow, on the workers
// with the most free accelerators. Most of these are whole workers, as urgent
// gangs need them. A pool that is not busy has room enough.
void KeepFree(Pass& pass, const ResourcesByPool& keep_free) {
  for (const auto& [pool, room] : keep_free) {
    if (!pass.busy_.contains(pool)) continue;
    std::vector<std::size_t> workers;
    for (std::size_t i = 0; i < pass.workers_.size(); ++i) {
      const PassWorker& worker = pass.workers_[i];
      if (worker.usable_ && worker.fleet_worker_->report_.pool_ == pool) {
        workers.push_back(i);
      }
    }
    KeepFreeIn(pass, std::move(workers), room);
  }
}

bool HasOpenAttempt(const GraphJob& job) {
  return std::any_of(
      job.occurrences_.begin(), job.occurrences_.end(), [](const auto& item) {
        const auto& steps = item.second.steps_;
        return std::any_of(
            steps.begin(), steps.end(),
            [](const StepRecord& step) { return step.open_ > 0; });
      });
}

// Notes why nothing of the unit has started in this pass.
void ExplainWait(Pass& pass, const Unit& unit) {
  const GraphJobKey& key = unit.job_->key_;
  if (pass.plan_.waits_.contains(key) || HasOpenAttempt(*unit.job_)) return;
  const std::size_t tasks = unit.spec_->gang_ ? unit.tasks_.size() : 1;
  UnitWait why = UnitWait::kNoRoom;
  if (unit.eligible_->all_.empty()) {
    why = UnitWait::kNoWorker;
  } else if (FitUnit(pass, unit, tasks, &Pass::unused_, false).has_value()) {
    why = UnitWait::kRoomKept;
  }
  pass.plan_.waits_.emplace(key, why);
}

}  // namespace

bool CouldEverRun(const GraphSpec& spec, const PoolName& pool,
                  const Fleet& fleet) {
  for (const StepSpec& step : spec.steps_) {
    const Resources need = ReservedResources(step);
    std::uint64_t places = 0;
    for (const auto& [id, worker] : fleet) {
      const bool matches =
          worker.reported_ && MatchesStep(worker.report_, step, pool);
      if (!matches) continue;
      const std::uint64_t limit =
          step.max_per_worker_ > 0 ? step.max_per_worker_ : step.tasks_;
      const Resources size =
          ElementwiseMax(worker.largest_capacity_, worker.report_.capacity_);
      places += CountFits(need, size, limit);
    }
    const std::uint64_t wanted = step.gang_ ? step.tasks_ : 1;
    if (places < wanted) return false;
  }
  return true;
}

PlacementPlan PlanPlacement(const GraphState& state, const Fleet& fleet,
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
            .capacity_ = {},
            .unused_ = {},
            .free_ = {},
            .free_after_stops_ = {},
            .racks_ = {},
            .eligible_ = {},
            .guaranteed_ = {},
            .groups_ = {},
            .by_loss_ = {},
            .by_end_ = {},
            .busy_ = {},
            .failed_fits_ = {},
            .failed_kept_fits_ = {},
            .failed_preemptions_ = {},
            .failed_after_stops_ = {},
            .rack_holds_ = {},
            .no_rack_holds_ = {},
            .searches_left_ = options.max_searches_,
            .plan_ = {}};
  CollectGuaranteed(pass);
  std::vector<Unit> units = CollectUnits(pass, queued_at);
  if (units.empty()) return {};
  CollectWorkers(pass);
  MeasureUse(pass);
  pass.reservations_ =
      std::clamp(pass.workers_.size() / options.workers_per_reservation_,
                 options.min_reservations_, options.max_reservations_);
  bool kept = false;
  std::size_t explained = 0;
  for (Unit& unit : units) {
    const bool over = pass.searches_left_ == 0 ||
                      pass.plan_.open_.size() >= options.max_starts_;
    if (over) break;
    const bool urgent = unit.job_->terms_.priority_ == 0;
    if (!urgent && !std::exchange(kept, true)) KeepFree(pass, keep_free);
    unit.eligible_ = &FindEligible(pass, unit, LeftOut::kNone);
    const std::size_t opened = pass.plan_.open_.size();
    if (unit.spec_->gang_) {
      PlaceGang(pass, unit);
    } else {
      PlaceTasks(pass, unit);
    }
    const bool waits = pass.plan_.open_.size() == opened;
    if (waits && options.explain_waits_ && explained < options.max_searches_) {
      ExplainWait(pass, unit);
      ++explained;
    }
  }
  return std::move(pass.plan_);
}

}  // namespace flamingohollow

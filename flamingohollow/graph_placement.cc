// The decisions of a placement pass: which units start, which wait, and which
// runs are stopped.

#include "flamingohollow/graph_placement.h"

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow {
namespace {

using graph_placement_internal::AnyRackCouldHold;
using graph_placement_internal::CollectGroups;
using graph_placement_internal::CollectGuaranteed;
using graph_placement_internal::CollectUnits;
using graph_placement_internal::CollectWorkers;
using graph_placement_internal::CountFits;
using graph_placement_internal::FindCheapestPlacement;
using graph_placement_internal::FitUnit;
using graph_placement_internal::FreeResourcesFn;
using graph_placement_internal::Lateness;
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

Resources ElementwiseMin(const Resources& a, const Resources& b) {
  return {std::min(a.millicores_, b.millicores_),
          std::min(a.memory_mb_, b.memory_mb_),
          std::min(a.accelerators_, b.accelerators_)};
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
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    PassWorker& worker = pass.workers_[chosen[i]];
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

void PlaceUrgent(Pass& pass, const Unit& unit, bool may_spread) {
  const FreeResourcesFn free_after_stops = [&pass](std::size_t worker) {
    return pass.workers_[worker].free_after_stops_;
  };
  if (const auto fit = FitUnit(pass, unit, free_after_stops, may_spread)) {
    return DeductFromFree(pass, unit, *fit);
  }
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  const bool may_preempt = guaranteed || unit.lateness_ != Lateness::kTooLate;
  if (may_preempt && pass.now_ >= EarliestPreemption(pass, unit)) {
    if (const auto trial = FindCheapestPlacement(pass, unit, {}, may_spread)) {
      StopGroups(pass, *trial);
      return DeductFromFree(pass, unit, trial->chosen_);
    }
  }
  if (may_preempt) ReserveSoonestFree(pass, unit, may_spread);
}

// Whether a gang that wants one rack may now be placed on several. An urgent
// gang first tries to preempt within one rack, since it runs much longer when
// spread.
bool MaySpread(const Pass& pass, const Unit& unit) {
  if (!WantsOneRack(unit)) return false;
  const Duration waited = pass.now_ - unit.queued_at_;
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  if (guaranteed && waited > pass.options_.max_rack_wait_) return true;
  if (!pass.busy_ && waited > pass.options_.max_idle_rack_wait_) return true;
  return !AnyRackCouldHold(pass, unit);
}

// Starts the unit or, if it does not fit now, may hold or free resources for
// it. Returns false if other tasks of its step need not be tried in this pass.
bool PlaceUnit(Pass& pass, const Unit& unit) {
  const FreeResourcesFn free = [&pass](std::size_t worker) {
    return pass.workers_[worker].free_;
  };
  const bool may_spread = MaySpread(pass, unit);
  if (const auto fit = FitUnit(pass, unit, free, may_spread)) {
    OpenAttempts(pass, unit, *fit);
    return true;
  }
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
      places += CountFits(need, worker.report_.capacity_, limit);
    }
    const std::uint64_t wanted = step.gang_ ? step.tasks_ : 1;
    if (places < wanted) return false;
  }
  return true;
}

PlacementPlan PlanPlacement(const GraphState& state, const Fleet& fleet,
                            const GraphPlacementOptions& options,
                            const JobQueuedAt& queued_at, Time now) {
  Pass pass{.state_ = state,
            .fleet_ = fleet,
            .options_ = options,
            .now_ = now,
            .workers_ = {},
            .racks_ = {},
            .guaranteed_ = {},
            .groups_ = {},
            .by_loss_ = {},
            .by_end_ = {},
            .reservations_ = 0,
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
  for (const Unit& unit : units) {
    if (unit.step_ == full_step) continue;
    if (!PlaceUnit(pass, unit)) full_step = unit.step_;
  }
  return std::move(pass.plan_);
}

}  // namespace flamingohollow

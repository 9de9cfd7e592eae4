// The decisions of a pass: what starts, what waits, what stops.

#include "flamingohollow/graph_placement.h"

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow {
namespace {

using graph_placement_internal::CollectGroups;
using graph_placement_internal::CollectGuaranteed;
using graph_placement_internal::CollectRooms;
using graph_placement_internal::CollectUnits;
using graph_placement_internal::CountFits;
using graph_placement_internal::FitUnit;
using graph_placement_internal::Group;
using graph_placement_internal::kTooLate;
using graph_placement_internal::MeasureUse;
using graph_placement_internal::Pass;
using graph_placement_internal::Room;
using graph_placement_internal::RoomView;
using graph_placement_internal::SomeRackCouldHold;
using graph_placement_internal::Suits;
using graph_placement_internal::Trial;
using graph_placement_internal::TrialRules;
using graph_placement_internal::TryUnit;
using graph_placement_internal::Unit;
using graph_placement_internal::WaitForEnd;
using graph_placement_internal::WantsOneRack;

Resources Smaller(const Resources& a, const Resources& b) {
  return {std::min(a.millicores_, b.millicores_),
          std::min(a.memory_mb_, b.memory_mb_),
          std::min(a.accelerators_, b.accelerators_)};
}

void Claim(Pass& pass, const Unit& unit,
           const std::vector<std::size_t>& chosen) {
  const Resources need = ReservedResources(*unit.spec_);
  for (const std::size_t index : chosen) {
    Room& room = pass.rooms_[index];
    room.soon_ = room.soon_ - need;
    room.free_ = Smaller(room.free_, room.soon_);
    ++room.tasks_[{unit.job_->key_, unit.occurrence_, unit.index_}];
  }
}

AttemptId NextAttempt(const Unit& unit) {
  AttemptId newest;
  for (const TaskIndex task : unit.tasks_) {
    newest = std::max(newest, unit.step_->tasks_[task.value()].attempt_);
  }
  return Next(newest);
}

void Open(Pass& pass, const Unit& unit,
          const std::vector<std::size_t>& chosen) {
  const Resources need = ReservedResources(*unit.spec_);
  const AttemptId attempt = NextAttempt(unit);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    Room& room = pass.rooms_[chosen[i]];
    room.free_ = room.free_ - need;
    room.soon_ = room.soon_ - need;
    ++room.tasks_[{unit.job_->key_, unit.occurrence_, unit.index_}];
    const PoolWorkerReport& report = room.worker_->report_;
    const TaskRef task{unit.job_->key_, unit.occurrence_, unit.index_,
                       unit.tasks_[i]};
    pass.plan_.open_.push_back({{task, attempt}, report.id_, report.life_});
  }
}

void StopGroups(Pass& pass, const Trial& trial) {
  for (const std::size_t index : trial.groups_) {
    Group& group = pass.groups_[index];
    group.taken_ = true;
    for (const Group::Member& member : group.members_) {
      Room& room = pass.rooms_[member.room_];
      room.soon_ = room.soon_ + member.need_;
      pass.plan_.stop_.push_back({room.worker_->report_.id_, member.attempt_});
    }
  }
}

// From when on others are stopped for the unit: as late as its deadline, or
// its customer's guarantee, allows, since room may come free by itself.
Time StopOthersFrom(const Pass& pass, const Unit& unit) {
  const Duration remaining(static_cast<std::int64_t>(
      static_cast<double>(unit.remaining_.ms()) * pass.options_.caution_));
  const Time in_time = unit.deadline_ - remaining - pass.options_.stop_lead_;
  const Time from = std::max(in_time, unit.since_);
  if (!pass.guaranteed_.contains(unit.job_->key_)) return from;
  return std::min(from, unit.since_ + pass.options_.guarantee_patience_);
}

// Holds the room that is likely to come free first.
void Reserve(Pass& pass, const Unit& unit, bool spread) {
  if (pass.reservations_ == 0) return;
  --pass.reservations_;
  const TrialRules rules{.cost_ = &WaitForEnd, .stop_ = false};
  const auto trial = TryUnit(pass, unit, rules, spread);
  if (trial.has_value()) Claim(pass, unit, trial->chosen_);
}

void PlaceUrgent(Pass& pass, const Unit& unit, bool spread) {
  const RoomView soon = [&pass](std::size_t room) {
    return pass.rooms_[room].soon_;
  };
  if (const auto fit = FitUnit(pass, unit, soon, spread)) {
    return Claim(pass, unit, *fit);
  }
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  const bool worth = guaranteed || unit.lateness_ != kTooLate;
  if (worth && pass.now_ >= StopOthersFrom(pass, unit)) {
    if (const auto trial = TryUnit(pass, unit, {}, spread)) {
      StopGroups(pass, *trial);
      return Claim(pass, unit, trial->chosen_);
    }
  }
  if (worth) Reserve(pass, unit, spread);
}

// Whether a gang that wants one rack takes several by now. An urgent one rather
// stops others in one rack first, since it runs much longer when spread.
bool MaySpread(const Pass& pass, const Unit& unit) {
  if (!WantsOneRack(unit)) return false;
  const Duration waited = pass.now_ - unit.since_;
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  if (guaranteed && waited > pass.options_.rack_patience_) return true;
  if (!pass.busy_ && waited > pass.options_.idle_patience_) return true;
  return !SomeRackCouldHold(pass, unit);
}

// False when the unit can't start now.
bool Place(Pass& pass, const Unit& unit) {
  const RoomView free = [&pass](std::size_t room) {
    return pass.rooms_[room].free_;
  };
  const bool spread = MaySpread(pass, unit);
  if (const auto fit = FitUnit(pass, unit, free, spread)) {
    Open(pass, unit, *fit);
    return true;
  }
  if (unit.job_->terms_.priority_ == 0) {
    PlaceUrgent(pass, unit, spread);
    // Room may still be claimed for its equal siblings.
    return true;
  }
  const bool gang = unit.tasks_.size() > 1 && unit.lateness_ != kTooLate;
  if (gang) Reserve(pass, unit, spread);
  return false;
}

}  // namespace

bool CouldEverRun(const GraphSpec& spec, const PoolName& pool,
                  const Fleet& fleet) {
  for (const StepSpec& step : spec.steps_) {
    const Resources need = ReservedResources(step);
    std::uint64_t places = 0;
    for (const auto& [id, worker] : fleet) {
      const bool suits = worker.reported_ && Suits(worker.report_, step, pool);
      if (!suits) continue;
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
                            const JobSince& since, Time now) {
  Pass pass{.state_ = state,
            .fleet_ = fleet,
            .options_ = options,
            .now_ = now,
            .rooms_ = {},
            .racks_ = {},
            .guaranteed_ = {},
            .groups_ = {},
            .by_loss_ = {},
            .by_end_ = {},
            .reservations_ = 0,
            .plan_ = {}};
  CollectGuaranteed(pass);
  const std::vector<Unit> units = CollectUnits(pass, since);
  if (units.empty()) return {};
  CollectRooms(pass);
  CollectGroups(pass);
  MeasureUse(pass);
  pass.reservations_ =
      std::clamp(pass.rooms_.size() / options.workers_per_reservation_,
                 options.min_reservations_, options.max_reservations_);
  // Equal tasks of a step stand next to each other: where one finds no room,
  // neither do the others.
  const StepRecord* full = nullptr;
  for (const Unit& unit : units) {
    if (unit.step_ == full) continue;
    if (!Place(pass, unit)) full = unit.step_;
  }
  return std::move(pass.plan_);
}

}  // namespace flamingohollow

#include "flamingohollow/graph_placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace flamingohollow {
namespace {

// A gang, or a lone task, that waits to start.
struct Unit {
  const GraphJob* job_ = nullptr;
  const StepSpec* spec_ = nullptr;
  const StepRecord* step_ = nullptr;
  Occurrence occurrence_;
  StepIndex index_;
  std::vector<TaskIndex> tasks_;
  // 0 can still be on time, 1 can still be late, 2 neither.
  int lateness_ = 0;
  Time deadline_;
  Time since_;
};

// A worker as one pass sees it.
struct Room {
  const FleetWorker* worker_ = nullptr;
  bool usable_ = false;
  // Free now.
  Resources free_;
  // Free once everything that is being stopped has ended.
  Resources soon_;
  // Tasks of each step here, for the limit on one worker.
  std::map<std::tuple<GraphJobKey, Occurrence, StepIndex>, std::uint32_t>
      tasks_;
};

// A run that may be stopped for a more urgent unit.
struct Victim {
  std::size_t room_ = 0;
  AttemptRef attempt_;
  const Run* run_ = nullptr;
  const GraphJob* job_ = nullptr;
  // Work that would be lost, in accelerator-milliseconds.
  std::int64_t cost_ = 0;
  bool taken_ = false;
};

struct Pass {
  const GraphState& state_;
  const Fleet& fleet_;
  const GraphPlacementOptions& options_;
  Time now_;
  std::vector<Room> rooms_;
  std::map<Rack, std::vector<std::size_t>> racks_;
  // Jobs of priority 0 that are within their customer's guarantee.
  std::set<GraphJobKey> guaranteed_;
  std::vector<Victim> victims_;
  bool victims_known_ = false;
  PlacementPlan plan_;
};

bool HasLabel(const PoolWorkerReport& report, const std::string& label) {
  if (label.empty()) return true;
  return std::find(report.labels_.begin(), report.labels_.end(), label) !=
         report.labels_.end();
}

bool Suits(const PoolWorkerReport& report, const StepSpec& spec,
           const PoolName& pool) {
  return report.pool_ == pool && HasLabel(report, spec.label_);
}

Resources Need(const StepSpec& spec) {
  Resources need = spec.need_;
  // A filler's share of the processor is what others leave.
  if (spec.fills_) need.millicores_ = 0;
  return need;
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

void CollectRooms(Pass& pass) {
  for (const auto& [id, worker] : pass.fleet_) {
    if (!worker.reported_) continue;
    Room room;
    room.worker_ = &worker;
    room.usable_ =
        TakesTasks(worker, pass.options_.report_interval_, pass.now_);
    room.free_ = worker.report_.capacity_ - worker.used_;
    room.soon_ = room.free_;
    for (const auto& [attempt, run] : worker.runs_) {
      const TaskRef& task = attempt.task_;
      ++room.tasks_[{task.job_, task.occurrence_, task.step_}];
      const bool leaving = run.phase_ == RunPhase::kStopping ||
                           run.phase_ == RunPhase::kStopped ||
                           run.end_proposed_;
      if (leaving) room.soon_ = room.soon_ + run.need_;
    }
    pass.racks_[worker.report_.rack_].push_back(pass.rooms_.size());
    pass.rooms_.push_back(std::move(room));
  }
}

void CollectVictims(Pass& pass) {
  if (std::exchange(pass.victims_known_, true)) return;
  for (std::size_t i = 0; i < pass.rooms_.size(); ++i) {
    for (const auto& [attempt, run] : pass.rooms_[i].worker_->runs_) {
      const bool runs = run.phase_ == RunPhase::kRunning && !run.end_proposed_;
      const GraphJob* job = FindJob(pass.state_, attempt.task_.job_);
      if (!runs || job == nullptr) continue;
      const Time kept =
          std::max(run.checkpoint_at_, run.began_.value_or(Time()));
      const std::int64_t weight =
          run.need_.accelerators_ * 8000 + run.need_.millicores_;
      pass.victims_.push_back({.room_ = i,
                               .attempt_ = attempt,
                               .run_ = &run,
                               .job_ = job,
                               .cost_ = (pass.now_ - kept).ms() * weight});
    }
  }
  std::stable_sort(pass.victims_.begin(), pass.victims_.end(),
                   [](const Victim& a, const Victim& b) {
                     if (a.job_->terms_.priority_ != b.job_->terms_.priority_) {
                       return a.job_->terms_.priority_ >
                              b.job_->terms_.priority_;
                     }
                     return a.cost_ < b.cost_;
                   });
}

bool MayStop(const Pass& pass, const Victim& victim, const Unit& unit) {
  if (victim.taken_) return false;
  if (victim.job_->terms_.priority_ > 0) return true;
  return pass.guaranteed_.contains(unit.job_->key_) &&
         !pass.guaranteed_.contains(victim.job_->key_);
}

// Units.

bool PredecessorsDone(const OccurrenceRecord& occurrence,
                      const StepSpec& spec) {
  return std::all_of(spec.after_.begin(), spec.after_.end(),
                     [&occurrence](std::uint32_t step) {
                       return IsDone(occurrence.steps_[step]);
                     });
}

// What is left of the longest chain, as if the present steps began now.
Duration RemainingChain(const GraphJob& job,
                        const OccurrenceRecord& occurrence) {
  const auto& steps = job.spec_.steps_;
  std::vector<Duration> until(steps.size());
  Duration longest;
  for (std::size_t round = 0; round < steps.size(); ++round) {
    bool changed = false;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      Duration before;
      for (const std::uint32_t step : steps[i].after_) {
        before = std::max(before, until[step]);
      }
      const Duration own =
          IsDone(occurrence.steps_[i]) ? Duration() : steps[i].estimate_;
      changed = changed || until[i] != before + own;
      until[i] = before + own;
      longest = std::max(longest, until[i]);
    }
    if (!changed) break;
  }
  return longest;
}

void SetUrgency(Unit& unit, const OccurrenceRecord& occurrence, Time since,
                Time now) {
  const GraphJob& job = *unit.job_;
  const Duration chain = LongestChain(job.spec_);
  const Duration allowed =
      Duration(static_cast<std::int64_t>(job.terms_.slack_ *
                                         static_cast<double>(chain.ms()))) +
      job.terms_.objective_;
  const Time finish = now + RemainingChain(job, occurrence);
  // A job earns less up to three times its objective, and nothing after.
  const Time late = since + allowed * 3;
  unit.since_ = since;
  unit.deadline_ = since + allowed;
  if (finish > unit.deadline_) unit.lateness_ = finish > late ? 2 : 1;
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

void CollectJob(const GraphJob& job, Time since, Time now,
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
                .since_ = {}};
      SetUrgency(unit, occurrence, since, now);
      CollectStep(unit, units);
    }
  }
}

std::vector<Unit> CollectUnits(const Pass& pass, const JobSince& since) {
  std::vector<Unit> units;
  for (const auto& [key, job] : pass.state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    CollectJob(job, since(job), pass.now_, units);
  }
  std::stable_sort(
      units.begin(), units.end(), [](const Unit& a, const Unit& b) {
        return std::tuple(a.job_->terms_.priority_, a.lateness_, a.deadline_) <
               std::tuple(b.job_->terms_.priority_, b.lateness_, b.deadline_);
      });
  if (units.size() > pass.options_.max_units_) {
    units.resize(pass.options_.max_units_);
  }
  return units;
}

// Fitting.

// Which sum of a room a unit is fitted into.
using RoomView = std::function<Resources(std::size_t room)>;

std::uint32_t TasksHere(const Room& room, const Unit& unit) {
  const auto found =
      room.tasks_.find({unit.job_->key_, unit.occurrence_, unit.index_});
  return found == room.tasks_.end() ? 0 : found->second;
}

bool Allowed(const Room& room, const Unit& unit) {
  if (!room.usable_) return false;
  return Suits(room.worker_->report_, *unit.spec_, unit.job_->terms_.pool_);
}

// Lower is better: near the data, then what is left over after the task.
std::tuple<bool, std::int64_t, std::int64_t> FitCost(const Room& room,
                                                     const StepSpec& spec,
                                                     const Resources& left) {
  const bool away = spec.data_rack_ != Rack() &&
                    room.worker_->report_.rack_ != spec.data_rack_;
  return {away, left.accelerators_, left.memory_mb_};
}

// Puts the unit's tasks one by one where they fit best among `rooms`; one room
// a task, or nothing when not all fit.
std::optional<std::vector<std::size_t>> FitAmong(
    const Pass& pass, const Unit& unit, const std::vector<std::size_t>& rooms,
    const RoomView& view) {
  const Resources need = Need(*unit.spec_);
  std::map<std::size_t, Resources> left;
  std::map<std::size_t, std::uint32_t> here;
  for (const std::size_t room : rooms) {
    if (!Allowed(pass.rooms_[room], unit)) continue;
    left[room] = view(room);
    here[room] = TasksHere(pass.rooms_[room], unit);
  }
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    std::optional<std::size_t> best;
    for (const auto& [room, free] : left) {
      if (!Fits(need, free)) continue;
      if (limit > 0 && here[room] >= limit) continue;
      if (!best.has_value() ||
          FitCost(pass.rooms_[room], *unit.spec_, free - need) <
              FitCost(pass.rooms_[*best], *unit.spec_, left[*best] - need)) {
        best = room;
      }
    }
    if (!best.has_value()) return std::nullopt;
    left[*best] = left[*best] - need;
    ++here[*best];
    chosen.push_back(*best);
  }
  return chosen;
}

bool WantsOneRack(const Unit& unit) {
  return unit.spec_->same_rack_ && unit.tasks_.size() > 1;
}

std::vector<std::size_t> AllRooms(const Pass& pass) {
  std::vector<std::size_t> all(pass.rooms_.size());
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  return all;
}

std::int64_t FreeAccelerators(const std::vector<std::size_t>& rooms,
                              const RoomView& view) {
  std::int64_t sum = 0;
  for (const std::size_t room : rooms) sum += view(room).accelerators_;
  return sum;
}

// The rack with the least left over that holds the whole unit.
std::optional<std::vector<std::size_t>> FitOneRack(const Pass& pass,
                                                   const Unit& unit,
                                                   const RoomView& view) {
  std::optional<std::vector<std::size_t>> best;
  std::pair<bool, std::int64_t> best_cost;
  for (const auto& [rack, rooms] : pass.racks_) {
    auto fit = FitAmong(pass, unit, rooms, view);
    if (!fit.has_value()) continue;
    const bool away =
        unit.spec_->data_rack_ != Rack() && rack != unit.spec_->data_rack_;
    const std::pair<bool, std::int64_t> cost(away,
                                             FreeAccelerators(rooms, view));
    if (best.has_value() && best_cost <= cost) continue;
    best = std::move(fit);
    best_cost = cost;
  }
  return best;
}

// Whether some rack could hold the unit if it were empty.
bool SomeRackCouldHold(const Pass& pass, const Unit& unit) {
  const RoomView whole = [&pass](std::size_t room) {
    return pass.rooms_[room].worker_->report_.capacity_;
  };
  return FitOneRack(pass, unit, whole).has_value();
}

std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                const RoomView& view,
                                                bool spread) {
  if (WantsOneRack(unit)) {
    if (auto fit = FitOneRack(pass, unit, view)) return fit;
    if (!spread) return std::nullopt;
  }
  return FitAmong(pass, unit, AllRooms(pass), view);
}

// Taking room.

Resources Smaller(const Resources& a, const Resources& b) {
  return {std::min(a.millicores_, b.millicores_),
          std::min(a.memory_mb_, b.memory_mb_),
          std::min(a.accelerators_, b.accelerators_)};
}

void Claim(Pass& pass, const Unit& unit,
           const std::vector<std::size_t>& chosen) {
  const Resources need = Need(*unit.spec_);
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
  const Resources need = Need(*unit.spec_);
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

// Stops as many of the chosen rooms' victims as the unit needs there.
void StopFor(Pass& pass, const Unit& unit,
             const std::vector<std::size_t>& chosen) {
  const Resources need = Need(*unit.spec_);
  std::map<std::size_t, Resources> wanted;
  for (const std::size_t room : chosen) wanted[room] = wanted[room] + need;
  for (const auto& [index, sum] : wanted) {
    Room& room = pass.rooms_[index];
    for (Victim& victim : pass.victims_) {
      if (Fits(sum, room.soon_)) break;
      if (victim.room_ != index || !MayStop(pass, victim, unit)) continue;
      victim.taken_ = true;
      room.soon_ = room.soon_ + victim.run_->need_;
      pass.plan_.stop_.push_back({room.worker_->report_.id_, victim.attempt_});
    }
  }
}

// Room on each worker once all that may be stopped for the unit is gone.
std::vector<Resources> ReclaimableRooms(Pass& pass, const Unit& unit) {
  CollectVictims(pass);
  std::vector<Resources> rooms;
  rooms.reserve(pass.rooms_.size());
  for (const Room& room : pass.rooms_) rooms.push_back(room.soon_);
  for (const Victim& victim : pass.victims_) {
    if (!MayStop(pass, victim, unit)) continue;
    rooms[victim.room_] = rooms[victim.room_] + victim.run_->need_;
  }
  return rooms;
}

void PlaceUrgent(Pass& pass, const Unit& unit, bool spread) {
  const RoomView soon = [&pass](std::size_t room) {
    return pass.rooms_[room].soon_;
  };
  if (const auto fit = FitUnit(pass, unit, soon, spread)) {
    return Claim(pass, unit, *fit);
  }
  const std::vector<Resources> rooms = ReclaimableRooms(pass, unit);
  const RoomView reclaimable = [&rooms](std::size_t room) {
    return rooms[room];
  };
  const auto fit = FitUnit(pass, unit, reclaimable, spread);
  if (!fit.has_value()) return;
  StopFor(pass, unit, *fit);
  Claim(pass, unit, *fit);
}

// False when the unit can't start now.
bool Place(Pass& pass, const Unit& unit) {
  const RoomView free = [&pass](std::size_t room) {
    return pass.rooms_[room].free_;
  };
  const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
  const bool hurried =
      guaranteed && pass.now_ - unit.since_ > pass.options_.rack_patience_;
  const bool spread =
      WantsOneRack(unit) && (hurried || !SomeRackCouldHold(pass, unit));
  if (const auto fit = FitUnit(pass, unit, free, spread)) {
    Open(pass, unit, *fit);
    return true;
  }
  if (unit.job_->terms_.priority_ != 0) return false;
  PlaceUrgent(pass, unit, spread);
  // Room may still be claimed for its equal siblings.
  return true;
}

}  // namespace

Duration LongestChain(const GraphSpec& spec) {
  std::vector<Duration> until(spec.steps_.size());
  Duration longest;
  for (std::size_t round = 0; round < spec.steps_.size(); ++round) {
    bool changed = false;
    for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
      Duration before;
      for (const std::uint32_t step : spec.steps_[i].after_) {
        before = std::max(before, until[step]);
      }
      const Duration end = before + spec.steps_[i].estimate_;
      changed = changed || until[i] != end;
      until[i] = end;
      longest = std::max(longest, end);
    }
    if (!changed) break;
  }
  return longest;
}

bool CouldEverRun(const GraphSpec& spec, const PoolName& pool,
                  const Fleet& fleet) {
  for (const StepSpec& step : spec.steps_) {
    const Resources need = Need(step);
    std::uint64_t places = 0;
    for (const auto& [id, worker] : fleet) {
      const bool suits = worker.reported_ && Suits(worker.report_, step, pool);
      if (!suits) continue;
      Resources left = worker.report_.capacity_;
      std::uint64_t here = 0;
      const std::uint64_t limit =
          step.max_per_worker_ > 0 ? step.max_per_worker_ : step.tasks_;
      while (here < limit && Fits(need, left)) {
        left = left - need;
        ++here;
      }
      places += here;
    }
    const std::uint64_t wanted = step.gang_ ? step.tasks_ : 1;
    if (places < wanted) return false;
  }
  return true;
}

PlacementPlan PlanPlacement(const GraphState& state, const Fleet& fleet,
                            const GraphPlacementOptions& options,
                            const JobSince& since, Time now) {
  Pass pass{state, fleet, options, now, {}, {}, {}, {}, false, {}};
  const std::vector<Unit> units = CollectUnits(pass, since);
  if (units.empty()) return {};
  CollectRooms(pass);
  CollectGuaranteed(pass);
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

#include "flamingohollow/graph_placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace flamingohollow {
namespace {

// The job can no longer end in time for any use.
constexpr int kTooLate = 2;

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
  // Of what is left of the job, once it runs.
  Duration remaining_;
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

// Runs that stop together: a whole gang, or a lone task.
struct Group {
  struct Member {
    std::size_t room_ = 0;
    AttemptRef attempt_;
    Resources need_;
  };
  const GraphJob* job_ = nullptr;
  std::vector<Member> members_;
  // Work that would be lost, in core-milliseconds.
  std::int64_t lost_ = 0;
  // Until it ends by itself, as estimated.
  std::int64_t remaining_ms_ = 0;
  // All members run, so it may be stopped.
  bool running_ = true;
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
  std::vector<Group> groups_;
  // Indices of the groups with a member in each room, the least lost work
  // first, and the earliest end first.
  std::vector<std::vector<std::size_t>> by_loss_;
  std::vector<std::vector<std::size_t>> by_end_;
  // More than half of the usable workers' capacity is in use.
  bool busy_ = false;
  // Units that may still hold room for themselves in this pass.
  std::size_t reservations_ = 0;
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
  const Time kept = std::max(run.checkpoint_at_, began);
  const StepSpec& spec = group.job_->spec_.steps_[attempt.task_.step_.value()];
  const std::int64_t left = (spec.estimate_ - (now - began)).ms();
  group.members_.push_back({room, attempt, run.need_});
  group.lost_ += ((now - kept).ms() + kStopCostMs) * WeightOf(run.need_);
  group.remaining_ms_ =
      std::max(group.remaining_ms_, std::max<std::int64_t>(left, 0));
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
  using GangKey = std::tuple<GraphJobKey, Occurrence, StepIndex>;
  std::map<GangKey, std::size_t> gangs;
  pass.by_loss_.resize(pass.rooms_.size());
  for (std::size_t room = 0; room < pass.rooms_.size(); ++room) {
    for (const auto& [attempt, run] : pass.rooms_[room].worker_->runs_) {
      const TaskRef& task = attempt.task_;
      const GraphJob* job = FindJob(pass.state_, task.job_);
      if (job == nullptr) continue;
      std::size_t index = pass.groups_.size();
      if (job->spec_.steps_[task.step_.value()].gang_) {
        const GangKey key{task.job_, task.occurrence_, task.step_};
        index = gangs.emplace(key, index).first->second;
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
  unit.remaining_ = RemainingChain(job, occurrence);
  const Time finish = now + unit.remaining_;
  // A job earns less up to three times its objective, and nothing after.
  const Time late = since + allowed * 3;
  unit.since_ = since;
  unit.deadline_ = since + allowed;
  if (finish > unit.deadline_) unit.lateness_ = finish > late ? kTooLate : 1;
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
                .remaining_ = {},
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
  // Whoever may stop others stands before them, or they would take each other's
  // room in turn for ever.
  const auto order = [&pass](const Unit& unit) {
    const bool guaranteed = pass.guaranteed_.contains(unit.job_->key_);
    const bool hopeless = unit.lateness_ == kTooLate;
    return std::tuple(!guaranteed, hopeless, unit.job_->terms_.priority_,
                      unit.lateness_, unit.deadline_);
  };
  std::stable_sort(
      units.begin(), units.end(),
      [&order](const Unit& a, const Unit& b) { return order(a) < order(b); });
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

// How many tasks of this need fit into `free`, at most `limit`.
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

// Tasks of the unit's step that the room may take beside those it has.
std::uint64_t TasksAllowed(const Room& room, const Unit& unit) {
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  if (limit == 0) return unit.tasks_.size();
  const std::uint32_t here = TasksHere(room, unit);
  return here >= limit ? 0 : limit - here;
}

// A room where tasks of a unit still fit.
struct Candidate {
  std::size_t room_ = 0;
  Resources free_;
  std::uint64_t fits_ = 0;
};

std::vector<Candidate> FindCandidates(const Pass& pass, const Unit& unit,
                                      const std::vector<std::size_t>& rooms,
                                      const RoomView& view) {
  const Resources need = Need(*unit.spec_);
  std::vector<Candidate> candidates;
  for (const std::size_t index : rooms) {
    const Room& room = pass.rooms_[index];
    if (!Allowed(room, unit)) continue;
    const Resources free = view(index);
    const std::uint64_t fits = CountFits(need, free, TasksAllowed(room, unit));
    if (fits > 0) candidates.push_back({index, free, fits});
  }
  return candidates;
}

std::uint64_t SumFits(const std::vector<Candidate>& candidates) {
  std::uint64_t sum = 0;
  for (const Candidate& candidate : candidates) sum += candidate.fits_;
  return sum;
}

// Puts the unit's tasks one by one where they fit best among `rooms`; one room
// a task, or nothing when not all fit.
std::optional<std::vector<std::size_t>> FitAmong(
    const Pass& pass, const Unit& unit, const std::vector<std::size_t>& rooms,
    const RoomView& view) {
  std::vector<Candidate> candidates = FindCandidates(pass, unit, rooms, view);
  if (SumFits(candidates) < unit.tasks_.size()) return std::nullopt;
  const Resources need = Need(*unit.spec_);
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    Candidate* best = nullptr;
    std::tuple<bool, std::int64_t, std::int64_t> best_cost;
    for (Candidate& candidate : candidates) {
      if (candidate.fits_ == 0) continue;
      const auto cost = FitCost(pass.rooms_[candidate.room_], *unit.spec_,
                                candidate.free_ - need);
      if (best != nullptr && best_cost <= cost) continue;
      best = &candidate;
      best_cost = cost;
    }
    best->free_ = best->free_ - need;
    --best->fits_;
    chosen.push_back(best->room_);
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

// Whether the rooms could hold the unit if they were empty.
bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& rooms) {
  const RoomView whole = [&pass](std::size_t room) {
    return pass.rooms_[room].worker_->report_.capacity_;
  };
  return SumFits(FindCandidates(pass, unit, rooms, whole)) >=
         unit.tasks_.size();
}

bool SomeRackCouldHold(const Pass& pass, const Unit& unit) {
  return std::any_of(
      pass.racks_.begin(), pass.racks_.end(),
      [&](const auto& rack) { return CouldHold(pass, unit, rack.second); });
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

// Making room.

// What it costs to have a group gone.
using GroupCost = std::int64_t (*)(const Group& group);

std::int64_t LostWork(const Group& group) { return group.lost_; }
std::int64_t WaitForEnd(const Group& group) { return group.remaining_ms_; }

// A way to place a unit once some groups are gone.
struct Trial {
  std::vector<std::size_t> chosen_;
  std::set<std::size_t> groups_;
  std::int64_t cost_ = 0;
};

// Where a trial stands.
struct TrialRooms {
  // Room that the trial's groups free, less what its tasks take.
  std::map<std::size_t, Resources> change_;
  std::map<std::size_t, std::uint32_t> tasks_;
};

struct RoomOffer {
  std::size_t room_ = 0;
  std::vector<std::size_t> groups_;
  std::int64_t cost_ = 0;
  Resources left_;
};

// What the unit may count on in a trial.
struct TrialRules {
  GroupCost cost_ = &LostWork;
  // Only groups that may be stopped for the unit; otherwise all that run.
  bool stop_ = true;
};

bool MayCount(const Pass& pass, const Group& group, const Unit& unit,
              const TrialRules& rules) {
  return rules.stop_ ? MayStop(pass, group, unit) : !group.taken_;
}

Resources NeedIn(const Group& group, std::size_t room) {
  Resources sum;
  for (const Group::Member& member : group.members_) {
    if (member.room_ == room) sum = sum + member.need_;
  }
  return sum;
}

// The cheapest groups of the room that make it fit `need`, or nothing.
std::optional<RoomOffer> OfferRoom(const Pass& pass, const Unit& unit,
                                   const TrialRules& rules, const Trial& trial,
                                   const TrialRooms& rooms, std::size_t room,
                                   const Resources& need) {
  RoomOffer offer;
  offer.room_ = room;
  Resources free = pass.rooms_[room].soon_;
  const auto change = rooms.change_.find(room);
  if (change != rooms.change_.end()) free = free + change->second;
  if (Fits(need, free)) {
    offer.left_ = free - need;
    return offer;
  }
  const auto& groups = rules.stop_ ? pass.by_loss_[room] : pass.by_end_[room];
  for (const std::size_t index : groups) {
    if (Fits(need, free)) break;
    const Group& group = pass.groups_[index];
    if (trial.groups_.contains(index)) continue;
    if (!MayCount(pass, group, unit, rules)) continue;
    free = free + NeedIn(group, room);
    offer.groups_.push_back(index);
  }
  if (!Fits(need, free)) return std::nullopt;
  // Groups that turned out not to be needed, the dearest first.
  for (std::size_t i = offer.groups_.size(); i-- > 0;) {
    const Resources own = NeedIn(pass.groups_[offer.groups_[i]], room);
    if (!Fits(need, free - own)) continue;
    free = free - own;
    offer.groups_.erase(offer.groups_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const std::size_t index : offer.groups_) {
    offer.cost_ += rules.cost_(pass.groups_[index]);
  }
  offer.left_ = free - need;
  return offer;
}

std::optional<RoomOffer> BestOffer(const Pass& pass, const Unit& unit,
                                   const TrialRules& rules, const Trial& trial,
                                   TrialRooms& rooms,
                                   const std::vector<std::size_t>& among) {
  const Resources need = Need(*unit.spec_);
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  std::optional<RoomOffer> best;
  for (const std::size_t room : among) {
    if (!Allowed(pass.rooms_[room], unit)) continue;
    const bool full =
        limit > 0 &&
        TasksHere(pass.rooms_[room], unit) + rooms.tasks_[room] >= limit;
    if (full) continue;
    auto offer = OfferRoom(pass, unit, rules, trial, rooms, room, need);
    if (!offer.has_value()) continue;
    const auto key = [&](const RoomOffer& o) {
      return std::tuple(o.cost_,
                        FitCost(pass.rooms_[o.room_], *unit.spec_, o.left_));
    };
    if (!best.has_value() || key(*offer) < key(*best)) best = std::move(offer);
  }
  return best;
}

constexpr std::int64_t kNoCostLimit = std::numeric_limits<std::int64_t>::max();

// Nothing when not all tasks fit, or only at `limit` or more.
std::optional<Trial> TryAmong(const Pass& pass, const Unit& unit,
                              const TrialRules& rules,
                              const std::vector<std::size_t>& among,
                              std::int64_t limit) {
  const Resources need = Need(*unit.spec_);
  Trial trial;
  TrialRooms rooms;
  for (std::size_t i = 0; i < unit.tasks_.size(); ++i) {
    const auto offer = BestOffer(pass, unit, rules, trial, rooms, among);
    if (!offer.has_value()) return std::nullopt;
    for (const std::size_t index : offer->groups_) {
      trial.groups_.insert(index);
      for (const Group::Member& member : pass.groups_[index].members_) {
        rooms.change_[member.room_] =
            rooms.change_[member.room_] + member.need_;
      }
    }
    rooms.change_[offer->room_] = rooms.change_[offer->room_] - need;
    ++rooms.tasks_[offer->room_];
    trial.chosen_.push_back(offer->room_);
    trial.cost_ += offer->cost_;
    if (trial.cost_ >= limit) return std::nullopt;
  }
  return trial;
}

std::optional<Trial> TryUnit(const Pass& pass, const Unit& unit,
                             const TrialRules& rules, bool spread) {
  if (!WantsOneRack(unit) || spread) {
    return TryAmong(pass, unit, rules, AllRooms(pass), kNoCostLimit);
  }
  std::optional<Trial> best;
  std::int64_t limit = kNoCostLimit;
  for (const auto& [rack, rooms] : pass.racks_) {
    if (!CouldHold(pass, unit, rooms)) continue;
    auto trial = TryAmong(pass, unit, rules, rooms, limit);
    if (!trial.has_value()) continue;
    limit = trial->cost_;
    best = std::move(trial);
  }
  return best;
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
  const Time in_time =
      unit.deadline_ - unit.remaining_ - pass.options_.stop_lead_;
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

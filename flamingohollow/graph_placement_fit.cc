// Fits the tasks of a unit into the free resources of workers.

#include <algorithm>
#include <array>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {

std::uint32_t StepTasksOn(const PassWorker& worker, const Unit& unit) {
  const auto& runs = worker.fleet_worker_->runs_;
  const StepRef step{unit.job_->key_, unit.occurrence_, unit.index_};
  const AttemptRef first{{step.job_, step.occurrence_, step.step_, {}}, {}};
  std::uint32_t tasks = 0;
  for (auto run = runs.lower_bound(first);
       run != runs.end() && StepOf(run->first.task_) == step; ++run) {
    ++tasks;
  }
  return tasks + static_cast<std::uint32_t>(std::count(
                     worker.placed_.begin(), worker.placed_.end(), unit.step_));
}

namespace {

// Rank of a worker in a pool whose speeds differ widely; from 0 to 2. Urgent
// units prefer the fastest workers. Others leave these to them: they prefer the
// slowest on which they end in time, and learn about unknown ones if they end
// in time on slow ones.
int RankSpeed(const PassWorker& worker, const Unit& unit) {
  const SpeedClass speed = worker.speed_class_;
  const bool urgent = unit.job_->terms_.priority_ == 0;
  const bool hopeless = unit.required_speed_ > worker.spread_->fast_;
  const auto rank = [speed](int slow, int typical, int fast, int unknown) {
    const std::array ranks = {slow, typical, fast, unknown};
    return ranks[static_cast<std::size_t>(speed)];
  };
  if (urgent) return rank(2, 1, 0, 1);
  if (unit.required_speed_ <= worker.spread_->slow_ || hopeless) {
    return rank(0, 1, 2, 0);
  }
  if (unit.required_speed_ <= 1) return rank(2, 0, 1, 0);
  return rank(2, 1, 0, 1);
}

// Urgent units have the least slack and prefer the fastest workers. Other units
// only avoid very slow workers, which are likely to be faulty. Suspects come
// after all others for urgent units and for gangs. A cold worker counts as very
// slow for these, since a gang is as slow as its slowest member, and not for
// other tasks, so that these leave the warm workers to them. Suspected units
// prefer workers without another one that has just started, then those where
// nothing else runs. `holds_part` says that the worker is also chosen for
// another task of the unit.
int RankWorker(const PassWorker& worker, const Unit& unit, bool holds_part) {
  constexpr int kSuspectRank = 3;
  constexpr int kSharedRank = 8;
  int base = 0;
  if (unit.suspicion_ != Suspicion::kNone) {
    if (!worker.fleet_worker_->runs_.empty()) base += kSharedRank;
    const bool beside_suspect = worker.recent_suspicion_ != Suspicion::kNone ||
                                (holds_part && !unit.spec_->gang_);
    if (beside_suspect) base += kSharedRank;
  }
  const bool urgent = unit.job_->terms_.priority_ == 0;
  const bool averse = urgent || (unit.spec_->gang_ && unit.tasks_.size() > 1);
  const int suspect = base + (averse && worker.suspect_ ? kSuspectRank : 0);
  const PaceClass pace =
      averse && worker.cold_ ? PaceClass::kVerySlow : worker.pace_;
  if (worker.spread_ != nullptr) {
    const bool slow_for_now = pace == PaceClass::kVerySlow;
    return suspect + (slow_for_now ? kSuspectRank : RankSpeed(worker, unit));
  }
  if (urgent) return suspect + static_cast<int>(pace);
  return suspect + (pace == PaceClass::kVerySlow ? 1 : 0);
}

}  // namespace

FitRank RankFit(const Pass& pass, std::size_t worker, const Unit& unit,
                const Resources& left, bool holds_part) {
  const PassWorker& state = pass.workers_[worker];
  const bool away =
      IsAwayFromData(*unit.spec_, state.fleet_worker_->report_.rack_);
  return {away, RankWorker(state, unit, holds_part), left.accelerators_,
          left.memory_mb_};
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

// A crash of a worker is blamed on its only suspect, so a strong suspect is
// kept apart from what else may crash the worker soon. This answers loads in
// which a few tasks crash each worker that starts them.
bool MayShare(const PassWorker& worker, const Unit& unit) {
  if (worker.held_) return false;
  if (unit.suspicion_ == Suspicion::kStrong) {
    return !worker.recent_start_.has_value();
  }
  return worker.recent_suspicion_ != Suspicion::kStrong;
}

namespace {

// Returns how many more tasks of the unit's step the worker may take under
// `max_per_worker_`.
std::uint64_t TasksAllowed(const PassWorker& worker, const Unit& unit) {
  const std::uint32_t limit = unit.spec_->max_per_worker_;
  if (limit == 0) return unit.tasks_.size();
  const std::uint32_t here = StepTasksOn(worker, unit);
  return here >= limit ? 0 : limit - here;
}

std::uint64_t CountFitsOn(const Pass& pass, const Unit& unit,
                          std::size_t worker, const Resources& free) {
  const PassWorker& state = pass.workers_[worker];
  if (!Fits(unit.need_, free) || !MayShare(state, unit)) return 0;
  return CountFits(unit.need_, free, TasksAllowed(state, unit));
}

// Whether the workers have room for `tasks` tasks of the unit.
bool HaveRoom(const Pass& pass, const Unit& unit, std::size_t tasks,
              const std::vector<std::size_t>& workers, ResourcesOf free) {
  std::uint64_t sum = 0;
  for (const std::size_t worker : workers) {
    sum += CountFitsOn(pass, unit, worker, (pass.*free)[worker]);
    if (sum >= tasks) return true;
  }
  return false;
}

}  // namespace

bool HaveRoomTwice(const Pass& pass, const Unit& unit, std::size_t tasks,
                   ResourcesOf free) {
  const std::uint64_t wanted = 2 * tasks;
  std::uint64_t sum = 0;
  for (const std::size_t worker : unit.eligible_->all_) {
    if (CountFitsOn(pass, unit, worker, (pass.*free)[worker]) == 0) continue;
    sum += CountFits(unit.need_, (pass.*free)[worker], wanted);
    if (sum >= wanted) return true;
  }
  return false;
}

namespace {

// A worker with free resources for at least one task of a unit.
struct Candidate {
  FitRank rank_;
  // Decides between equal ranks.
  std::size_t position_ = 0;
  std::size_t worker_ = 0;
  Resources free_;
  std::uint64_t fits_ = 0;

  // For heaps, whose front is the largest.
  friend bool operator<(const Candidate& a, const Candidate& b) {
    return std::tie(b.rank_, b.position_) < std::tie(a.rank_, a.position_);
  }
};

// Places up to `tasks` tasks of the unit one by one on the best fitting of
// `workers`.
std::vector<std::size_t> FitBest(const Pass& pass, const Unit& unit,
                                 std::size_t tasks,
                                 const std::vector<std::size_t>& workers,
                                 ResourcesOf free_of) {
  std::vector<Candidate> heap;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const std::size_t worker = workers[i];
    const Resources& free = (pass.*free_of)[worker];
    const std::uint64_t fits = CountFitsOn(pass, unit, worker, free);
    if (fits == 0) continue;
    const FitRank rank = RankFit(pass, worker, unit, free - unit.need_, false);
    heap.push_back({rank, i, worker, free, fits});
  }
  std::make_heap(heap.begin(), heap.end());
  std::vector<std::size_t> chosen;
  while (chosen.size() < tasks && !heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    Candidate& best = heap.back();
    chosen.push_back(best.worker_);
    best.free_ = best.free_ - unit.need_;
    if (--best.fits_ == 0) {
      heap.pop_back();
      continue;
    }
    best.rank_ =
        RankFit(pass, best.worker_, unit, best.free_ - unit.need_, true);
    std::push_heap(heap.begin(), heap.end());
  }
  return chosen;
}

std::int64_t FreeAccelerators(const Pass& pass,
                              const std::vector<std::size_t>& workers,
                              ResourcesOf free) {
  std::int64_t sum = 0;
  for (const std::size_t worker : workers) {
    sum += (pass.*free)[worker].accelerators_;
  }
  return sum;
}

// Fits the whole unit into one rack. Prefers racks near the data, then those
// whose worst chosen worker is better, then the rack with the fewest free
// accelerators.
std::optional<std::vector<std::size_t>> FitOneRack(const Pass& pass,
                                                   const Unit& unit,
                                                   std::size_t tasks,
                                                   ResourcesOf free) {
  std::optional<std::vector<std::size_t>> best;
  std::tuple<bool, int, std::int64_t> best_rank;
  for (const EligibleWorkers::OnRack& here : unit.eligible_->racks_) {
    if (!HaveRoom(pass, unit, tasks, here.workers_, free)) continue;
    auto fit = FitBest(pass, unit, tasks, here.workers_, free);
    const PassRack& rack = pass.racks_[here.rack_];
    const bool away = IsAwayFromData(*unit.spec_, *rack.name_);
    int rank_of_worst = 0;
    for (const std::size_t worker : fit) {
      rank_of_worst = std::max(rank_of_worst,
                               RankWorker(pass.workers_[worker], unit, false));
    }
    const std::tuple rank(away, rank_of_worst,
                          FreeAccelerators(pass, rack.workers_, free));
    if (best.has_value() && best_rank <= rank) continue;
    best = std::move(fit);
    best_rank = rank;
  }
  return best;
}

}  // namespace

bool WantsOneRack(const Unit& unit) {
  return unit.spec_->same_rack_ && unit.spec_->gang_ && unit.tasks_.size() > 1;
}

bool CouldHold(const Pass& pass, const Unit& unit,
               const std::vector<std::size_t>& workers) {
  std::uint64_t sum = 0;
  for (const std::size_t worker : workers) {
    sum += CountFits(unit.need_, pass.capacity_[worker],
                     TasksAllowed(pass.workers_[worker], unit));
  }
  return sum >= unit.tasks_.size();
}

bool AnyRackCouldHold(const Pass& pass, const Unit& unit) {
  const auto& racks = unit.eligible_->racks_;
  return std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
    return CouldHold(pass, unit, rack.expected_);
  });
}

std::optional<std::vector<std::size_t>> FitUnit(const Pass& pass,
                                                const Unit& unit,
                                                std::size_t tasks,
                                                ResourcesOf free,
                                                bool may_spread) {
  if (WantsOneRack(unit)) {
    if (auto fit = FitOneRack(pass, unit, tasks, free)) return fit;
    if (!may_spread) return std::nullopt;
  }
  const std::vector<std::size_t>& workers = unit.eligible_->all_;
  if (!HaveRoom(pass, unit, tasks, workers, free)) return std::nullopt;
  return FitBest(pass, unit, tasks, workers, free);
}

namespace {

// As FindQuietWorkers, among `workers`.
std::vector<std::size_t> FindQuietAmong(const Pass& pass, const Unit& unit,
                                        std::vector<std::size_t> workers) {
  std::stable_sort(
      workers.begin(), workers.end(), [&pass](std::size_t a, std::size_t b) {
        return pass.workers_[a].recent_start_ < pass.workers_[b].recent_start_;
      });
  std::vector<std::size_t> chosen;
  std::uint64_t room = 0;
  for (const std::size_t worker : workers) {
    const PassWorker& state = pass.workers_[worker];
    if (state.held_) continue;
    const std::uint64_t fits =
        CountFits(unit.need_, pass.free_[worker], TasksAllowed(state, unit));
    if (fits == 0) continue;
    chosen.push_back(worker);
    room += fits;
    if (room >= unit.tasks_.size()) return chosen;
  }
  return {};
}

}  // namespace

std::vector<std::size_t> FindQuietWorkers(const Pass& pass, const Unit& unit,
                                          bool may_spread) {
  if (!WantsOneRack(unit) || may_spread) {
    return FindQuietAmong(pass, unit, unit.eligible_->all_);
  }
  std::vector<std::size_t> best;
  const auto newest_start = [&pass](const std::vector<std::size_t>& workers) {
    return pass.workers_[workers.back()].recent_start_;
  };
  for (const EligibleWorkers::OnRack& rack : unit.eligible_->racks_) {
    auto workers = FindQuietAmong(pass, unit, rack.workers_);
    if (workers.empty()) continue;
    if (best.empty() || newest_start(workers) < newest_start(best)) {
      best = std::move(workers);
    }
  }
  return best;
}

std::vector<std::size_t> FitMost(const Pass& pass, const Unit& unit,
                                 std::size_t tasks, ResourcesOf free) {
  return FitBest(pass, unit, tasks, unit.eligible_->all_, free);
}

}  // namespace flamingohollow::graph_placement_internal

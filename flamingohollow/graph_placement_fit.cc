// Fits the tasks of a unit into the free resources of workers.

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {

std::uint32_t StepTasksOn(const PassWorker& worker, const Unit& unit) {
  const auto found =
      worker.tasks_.find({unit.job_->key_, unit.occurrence_, unit.index_});
  return found == worker.tasks_.end() ? 0 : found->second;
}

bool MayRunOn(const PassWorker& worker, const Unit& unit) {
  if (!worker.usable_) return false;
  return MatchesStep(worker.fleet_worker_->report_, *unit.spec_,
                     unit.job_->terms_.pool_);
}

// Urgent units have the least slack and prefer the fastest workers. Other units
// only avoid very slow workers, which are likely to be faulty.
int RankPace(const PassWorker& worker, const Unit& unit) {
  const int pace = static_cast<int>(worker.pace_);
  if (unit.job_->terms_.priority_ == 0) return pace;
  return worker.pace_ == PaceClass::kVerySlow ? 1 : 0;
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
  return std::any_of(
      pass.racks_.begin(), pass.racks_.end(),
      [&](const auto& rack) { return CouldHold(pass, unit, rack.second); });
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

}  // namespace flamingohollow::graph_placement_internal

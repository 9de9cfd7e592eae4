// Fits a unit by assuming that some running groups end, at the lowest cost.

#include <algorithm>
#include <limits>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {

std::int64_t LostWork(const RunGroup& group) { return group.lost_work_; }
std::int64_t RemainingMs(const RunGroup& group) { return group.remaining_ms_; }

namespace {

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
                                         : !group.preempted_;
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

}  // namespace

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

}  // namespace flamingohollow::graph_placement_internal

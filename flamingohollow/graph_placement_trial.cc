// Fits a unit by assuming that some running groups end, at the lowest cost.
//
// The tasks are placed one by one, each on the worker with the cheapest offer.
// Only the offers of workers that the last placement has changed are computed
// again, so a trial costs one offer for each worker and a few for each task.

#include <algorithm>
#include <limits>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {

std::int64_t LostWork(const RunGroup& group) { return group.lost_work_; }
std::int64_t RemainingMs(const RunGroup& group) { return group.remaining_ms_; }

namespace {

constexpr std::int64_t kNoCostLimit = std::numeric_limits<std::int64_t>::max();

// A place for one task on a worker, free once the groups have ended.
struct WorkerOffer {
  std::size_t worker_ = 0;
  boost::container::small_vector<GroupOnWorker, 4> groups_;
  std::int64_t cost_ = 0;
  Resources left_;
};

// A trial of one unit on some workers.
class Trial {
 public:
  Trial(const Pass& pass, const Unit& unit, const TrialOptions& options)
      : pass_(pass), unit_(unit), options_(options) {}

  // Returns nothing if not all tasks fit, or if the cost reaches `limit`.
  std::optional<TrialPlacement> Place(std::size_t tasks,
                                      const std::vector<std::size_t>& workers,
                                      std::int64_t limit);

 private:
  // What the trial assumes of a worker so far.
  struct Change {
    // Resources freed by the trial's groups, less the needs of its tasks.
    Resources free_;
    std::uint32_t tasks_ = 0;
    // Offers made before this many changes of the worker are out of date.
    std::uint32_t version_ = 0;
  };
  struct Entry {
    std::int64_t cost_ = 0;
    FitRank rank_;
    // Decides between equal offers.
    std::size_t position_ = 0;
    std::size_t worker_ = 0;
    std::uint32_t version_ = 0;

    // For heaps, whose front is the largest.
    friend bool operator<(const Entry& a, const Entry& b) {
      return std::tie(b.cost_, b.rank_, b.position_) <
             std::tie(a.cost_, a.rank_, a.position_);
    }
  };

  bool IsCandidate(const RunGroup& group) const {
    return options_.preemptible_only_ ? MayPreempt(pass_, group, unit_)
                                      : !group.preempted_ && !group.lasts_;
  }
  std::optional<WorkerOffer> Offer(std::size_t worker) const;
  // Adds the worker's current offer to `heap_`.
  void Push(std::size_t worker, std::size_t position);
  void Accept(const WorkerOffer& offer, TrialPlacement& placement);
  void MarkChanged(std::size_t worker);

  const Pass& pass_;
  const Unit& unit_;
  const TrialOptions& options_;
  std::map<std::size_t, Change> changes_;
  // Groups assumed to have ended, ascending.
  std::vector<std::size_t> ended_;
  std::vector<Entry> heap_;
  // Workers whose offers must be computed again.
  std::vector<std::size_t> changed_;
};

// Picks groups on the worker, cheapest first, until a task fits once they end.
// Returns nothing if it does not fit even then.
std::optional<WorkerOffer> Trial::Offer(std::size_t worker) const {
  const Resources& need = unit_.need_;
  Resources free = pass_.free_after_stops_[worker];
  std::uint32_t placed = 0;
  const auto change = changes_.find(worker);
  if (change != changes_.end()) {
    free = free + change->second.free_;
    placed = change->second.tasks_;
  }
  const std::uint32_t limit = unit_.spec_->max_per_worker_;
  const bool at_limit =
      limit > 0 && StepTasksOn(pass_.workers_[worker], unit_) + placed >= limit;
  if (at_limit || !MayShare(pass_.workers_[worker], unit_)) return std::nullopt;
  WorkerOffer offer;
  offer.worker_ = worker;
  if (Fits(need, free)) {
    offer.left_ = free - need;
    return offer;
  }
  const std::vector<GroupOnWorker>& groups = options_.preemptible_only_
                                                 ? pass_.by_loss_[worker]
                                                 : pass_.by_end_[worker];
  for (const GroupOnWorker& here : groups) {
    if (Fits(need, free)) break;
    if (std::binary_search(ended_.begin(), ended_.end(), here.group_)) continue;
    if (!IsCandidate(pass_.groups_[here.group_])) continue;
    free = free + here.need_;
    offer.groups_.push_back(here);
  }
  if (!Fits(need, free)) return std::nullopt;
  // Drops groups that turned out not to be needed, the most expensive first.
  for (std::size_t i = offer.groups_.size(); i-- > 0;) {
    const Resources own = offer.groups_[i].need_;
    if (!Fits(need, free - own)) continue;
    free = free - own;
    offer.groups_.erase(offer.groups_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (const GroupOnWorker& here : offer.groups_) {
    offer.cost_ += options_.cost_(pass_.groups_[here.group_]);
  }
  offer.left_ = free - need;
  return offer;
}

void Trial::Push(std::size_t worker, std::size_t position) {
  const auto offer = Offer(worker);
  if (!offer.has_value()) return;
  const auto change = changes_.find(worker);
  const std::uint32_t version =
      change == changes_.end() ? 0 : change->second.version_;
  const bool holds_part = change != changes_.end() && change->second.tasks_ > 0;
  heap_.push_back({offer->cost_,
                   RankFit(pass_, worker, unit_, offer->left_, holds_part),
                   position, worker, version});
}

void Trial::MarkChanged(std::size_t worker) {
  ++changes_[worker].version_;
  changed_.push_back(worker);
}

void Trial::Accept(const WorkerOffer& offer, TrialPlacement& placement) {
  for (const GroupOnWorker& here : offer.groups_) {
    ended_.insert(std::upper_bound(ended_.begin(), ended_.end(), here.group_),
                  here.group_);
    for (const RunGroup::Member& member : pass_.groups_[here.group_].members_) {
      Change& change = changes_[member.worker_];
      change.free_ = change.free_ + member.need_;
      MarkChanged(member.worker_);
    }
  }
  Change& change = changes_[offer.worker_];
  change.free_ = change.free_ - unit_.need_;
  ++change.tasks_;
  MarkChanged(offer.worker_);
  placement.chosen_.push_back(offer.worker_);
  placement.cost_ += offer.cost_;
}

std::optional<TrialPlacement> Trial::Place(
    std::size_t tasks, const std::vector<std::size_t>& workers,
    std::int64_t limit) {
  heap_.reserve(workers.size());
  for (std::size_t i = 0; i < workers.size(); ++i) Push(workers[i], i);
  std::make_heap(heap_.begin(), heap_.end());
  TrialPlacement placement;
  while (placement.chosen_.size() < tasks) {
    if (heap_.empty()) return std::nullopt;
    std::pop_heap(heap_.begin(), heap_.end());
    const Entry best = heap_.back();
    heap_.pop_back();
    const auto change = changes_.find(best.worker_);
    const bool current =
        change == changes_.end() || change->second.version_ == best.version_;
    if (!current) continue;
    Accept(*Offer(best.worker_), placement);
    if (placement.cost_ >= limit) return std::nullopt;
    std::sort(changed_.begin(), changed_.end());
    changed_.erase(std::unique(changed_.begin(), changed_.end()),
                   changed_.end());
    for (const std::size_t worker : changed_) {
      // `workers` is in ascending order.
      const auto found =
          std::lower_bound(workers.begin(), workers.end(), worker);
      if (found == workers.end() || *found != worker) continue;
      const std::size_t before = heap_.size();
      Push(worker, static_cast<std::size_t>(found - workers.begin()));
      if (heap_.size() > before) std::push_heap(heap_.begin(), heap_.end());
    }
    changed_.clear();
  }
  placement.groups_ = std::move(ended_);
  return placement;
}

}  // namespace

std::optional<TrialPlacement> FindCheapestPlacement(
    Pass& pass, const Unit& unit, std::size_t tasks,
    const TrialOptions& trial_options, bool may_spread) {
  CollectGroups(pass);
  const auto place = [&](const std::vector<std::size_t>& workers,
                         std::int64_t limit) {
    return Trial(pass, unit, trial_options).Place(tasks, workers, limit);
  };
  if (!WantsOneRack(unit) || may_spread) {
    return place(unit.eligible_->all_, kNoCostLimit);
  }
  std::optional<TrialPlacement> best;
  std::int64_t limit = kNoCostLimit;
  for (const EligibleWorkers::OnRack& rack : unit.eligible_->racks_) {
    if (!CouldHold(pass, unit, rack.workers_)) continue;
    auto trial = place(rack.workers_, limit);
    if (!trial.has_value()) continue;
    limit = trial->cost_;
    best = std::move(trial);
  }
  return best;
}

}  // namespace flamingohollow::graph_placement_internal

// Chooses victims in a domain, then drops those that are not needed.

#include "flamingohollow/reclaim.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace flamingohollow {
namespace {

using FreeByLeaf = std::map<Leaf, WorkerResources>;

bool IsEligible(const Gang& gang, const Eligibility& eligibility) {
  if (!IsBorrower(gang) || gang.state_ == GangState::kReclaimed) return false;
  if (eligibility.only_backfills_of_) {
    return gang.backfills_for_ == eligibility.only_backfills_of_;
  }
  if (eligibility.queued_after_ &&
      gang.job_.queued_at_ <= *eligibility.queued_after_) {
    return false;
  }
  return eligibility.include_urgent_ || !gang.job_.urgent_;
}

struct Victim {
  Gang* gang_ = nullptr;
  std::int64_t gain_ = 0;
  std::int64_t work_lost_ = 0;
};

auto VictimKey(const Victim& victim) {
  return std::tuple(-victim.gain_, victim.work_lost_, victim.gang_->job_.id_);
}

// The entry of the slice's worker in `free`, or end() if it has none.
template <typename Map>
auto FindWorkerOfSlice(const Gang& gang, std::size_t slice, Map& free) {
  const std::optional<Leaf>& leaf = gang.entries_[slice]->leaf_;
  return leaf ? free.find(*leaf) : free.end();
}

// How many accelerators become usable on the workers in `free` if the gang
// stops.
std::int64_t UsableGain(const Gang& gang, const FreeByLeaf& free) {
  std::int64_t gain = 0;
  for (std::size_t i = 0; i < gang.slices_.size(); ++i) {
    const auto at = FindWorkerOfSlice(gang, i, free);
    if (at == free.end()) continue;
    WorkerResources after = at->second;
    after.accelerators_ += gang.slices_[i].accelerators_.value();
    after.slots_ += 1;
    gain += UsableAccelerators(after) - UsableAccelerators(at->second);
  }
  return gain;
}

// Adds the gang's slices to `free` (sign 1) or subtracts them (sign -1).
void AddSlices(const Gang& gang, int sign, FreeByLeaf& free) {
  for (std::size_t i = 0; i < gang.slices_.size(); ++i) {
    const auto at = FindWorkerOfSlice(gang, i, free);
    if (at == free.end()) continue;
    const std::int64_t size = gang.slices_[i].accelerators_.value();
    at->second.accelerators_ += sign * size;
    at->second.slots_ += sign;
  }
}

FreeByLeaf FreeResourcesIn(const Cluster& cluster, NodeIndex node) {
  FreeByLeaf free;
  const TreeNode& domain = GetNode(cluster.tree_, node);
  for (std::uint32_t i = domain.first_; i < domain.end_; ++i) {
    const WorkerEntry& entry = *cluster.by_leaf_[i];
    if (IsSchedulable(entry)) free[Leaf(i)] = FreeAfterStops(entry);
  }
  return free;
}

// Stopping a gang without accelerators frees only a slot, which helps only on a
// worker that has none free.
bool CanGain(const Gang& gang, const WorkerResources& here) {
  return gang.job_.accelerators_.value() > 0 || here.slots_ < 1;
}

std::vector<Victim> EligibleVictims(const Cluster& cluster,
                                    const FreeByLeaf& free,
                                    const Eligibility& eligibility, Time now,
                                    const std::vector<Gang*>& chosen) {
  std::set<std::pair<JobId, Gang*>> gangs;
  for (const auto& [leaf, resources] : free) {
    for (Gang* gang : cluster.by_leaf_[leaf.value()]->gangs_) {
      if (!CanGain(*gang, resources)) continue;
      if (IsEligible(*gang, eligibility)) gangs.emplace(gang->job_.id_, gang);
    }
  }
  for (Gang* gang : chosen) gangs.erase({gang->job_.id_, gang});
  std::vector<Victim> victims;
  for (const auto& [id, gang] : gangs) {
    const std::int64_t gain = UsableGain(*gang, free);
    if (gain > 0) victims.push_back({gang, gain, WorkLost(*gang, now)});
  }
  return victims;
}

std::int64_t UsableSum(const FreeByLeaf& free) {
  std::int64_t sum = 0;
  for (const auto& [leaf, resources] : free)
    sum += UsableAccelerators(resources);
  return sum;
}

// Among the victims from `from` on, sorted by gain, that suffice alone: the one
// that loses the least work. None if no victim suffices alone.
std::optional<std::size_t> CheapestThatSuffices(
    const std::vector<Victim>& victims, std::size_t from,
    std::int64_t missing) {
  std::optional<std::size_t> best;
  for (std::size_t i = from; i < victims.size(); ++i) {
    if (victims[i].gain_ < missing) break;
    if (!best || victims[i].work_lost_ < victims[*best].work_lost_) best = i;
  }
  return best;
}

// Adds victims to `chosen` until `wanted` accelerators are usable in `free` or
// none is left. On entry `free` already counts what stopping the earlier
// victims frees.
void ChooseVictims(const Cluster& cluster, std::int64_t wanted,
                   const Eligibility& eligibility, Time now, FreeByLeaf& free,
                   std::vector<Gang*>& chosen) {
  std::int64_t usable = UsableSum(free);
  if (usable >= wanted) return;
  std::vector<Victim> victims =
      EligibleVictims(cluster, free, eligibility, now, chosen);
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) {
              return VictimKey(a) < VictimKey(b);
            });
  for (std::size_t next = 0; next < victims.size() && usable < wanted;) {
    const std::optional<std::size_t> last =
        CheapestThatSuffices(victims, next, wanted - usable);
    Gang* gang = victims[last.value_or(next)].gang_;
    if (last) {
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(*last));
    } else {
      ++next;
    }
    // Recomputed, as an earlier victim may have freed a slot on the same
    // worker.
    usable += UsableGain(*gang, free);
    AddSlices(*gang, 1, free);
    chosen.push_back(gang);
  }
}

bool HasEnough(const FreeByLeaf& free, const std::vector<LeafTake>& takes) {
  return std::all_of(takes.begin(), takes.end(), [&](const LeafTake& take) {
    const auto at = free.find(take.leaf_);
    return at != free.end() && at->second.slots_ >= 1 &&
           at->second.accelerators_ >= take.accelerators_;
  });
}

// Drops victims whose stop is not needed for the takes, trying those that lose
// the most work first.
void DropUnneeded(const std::vector<LeafTake>& takes, Time now,
                  FreeByLeaf& free, std::vector<Gang*>& victims) {
  std::stable_sort(victims.begin(), victims.end(), [&](Gang* a, Gang* b) {
    return std::tuple(-WorkLost(*a, now), a->job_.id_) <
           std::tuple(-WorkLost(*b, now), b->job_.id_);
  });
  std::vector<Gang*> needed;
  for (Gang* victim : victims) {
    AddSlices(*victim, -1, free);
    if (HasEnough(free, takes)) continue;
    AddSlices(*victim, 1, free);
    needed.push_back(victim);
  }
  victims = std::move(needed);
}

ReclaimPlan FinishPlan(std::vector<LeafTake> takes, std::vector<Gang*> victims,
                       Time now, FreeByLeaf& free) {
  DropUnneeded(takes, now, free, victims);
  ReclaimPlan plan;
  plan.takes_ = std::move(takes);
  plan.cost_.gangs_ = victims.size();
  for (const Gang* gang : victims) {
    plan.cost_.work_lost_ += WorkLost(*gang, now);
  }
  plan.victims_ = std::move(victims);
  return plan;
}

// The usable accelerators in `free`, summed for each node of the tree.
NodeSums UsableByNode(const CapacityTree& tree, const FreeByLeaf& free) {
  std::vector<std::int64_t> by_leaf(tree.leaf_count_, 0);
  for (const auto& [leaf, resources] : free) {
    by_leaf[leaf.value()] = UsableAccelerators(resources);
  }
  return SumByNode(tree, by_leaf);
}

}  // namespace

std::optional<ReclaimPlan> PlanReclaim(const Cluster& cluster, NodeIndex node,
                                       std::int64_t wanted,
                                       const Eligibility& eligibility,
                                       PlacementPolicy policy, Time now) {
  FreeByLeaf free = FreeResourcesIn(cluster, node);
  std::vector<Gang*> victims;
  ChooseVictims(cluster, wanted, eligibility, now, free, victims);
  if (UsableSum(free) < wanted) return std::nullopt;
  std::vector<LeafTake> takes;
  if (GetNode(cluster.tree_, node).level_ == Adjacency::kWorker) {
    takes.push_back({Leaf(node.value()), wanted});
  } else {
    takes = ChooseTakes(cluster.tree_, UsableByNode(cluster.tree_, free), node,
                        wanted, policy);
  }
  return FinishPlan(std::move(takes), std::move(victims), now, free);
}

std::optional<ReclaimPlan> PlanReclaimFor(const Cluster& cluster,
                                          std::vector<LeafTake> takes,
                                          const Eligibility& eligibility,
                                          Time now) {
  std::vector<Gang*> victims;
  FreeByLeaf free;
  for (const LeafTake& take : takes) {
    const WorkerEntry& entry = *cluster.by_leaf_[take.leaf_.value()];
    if (!IsSchedulable(entry)) return std::nullopt;
    // Stopping a victim chosen for an earlier worker may also free slices here.
    FreeByLeaf here{{take.leaf_, FreeAfterStops(entry)}};
    for (const Gang* gang : victims) AddSlices(*gang, 1, here);
    ChooseVictims(cluster, take.accelerators_, eligibility, now, here, victims);
  }
  for (const LeafTake& take : takes) {
    free[take.leaf_] = FreeAfterStops(*cluster.by_leaf_[take.leaf_.value()]);
  }
  for (Gang* gang : victims) AddSlices(*gang, 1, free);
  if (!HasEnough(free, takes)) return std::nullopt;
  return FinishPlan(std::move(takes), std::move(victims), now, free);
}

}  // namespace flamingohollow

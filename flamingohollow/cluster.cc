// Accounting of allocated resources and their sums over the tree.

#include "flamingohollow/cluster.h"

#include <algorithm>

namespace flamingohollow {
namespace {

void AddSlice(WorkerResources& resources, const Slice& slice, int sign) {
  resources.accelerators_ +=
      sign * static_cast<std::int64_t>(slice.accelerators_.value());
  resources.slots_ += sign;
}

void SetSum(const CapacityTree& tree, NodeSums& sums, NodeIndex node,
            std::int64_t value) {
  const std::int64_t delta = value - sums[node.value()];
  if (delta != 0) AddToPath(tree, sums, node, delta);
}

std::int64_t FreeSlots(const WorkerEntry& entry) {
  if (!IsSchedulable(entry)) return 0;
  return std::max<std::int64_t>(0, entry.worker_.slots_ - entry.held_.slots_);
}

void ChangeAllocation(Cluster& cluster, Gang& gang, const Slice& slice,
                      WorkerEntry& entry, int sign) {
  AddSlice(entry.held_, slice, sign);
  if (IsBorrower(gang)) AddSlice(entry.borrowed_, slice, sign);
  if (gang.state_ == GangState::kReclaimed)
    AddSlice(entry.stopping_, slice, sign);
  RefreshWorker(cluster, entry);
}

}  // namespace

bool IsSchedulable(const WorkerEntry& entry) {
  return entry.known_ && entry.worker_.available_ && !entry.quarantined_;
}

std::int64_t UsableAccelerators(const WorkerResources& free) {
  if (free.slots_ < 1) return 0;
  return std::max<std::int64_t>(0, free.accelerators_);
}

std::int64_t FreeAcceleratorsOn(const WorkerEntry& entry) {
  if (!IsSchedulable(entry)) return 0;
  return UsableAccelerators(
      {entry.worker_.accelerators_.value() - entry.held_.accelerators_,
       entry.worker_.slots_ - entry.held_.slots_});
}

WorkerResources FreeAfterStops(const WorkerEntry& entry) {
  return {entry.worker_.accelerators_.value() - entry.held_.accelerators_ +
              entry.stopping_.accelerators_,
          entry.worker_.slots_ - entry.held_.slots_ + entry.stopping_.slots_};
}

LeafResources FreeForGuarantees(const WorkerEntry& entry) {
  if (!IsSchedulable(entry)) return {};
  const std::int64_t accelerators = entry.worker_.accelerators_.value() -
                                    entry.held_.accelerators_ +
                                    entry.borrowed_.accelerators_;
  const std::int64_t slots =
      entry.worker_.slots_ - entry.held_.slots_ + entry.borrowed_.slots_;
  return {std::max<std::int64_t>(0, accelerators),
          std::max<std::int64_t>(0, slots)};
}

void RebuildTree(Cluster& cluster) {
  std::map<WorkerId, WorkerPlace> places;
  for (auto& [id, entry] : cluster.workers_) {
    entry.leaf_.reset();
    if (entry.known_) places.emplace(id, entry.worker_.place_);
  }
  cluster.tree_ = BuildTree(places);
  cluster.by_leaf_.assign(cluster.tree_.leaf_count_, nullptr);
  std::vector<std::int64_t> free(cluster.tree_.leaf_count_);
  std::vector<std::int64_t> slots(cluster.tree_.leaf_count_);
  std::vector<std::int64_t> with_reclaim(cluster.tree_.leaf_count_);
  for (const auto& [id, leaf] : cluster.tree_.leaves_) {
    WorkerEntry& entry = cluster.workers_.at(id);
    entry.leaf_ = leaf;
    cluster.by_leaf_[leaf.value()] = &entry;
    free[leaf.value()] = FreeAcceleratorsOn(entry);
    slots[leaf.value()] = FreeSlots(entry);
    with_reclaim[leaf.value()] = FreeForGuarantees(entry).accelerators_;
  }
  cluster.free_ = SumByNode(cluster.tree_, free);
  cluster.free_slots_ = SumByNode(cluster.tree_, slots);
  cluster.free_with_reclaim_ = SumByNode(cluster.tree_, with_reclaim);
  cluster.tree_changed_ = false;
}

void RefreshWorker(Cluster& cluster, WorkerEntry& entry) {
  if (cluster.tree_changed_ || !entry.leaf_) return;
  const NodeIndex node = NodeOf(*entry.leaf_);
  SetSum(cluster.tree_, cluster.free_, node, FreeAcceleratorsOn(entry));
  SetSum(cluster.tree_, cluster.free_slots_, node, FreeSlots(entry));
  SetSum(cluster.tree_, cluster.free_with_reclaim_, node,
         FreeForGuarantees(entry).accelerators_);
}

void AllocateGang(Cluster& cluster, Gang& gang) {
  gang.entries_.clear();
  for (const Slice& slice : gang.slices_) {
    WorkerEntry& entry = cluster.workers_[slice.worker_];
    gang.entries_.push_back(&entry);
    entry.gangs_.push_back(&gang);
    ChangeAllocation(cluster, gang, slice, entry, 1);
  }
}

void ReleaseGang(Cluster& cluster, Gang& gang) {
  for (std::size_t i = 0; i < gang.slices_.size(); ++i) {
    WorkerEntry& entry = *gang.entries_[i];
    std::erase(entry.gangs_, &gang);
    ChangeAllocation(cluster, gang, gang.slices_[i], entry, -1);
  }
  gang.entries_.clear();
  for (const Slice& slice : gang.slices_) {
    const auto it = cluster.workers_.find(slice.worker_);
    if (it == cluster.workers_.end()) continue;
    const bool forgotten = !it->second.known_ && it->second.held_.slots_ == 0;
    if (forgotten) cluster.workers_.erase(it);
  }
}

}  // namespace flamingohollow

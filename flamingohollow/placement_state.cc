// Keeps worker allocations, customer usage and the witness consistent.

#include "flamingohollow/placement_state.h"

#include <algorithm>
#include <utility>

namespace flamingohollow {
namespace {

void CountUsage(PlacementState& state, const Gang& gang, int sign) {
  if (!IsBorrower(gang)) return;
  Usage& usage = state.usage_[gang.job_.customer_];
  const std::int64_t size = gang.job_.accelerators_.value();
  usage.borrowed_ += sign * size;
  usage.borrowed_slots_ +=
      sign * static_cast<std::int64_t>(gang.slices_.size());
  if (size == 0) return;
  if (sign > 0) {
    usage.borrowers_.insert(gang.job_.id_);
  } else {
    usage.borrowers_.erase(gang.job_.id_);
  }
}

// Copies to the witness what guaranteed gangs leave free on these workers.
void UpdateWitnessCapacity(PlacementState& state,
                           const std::vector<Slice>& slices) {
  if (state.witness_needs_rebuild_ || state.cluster_.tree_changed_) return;
  for (const Slice& slice : slices) {
    const auto it = state.cluster_.workers_.find(slice.worker_);
    if (it == state.cluster_.workers_.end() || !it->second.leaf_) continue;
    state.witness_.free_for_guarantees_[it->second.leaf_->value()] =
        FreeForGuarantees(it->second);
  }
}

void AddUses(PlacementState& state, const Gang& gang, int sign) {
  if (state.witness_needs_rebuild_) return;
  for (const CellUse& use : gang.uses_) {
    state.witness_.cells_[use.cell_.value()].used_ += sign * use.accelerators_;
  }
}

void Attach(PlacementState& state, Gang& gang) {
  AllocateGang(state.cluster_, gang);
  CountUsage(state, gang, 1);
  AddUses(state, gang, 1);
  UpdateWitnessCapacity(state, gang.slices_);
}

void Detach(PlacementState& state, Gang& gang) {
  AddUses(state, gang, -1);
  CountUsage(state, gang, -1);
  ReleaseGang(state.cluster_, gang);
  UpdateWitnessCapacity(state, gang.slices_);
}

}  // namespace

Gang& AddGang(PlacementState& state, Gang gang) {
  const JobId id = gang.job_.id_;
  const auto it = state.gangs_.insert_or_assign(id, std::move(gang)).first;
  Attach(state, it->second);
  if (it->second.state_ == GangState::kPlanned) state.planned_.insert(id);
  return it->second;
}

void EraseGang(PlacementState& state, JobId job) {
  const auto it = state.gangs_.find(job);
  if (it == state.gangs_.end()) return;
  Gang& gang = it->second;
  Detach(state, gang);
  if (!IsBorrower(gang)) {
    state.witness_needs_repair_ = true;
    state.promotable_.insert(gang.job_.customer_);
  }
  state.planned_.erase(job);
  state.gangs_.erase(it);
}

void SetUses(PlacementState& state, Gang& gang, std::vector<CellUse> uses) {
  Detach(state, gang);
  gang.uses_ = std::move(uses);
  Attach(state, gang);
  state.witness_needs_repair_ = true;
}

void MarkReclaimed(PlacementState& state, Gang& gang) {
  Detach(state, gang);
  gang.state_ = GangState::kReclaimed;
  Attach(state, gang);
}

void UpdateWorker(PlacementState& state, WorkerEntry& entry) {
  RefreshWorker(state.cluster_, entry);
  state.witness_needs_repair_ = true;
  if (state.witness_needs_rebuild_ || state.cluster_.tree_changed_) return;
  if (entry.leaf_) {
    state.witness_.free_for_guarantees_[entry.leaf_->value()] =
        FreeForGuarantees(entry);
  }
}

std::map<CustomerId, CellRange> CellRangesOf(const Table& table) {
  std::map<CustomerId, CellRange> ranges;
  for (const auto& [id, row] : table.rows_) ranges[id] = {};
  const std::vector<WitnessCell> cells = CellsOfTable(table);
  auto row = ranges.begin();
  std::uint32_t customer = 0;
  for (std::uint32_t i = 0; i < cells.size(); ++i) {
    for (; customer < cells[i].customer_.value(); ++customer) ++row;
    if (row->second.count_ == 0) row->second.first_ = i;
    ++row->second.count_;
  }
  return ranges;
}

std::vector<Slice> SlicesOf(const Cluster& cluster,
                            const std::vector<LeafTake>& takes) {
  std::vector<Slice> slices;
  slices.reserve(takes.size());
  for (const LeafTake& take : takes) {
    const PlacementWorker& worker =
        cluster.by_leaf_[take.leaf_.value()]->worker_;
    slices.push_back(
        {worker.id_, worker.incarnation_,
         Accelerators(static_cast<std::uint32_t>(take.accelerators_))});
  }
  return slices;
}

}  // namespace flamingohollow

// Maintenance of the witness, and promotion of borrowers into unused cells.

#include "flamingohollow/guarantee.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingohollow {
namespace {

const CellRange* FindCellRange(const PlacementState& state,
                               const CustomerId& customer) {
  const auto it = state.cell_ranges_.find(customer);
  return it == state.cell_ranges_.end() ? nullptr : &it->second;
}

// Records in the witness how much of each cell the gang uses, and the domain
// that this pins the cell to.
void ApplyCellUses(const CapacityTree& tree, const Gang& gang,
                   Witness& witness) {
  for (const CellUse& use : gang.uses_) {
    WitnessCell& cell = witness.cells_[use.cell_.value()];
    cell.used_ += use.accelerators_;
    const WorkerEntry& entry = *gang.entries_[use.slice_];
    const auto leaf = tree.leaves_.find(gang.slices_[use.slice_].worker_);
    if (!entry.known_ || leaf == tree.leaves_.end()) continue;
    cell.node_ = AncestorAt(tree, NodeOf(leaf->second), cell.level_);
  }
}

// Finds cells that cover the slices of a gang that is already placed. Returns
// nullopt when the customer's cells don't cover them.
class CellUseFinder {
 public:
  CellUseFinder(const PlacementState& state, const Gang& gang)
      : state_(state), gang_(gang) {}

  std::optional<std::vector<CellUse>> Find() {
    for (std::size_t i = 0; i < gang_.slices_.size(); ++i) {
      if (!gang_.entries_[i]->leaf_) return std::nullopt;
    }
    if (std::optional<std::vector<CellUse>> single = FindSingle()) {
      return single;
    }
    return FindSeveral();
  }

 private:
  const CapacityTree& tree() const { return state_.cluster_.tree_; }

  NodeIndex DomainOfSlice(std::size_t slice, Adjacency level) const {
    return AncestorAt(tree(), NodeOf(*gang_.entries_[slice]->leaf_), level);
  }

  bool CanBeIn(const WitnessCell& cell, NodeIndex domain) const {
    return !IsPinned(cell) || cell.node_ == domain;
  }

  // One cell whose domain contains all slices; if several do, the one with the
  // fewest remaining accelerators.
  std::optional<std::vector<CellUse>> FindSingle() const {
    const std::int64_t wanted = gang_.job_.accelerators_.value();
    std::optional<CellIndex> best;
    for (const CellIndex index :
         CellsOfCustomer(state_, gang_.job_.customer_)) {
      const WitnessCell& cell = state_.witness_.cells_[index.value()];
      if (Remaining(cell) < wanted || !HoldsAllSlices(cell)) continue;
      if (best &&
          Remaining(cell) >= Remaining(state_.witness_.cells_[best->value()])) {
        continue;
      }
      best = index;
    }
    if (!best) return std::nullopt;
    return std::vector<CellUse>{{*best, wanted, 0}};
  }

  bool HoldsAllSlices(const WitnessCell& cell) const {
    const NodeIndex domain = DomainOfSlice(0, cell.level_);
    if (!CanBeIn(cell, domain)) return false;
    for (std::size_t i = 1; i < gang_.slices_.size(); ++i) {
      if (DomainOfSlice(i, cell.level_) != domain) return false;
    }
    return true;
  }

  // Covers the slices one after another with cells that can be in the slice's
  // domain.
  std::optional<std::vector<CellUse>> FindSeveral() const {
    std::map<CellIndex, CellUse> uses;
    for (std::size_t i = 0; i < gang_.slices_.size(); ++i) {
      std::int64_t wanted = gang_.slices_[i].accelerators_.value();
      for (const CellIndex index :
           CellsOfCustomer(state_, gang_.job_.customer_)) {
        const std::int64_t take =
            std::min(wanted, RemainingFor(index, i, uses));
        if (take <= 0) continue;
        uses.try_emplace(index, CellUse{index, 0, i})
            .first->second.accelerators_ += take;
        wanted -= take;
      }
      if (wanted > 0) return std::nullopt;
    }
    std::vector<CellUse> found;
    found.reserve(uses.size());
    for (const auto& [index, use] : uses) found.push_back(use);
    return found;
  }

  // Accelerators of the cell that remain for the slice, given the uses found so
  // far.
  std::int64_t RemainingFor(CellIndex index, std::size_t slice,
                            const std::map<CellIndex, CellUse>& uses) const {
    const WitnessCell& cell = state_.witness_.cells_[index.value()];
    const NodeIndex domain = DomainOfSlice(slice, cell.level_);
    if (!CanBeIn(cell, domain)) return 0;
    const auto used = uses.find(index);
    if (used == uses.end()) return Remaining(cell);
    if (DomainOfSlice(used->second.slice_, cell.level_) != domain) return 0;
    return Remaining(cell) - used->second.accelerators_;
  }

  const PlacementState& state_;
  const Gang& gang_;
};

std::int64_t UnusedGuarantee(const PlacementState& state,
                             const CustomerId& customer) {
  std::int64_t unused = 0;
  for (const CellIndex index : CellsOfCustomer(state, customer)) {
    unused += Remaining(state.witness_.cells_[index.value()]);
  }
  return unused;
}

// Moves the gang into its customer's guarantee if unused cells cover the
// workers that it runs on.
void PromoteGang(PlacementState& state, Gang& gang) {
  if (IsGuaranteed(gang) || gang.state_ != GangState::kRunning) return;
  if (gang.job_.accelerators_.value() == 0) return;
  if (UnusedGuarantee(state, gang.job_.customer_) <
      gang.job_.accelerators_.value()) {
    return;
  }
  std::optional<std::vector<CellUse>> uses = CellUseFinder(state, gang).Find();
  if (!uses) return;
  std::vector<LeafTake> takes;
  takes.reserve(gang.slices_.size());
  for (std::size_t i = 0; i < gang.slices_.size(); ++i) {
    takes.push_back(
        {*gang.entries_[i]->leaf_, gang.slices_[i].accelerators_.value()});
  }
  Witness trial = state.witness_;
  if (!IsBorrower(gang)) {
    // The gang's resources were not free for guarantees before; TryAddGang
    // subtracts them again.
    for (const LeafTake& take : takes) {
      trial.free_for_guarantees_[take.leaf_.value()].accelerators_ +=
          take.accelerators_;
      trial.free_for_guarantees_[take.leaf_.value()].slots_ += 1;
    }
  }
  if (!TryAddGang(state.cluster_.tree_, trial, takes, *uses,
                  CellBacking::kWhole))
    return;
  SetUses(state, gang, *std::move(uses));
  state.witness_ = std::move(trial);
}

void PromoteCustomer(PlacementState& state, const CustomerId& customer) {
  const auto usage = state.usage_.find(customer);
  if (usage == state.usage_.end()) return;
  const std::set<JobId> borrowers = usage->second.borrowers_;
  for (const JobId id : borrowers) PromoteGang(state, state.gangs_.at(id));
}

// After a change of the tree or table any gang may fit its customer's cells.
// Gangs that can't be reclaimed come first, as they can't run as borrowers.
void PromoteAll(PlacementState& state) {
  for (auto& [id, gang] : state.gangs_) {
    if (!gang.job_.reclaimable_) PromoteGang(state, gang);
  }
  for (const auto& [customer, row] : state.table_.rows_) {
    PromoteCustomer(state, customer);
  }
}

std::ptrdiff_t CountBackedCells(const Witness& witness) {
  return std::count_if(witness.cells_.begin(), witness.cells_.end(),
                       [](const WitnessCell& cell) { return cell.backed_; });
}

// Replaces the witness by one solved from scratch if that backs more cells and
// leaves no cell unbacked that is backed now.
void TrySolveFromScratch(PlacementState& state) {
  Witness solved = state.witness_;
  Solve(state.cluster_.tree_, solved);
  if (CountBackedCells(solved) <= CountBackedCells(state.witness_)) return;
  for (std::size_t i = 0; i < solved.cells_.size(); ++i) {
    if (state.witness_.cells_[i].backed_ && !solved.cells_[i].backed_) return;
  }
  state.witness_ = std::move(solved);
}

}  // namespace

std::vector<CellIndex> CellsOfCustomer(const PlacementState& state,
                                       const CustomerId& customer) {
  std::vector<CellIndex> cells;
  const CellRange* range = FindCellRange(state, customer);
  if (range == nullptr) return cells;
  for (std::uint32_t i = 0; i < range->count_; ++i) {
    cells.emplace_back(range->first_ + i);
  }
  return cells;
}

bool TryAddGang(const CapacityTree& tree, Witness& trial,
                const std::vector<LeafTake>& takes,
                const std::vector<CellUse>& uses, CellBacking backing) {
  for (const LeafTake& take : takes) {
    LeafResources& free = trial.free_for_guarantees_[take.leaf_.value()];
    free.accelerators_ -= take.accelerators_;
    free.slots_ -= 1;
    if (free.accelerators_ < 0 || free.slots_ < 0) return false;
  }
  for (const CellUse& use : uses) {
    WitnessCell& cell = trial.cells_[use.cell_.value()];
    cell.used_ += use.accelerators_;
    const Leaf leaf = takes[use.slice_].leaf_;
    cell.node_ = AncestorAt(tree, NodeOf(leaf), cell.level_);
    // The whole cell must be backed from now on, as it becomes available there
    // again when the gang ends.
    if (backing == CellBacking::kWhole) cell.backed_ = true;
  }
  return Repair(tree, trial);
}

Witness MakeWitness(const PlacementState& state, const Cluster& cluster) {
  Witness witness;
  witness.free_for_guarantees_.reserve(cluster.by_leaf_.size());
  for (const WorkerEntry* entry : cluster.by_leaf_) {
    witness.free_for_guarantees_.push_back(FreeForGuarantees(*entry));
  }
  witness.cells_ = CellsOfTable(state.table_);
  for (const auto& [id, gang] : state.gangs_) {
    ApplyCellUses(cluster.tree_, gang, witness);
  }
  Solve(cluster.tree_, witness);
  return witness;
}

void RefreshWitness(PlacementState& state) {
  if (state.cluster_.tree_changed_) {
    RebuildTree(state.cluster_);
    // Reservations refer to nodes by their numbers, which have changed.
    state.reservations_.clear();
    state.witness_needs_rebuild_ = true;
  }
  if (state.witness_needs_rebuild_) {
    state.cell_ranges_ = CellRangesOf(state.table_);
    state.witness_ = MakeWitness(state, state.cluster_);
    state.witness_needs_rebuild_ = false;
    PromoteAll(state);
    // A promotion may have freed resources that an unbacked cell needs.
    if (CountBackedCells(state.witness_) < std::ssize(state.witness_.cells_)) {
      TrySolveFromScratch(state);
    }
  } else if (state.witness_needs_repair_) {
    if (!Repair(state.cluster_.tree_, state.witness_))
      TrySolveFromScratch(state);
    for (const CustomerId& customer : state.promotable_) {
      PromoteCustomer(state, customer);
    }
  }
  state.witness_needs_repair_ = false;
  state.promotable_.clear();
}

}  // namespace flamingohollow

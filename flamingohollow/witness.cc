// Greedy assignment, followed by a bounded search.

#include "flamingohollow/witness.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace flamingohollow {
namespace {

// Maximum number of nodes visited by the search that follows when all greedy
// orders fail.
constexpr std::int64_t kMaxSearchVisits = 60000;

// Accelerators of a worker that demands above the worker level can use.
std::int64_t UsableByWiderCells(const LeafResources& free) {
  return std::max<std::int64_t>(0, std::min(free.accelerators_, free.slots_));
}

LeafResources AfterDemand(const LeafResources& free,
                          std::int64_t accelerators) {
  return {free.accelerators_ - accelerators, free.slots_ - 1};
}

// True when a demand of `wanted` accelerators fits at `node`.
bool Fits(const CapacityTree& tree, const Witness& witness, NodeIndex node,
          std::int64_t wanted) {
  if (wanted == 0) return true;
  if (GetNode(tree, node).level_ != Adjacency::kWorker) {
    return MinOnPath(tree, witness.unassigned_, node) >= wanted;
  }
  const LeafResources& free = witness.leaf_unassigned_[node.value()];
  if (free.accelerators_ < wanted || free.slots_ < 1) return false;
  const std::int64_t taken =
      UsableByWiderCells(free) - UsableByWiderCells(AfterDemand(free, wanted));
  return MinOnPath(tree, witness.unassigned_, node) >= taken;
}

// Adds (sign 1) or removes (sign -1) a demand at `node`.
void ApplyDemand(const CapacityTree& tree, Witness& witness, NodeIndex node,
                 std::int64_t wanted, int sign) {
  if (wanted == 0) return;
  if (GetNode(tree, node).level_ != Adjacency::kWorker) {
    AddToPath(tree, witness.unassigned_, node, -sign * wanted);
    return;
  }
  LeafResources& free = witness.leaf_unassigned_[node.value()];
  const std::int64_t before = UsableByWiderCells(free);
  free.accelerators_ -= sign * wanted;
  free.slots_ -= sign;
  AddToPath(tree, witness.unassigned_, node, UsableByWiderCells(free) - before);
}

void Assign(const CapacityTree& tree, Witness& witness, WitnessCell& cell,
            NodeIndex node) {
  ApplyDemand(tree, witness, node, Remaining(cell), 1);
  cell.node_ = node;
  cell.backed_ = true;
}

void Unassign(const CapacityTree& tree, Witness& witness, WitnessCell& cell) {
  if (!cell.backed_ || !cell.node_) return;
  ApplyDemand(tree, witness, *cell.node_, Remaining(cell), -1);
  cell.backed_ = false;
  if (!IsPinned(cell)) cell.node_.reset();
}

// What is unassigned at the node and its ancestors, from the node up. Cells are
// assigned to the tightest node, so that large free domains are kept for wide
// cells.
using Tightness = std::array<std::int64_t, kLevels>;

Tightness TightnessAt(const CapacityTree& tree, const Witness& witness,
                      NodeIndex node) {
  Tightness tightness{};
  std::size_t depth = 0;
  if (GetNode(tree, node).level_ == Adjacency::kWorker) {
    tightness[depth++] = witness.leaf_unassigned_[node.value()].accelerators_;
    node = *GetNode(tree, node).parent_;
  }
  for (std::optional<NodeIndex> at = node; at && depth < kLevels;
       at = GetNode(tree, *at).parent_) {
    tightness[depth++] = witness.unassigned_[at->value()];
  }
  return tightness;
}

void ResetUnassigned(const CapacityTree& tree, Witness& witness) {
  witness.leaf_unassigned_ = witness.free_for_guarantees_;
  std::vector<std::int64_t> usable(tree.leaf_count_);
  std::transform(witness.free_for_guarantees_.begin(),
                 witness.free_for_guarantees_.end(), usable.begin(),
                 UsableByWiderCells);
  witness.unassigned_ = SumByNode(tree, usable);
}

// Assigns the cell's demand to its present node again if it fits there.
void ReassignAtNode(const CapacityTree& tree, Witness& witness,
                    WitnessCell& cell) {
  // A pinned cell on a lost worker has no node. It needs none if nothing of it
  // remains unused.
  cell.backed_ = IsPinned(cell) && !cell.node_ && Remaining(cell) == 0;
  if (!cell.node_) return;
  if (Fits(tree, witness, *cell.node_, Remaining(cell))) {
    Assign(tree, witness, cell, *cell.node_);
  } else if (!IsPinned(cell)) {
    cell.node_.reset();
  }
}

enum class CellOrder { kNarrowFirst, kLargeFirst, kWideFirst };

// Unpinned cells in the order in which they are assigned.
std::vector<CellIndex> SortedUnpinnedCells(const Witness& witness,
                                           CellOrder order) {
  std::vector<CellIndex> cells;
  for (std::uint32_t i = 0; i < witness.cells_.size(); ++i) {
    if (!IsPinned(witness.cells_[i])) cells.emplace_back(i);
  }
  const auto key = [&](CellIndex index) {
    const WitnessCell& cell = witness.cells_[index.value()];
    const int level = static_cast<int>(cell.level_);
    const std::int64_t size = -cell.accelerators_;
    switch (order) {
      case CellOrder::kNarrowFirst:
        return std::tuple<std::int64_t, std::int64_t>(level, size);
      case CellOrder::kLargeFirst:
        return std::tuple<std::int64_t, std::int64_t>(size, level);
      case CellOrder::kWideFirst:
        return std::tuple<std::int64_t, std::int64_t>(-level, size);
    }
    return std::tuple<std::int64_t, std::int64_t>(0, 0);
  };
  std::stable_sort(cells.begin(), cells.end(),
                   [&](CellIndex a, CellIndex b) { return key(a) < key(b); });
  return cells;
}

// Removes all unpinned cells from their nodes and recomputes the unassigned
// resources.
void ClearUnpinned(const CapacityTree& tree, Witness& witness) {
  for (WitnessCell& cell : witness.cells_) {
    if (IsPinned(cell)) continue;
    cell.node_.reset();
    cell.backed_ = false;
  }
  RecomputeUnassigned(tree, witness);
}

std::size_t CountBackedCells(const Witness& witness) {
  return static_cast<std::size_t>(
      std::count_if(witness.cells_.begin(), witness.cells_.end(),
                    [](const WitnessCell& cell) { return cell.backed_; }));
}

// Depth-first search over the cells in `order`, tightest node first. Gives up
// when `visits` runs out. Each recursion level uses at least one visit, which
// bounds the depth.
bool Search(const CapacityTree& tree, Witness& witness,
            const std::vector<CellIndex>& order, std::size_t at,
            std::int64_t& visits) {
  if (at == order.size()) return true;
  WitnessCell& cell = witness.cells_[order[at].value()];
  std::vector<std::pair<Tightness, NodeIndex>> options;
  for (const NodeIndex node : tree.levels_[LevelIndex(cell.level_)]) {
    --visits;
    if (!Fits(tree, witness, node, Remaining(cell))) continue;
    options.emplace_back(TightnessAt(tree, witness, node), node);
  }
  std::sort(options.begin(), options.end());
  for (const auto& [tightness, node] : options) {
    if (visits < 0) return false;
    Assign(tree, witness, cell, node);
    if (Search(tree, witness, order, at + 1, visits)) return true;
    Unassign(tree, witness, cell);
  }
  return false;
}

// Backs the cells one after another. No demand is removed meanwhile, so a size
// that failed at a level would fail there again and is not tried twice.
void BackInOrder(const CapacityTree& tree, Witness& witness,
                 const std::vector<CellIndex>& order) {
  std::set<std::pair<Adjacency, std::int64_t>> failed;
  for (const CellIndex index : order) {
    const WitnessCell& cell = witness.cells_[index.value()];
    const std::pair key(cell.level_, Remaining(cell));
    if (!IsPinned(cell) && failed.contains(key)) continue;
    if (!BackCell(tree, witness, index) && !IsPinned(cell)) failed.insert(key);
  }
}

bool AllPinnedCellsBacked(const Witness& witness) {
  return std::all_of(
      witness.cells_.begin(), witness.cells_.end(),
      [](const WitnessCell& cell) { return !IsPinned(cell) || cell.backed_; });
}

}  // namespace

std::vector<WitnessCell> CellsOfTable(const Table& table) {
  std::vector<WitnessCell> cells;
  std::uint32_t customer = 0;
  for (const auto& [id, row] : table.rows_) {
    for (const Cell& cell : row.guaranteed_) {
      if (cell.accelerators_.value() == 0) continue;
      for (std::uint32_t i = 0; i < cell.count_; ++i) {
        if (cells.size() == kMaxGuaranteedCells) return cells;
        cells.push_back({CustomerIndex(customer), cell.accelerators_.value(),
                         cell.adjacency_, 0, std::nullopt, false});
      }
    }
    ++customer;
  }
  return cells;
}

void RecomputeUnassigned(const CapacityTree& tree, Witness& witness) {
  ResetUnassigned(tree, witness);
  // Pinned cells come first, as they can't move. Unbacked ones come last: the
  // remaining part of a pinned cell that had no place must not displace a
  // backed cell.
  const auto rank = [](const WitnessCell& cell) {
    if (!cell.backed_) return 2;
    return IsPinned(cell) ? 0 : 1;
  };
  std::array<std::vector<WitnessCell*>, 3> by_rank;
  for (WitnessCell& cell : witness.cells_) {
    by_rank[static_cast<std::size_t>(rank(cell))].push_back(&cell);
  }
  for (const std::vector<WitnessCell*>& cells : by_rank) {
    for (WitnessCell* cell : cells) ReassignAtNode(tree, witness, *cell);
  }
}

bool BackCell(const CapacityTree& tree, Witness& witness, CellIndex index) {
  WitnessCell& cell = witness.cells_[index.value()];
  const std::int64_t wanted = Remaining(cell);
  if (IsPinned(cell)) {
    if (!cell.node_ || !Fits(tree, witness, *cell.node_, wanted)) return false;
    Assign(tree, witness, cell, *cell.node_);
    return true;
  }
  std::optional<NodeIndex> best;
  Tightness best_tightness{};
  for (const NodeIndex node : tree.levels_[LevelIndex(cell.level_)]) {
    if (!Fits(tree, witness, node, wanted)) continue;
    const Tightness tightness = TightnessAt(tree, witness, node);
    if (best && tightness >= best_tightness) continue;
    best = node;
    best_tightness = tightness;
  }
  if (!best) return false;
  Assign(tree, witness, cell, *best);
  return true;
}

bool Repair(const CapacityTree& tree, Witness& witness) {
  std::vector<bool> backed_before;
  backed_before.reserve(witness.cells_.size());
  for (const WitnessCell& cell : witness.cells_) {
    backed_before.push_back(cell.backed_);
  }
  RecomputeUnassigned(tree, witness);
  // Cells that were backed before come first.
  for (const bool before : {true, false}) {
    std::vector<CellIndex> order;
    for (std::uint32_t i = 0; i < witness.cells_.size(); ++i) {
      if (witness.cells_[i].backed_ || backed_before[i] != before) continue;
      order.emplace_back(i);
    }
    BackInOrder(tree, witness, order);
  }
  for (std::size_t i = 0; i < witness.cells_.size(); ++i) {
    if (backed_before[i] && !witness.cells_[i].backed_) return false;
  }
  return true;
}

bool Solve(const CapacityTree& tree, Witness& witness) {
  std::optional<Witness> best;
  for (const CellOrder order : {CellOrder::kNarrowFirst, CellOrder::kLargeFirst,
                                CellOrder::kWideFirst}) {
    ClearUnpinned(tree, witness);
    BackInOrder(tree, witness, SortedUnpinnedCells(witness, order));
    if (CountBackedCells(witness) == witness.cells_.size()) return true;
    if (!best || CountBackedCells(witness) > CountBackedCells(*best))
      best = witness;
  }
  ClearUnpinned(tree, witness);
  std::int64_t visits = kMaxSearchVisits;
  const std::vector<CellIndex> order =
      SortedUnpinnedCells(witness, CellOrder::kNarrowFirst);
  if (AllPinnedCellsBacked(witness) &&
      Search(tree, witness, order, 0, visits)) {
    return true;
  }
  witness = std::move(*best);
  return false;
}

std::int64_t AvailableOnLeaf(const CapacityTree& tree, const Witness& witness,
                             Leaf leaf, NodeIndex node) {
  std::int64_t available = witness.leaf_unassigned_[leaf.value()].accelerators_;
  if (NodeOf(leaf) == node) return available;
  for (NodeIndex at = NodeOf(leaf); at != node;
       at = *GetNode(tree, at).parent_) {
    available = std::min(available, witness.unassigned_[at.value()]);
  }
  return available;
}

}  // namespace flamingohollow

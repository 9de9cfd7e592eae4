// Greedy assignment with a bounded search behind it.

#include "flamingohollow/witness.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace flamingohollow {
namespace {

// Nodes looked at by the search that follows when the greedy orders fail.
constexpr std::int64_t kSearchVisits = 60000;

// What a worker offers to demands above the worker's level.
std::int64_t Shareable(const LeafRoom& room) {
  return std::max<std::int64_t>(0, std::min(room.accelerators_, room.slots_));
}

LeafRoom AfterDemand(const LeafRoom& room, std::int64_t accelerators) {
  return {room.accelerators_ - accelerators, room.slots_ - 1};
}

// True when a demand of the cell's level and size fits at `node`.
bool Fits(const CapacityTree& tree, const Witness& witness, NodeIndex node,
          std::int64_t wanted) {
  if (wanted == 0) return true;
  if (GetNode(tree, node).level_ != Adjacency::kWorker) {
    return LeastOnPath(tree, witness.left_, node) >= wanted;
  }
  const LeafRoom& room = witness.leaf_left_[node.value()];
  if (room.accelerators_ < wanted || room.slots_ < 1) return false;
  const std::int64_t taken =
      Shareable(room) - Shareable(AfterDemand(room, wanted));
  return LeastOnPath(tree, witness.left_, node) >= taken;
}

// Takes (sign 1) or gives back (sign -1) a demand at `node`.
void ApplyDemand(const CapacityTree& tree, Witness& witness, NodeIndex node,
                 std::int64_t wanted, int sign) {
  if (wanted == 0) return;
  if (GetNode(tree, node).level_ != Adjacency::kWorker) {
    AddToPath(tree, witness.left_, node, -sign * wanted);
    return;
  }
  LeafRoom& room = witness.leaf_left_[node.value()];
  const std::int64_t before = Shareable(room);
  room.accelerators_ -= sign * wanted;
  room.slots_ -= sign;
  AddToPath(tree, witness.left_, node, Shareable(room) - before);
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

// What is left at the node and its ancestors: the tightest place first, so
// that wide cells keep wide room.
using Tightness = std::array<std::int64_t, kLevels>;

Tightness TightnessAt(const CapacityTree& tree, const Witness& witness,
                      NodeIndex node) {
  Tightness tightness{};
  std::size_t depth = 0;
  if (GetNode(tree, node).level_ == Adjacency::kWorker) {
    tightness[depth++] = witness.leaf_left_[node.value()].accelerators_;
    node = *GetNode(tree, node).parent_;
  }
  for (std::optional<NodeIndex> at = node; at && depth < kLevels;
       at = GetNode(tree, *at).parent_) {
    tightness[depth++] = witness.left_[at->value()];
  }
  return tightness;
}

void ResetLeft(const CapacityTree& tree, Witness& witness) {
  witness.leaf_left_ = witness.rooms_;
  std::vector<std::int64_t> shareable(tree.leaf_count_);
  std::transform(witness.rooms_.begin(), witness.rooms_.end(),
                 shareable.begin(), Shareable);
  witness.left_ = SumUp(tree, shareable);
}

// Puts the cell's demand back at its node if it fits there.
void KeepAtNode(const CapacityTree& tree, Witness& witness, WitnessCell& cell) {
  // A pinned cell on a lost worker has no node; with no rest it needs none.
  cell.backed_ = IsPinned(cell) && !cell.node_ && Remaining(cell) == 0;
  if (!cell.node_) return;
  if (Fits(tree, witness, *cell.node_, Remaining(cell))) {
    Assign(tree, witness, cell, *cell.node_);
  } else if (!IsPinned(cell)) {
    cell.node_.reset();
  }
}

enum class CellOrder { kNarrowFirst, kLargeFirst, kWideFirst };

// Unpinned cells in the order in which they are tried.
std::vector<CellIndex> Ordered(const Witness& witness, CellOrder order) {
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

// Forgets every unpinned place and recounts the pinned ones.
void ClearUnpinned(const CapacityTree& tree, Witness& witness) {
  for (WitnessCell& cell : witness.cells_) {
    if (IsPinned(cell)) continue;
    cell.node_.reset();
    cell.backed_ = false;
  }
  Recount(tree, witness);
}

std::size_t BackedCount(const Witness& witness) {
  return static_cast<std::size_t>(
      std::count_if(witness.cells_.begin(), witness.cells_.end(),
                    [](const WitnessCell& cell) { return cell.backed_; }));
}

// Depth-first over the cells in `order`, tightest node first; gives up when
// `visits` runs out. Each level of the recursion uses up a visit, which bounds
// its depth.
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

// Backs the cells one after another. Nothing is given back meanwhile, so a size
// that failed at a level fails there again and is not tried twice.
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

bool PinnedBacked(const Witness& witness) {
  return std::all_of(
      witness.cells_.begin(), witness.cells_.end(),
      [](const WitnessCell& cell) { return !IsPinned(cell) || cell.backed_; });
}

}  // namespace

std::vector<WitnessCell> CellsOf(const Table& table) {
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

void Recount(const CapacityTree& tree, Witness& witness) {
  ResetLeft(tree, witness);
  // Pinned cells have no choice, so they come first; but a rest that has had
  // no place must not take that of a cell that has one.
  const auto turn = [](const WitnessCell& cell) {
    if (!cell.backed_) return 2;
    return IsPinned(cell) ? 0 : 1;
  };
  std::array<std::vector<WitnessCell*>, 3> turns;
  for (WitnessCell& cell : witness.cells_) {
    turns[static_cast<std::size_t>(turn(cell))].push_back(&cell);
  }
  for (const std::vector<WitnessCell*>& cells : turns) {
    for (WitnessCell* cell : cells) KeepAtNode(tree, witness, *cell);
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
  Recount(tree, witness);
  // Those that were backed before go first.
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
    BackInOrder(tree, witness, Ordered(witness, order));
    if (BackedCount(witness) == witness.cells_.size()) return true;
    if (!best || BackedCount(witness) > BackedCount(*best)) best = witness;
  }
  ClearUnpinned(tree, witness);
  std::int64_t visits = kSearchVisits;
  const std::vector<CellIndex> order =
      Ordered(witness, CellOrder::kNarrowFirst);
  if (PinnedBacked(witness) && Search(tree, witness, order, 0, visits)) {
    return true;
  }
  witness = std::move(*best);
  return false;
}

std::int64_t TakeableAt(const CapacityTree& tree, const Witness& witness,
                        Leaf leaf, NodeIndex node) {
  std::int64_t takeable = witness.leaf_left_[leaf.value()].accelerators_;
  if (NodeOf(leaf) == node) return takeable;
  for (NodeIndex at = NodeOf(leaf); at != node;
       at = *GetNode(tree, at).parent_) {
    takeable = std::min(takeable, witness.left_[at.value()]);
  }
  return takeable;
}

}  // namespace flamingohollow

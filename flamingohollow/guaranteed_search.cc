// Tries placements on copies of the witness, those without reclaim first.

#include "flamingohollow/guaranteed_search.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "flamingohollow/guarantee.h"
#include "flamingohollow/reservation.h"

namespace flamingohollow {
namespace {

// Maximum number of trials for one gang and one kind of placement.
constexpr std::size_t kMaxTrials = 8;
// Maximum number of kinds of cells tried for one gang.
constexpr std::size_t kMaxCellKinds = 4;

// Searches for a placement of one gang.
class GuaranteedSearch {
 public:
  GuaranteedSearch(const PlacementState& state, const PlacementJob& job,
                   Time now)
      : state_(state),
        job_(job),
        now_(now),
        wanted_(job.accelerators_.value()) {
    for (const CellIndex index : CellsOfCustomer(state, job.customer_)) {
      if (Remaining(CellAt(index)) > 0) cells_.push_back(index);
    }
  }

  std::optional<GuaranteedPlan> Find() {
    std::int64_t unused = 0;
    for (const CellIndex cell : cells_) unused += Remaining(CellAt(cell));
    if (unused < wanted_) return std::nullopt;
    const NodeSums preferred =
        ExcludeFailedWorkers(state_, job_, FreeOutsideReservations(state_));
    for (const std::vector<CellIndex>& choices : SingleCellChoices()) {
      if (auto plan = FindWithoutReclaim(choices, preferred)) return plan;
      if (auto plan = FindWithoutReclaim(choices, state_.cluster_.free_))
        return plan;
      if (auto plan = FindWithReclaim(choices)) return plan;
      if (auto plan = FindAtAssignedNode(choices)) return plan;
    }
    return FindOnSeveralCells();
  }

 private:
  const CapacityTree& tree() const { return state_.cluster_.tree_; }
  const WitnessCell& CellAt(CellIndex index) const {
    return state_.witness_.cells_[index.value()];
  }

  // Cells that cover the gang alone, grouped by how well they match it, best
  // match first. Each group has one cell for each domain that such cells are
  // pinned to, and one unpinned cell. Worse matches are tried only when better
  // ones fail, so gangs in the shape of the unused cells leave no cell
  // stranded, in whatever order they arrive.
  std::vector<std::vector<CellIndex>> SingleCellChoices() const {
    // A cell wider than the gang needs comes last; then the fewest remaining
    // accelerators first, then the widest adjacency.
    using Match = std::tuple<bool, std::int64_t, int>;
    std::map<Match, std::map<std::optional<NodeIndex>, CellIndex>> matches;
    for (const CellIndex index : cells_) {
      const WitnessCell& cell = CellAt(index);
      if (Remaining(cell) < wanted_) continue;
      if (IsPinned(cell) && !cell.node_) continue;
      const std::optional<NodeIndex> pinned_to =
          IsPinned(cell) ? cell.node_ : std::nullopt;
      const Match match(cell.level_ > job_.adjacency_, Remaining(cell),
                        -static_cast<int>(cell.level_));
      // A backed cell represents its kind if there is one.
      const auto [it, added] = matches[match].try_emplace(pinned_to, index);
      if (!added && !CellAt(it->second).backed_) it->second = index;
    }
    std::vector<std::vector<CellIndex>> choices;
    for (const auto& [match, cells] : matches) {
      if (choices.size() == kMaxCellKinds) break;
      choices.emplace_back();
      for (const auto& [node, index] : cells) {
        choices.back().push_back(index);
      }
    }
    return choices;
  }

  FitRequest RequestFor(const WitnessCell& cell) const {
    FitRequest request;
    request.accelerators_ = wanted_;
    request.adjacency_ = Narrower(cell.level_, job_.adjacency_);
    if (IsPinned(cell)) request.within_ = cell.node_;
    return request;
  }

  // A cell that can't be backed as a whole because workers were lost can still
  // be used by gangs that fit into the part of it that remains.
  std::optional<GuaranteedPlan> TrySingle(CellIndex cell,
                                          const ReclaimPlan& reclaim) const {
    if (auto plan = TrySingle(cell, reclaim, CellBacking::kWhole)) return plan;
    if (CellAt(cell).backed_) return std::nullopt;
    return TrySingle(cell, reclaim, CellBacking::kUsedPartOnly);
  }

  std::optional<GuaranteedPlan> TrySingle(CellIndex cell,
                                          const ReclaimPlan& reclaim,
                                          CellBacking backing) const {
    GuaranteedPlan plan;
    plan.witness_ = state_.witness_;
    plan.uses_ = {{cell, wanted_, 0}};
    if (!TryAddGang(tree(), plan.witness_, reclaim.takes_, plan.uses_,
                    backing)) {
      return std::nullopt;
    }
    plan.takes_ = reclaim.takes_;
    plan.victims_ = reclaim.victims_;
    return plan;
  }

  std::optional<GuaranteedPlan> FindWithoutReclaim(
      const std::vector<CellIndex>& choices, const NodeSums& free_sums) const {
    std::size_t trials = 0;
    for (const CellIndex cell : choices) {
      for (const Fit& fit :
           FindFits(tree(), free_sums, state_.shapes_, state_.options_.policy_,
                    RequestFor(CellAt(cell)))) {
        if (++trials > kMaxTrials) return std::nullopt;
        ReclaimPlan reclaim;
        reclaim.takes_ = fit.takes_;
        if (auto plan = TrySingle(cell, reclaim)) return plan;
      }
    }
    return std::nullopt;
  }

  std::optional<GuaranteedPlan> FindWithReclaim(
      const std::vector<CellIndex>& choices) const {
    using Candidate = std::pair<CellIndex, ReclaimPlan>;
    std::vector<Candidate> candidates;
    for (const CellIndex cell : choices) {
      const FitRequest request = RequestFor(CellAt(cell));
      for (const NodeIndex node :
           tree().levels_[LevelIndex(request.adjacency_)]) {
        if (state_.cluster_.free_with_reclaim_[node.value()] < wanted_)
          continue;
        if (request.within_ && !IsWithin(tree(), node, *request.within_)) {
          continue;
        }
        std::optional<ReclaimPlan> reclaim =
            PlanReclaim(state_.cluster_, node, wanted_, AnyBorrower(),
                        state_.options_.policy_, now_);
        if (reclaim) candidates.emplace_back(cell, *std::move(reclaim));
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate& a, const Candidate& b) {
                       return a.second.cost_ < b.second.cost_;
                     });
    if (candidates.size() > kMaxTrials) candidates.resize(kMaxTrials);
    for (const auto& [cell, reclaim] : candidates) {
      if (auto plan = TrySingle(cell, reclaim)) return plan;
    }
    return std::nullopt;
  }

  // Places the gang at the node that the witness assigns to the cell, so that
  // no other cell has to move.
  std::optional<GuaranteedPlan> FindAtAssignedNode(
      const std::vector<CellIndex>& choices) const {
    for (const CellIndex cell : choices) {
      const WitnessCell& own = CellAt(cell);
      if (!own.backed_ || !own.node_ || own.level_ > job_.adjacency_) continue;
      if (auto plan = TryCells({cell}, state_.witness_)) return plan;
    }
    return std::nullopt;
  }

  // Places the gang on several cells at the nodes that the witness assigns to
  // them, within one domain of the gang's adjacency. If that fails, tries again
  // after moving the customer's cells into one domain.
  std::optional<GuaranteedPlan> FindOnSeveralCells() const {
    const auto& domains = tree().levels_[LevelIndex(job_.adjacency_)];
    for (const NodeIndex domain : domains) {
      const auto cells = CoveringCells(domain, state_.witness_);
      if (auto plan = TryCells(cells, state_.witness_)) return plan;
    }
    std::size_t trials = 0;
    for (const NodeIndex domain : domains) {
      if (state_.cluster_.free_with_reclaim_[domain.value()] < wanted_)
        continue;
      if (++trials > kMaxTrials) break;
      const Witness moved = WithCellsMovedInto(domain);
      if (auto plan = TryCells(CoveringCells(domain, moved), moved)) {
        return plan;
      }
    }
    return std::nullopt;
  }

  // Returns the witness after moving as many of the customer's unused cells as
  // possible into `domain`.
  Witness WithCellsMovedInto(NodeIndex domain) const {
    Witness witness = state_.witness_;
    for (const CellIndex index : cells_) {
      WitnessCell& cell = witness.cells_[index.value()];
      if (IsPinned(cell) || cell.level_ > job_.adjacency_) continue;
      if (cell.node_ && IsWithin(tree(), *cell.node_, domain)) continue;
      for (const NodeIndex node : tree().levels_[LevelIndex(cell.level_)]) {
        if (!IsWithin(tree(), node, domain)) continue;
        Witness trial = witness;
        trial.cells_[index.value()].node_ = node;
        trial.cells_[index.value()].backed_ = true;
        if (!Repair(tree(), trial)) continue;
        if (trial.cells_[index.value()].node_ != node) continue;
        witness = std::move(trial);
        break;
      }
    }
    return witness;
  }

  // The customer's cells inside `domain` that cover the gang: the largest ones,
  // but the smallest that suffices for the last. Empty when they don't cover
  // it.
  std::vector<CellIndex> CoveringCells(NodeIndex domain,
                                       const Witness& witness) const {
    std::vector<CellIndex> inside;
    for (const CellIndex index : cells_) {
      const WitnessCell& cell = witness.cells_[index.value()];
      if (!cell.backed_ || !cell.node_) continue;
      if (IsWithin(tree(), *cell.node_, domain)) inside.push_back(index);
    }
    const auto remaining = [&](CellIndex index) {
      return Remaining(witness.cells_[index.value()]);
    };
    std::stable_sort(
        inside.begin(), inside.end(),
        [&](CellIndex a, CellIndex b) { return remaining(a) > remaining(b); });
    std::vector<CellIndex> covering;
    std::int64_t missing = wanted_;
    for (std::size_t i = 0; i < inside.size() && missing > 0; ++i) {
      const bool next_suffices =
          i + 1 < inside.size() && remaining(inside[i + 1]) >= missing;
      if (next_suffices) continue;
      covering.push_back(inside[i]);
      missing -= remaining(inside[i]);
    }
    if (missing > 0) covering.clear();
    return covering;
  }

  // Places the gang on these cells, at the nodes that `witness` assigns to
  // them.
  std::optional<GuaranteedPlan> TryCells(const std::vector<CellIndex>& cells,
                                         const Witness& witness) const {
    if (cells.empty()) return std::nullopt;
    GuaranteedPlan plan;
    plan.witness_ = witness;
    Witness scratch = witness;
    std::int64_t missing = wanted_;
    std::vector<LeafTake> takes;
    for (const CellIndex index : cells) {
      const WitnessCell& cell = witness.cells_[index.value()];
      const std::int64_t amount = std::min(missing, Remaining(cell));
      const std::optional<std::size_t> slice =
          TakeAtNode(*cell.node_, amount, scratch, takes);
      if (!slice) return std::nullopt;
      plan.uses_.push_back({index, amount, *slice});
      missing -= amount;
    }
    std::optional<ReclaimPlan> reclaim =
        PlanReclaimFor(state_.cluster_, takes, AnyBorrower(), now_);
    if (!reclaim) return std::nullopt;
    if (!TryAddGang(tree(), plan.witness_, takes, plan.uses_,
                    CellBacking::kWhole)) {
      return std::nullopt;
    }
    plan.takes_ = std::move(takes);
    plan.victims_ = std::move(reclaim->victims_);
    return plan;
  }

  // Takes `amount` accelerators below `node` that no other demand needs, free
  // accelerators first. Returns the index in `takes` of the last take, or
  // nullopt when there are not enough accelerators.
  std::optional<std::size_t> TakeAtNode(NodeIndex node, std::int64_t amount,
                                        Witness& scratch,
                                        std::vector<LeafTake>& takes) const {
    std::optional<std::size_t> slice;
    const TreeNode& domain = GetNode(tree(), node);
    for (const bool only_free : {true, false}) {
      for (std::uint32_t i = domain.first_; i < domain.end_; ++i) {
        std::int64_t take =
            std::min(amount, AvailableToDemand(Leaf(i), node, scratch));
        if (only_free) take = std::min(take, FreeAfterTakes(Leaf(i), takes));
        if (take <= 0) continue;
        slice = AddTake(Leaf(i), take, takes);
        scratch.leaf_unassigned_[i].accelerators_ -= take;
        AddToPath(tree(), scratch.unassigned_, NodeIndex(i), -take);
        amount -= take;
      }
    }
    return amount == 0 ? slice : std::nullopt;
  }

  // Accelerators of the worker that can serve the gang's demand at `node`. A
  // worker-level demand is served by that worker alone; a wider demand is
  // served by what the narrower demands leave.
  std::int64_t AvailableToDemand(Leaf leaf, NodeIndex node,
                                 const Witness& scratch) const {
    if (NodeOf(leaf) == node) return wanted_;
    return AvailableOnLeaf(tree(), scratch, leaf, node);
  }

  std::int64_t FreeAfterTakes(Leaf leaf,
                              const std::vector<LeafTake>& takes) const {
    std::int64_t free = state_.cluster_.free_[leaf.value()];
    for (const LeafTake& take : takes) {
      if (take.leaf_ == leaf) free -= take.accelerators_;
    }
    return free;
  }

  static std::size_t AddTake(Leaf leaf, std::int64_t amount,
                             std::vector<LeafTake>& takes) {
    for (std::size_t i = 0; i < takes.size(); ++i) {
      if (takes[i].leaf_ != leaf) continue;
      takes[i].accelerators_ += amount;
      return i;
    }
    takes.push_back({leaf, amount});
    return takes.size() - 1;
  }

  const PlacementState& state_;
  const PlacementJob& job_;
  const Time now_;
  const std::int64_t wanted_;
  // The customer's cells that have accelerators remaining.
  std::vector<CellIndex> cells_;
};

}  // namespace

std::optional<GuaranteedPlan> PlanGuaranteed(const PlacementState& state,
                                             const PlacementJob& job,
                                             Time now) {
  if (job.accelerators_.value() == 0) return std::nullopt;
  return GuaranteedSearch(state, job, now).Find();
}

}  // namespace flamingohollow

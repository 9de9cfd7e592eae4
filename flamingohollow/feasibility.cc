// Compares jobs and guarantees with the totals of the known workers.

#include "flamingohollow/feasibility.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingohollow {
namespace {

// The largest total of accelerators in one domain of the level. Counts all
// known workers, also those that are busy or unavailable, as they may become
// available again.
std::int64_t LargestDomain(const Cluster& cluster, Adjacency level) {
  std::int64_t largest = 0;
  for (const NodeIndex node : cluster.tree_.levels_[LevelIndex(level)]) {
    const TreeNode& domain = GetNode(cluster.tree_, node);
    std::int64_t total = 0;
    for (std::uint32_t i = domain.first_; i < domain.end_; ++i) {
      const PlacementWorker& worker = cluster.by_leaf_[i]->worker_;
      if (worker.slots_ > 0) total += worker.accelerators_.value();
    }
    largest = std::max(largest, total);
  }
  return largest;
}

// "64 within one rack, or 128 within one failure_domain".
std::string NearestShapes(const Cluster& cluster, const PlacementJob& job) {
  const std::int64_t wanted = job.accelerators_.value();
  std::string nearest =
      fmt::format("{} within one {}", LargestDomain(cluster, job.adjacency_),
                  AdjacencyName(job.adjacency_));
  for (const Adjacency level :
       {Adjacency::kRack, Adjacency::kFailureDomain, Adjacency::kRegion}) {
    if (level <= job.adjacency_) continue;
    if (LargestDomain(cluster, level) < wanted) continue;
    return fmt::format("{}, or {} within one {}", nearest, wanted,
                       AdjacencyName(level));
  }
  return nearest;
}

// The most accelerators that one gang of this adjacency can have on the
// customer's cells: those of one cell of any adjacency, or of all cells narrow
// enough to be in one domain of the gang's adjacency.
std::int64_t LargestGuaranteed(const Row& row, Adjacency adjacency) {
  std::int64_t single = 0;
  std::int64_t together = 0;
  for (const Cell& cell : row.guaranteed_) {
    if (cell.count_ == 0) continue;
    const std::int64_t size = cell.accelerators_.value();
    single = std::max(single, size);
    if (cell.adjacency_ <= adjacency) together += size * cell.count_;
  }
  return std::max(single, together);
}

std::string ReasonByTable(const Table& table, const PlacementJob& job) {
  const auto row = table.rows_.find(job.customer_);
  if (row == table.rows_.end()) {
    return fmt::format("customer \"{}\" is not in the table",
                       job.customer_.value());
  }
  const std::int64_t wanted = job.accelerators_.value();
  const std::int64_t guaranteed =
      LargestGuaranteed(row->second, job.adjacency_);
  if (wanted <= guaranteed) return "";
  const std::int64_t borrowed = row->second.max_borrowed_;
  if (!job.reclaimable_) {
    // A job without accelerators needs only a slot.
    if (wanted == 0) return "";
    return fmt::format(
        "{} accelerators within one {} exceed the guarantee of customer "
        "\"{}\", and the job may not be taken back; {} would fit",
        wanted, AdjacencyName(job.adjacency_), job.customer_.value(),
        guaranteed);
  }
  if (wanted <= borrowed) return "";
  return fmt::format(
      "{} accelerators within one {} exceed both the guarantee ({}) and "
      "max_borrowed ({}) of customer \"{}\"",
      wanted, AdjacencyName(job.adjacency_), guaranteed, borrowed,
      job.customer_.value());
}

}  // namespace

std::string ReasonNeverFits(const Cluster& cluster, const Table& table,
                            const PlacementJob& job) {
  if (cluster.tree_.leaf_count_ == 0) return "";
  const std::int64_t wanted = job.accelerators_.value();
  const std::int64_t largest = LargestDomain(cluster, job.adjacency_);
  if (wanted <= largest) return ReasonByTable(table, job);
  return fmt::format("{} accelerators within one {} fit nowhere: {} would fit",
                     wanted, AdjacencyName(job.adjacency_),
                     NearestShapes(cluster, job));
}

std::string ReasonUnbacked(const CapacityTree& tree, const Witness& witness,
                           CustomerIndex customer) {
  const WitnessCell* missing = nullptr;
  std::size_t missing_count = 0;
  std::size_t count = 0;
  for (const WitnessCell& cell : witness.cells_) {
    if (cell.customer_ != customer) continue;
    ++count;
    if (cell.backed_) continue;
    ++missing_count;
    if (missing == nullptr) missing = &cell;
  }
  if (missing == nullptr) return "";
  std::int64_t largest = 0;
  for (const NodeIndex node : tree.levels_[LevelIndex(missing->level_)]) {
    largest = std::max(largest, MinOnPath(tree, witness.unassigned_, node));
  }
  return fmt::format(
      "{} of {} guaranteed cells have no place, such as {} accelerators within "
      "one {}: beside the other guarantees at most {} are left in one",
      missing_count, count, Remaining(*missing), AdjacencyName(missing->level_),
      largest);
}

bool HasNewGuarantee(const Table& present, const Table& proposed) {
  return std::any_of(
      proposed.rows_.begin(), proposed.rows_.end(), [&](const auto& entry) {
        const GuaranteedShape& shape = entry.second.guaranteed_;
        if (shape.empty()) return false;
        const auto row = present.rows_.find(entry.first);
        return row == present.rows_.end() || row->second.guaranteed_ != shape;
      });
}

}  // namespace flamingohollow

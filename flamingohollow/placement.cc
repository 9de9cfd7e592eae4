// The events and queries of placement.h; decide.cc has Decide.

#include "flamingohollow/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "flamingohollow/feasibility.h"
#include "flamingohollow/guarantee.h"
#include "flamingohollow/placement_state.h"
#include "flamingohollow/reservation.h"

namespace flamingohollow {
namespace {

// Maps the cell indexes of gangs from the old table to the new one. Gangs of
// customers whose guarantee changed lose their cells; the next RefreshWitness
// tries to assign them new ones.
void RemapCellUses(PlacementState& state, const Table& old_table,
                   const Table& new_table) {
  const std::map<CustomerId, CellRange> old_ranges = CellRangesOf(old_table);
  const std::map<CustomerId, CellRange> new_ranges = CellRangesOf(new_table);
  for (auto& [id, gang] : state.gangs_) {
    if (!IsGuaranteed(gang)) continue;
    const CustomerId& customer = gang.job_.customer_;
    std::vector<CellUse> uses;
    const auto old_row = old_table.rows_.find(customer);
    const auto new_row = new_table.rows_.find(customer);
    if (old_row != old_table.rows_.end() && new_row != new_table.rows_.end() &&
        old_row->second.guaranteed_ == new_row->second.guaranteed_ &&
        old_ranges.at(customer).count_ == new_ranges.at(customer).count_) {
      uses = gang.uses_;
      for (CellUse& use : uses) {
        use.cell_ =
            CellIndex(use.cell_.value() - old_ranges.at(customer).first_ +
                      new_ranges.at(customer).first_);
      }
    }
    SetUses(state, gang, std::move(uses));
  }
}

// True when the tree needs no rebuild for this worker.
bool HasSamePlace(const WorkerEntry& entry, const PlacementWorker& worker) {
  return entry.known_ && entry.worker_.place_ == worker.place_;
}

std::size_t CountKnownWorkers(const PlacementState& state) {
  if (!state.cluster_.tree_changed_) return state.cluster_.tree_.leaf_count_;
  return static_cast<std::size_t>(std::count_if(
      state.cluster_.workers_.begin(), state.cluster_.workers_.end(),
      [](const auto& entry) { return entry.second.known_; }));
}

// Returns the state's cluster if its tree is up to date, or else `copy` with
// the tree rebuilt.
const Cluster& UpToDateCluster(const PlacementState& state,
                               std::optional<Cluster>& copy) {
  if (!state.cluster_.tree_changed_) return state.cluster_;
  copy = state.cluster_;
  RebuildTree(*copy);
  return *copy;
}

}  // namespace

void PlacementStateDeleter::operator()(PlacementState* state) const {
  delete state;
}

PlacementPtr MakePlacement(const PlacementOptions& options, Time now) {
  PlacementPtr state(new PlacementState);
  state->options_ = options;
  state->started_at_ = now;
  state->now_ = now;
  state->quarantine_.max_share_ = options.max_quarantined_share_;
  return state;
}

void SetTable(PlacementState& state, const Table& table) {
  if (table.version_ == state.table_.version_ &&
      table.rows_ == state.table_.rows_) {
    return;
  }
  state.witness_needs_rebuild_ = true;
  RemapCellUses(state, state.table_, table);
  state.table_.version_ = table.version_;
  state.table_.rows_ = table.rows_;
}

void SetWorker(PlacementState& state, const PlacementWorker& worker, Time now) {
  state.now_ = std::max(state.now_, now);
  WorkerEntry& entry = state.cluster_.workers_[worker.id_];
  if (!HasSamePlace(entry, worker)) state.cluster_.tree_changed_ = true;
  entry.worker_ = worker;
  entry.known_ = true;
  entry.quarantined_ = IsWorkerQuarantined(state.quarantine_, worker.id_);
  UpdateWorker(state, entry);
}

void RemoveWorker(PlacementState& state, const WorkerId& worker, Time now) {
  state.now_ = std::max(state.now_, now);
  const auto it = state.cluster_.workers_.find(worker);
  if (it == state.cluster_.workers_.end()) return;
  ForgetWorker(state.quarantine_, worker);
  state.cluster_.tree_changed_ = true;
  it->second.known_ = false;
  it->second.quarantined_ = false;
  it->second.leaf_.reset();
  if (it->second.held_.slots_ == 0) state.cluster_.workers_.erase(it);
}

void EnqueueJob(PlacementState& state, const PlacementJob& job) {
  EraseGang(state, job.id_);
  if (!state.queue_.jobs_.contains(job.id_)) {
    RecordShape(state.shapes_, {job.accelerators_.value(), job.adjacency_});
  }
  AddJob(state.queue_, job);
}

void RestoreRunningJob(PlacementState& state, const PlacementJob& job,
                       const std::vector<Slice>& slices) {
  RemoveJob(state, job.id_);
  Gang gang;
  gang.job_ = job;
  gang.slices_ = slices;
  gang.started_at_ = state.now_;
  AddGang(state, std::move(gang));
  // The next RefreshWitness may assign cells of its customer to the gang.
  state.witness_needs_rebuild_ = true;
}

void RemoveJob(PlacementState& state, JobId job) {
  if (DropJob(state.queue_, job)) return;
  EraseGang(state, job);
}

void RecordTaskResult(PlacementState& state, JobId job, const WorkerId& worker,
                      bool succeeded, Time now) {
  state.now_ = std::max(state.now_, now);
  const auto gang = state.gangs_.find(job);
  if (succeeded && gang != state.gangs_.end()) {
    RecordRunTime(state, gang->second, now);
  }
  const bool changed = RecordOutcome(state.quarantine_, job, worker, succeeded,
                                     CountKnownWorkers(state), now);
  const auto it = state.cluster_.workers_.find(worker);
  if (!changed || it == state.cluster_.workers_.end()) return;
  it->second.quarantined_ = IsWorkerQuarantined(state.quarantine_, worker);
  UpdateWorker(state, it->second);
}

std::string CheckGuarantees(const PlacementState& state, const Table& table) {
  std::uint64_t cells = 0;
  for (const auto& [customer, row] : table.rows_) {
    for (const Cell& cell : row.guaranteed_) cells += cell.count_;
  }
  if (cells > kMaxGuaranteedCells) {
    return fmt::format("{} cells are guaranteed; the limit is {}", cells,
                       kMaxGuaranteedCells);
  }
  if (!HasNewGuarantee(state.table_, table)) return "";
  std::optional<Cluster> copy;
  const Cluster& cluster = UpToDateCluster(state, copy);
  if (cluster.tree_.leaf_count_ == 0) return "";
  Witness witness;
  for (const WorkerEntry* entry : cluster.by_leaf_) {
    const PlacementWorker& worker = entry->worker_;
    const std::int64_t slots = worker.slots_;
    witness.free_for_guarantees_.push_back(
        worker.available_ ? LeafResources{worker.accelerators_.value(), slots}
                          : LeafResources{});
  }
  witness.cells_ = CellsOfTable(table);
  if (Solve(cluster.tree_, witness)) return "";
  std::uint32_t index = 0;
  for (const auto& [customer, row] : table.rows_) {
    const std::string reason =
        ReasonUnbacked(cluster.tree_, witness, CustomerIndex(index++));
    if (reason.empty()) continue;
    return fmt::format("customer \"{}\": {}", customer.value(), reason);
  }
  return "";
}

std::vector<GuaranteeStatus> GuaranteeStatuses(const PlacementState& state) {
  std::optional<Cluster> copy;
  const Cluster& cluster = UpToDateCluster(state, copy);
  std::optional<Witness> fresh;
  if (state.cluster_.tree_changed_ || state.witness_needs_rebuild_) {
    fresh = MakeWitness(state, cluster);
  } else if (state.witness_needs_repair_) {
    fresh = state.witness_;
    Repair(cluster.tree_, *fresh);
  }
  const Witness& witness = fresh ? *fresh : state.witness_;
  std::vector<GuaranteeStatus> statuses;
  std::uint32_t index = 0;
  for (const auto& [customer, row] : state.table_.rows_) {
    GuaranteeStatus status;
    status.customer_ = customer;
    status.reason_ =
        ReasonUnbacked(cluster.tree_, witness, CustomerIndex(index++));
    status.backed_ = status.reason_.empty();
    if (!status.backed_ && cluster.tree_.leaf_count_ == 0) {
      status.reason_ = "no worker is known yet";
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

double Fragmentation(const PlacementState& state) {
  std::optional<Cluster> copy;
  const Cluster& cluster = UpToDateCluster(state, copy);
  return FragmentationOf(cluster.tree_, cluster.free_, state.shapes_);
}

bool IsQuarantined(const PlacementState& state, const WorkerId& worker) {
  return IsWorkerQuarantined(state.quarantine_, worker);
}

bool IsBlamed(const PlacementState& state, JobId job) {
  return IsJobBlamed(state.quarantine_, job);
}

Accelerators FreeAccelerators(const PlacementState& state,
                              const WorkerId& worker) {
  const auto it = state.cluster_.workers_.find(worker);
  if (it == state.cluster_.workers_.end()) return Accelerators(0);
  return Accelerators(
      static_cast<std::uint32_t>(FreeAcceleratorsOn(it->second)));
}

}  // namespace flamingohollow

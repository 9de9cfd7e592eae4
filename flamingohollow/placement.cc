// The placement state and its decisions.
//
// A first version: gangs are placed in order of urgency and arrival on the
// domain with the least room that holds them; nothing is reclaimed yet.
// One decision costs one pass over the workers for each waiting gang.

#include "flamingohollow/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace flamingohollow {
namespace {

struct WorkerEntry {
  PlacementWorker worker_;
  // False while only restored gangs speak of it.
  bool known_ = false;
  std::uint32_t held_ = 0;
  std::uint32_t held_slots_ = 0;
};

struct RunningGang {
  PlacementJob job_;
  std::vector<Slice> slices_;
  bool guaranteed_ = false;
};

using Domain = std::tuple<std::string, std::string, std::string, std::string>;

Domain DomainOf(const PlacementWorker& worker, Adjacency adjacency) {
  Domain domain;
  std::get<0>(domain) = worker.place_.region_.value();
  if (adjacency == Adjacency::kRegion) return domain;
  std::get<1>(domain) = worker.place_.failure_domain_.value();
  if (adjacency == Adjacency::kFailureDomain) return domain;
  std::get<2>(domain) = worker.place_.rack_.value();
  if (adjacency == Adjacency::kRack) return domain;
  std::get<3>(domain) = worker.id_.value();
  return domain;
}

std::uint32_t FreeOn(const WorkerEntry& entry) {
  const std::uint32_t total = entry.worker_.accelerators_.value();
  if (!entry.known_ || !entry.worker_.available_) return 0;
  if (entry.held_ >= total) return 0;
  if (entry.held_slots_ >= entry.worker_.slots_) return 0;
  return total - entry.held_;
}

std::uint32_t GuaranteedTotal(const Row& row) {
  std::uint32_t total = 0;
  for (const Cell& cell : row.guaranteed_) {
    total += cell.count_ * cell.accelerators_.value();
  }
  return total;
}

}  // namespace

struct PlacementState {
  PlacementOptions options_;
  Time started_;
  Table table_;
  std::map<WorkerId, WorkerEntry> workers_;
  std::map<JobId, PlacementJob> waiting_;
  std::map<JobId, RunningGang> running_;
};

void PlacementStateDeleter::operator()(PlacementState* state) const {
  delete state;
}

PlacementPtr MakePlacement(const PlacementOptions& options, Time now) {
  PlacementPtr state(new PlacementState);
  state->options_ = options;
  state->started_ = now;
  return state;
}

namespace {

void Hold(PlacementState& state, const std::vector<Slice>& slices) {
  for (const Slice& slice : slices) {
    WorkerEntry& entry = state.workers_[slice.worker_];
    entry.held_ += slice.accelerators_.value();
    entry.held_slots_ += 1;
  }
}

void Release(PlacementState& state, const std::vector<Slice>& slices) {
  for (const Slice& slice : slices) {
    WorkerEntry& entry = state.workers_[slice.worker_];
    entry.held_ -= slice.accelerators_.value();
    entry.held_slots_ -= 1;
  }
}

// Accelerators that the customer holds inside or beyond its guarantee.
std::uint32_t HeldBy(const PlacementState& state, const CustomerId& customer,
                     bool guaranteed) {
  std::uint32_t held = 0;
  for (const auto& [id, gang] : state.running_) {
    if (gang.job_.customer_ != customer) continue;
    if (gang.guaranteed_ != guaranteed) continue;
    held += gang.job_.accelerators_.value();
  }
  return held;
}

// The largest total of one domain of this kind, over all known workers.
std::uint32_t LargestDomain(const PlacementState& state, Adjacency adjacency) {
  std::map<Domain, std::uint32_t> totals;
  std::uint32_t largest = 0;
  for (const auto& [id, entry] : state.workers_) {
    if (!entry.known_) continue;
    std::uint32_t& total = totals[DomainOf(entry.worker_, adjacency)];
    total += entry.worker_.accelerators_.value();
    largest = std::max(largest, total);
  }
  return largest;
}

// Slices in the domain with the least room that still holds the gang.
std::vector<Slice> FindSlices(const PlacementState& state,
                              const PlacementJob& job) {
  std::map<Domain, std::uint32_t> rooms;
  for (const auto& [id, entry] : state.workers_) {
    const std::uint32_t free = FreeOn(entry);
    if (free > 0) rooms[DomainOf(entry.worker_, job.adjacency_)] += free;
  }
  const std::uint32_t wanted = job.accelerators_.value();
  const Domain* best = nullptr;
  for (const auto& [domain, room] : rooms) {
    if (room < wanted) continue;
    if (best == nullptr || room < rooms.at(*best)) best = &domain;
  }
  std::vector<Slice> slices;
  if (best == nullptr) return slices;
  std::uint32_t left = wanted;
  for (const auto& [id, entry] : state.workers_) {
    const std::uint32_t take = std::min(left, FreeOn(entry));
    if (take == 0 || DomainOf(entry.worker_, job.adjacency_) != *best) continue;
    slices.push_back({id, entry.worker_.incarnation_, Accelerators(take)});
    left -= take;
    if (left == 0) break;
  }
  return slices;
}

struct OwnLimits {
  bool fits_guarantee_ = false;
  bool fits_borrowing_ = false;
};

OwnLimits CheckLimits(const PlacementState& state, const PlacementJob& job) {
  OwnLimits limits;
  const auto row = state.table_.rows_.find(job.customer_);
  if (row == state.table_.rows_.end()) return limits;
  const std::uint32_t wanted = job.accelerators_.value();
  limits.fits_guarantee_ = HeldBy(state, job.customer_, true) + wanted <=
                           GuaranteedTotal(row->second);
  limits.fits_borrowing_ =
      job.reclaimable_ &&
      HeldBy(state, job.customer_, false) + wanted <= row->second.max_borrowed_;
  return limits;
}

std::string ReasonNeverFits(const PlacementState& state,
                            const PlacementJob& job) {
  const std::uint32_t largest = LargestDomain(state, job.adjacency_);
  if (largest == 0 || job.accelerators_.value() <= largest) return "";
  return fmt::format("{} accelerators do not fit in one {}: the largest has {}",
                     job.accelerators_.value(), AdjacencyName(job.adjacency_),
                     largest);
}

}  // namespace

void SetTable(PlacementState& state, const Table& table) {
  state.table_ = table;
}

void SetWorker(PlacementState& state, const PlacementWorker& worker,
               Time /*now*/) {
  WorkerEntry& entry = state.workers_[worker.id_];
  entry.worker_ = worker;
  entry.known_ = true;
}

void RemoveWorker(PlacementState& state, const WorkerId& worker, Time /*now*/) {
  const auto it = state.workers_.find(worker);
  if (it != state.workers_.end()) it->second.known_ = false;
}

void EnqueueJob(PlacementState& state, const PlacementJob& job) {
  RemoveJob(state, job.id_);
  state.waiting_[job.id_] = job;
}

void RestoreRunningJob(PlacementState& state, const PlacementJob& job,
                       const std::vector<Slice>& slices) {
  RemoveJob(state, job.id_);
  Hold(state, slices);
  const bool guaranteed = CheckLimits(state, job).fits_guarantee_;
  state.running_[job.id_] = {job, slices, guaranteed};
}

void RemoveJob(PlacementState& state, JobId job) {
  state.waiting_.erase(job);
  const auto it = state.running_.find(job);
  if (it == state.running_.end()) return;
  Release(state, it->second.slices_);
  state.running_.erase(it);
}

void RecordTaskResult(PlacementState& /*state*/, JobId /*job*/,
                      const WorkerId& /*worker*/, bool /*succeeded*/,
                      Time /*now*/) {}

PlacementDecisions Decide(PlacementState& state, Time now) {
  PlacementDecisions decisions;
  const bool settled = now - state.started_ >= state.options_.settling_time_;
  std::vector<const PlacementJob*> order;
  for (const auto& [id, job] : state.waiting_) order.push_back(&job);
  std::stable_sort(order.begin(), order.end(),
                   [](const PlacementJob* a, const PlacementJob* b) {
                     return std::tuple(!a->urgent_, a->queued_at_, a->id_) <
                            std::tuple(!b->urgent_, b->queued_at_, b->id_);
                   });
  for (const PlacementJob* waiting : order) {
    const PlacementJob job = *waiting;
    if (settled) {
      const std::string reason = ReasonNeverFits(state, job);
      if (!reason.empty()) {
        decisions.refuse_.push_back({job.id_, reason});
        state.waiting_.erase(job.id_);
        continue;
      }
    }
    const OwnLimits limits = CheckLimits(state, job);
    if (!limits.fits_guarantee_ && !limits.fits_borrowing_) continue;
    std::vector<Slice> slices = FindSlices(state, job);
    if (slices.empty()) continue;
    Hold(state, slices);
    state.waiting_.erase(job.id_);
    state.running_[job.id_] = {job, slices, limits.fits_guarantee_};
    decisions.place_.push_back(
        {job.id_, std::move(slices), limits.fits_guarantee_});
  }
  return decisions;
}

std::string CheckGuarantees(const PlacementState& state, const Table& table) {
  std::uint32_t total = 0;
  for (const auto& [id, entry] : state.workers_) {
    if (entry.known_) total += entry.worker_.accelerators_.value();
  }
  if (total == 0) return "";
  std::uint32_t wanted = 0;
  for (const auto& [customer, row] : table.rows_) {
    wanted += GuaranteedTotal(row);
    for (const Cell& cell : row.guaranteed_) {
      const std::uint32_t largest = LargestDomain(state, cell.adjacency_);
      if (cell.accelerators_.value() <= largest) continue;
      return fmt::format(
          "customer \"{}\": {} accelerators do not fit in one {}: the largest "
          "has {}",
          customer.value(), cell.accelerators_.value(),
          AdjacencyName(cell.adjacency_), largest);
    }
  }
  if (wanted <= total) return "";
  return fmt::format("{} accelerators are guaranteed and {} are there", wanted,
                     total);
}

std::vector<GuaranteeStatus> GuaranteeStatuses(const PlacementState& state) {
  const std::string reason = CheckGuarantees(state, state.table_);
  const bool known =
      std::any_of(state.workers_.begin(), state.workers_.end(),
                  [](const auto& entry) { return entry.second.known_; });
  std::vector<GuaranteeStatus> statuses;
  for (const auto& [customer, row] : state.table_.rows_) {
    const bool none = row.guaranteed_.empty();
    const bool backed = none || (known && reason.empty());
    const std::string why = known ? reason : "no worker is known yet";
    statuses.push_back({customer, backed, backed ? "" : why});
  }
  return statuses;
}

double Fragmentation(const PlacementState& /*state*/) { return 0; }

bool IsQuarantined(const PlacementState& /*state*/,
                   const WorkerId& /*worker*/) {
  return false;
}

Accelerators FreeAccelerators(const PlacementState& state,
                              const WorkerId& worker) {
  const auto it = state.workers_.find(worker);
  if (it == state.workers_.end()) return Accelerators(0);
  return Accelerators(FreeOn(it->second));
}

}  // namespace flamingohollow

// Chooses reserved domains, and limits what others may use of them.

#include "flamingohollow/reservation.h"

#include <algorithm>
#include <utility>

namespace flamingohollow {
namespace {

// A job reserves a domain only after it has waited this long. After a shorter
// wait, the idle domain would cost the other jobs more than the wait costs.
constexpr Duration kReserveAfter = Duration(15 * 60 * 1000);
constexpr Duration kUndeclaredRunTime = Duration(60 * 60 * 1000);
// Weight of the old ratio when a sample is added.
constexpr double kOldWeight = 0.8;
constexpr double kMinRatio = 0.05;
constexpr double kMaxRatio = 20;

Time ExpectedEnd(const PlacementState& state, const Gang& gang, Time now) {
  const Time end = gang.started_at_ + ExpectedRunTime(state, gang.job_);
  return std::max(end, now);
}

// When `wanted` accelerators are expected to be free in the domain.
// Returns nullopt when the domain has fewer in total.
std::optional<Time> ExpectedStart(const PlacementState& state, NodeIndex node,
                                  std::int64_t wanted, Time now) {
  std::int64_t free = state.cluster_.free_[node.value()];
  std::vector<std::pair<Time, std::int64_t>> ends;
  const TreeNode& domain = GetNode(state.cluster_.tree_, node);
  for (std::uint32_t i = domain.first_; i < domain.end_; ++i) {
    const WorkerEntry& entry = *state.cluster_.by_leaf_[i];
    if (!IsSchedulable(entry)) continue;
    for (const Gang* gang : entry.gangs_) {
      for (std::size_t s = 0; s < gang->slices_.size(); ++s) {
        if (gang->entries_[s] != &entry) continue;
        ends.emplace_back(ExpectedEnd(state, *gang, now),
                          gang->slices_[s].accelerators_.value());
      }
    }
  }
  std::sort(ends.begin(), ends.end());
  Time start = now;
  for (const auto& [end, size] : ends) {
    if (free >= wanted) break;
    free += size;
    start = end;
  }
  return free >= wanted ? std::optional(start) : std::nullopt;
}

bool IsReserved(const PlacementState& state, NodeIndex node) {
  return std::any_of(state.reservations_.begin(), state.reservations_.end(),
                     [&](const Reservation& reservation) {
                       const CapacityTree& tree = state.cluster_.tree_;
                       return IsWithin(tree, node, reservation.node_) ||
                              IsWithin(tree, reservation.node_, node);
                     });
}

void ExcludeDomain(const CapacityTree& tree, NodeIndex node, NodeSums& free) {
  const TreeNode& domain = GetNode(tree, node);
  for (std::uint32_t i = domain.first_; i < domain.end_; ++i) {
    AddToPath(tree, free, NodeIndex(i), -free[i]);
  }
}

}  // namespace

void RecordRunTime(PlacementState& state, const Gang& gang, Time now) {
  const std::int64_t declared = gang.job_.run_time_.ms();
  if (declared <= 0) return;
  const auto actual = static_cast<double>((now - gang.started_at_).ms());
  const double sample =
      std::clamp(actual / static_cast<double>(declared), kMinRatio, kMaxRatio);
  const auto [it, added] =
      state.run_time_ratios_.try_emplace(gang.job_.customer_, sample);
  if (!added) it->second = kOldWeight * it->second + (1 - kOldWeight) * sample;
}

Duration ExpectedRunTime(const PlacementState& state, const PlacementJob& job) {
  if (job.run_time_.ms() <= 0) return kUndeclaredRunTime;
  const auto it = state.run_time_ratios_.find(job.customer_);
  if (it == state.run_time_ratios_.end()) return job.run_time_;
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(job.run_time_.ms()) * it->second));
}

const Reservation* ReservationOf(const PlacementState& state, JobId job) {
  for (const Reservation& reservation : state.reservations_) {
    if (reservation.job_ == job) return &reservation;
  }
  return nullptr;
}

void Reserve(PlacementState& state, const PlacementJob& job, Time now) {
  if (!state.options_.reservations_ || job.accelerators_.value() == 0) return;
  if (state.reservations_.size() >= kMaxReservations) return;
  if (now - job.queued_at_ < kReserveAfter) return;
  if (ReservationOf(state, job.id_) != nullptr) return;
  const std::int64_t wanted = job.accelerators_.value();
  std::optional<Reservation> best;
  for (const NodeIndex node :
       state.cluster_.tree_.levels_[LevelIndex(job.adjacency_)]) {
    if (IsReserved(state, node)) continue;
    const std::optional<Time> start = ExpectedStart(state, node, wanted, now);
    if (!start || (best && *start >= best->start_)) continue;
    best = Reservation{job.id_, node, *start};
  }
  if (best) state.reservations_.push_back(*best);
}

void DropStaleReservations(PlacementState& state) {
  std::erase_if(state.reservations_, [&](const Reservation& reservation) {
    return !state.queue_.jobs_.contains(reservation.job_);
  });
}

NodeSums FreeOutsideReservations(const PlacementState& state) {
  NodeSums free = state.cluster_.free_;
  for (const Reservation& reservation : state.reservations_) {
    ExcludeDomain(state.cluster_.tree_, reservation.node_, free);
  }
  return free;
}

NodeSums FreeForBorrower(const PlacementState& state, const PlacementJob& job,
                         Time now) {
  NodeSums free = state.cluster_.free_;
  const Time end = now + ExpectedRunTime(state, job);
  for (const Reservation& reservation : state.reservations_) {
    if (reservation.job_ == job.id_ || end <= reservation.start_) continue;
    ExcludeDomain(state.cluster_.tree_, reservation.node_, free);
  }
  return free;
}

NodeSums ExcludeFailedWorkers(const PlacementState& state,
                              const PlacementJob& job, NodeSums free) {
  const CapacityTree& tree = state.cluster_.tree_;
  for (const WorkerId& worker : WorkersAvoidedBy(state.quarantine_, job.id_)) {
    const auto leaf = tree.leaves_.find(worker);
    if (leaf == tree.leaves_.end()) continue;
    ExcludeDomain(tree, NodeOf(leaf->second), free);
  }
  return free;
}

std::optional<JobId> ReservationOwner(const PlacementState& state,
                                      const std::vector<LeafTake>& takes) {
  for (const Reservation& reservation : state.reservations_) {
    for (const LeafTake& take : takes) {
      if (IsWithin(state.cluster_.tree_, NodeOf(take.leaf_),
                   reservation.node_)) {
        return reservation.job_;
      }
    }
  }
  return std::nullopt;
}

}  // namespace flamingohollow

// Decide: one step of decisions.
//
// 1. Ends expired quarantines and updates the tree and the witness.
// 2. Requeues planned gangs whose plan is no longer valid, and starts those
//    that fit on their workers now.
// 3. After the settling time, refuses jobs that can never run.
// 4. Tries the groups of waiting jobs by rank: first the urgent ones, then all;
//    each time on guaranteed cells first, then as borrowers. A group whose job
//    can't be placed is skipped for the rest of the phase: nothing is freed
//    meanwhile, so a retry can't succeed.
//
// Once kMaxPlacements gangs have been started in a step, no further groups are
// tried, and `more_` is set if some were left.

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "flamingohollow/feasibility.h"
#include "flamingohollow/guarantee.h"
#include "flamingohollow/guaranteed_search.h"
#include "flamingohollow/placement_state.h"
#include "flamingohollow/reservation.h"

namespace flamingohollow {
namespace {

constexpr std::size_t kMaxPlacements = 64;
// A borrower that has waited for kReclaimLaterJobsAfter may reclaim borrowers
// that were queued later. Such reclaims are at least kReclaimLaterJobsInterval
// apart, as each one loses work. The oldest job is tried first, so no waiting
// job is starved.
constexpr Duration kReclaimLaterJobsAfter = Duration(120 * 60 * 1000);
constexpr Duration kReclaimLaterJobsInterval = Duration(15 * 60 * 1000);

void EndExpiredQuarantines(PlacementState& state) {
  for (const WorkerId& worker : EndQuarantines(state.quarantine_, state.now_)) {
    const auto it = state.cluster_.workers_.find(worker);
    if (it == state.cluster_.workers_.end()) continue;
    it->second.quarantined_ = false;
    UpdateWorker(state, it->second);
  }
}

void RequeueGang(PlacementState& state, JobId id) {
  const PlacementJob job = state.gangs_.at(id).job_;
  EraseGang(state, id);
  AddJob(state.queue_, job);
}

// A plan is invalid when one of its workers is not schedulable or has
// restarted, or when a gang that may not be reclaimed has lost its cells to a
// table change.
bool IsPlanInvalid(const Gang& gang) {
  if (!IsGuaranteed(gang) && !gang.job_.reclaimable_) return true;
  for (std::size_t i = 0; i < gang.slices_.size(); ++i) {
    const WorkerEntry& entry = *gang.entries_[i];
    if (!IsSchedulable(entry)) return true;
    if (entry.worker_.incarnation_ != gang.slices_[i].incarnation_) return true;
  }
  return false;
}

// True when on each of the gang's workers the gangs, including this one, hold
// no more accelerators and slots than the worker has, which means that the
// reclaimed gangs have left.
bool FitsOnWorkers(const Gang& gang) {
  return std::all_of(gang.entries_.begin(), gang.entries_.end(),
                     [](const WorkerEntry* entry) {
                       return entry->held_.accelerators_ <=
                                  entry->worker_.accelerators_.value() &&
                              entry->held_.slots_ <= entry->worker_.slots_;
                     });
}

void EmitPlace(const Gang& gang, PlacementDecisions& decisions) {
  decisions.place_.push_back({gang.job_.id_, gang.slices_, IsGuaranteed(gang)});
}

void RequeueInvalidPlans(PlacementState& state) {
  const std::set<JobId> planned = state.planned_;
  for (const JobId id : planned) {
    if (IsPlanInvalid(state.gangs_.at(id))) RequeueGang(state, id);
  }
}

void StartReadyPlans(PlacementState& state, PlacementDecisions& decisions) {
  const std::set<JobId> planned = state.planned_;
  for (const JobId id : planned) {
    Gang& gang = state.gangs_.at(id);
    if (!FitsOnWorkers(gang)) continue;
    gang.state_ = GangState::kRunning;
    gang.started_at_ = state.now_;
    state.planned_.erase(id);
    EmitPlace(gang, decisions);
  }
}

void RefuseNeverFits(PlacementState& state, PlacementDecisions& decisions) {
  if (state.now_ - state.started_at_ < state.options_.settling_time_) return;
  std::vector<std::pair<JobId, std::string>> refused;
  for (const auto& [key, jobs] : state.queue_.groups_) {
    const std::string reason = ReasonNeverFits(state.cluster_, state.table_,
                                               FirstOf(state.queue_, key));
    if (reason.empty()) continue;
    for (const auto& [queued_at, id] : jobs) refused.emplace_back(id, reason);
  }
  for (auto& [id, reason] : refused) {
    DropJob(state.queue_, id);
    decisions.refuse_.push_back({id, std::move(reason)});
  }
}

// Reclaims the victims for `job`; those that have not started are requeued.
void ReclaimAll(PlacementState& state, const std::vector<Gang*>& victims,
                JobId job, PlacementDecisions& decisions) {
  for (Gang* victim : victims) {
    const JobId id = victim->job_.id_;
    if (victim->state_ == GangState::kPlanned) {
      RequeueGang(state, id);
      continue;
    }
    MarkReclaimed(state, *victim);
    decisions.reclaim_.push_back({id, job});
  }
}

// Assigns the takes to the job, which starts now or when its workers have
// enough free.
void AssignTakes(PlacementState& state, const PlacementJob& job,
                 const std::vector<LeafTake>& takes, std::vector<CellUse> uses,
                 PlacementDecisions& decisions) {
  Gang gang;
  gang.job_ = job;
  gang.slices_ = SlicesOf(state.cluster_, takes);
  gang.uses_ = std::move(uses);
  gang.started_at_ = state.now_;
  gang.state_ = GangState::kPlanned;
  DropJob(state.queue_, job.id_);
  DropStaleReservations(state);
  if (gang.uses_.empty() && !job.urgent_) {
    gang.backfills_for_ = ReservationOwner(state, takes);
  }
  Gang& added = AddGang(state, std::move(gang));
  if (!FitsOnWorkers(added)) return;
  added.state_ = GangState::kRunning;
  state.planned_.erase(job.id_);
  EmitPlace(added, decisions);
}

bool PlaceGuaranteed(PlacementState& state, const PlacementJob& job,
                     PlacementDecisions& decisions) {
  std::optional<GuaranteedPlan> plan = PlanGuaranteed(state, job, state.now_);
  if (!plan) return false;
  ReclaimAll(state, plan->victims_, job.id_, decisions);
  AssignTakes(state, job, plan->takes_, std::move(plan->uses_), decisions);
  state.witness_ = std::move(plan->witness_);
  return true;
}

// Places a job without accelerators: one slot, on the worker with the most free
// slots.
bool PlaceSlotOnly(PlacementState& state, const PlacementJob& job,
                   PlacementDecisions& decisions) {
  const Cluster& cluster = state.cluster_;
  std::optional<Leaf> best;
  for (std::uint32_t i = 0; i < cluster.tree_.leaf_count_; ++i) {
    const std::int64_t slots = cluster.free_slots_[i];
    // Each free accelerator needs a slot for the job that will use it.
    if (slots <= cluster.free_[i]) continue;
    if (!best || slots > cluster.free_slots_[best->value()]) best = Leaf(i);
  }
  if (!best) return false;
  if (!job.reclaimable_) {
    Witness trial = state.witness_;
    trial.free_for_guarantees_[best->value()].slots_ -= 1;
    if (!Repair(cluster.tree_, trial)) return false;
    state.witness_ = std::move(trial);
  }
  AssignTakes(state, job, {{*best, 0}}, {}, decisions);
  return true;
}

bool MayBorrow(const PlacementState& state, const PlacementJob& job) {
  if (!job.reclaimable_) return false;
  const auto row = state.table_.rows_.find(job.customer_);
  if (row == state.table_.rows_.end()) return false;
  const auto usage = state.usage_.find(job.customer_);
  const std::int64_t borrowed =
      usage == state.usage_.end() ? 0 : usage->second.borrowed_;
  return borrowed + job.accelerators_.value() <= row->second.max_borrowed_;
}

// Borrows in the one of `domains` where the reclaim costs least.
bool BorrowByReclaim(PlacementState& state, const PlacementJob& job,
                     const Eligibility& eligibility,
                     const std::vector<NodeIndex>& domains,
                     PlacementDecisions& decisions) {
  const std::int64_t wanted = job.accelerators_.value();
  std::optional<ReclaimPlan> best;
  for (const NodeIndex node : domains) {
    if (state.cluster_.free_with_reclaim_[node.value()] < wanted) continue;
    std::optional<ReclaimPlan> plan =
        PlanReclaim(state.cluster_, node, wanted, eligibility,
                    state.options_.policy_, state.now_);
    if (!plan || (best && best->cost_ <= plan->cost_)) continue;
    best = std::move(plan);
  }
  if (!best) return false;
  ReclaimAll(state, best->victims_, job.id_, decisions);
  AssignTakes(state, job, best->takes_, {}, decisions);
  return true;
}

// Reclaims borrowers that were queued later than `job`. A reclaimed job keeps
// its queue time, so two gangs can't reclaim each other in turn.
bool ReclaimLaterJobs(PlacementState& state, const PlacementJob& job,
                      PlacementDecisions& decisions) {
  if (state.now_ - job.queued_at_ < kReclaimLaterJobsAfter) return false;
  if (state.now_ < state.next_reclaim_later_jobs_at_) return false;
  const auto& domains =
      state.cluster_.tree_.levels_[LevelIndex(job.adjacency_)];
  if (!BorrowByReclaim(state, job, QueuedAfter(job.queued_at_), domains,
                       decisions)) {
    return false;
  }
  state.next_reclaim_later_jobs_at_ = state.now_ + kReclaimLaterJobsInterval;
  return true;
}

bool PlaceBorrower(PlacementState& state, const PlacementJob& job,
                   PlacementDecisions& decisions) {
  if (job.accelerators_.value() == 0) {
    return PlaceSlotOnly(state, job, decisions);
  }
  if (!MayBorrow(state, job)) return false;
  FitRequest request;
  request.accelerators_ = job.accelerators_.value();
  request.adjacency_ = job.adjacency_;
  const NodeSums free = job.urgent_ ? state.cluster_.free_
                                    : FreeForBorrower(state, job, state.now_);
  std::vector<Fit> fits =
      FindFits(state.cluster_.tree_, ExcludeFailedWorkers(state, job, free),
               state.shapes_, state.options_.policy_, request);
  if (fits.empty()) {
    fits = FindFits(state.cluster_.tree_, free, state.shapes_,
                    state.options_.policy_, request);
  }
  if (!fits.empty()) {
    AssignTakes(state, job, fits.front().takes_, {}, decisions);
    return true;
  }
  if (job.urgent_) {
    return BorrowByReclaim(
        state, job, NotUrgent(),
        state.cluster_.tree_.levels_[LevelIndex(job.adjacency_)], decisions);
  }
  const Reservation* own_reservation = ReservationOf(state, job.id_);
  if (own_reservation != nullptr &&
      BorrowByReclaim(state, job, BackfillsOf(job.id_),
                      {own_reservation->node_}, decisions)) {
    return true;
  }
  if (ReclaimLaterJobs(state, job, decisions)) return true;
  Reserve(state, job, state.now_);
  return false;
}

// The customer's dominant share of borrowed accelerators and slots, divided by
// its weight.
double WeightedShare(const PlacementState& state, const CustomerId& customer,
                     const Usage& totals) {
  const auto usage = state.usage_.find(customer);
  const auto row = state.table_.rows_.find(customer);
  if (usage == state.usage_.end() || row == state.table_.rows_.end()) return 0;
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  const double dominant =
      std::max(share(usage->second.borrowed_, totals.borrowed_),
               share(usage->second.borrowed_slots_, totals.borrowed_slots_));
  return dominant / row->second.weight_;
}

// All accelerators and slots of the schedulable workers.
Usage TotalCapacity(const Cluster& cluster) {
  Usage totals;
  for (const WorkerEntry* entry : cluster.by_leaf_) {
    if (!IsSchedulable(*entry)) continue;
    totals.borrowed_ += entry->worker_.accelerators_.value();
    totals.borrowed_slots_ += entry->worker_.slots_;
  }
  return totals;
}

using PlaceFunction = bool (*)(PlacementState&, const PlacementJob&,
                               PlacementDecisions&);

// Tries the groups of waiting jobs by rank with one kind of placement.
class Phase {
 public:
  Phase(PlacementState& state, const Usage& totals, PlaceFunction place,
        PlacementDecisions& decisions)
      : state_(state), totals_(totals), place_(place), decisions_(decisions) {}

  void Run(bool urgent_only) {
    for (const auto& [key, jobs] : state_.queue_.groups_) {
      if (key.urgent_ || !urgent_only) by_rank_.emplace(Rank(key), key);
    }
    while (!by_rank_.empty()) {
      if (decisions_.place_.size() >= kMaxPlacements) {
        decisions_.more_ = true;
        return;
      }
      const auto next = by_rank_.extract(by_rank_.begin());
      TryGroup(next.value().first, next.value().second);
    }
  }

 private:
  GroupRank Rank(const GroupKey& key) const {
    return RankOf(FirstOf(state_.queue_, key),
                  WeightedShare(state_, key.customer_, totals_), state_.now_);
  }

  void TryGroup(const GroupRank& rank, const GroupKey& key) {
    // The rank is outdated if a placement has changed the customer's share.
    const GroupRank current = Rank(key);
    if (current != rank) {
      by_rank_.emplace(current, key);
      return;
    }
    const PlacementJob job = FirstOf(state_.queue_, key);
    if (!place_(state_, job, decisions_)) return;
    if (state_.queue_.groups_.contains(key)) by_rank_.emplace(Rank(key), key);
  }

  PlacementState& state_;
  const Usage& totals_;
  PlaceFunction place_;
  PlacementDecisions& decisions_;
  std::set<std::pair<GroupRank, GroupKey>> by_rank_;
};

}  // namespace

PlacementDecisions Decide(PlacementState& state, Time now) {
  state.now_ = std::max(state.now_, now);
  PlacementDecisions decisions;
  EndExpiredQuarantines(state);
  RefreshWitness(state);
  RequeueInvalidPlans(state);
  // The requeued gangs have freed their cells.
  RefreshWitness(state);
  StartReadyPlans(state, decisions);
  RefuseNeverFits(state, decisions);
  DropStaleReservations(state);
  const Usage totals = TotalCapacity(state.cluster_);
  Phase(state, totals, PlaceGuaranteed, decisions).Run(true);
  Phase(state, totals, PlaceBorrower, decisions).Run(true);
  Phase(state, totals, PlaceGuaranteed, decisions).Run(false);
  Phase(state, totals, PlaceBorrower, decisions).Run(false);
  return decisions;
}

}  // namespace flamingohollow

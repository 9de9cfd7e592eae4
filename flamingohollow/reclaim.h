// Chooses the borrowers to reclaim for a gang, and no more than needed.
//
// The victims are as few gangs as can free the missing accelerators of a
// domain: the gangs that free the most first, and as the last one, among those
// that suffice alone, the gang that loses the least work. No smaller set can
// suffice, as the largest gangs come first. Once the gang's workers are
// chosen, victims that are not needed to free these workers are dropped. Cost:
// O(B log B) for B borrowers in the domain.

#ifndef FLAMINGOHOLLOW_RECLAIM_H_
#define FLAMINGOHOLLOW_RECLAIM_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/cluster.h"
#include "flamingohollow/fit.h"

namespace flamingohollow {

// Which borrowers may be reclaimed. Guaranteed gangs never are.
struct Eligibility {
  // Also borrowers whose job is urgent.
  bool include_urgent_ = false;
  // If set, only gangs that backfill this waiting job's reservation; the other
  // fields are then ignored.
  std::optional<JobId> only_backfills_of_;
  // If set, only gangs whose job was queued after this time.
  std::optional<Time> queued_after_;
};

inline Eligibility AnyBorrower() { return {true, std::nullopt, std::nullopt}; }
inline Eligibility NotUrgent() { return {false, std::nullopt, std::nullopt}; }
inline Eligibility BackfillsOf(JobId job) { return {true, job, std::nullopt}; }
inline Eligibility QueuedAfter(Time at) { return {false, std::nullopt, at}; }

// Compares by the number of gangs, then by accelerator milliseconds lost.
struct ReclaimCost {
  std::size_t gangs_ = 0;
  std::int64_t work_lost_ = 0;

  friend auto operator<=>(const ReclaimCost&, const ReclaimCost&) = default;
};

struct ReclaimPlan {
  std::vector<LeafTake> takes_;
  std::vector<Gang*> victims_;
  ReclaimCost cost_;
};

// Plans which accelerators in `node` to take, `wanted` in total, and whom to
// reclaim for them. Returns nullopt when reclaiming all eligible borrowers
// there would not suffice.
std::optional<ReclaimPlan> PlanReclaim(const Cluster& cluster, NodeIndex node,
                                       std::int64_t wanted,
                                       const Eligibility& eligibility,
                                       PlacementPolicy policy, Time now);

// Plans the victims for given takes. Returns nullopt when reclaiming all
// eligible borrowers would not suffice.
std::optional<ReclaimPlan> PlanReclaimFor(const Cluster& cluster,
                                          std::vector<LeafTake> takes,
                                          const Eligibility& eligibility,
                                          Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RECLAIM_H_

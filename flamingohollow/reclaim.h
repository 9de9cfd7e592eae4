// Which borrowers give way, and no more of them than needed.
//
// In a domain, the accelerators that are missing are covered by the fewest
// gangs: the largest first, and as the last one the gang whose stop loses the
// least work among those that suffice. With as many gangs as the largest ones
// need, no smaller set can suffice. Then every gang that the chosen workers do
// not need after all is let off. Cost: O(B log B) for B borrowers there.

#ifndef FLAMINGOHOLLOW_RECLAIM_H_
#define FLAMINGOHOLLOW_RECLAIM_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "flamingohollow/cluster.h"
#include "flamingohollow/fit.h"

namespace flamingohollow {

// Which borrowers may be taken back. Guaranteed gangs never are.
struct Eligibility {
  // Also borrowers whose job is urgent.
  bool urgent_too_ = false;
  // Only gangs that fill in on this waiting gang's reservation.
  std::optional<JobId> only_fillers_of_;
  // Only gangs whose job came into the queue after this time.
  std::optional<Time> queued_after_;
};

inline Eligibility AnyBorrower() { return {true, std::nullopt, std::nullopt}; }
inline Eligibility NotUrgent() { return {false, std::nullopt, std::nullopt}; }
inline Eligibility FillersOf(JobId job) { return {true, job, std::nullopt}; }
inline Eligibility QueuedAfter(Time at) { return {false, std::nullopt, at}; }

// How much a set of victims costs.
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

// The cheapest way to have `wanted` accelerators in `node`; none when even all
// eligible borrowers are not enough.
std::optional<ReclaimPlan> PlanReclaim(const Cluster& cluster, NodeIndex node,
                                       std::int64_t wanted,
                                       const Eligibility& eligibility,
                                       PlacementPolicy policy, Time now);

// The victims for given takes; none when they are not enough.
std::optional<ReclaimPlan> PlanReclaimFor(const Cluster& cluster,
                                          std::vector<LeafTake> takes,
                                          const Eligibility& eligibility,
                                          Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_RECLAIM_H_

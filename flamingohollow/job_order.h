// The queue of waiting jobs and its order.
//
// Jobs of a customer with the same requirements form a group. When the first
// job of a group can't be placed, none of the group can, so a burst of equal
// jobs needs only one placement try per decision. Adding or removing a job
// takes O(log N).
//
// Order of groups: urgent ones first; then those whose first job has waited
// longer than the ageing limit, oldest first; then the customer with the
// smallest weighted dominant share; then the oldest.

#ifndef FLAMINGOHOLLOW_JOB_ORDER_H_
#define FLAMINGOHOLLOW_JOB_ORDER_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "flamingohollow/placement.h"

namespace flamingohollow {

// The properties that decide whether a job can be placed. Jobs with equal keys
// form a group.
struct GroupKey {
  CustomerId customer_;
  bool urgent_ = false;
  Accelerators accelerators_;
  Adjacency adjacency_ = Adjacency::kRegion;
  bool reclaimable_ = false;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

GroupKey KeyOf(const PlacementJob& job);

struct JobQueue {
  std::map<JobId, PlacementJob> jobs_;
  // Invariant: each job is in the group of its key, and no group is empty.
  std::map<GroupKey, std::set<std::pair<Time, JobId>>> groups_;
};

void AddJob(JobQueue& queue, const PlacementJob& job);
// Returns false when the job is not in the queue.
bool DropJob(JobQueue& queue, JobId job);
// The group's oldest job. The group must exist.
const PlacementJob& FirstOf(const JobQueue& queue, const GroupKey& key);

// A job that has waited this long is placed before younger jobs, regardless of
// its customer's share.
inline constexpr Duration kAgeingLimit = Duration(30 * 60 * 1000);

// The sort key of a group; the smallest is placed first.
struct GroupRank {
  bool not_urgent_ = true;
  bool not_aged_ = true;
  // 0 for aged groups, which are sorted by age alone.
  double share_ = 0;
  Time queued_at_;
  JobId job_;

  friend auto operator<=>(const GroupRank&, const GroupRank&) = default;
};

// `share` is the customer's dominant share divided by its weight.
GroupRank RankOf(const PlacementJob& first, double share, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_ORDER_H_

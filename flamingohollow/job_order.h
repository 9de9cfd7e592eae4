// The waiting jobs, and who comes next.
//
// Jobs of a customer with the same shape form a group, so that a burst of
// equal jobs costs one look a decision: when its first job finds no place, none
// of the group does. Adding and removing a job cost O(log N).
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

// What decides whether a job of a customer can be placed.
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
// False when the job is not waiting.
bool DropJob(JobQueue& queue, JobId job);
// The group's first job.
const PlacementJob& FirstOf(const JobQueue& queue, const GroupKey& key);

// A job that has waited this long goes before the shares.
inline constexpr Duration kAgeingLimit = Duration(30 * 60 * 1000);

// A group's place in the order; smaller goes first.
struct GroupRank {
  bool not_urgent_ = true;
  bool not_aged_ = true;
  // 0 for aged groups, which go by age alone.
  double share_ = 0;
  Time queued_at_;
  JobId job_;

  friend auto operator<=>(const GroupRank&, const GroupRank&) = default;
};

// `share` is the customer's dominant share over its weight.
GroupRank RankOf(const PlacementJob& first, double share, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_JOB_ORDER_H_

// The queue of waiting jobs and its order: see job_order.h.

#include "flamingohollow/job_order.h"

namespace flamingohollow {

GroupKey KeyOf(const PlacementJob& job) {
  return {job.customer_, job.urgent_, job.accelerators_, job.adjacency_,
          job.reclaimable_};
}

void AddJob(JobQueue& queue, const PlacementJob& job) {
  DropJob(queue, job.id_);
  queue.jobs_.emplace(job.id_, job);
  queue.groups_[KeyOf(job)].emplace(job.queued_at_, job.id_);
}

bool DropJob(JobQueue& queue, JobId job) {
  const auto it = queue.jobs_.find(job);
  if (it == queue.jobs_.end()) return false;
  const auto group = queue.groups_.find(KeyOf(it->second));
  group->second.erase({it->second.queued_at_, job});
  if (group->second.empty()) queue.groups_.erase(group);
  queue.jobs_.erase(it);
  return true;
}

const PlacementJob& FirstOf(const JobQueue& queue, const GroupKey& key) {
  const auto& group = queue.groups_.at(key);
  return queue.jobs_.at(group.begin()->second);
}

GroupRank RankOf(const PlacementJob& first, double share, Time now) {
  GroupRank rank;
  rank.not_urgent_ = !first.urgent_;
  rank.not_aged_ = now - first.queued_at_ < kAgeingLimit;
  rank.share_ = rank.not_aged_ ? share : 0;
  rank.queued_at_ = first.queued_at_;
  rank.job_ = first.id_;
  return rank;
}

}  // namespace flamingohollow

// The queued phase: see job_queue.h.

#include "flamingohollow/job_queue.h"

#include <algorithm>

#include "flamingohollow/job_outcome.h"
#include "flamingohollow/job_propose.h"

namespace flamingohollow {
namespace {

Duration BackOffAfter(std::uint32_t refusals) {
  if (refusals <= 1) return Duration(0);
  const std::uint32_t doublings = std::min(refusals - 2, 10U);
  return std::min(kFirstBackOff * (std::int64_t{1} << doublings), kMaxBackOff);
}

}  // namespace

PlacementJob PlacementJobOf(const LiveJob& job) {
  PlacementJob placed;
  placed.id_ = job.id_;
  placed.customer_ = job.spec_.customer_;
  placed.accelerators_ = job.spec_.accelerators_;
  placed.adjacency_ = job.spec_.adjacency_;
  placed.urgent_ = job.spec_.urgent_;
  placed.reclaimable_ = job.spec_.idempotent_ || job.spec_.reclaimable_;
  placed.run_time_ = job.spec_.run_time_;
  placed.queued_at_ = job.queued_at_;
  return placed;
}

void AddDeadline(Step& step, const LiveJob& job) {
  if (job.spec_.deadline_ <= Duration(0)) return;
  step.controller_.deadlines_.emplace(job.queued_at_ + job.spec_.deadline_,
                                      job.id_);
}

void RemoveDeadline(Step& step, const LiveJob& job) {
  step.controller_.deadlines_.erase(
      {job.queued_at_ + job.spec_.deadline_, job.id_});
}

void Queue(Step& step, LiveJob& job) {
  job.phase_ = JobPhase::kQueued;
  job.reclaim_requested_ = false;
  const Duration back_off = BackOffAfter(job.refusals_);
  if (back_off > Duration(0)) {
    step.controller_.back_offs_.emplace(step.now_ + back_off, job.id_);
    return;
  }
  EnqueueJob(*step.controller_.placement_, PlacementJobOf(job));
  step.controller_.placement_due_ = true;
}

void AdvanceQueued(Step& step, LiveJob& job) {
  if (job.proposed_) return;
  if (!job.cancel_requested_ && !job.deadline_passed_) return;
  RemoveJob(*step.controller_.placement_, job.id_);
  if (job.cancel_requested_) {
    ProposeEnd(step, job, Outcome::kCancelled, "cancelled while queued");
    return;
  }
  ProposeNotRun(step, job, DeadlineReason(job), kRetryAfterDeadline);
}

void RefuseJob(Step& step, LiveJob& job, const std::string& reason) {
  RemoveJob(*step.controller_.placement_, job.id_);
  const bool workers_may_be_unknown =
      job.inherited_ &&
      step.now_ - step.controller_.became_leader_at_ < OptionsOf(step).lease_;
  if (workers_may_be_unknown || RanBefore(step, job)) {
    step.controller_.back_offs_.emplace(step.now_ + kRefusedRetryDelay,
                                        job.id_);
    return;
  }
  ProposeNotRun(step, job, reason, Duration(0));
}

void EndBackOff(Step& step, const LiveJob& job) {
  if (job.phase_ != JobPhase::kQueued || job.proposed_) return;
  EnqueueJob(*step.controller_.placement_, PlacementJobOf(job));
  step.controller_.placement_due_ = true;
}

}  // namespace flamingohollow

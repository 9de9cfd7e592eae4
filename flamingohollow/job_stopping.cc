// Stops an attempt: see job_stopping.h.

#include "flamingohollow/job_stopping.h"

#include <algorithm>
#include <utility>

#include "flamingohollow/job_outcome.h"
#include "flamingohollow/job_propose.h"
#include "flamingohollow/job_queue.h"
#include "flamingohollow/job_workers.h"

namespace flamingohollow {
namespace {

void ExcludeFromRenewal(Step& step, LiveJob& job) {
  if (job.attempt_->excluded_at_) return;
  job.attempt_->excluded_at_ = step.now_;
  step.actions_.emplace_back(std::in_place_type<ExcludeFromRenewalAction>,
                             ExcludeFromRenewalAction{job.id_, true});
}

bool StopTimedOut(const Step& step, const Attempt& attempt) {
  return step.now_ - attempt.stop_began_at_ >= OptionsOf(step).prepare_timeout_;
}

bool AnyUnreachable(const Step& step, const Attempt& attempt) {
  return std::any_of(attempt.tasks_.begin(), attempt.tasks_.end(),
                     [&step](const AttemptTask& task) {
                       return !IsOver(task.state_) && IsUnreachable(step, task);
                     });
}

// No more tasks are expected to have their end confirmed soon.
bool NoConfirmationExpected(const Step& step, const Attempt& attempt) {
  return AnyUnreachable(step, attempt) || StopTimedOut(step, attempt);
}

// For an attempt without JobMayRun: every lease is over, or its worker is
// unreachable, or the stop has timed out. Leases that are not over can never
// start. They only keep their worker from new work until it reports them gone.
bool IsOverOrUnreachable(const Step& step, const Attempt& attempt) {
  return std::all_of(attempt.tasks_.begin(), attempt.tasks_.end(),
                     [&](const AttemptTask& task) {
                       return IsOver(task.state_) ||
                              IsUnreachable(step, task) ||
                              StopTimedOut(step, attempt);
                     });
}

bool CanDrop(const Step& step, const Attempt& attempt) {
  if (!attempt.may_run_) return IsOverOrUnreachable(step, attempt);
  return IsGuaranteedOver(attempt, OptionsOf(step), step.now_);
}

void SendStops(Step& step, LiveJob& job) {
  for (std::size_t i = 0; i < job.attempt_->tasks_.size(); ++i) {
    if (IsOver(job.attempt_->tasks_[i].state_)) continue;
    SendTask(step, job, i, WorkerCommandKind::kStop);
  }
}

// A lease whose worker doesn't receive the stop must expire. Nearly all stops
// are confirmed at once, so to save traffic the job is excluded from renewal
// only if a worker is unreachable or a stop had to be repeated.
void ExcludeIfNeeded(Step& step, LiveJob& job) {
  const Attempt& attempt = *job.attempt_;
  if (!attempt.may_run_ || AllOver(attempt)) return;
  const bool repeated =
      step.now_ - attempt.stop_began_at_ >= OptionsOf(step).resend_interval_;
  if (repeated || AnyUnreachable(step, attempt)) ExcludeFromRenewal(step, job);
}

// Whether the scheduler stops an attempt that may be sound.
bool IsOnOrder(StopCause cause) {
  return cause == StopCause::kReclaimed || cause == StopCause::kEvacuated;
}

StopFacts FactsOf(const Step& step, const LiveJob& job) {
  const Attempt& attempt = *job.attempt_;
  StopFacts facts;
  facts.cause_ = *attempt.stop_cause_;
  facts.reason_ = attempt.stop_reason_;
  facts.idempotent_ = job.spec_.idempotent_;
  facts.job_blamed_ = IsBlamed(*step.controller_.placement_, job.id_);
  facts.all_finished_ = AllFinished(attempt);
  facts.all_never_ran_ = AllNeverRan(attempt);
  facts.any_started_ = AnyStarted(attempt);
  facts.all_over_ = AllOver(attempt);
  facts.guaranteed_over_ =
      IsGuaranteedOver(attempt, OptionsOf(step), step.now_);
  facts.no_confirmation_expected_ = NoConfirmationExpected(step, attempt);
  const JobRecord& record = step.controller_.records_->jobs_.at(job.id_);
  std::uint32_t counted =
      record.may_run_attempts_ - record.attempts_stopped_on_order_;
  if (IsOnOrder(facts.cause_)) --counted;
  facts.attempts_left_ = counted < OptionsOf(step).max_attempts_;
  return facts;
}

void ProposeRequeue(Step& step, LiveJob& job) {
  JobRequeued requeued;
  requeued.job_ = job.id_;
  requeued.attempt_ = job.attempt_->id_;
  requeued.reason_ = job.attempt_->stop_reason_;
  requeued.on_order_ = IsOnOrder(*job.attempt_->stop_cause_);
  Propose(step, job, std::move(requeued));
}

void DecideMayRun(Step& step, LiveJob& job) {
  StopDecision decision = DecideStopped(FactsOf(step, job));
  switch (decision.kind_) {
    case StopDecisionKind::kWait:
      return;
    case StopDecisionKind::kRequeue:
      ProposeRequeue(step, job);
      return;
    case StopDecisionKind::kEnd:
      ProposeEnd(step, job, decision.outcome_, std::move(decision.reason_),
                 decision.retry_after_);
      return;
  }
}

// Without JobMayRun this attempt never ran, so a cancellation or a passed
// deadline is answered without waiting for the stops.
void DecideNeverStarted(Step& step, LiveJob& job) {
  if (job.cancel_requested_) {
    ProposeEnd(step, job, Outcome::kCancelled, "cancelled before it started");
    return;
  }
  if (job.deadline_passed_) {
    ProposeNotRun(step, job, DeadlineReason(job), kRetryAfterDeadline);
    return;
  }
  if (!IsOverOrUnreachable(step, *job.attempt_)) return;
  DropAttempt(step, job);
  Queue(step, job);
}

}  // namespace

void DropAttempt(Step& step, LiveJob& job) {
  RemoveTasks(step, job);
  if (job.attempt_->excluded_at_) {
    step.actions_.emplace_back(std::in_place_type<ExcludeFromRenewalAction>,
                               ExcludeFromRenewalAction{job.id_, false});
  }
  RemoveJob(*step.controller_.placement_, job.id_);
  step.controller_.placement_due_ = true;
  job.attempt_.reset();
}

void AdvanceStopping(Step& step, LiveJob& job) {
  SendStops(step, job);
  ExcludeIfNeeded(step, job);
  if (job.proposed_) return;
  if (job.cancel_requested_) job.attempt_->stop_cause_ = StopCause::kCancelled;
  if (job.attempt_->may_run_) {
    DecideMayRun(step, job);
  } else {
    DecideNeverStarted(step, job);
  }
}

void BeginStop(Step& step, LiveJob& job, StopCause cause, std::string reason) {
  Attempt& attempt = *job.attempt_;
  attempt.stop_cause_ = cause;
  attempt.stop_began_at_ = step.now_;
  attempt.stop_reason_ = std::move(reason);
  ResetSendTimes(attempt);
  job.phase_ = JobPhase::kStopping;
  AdvanceStopping(step, job);
}

void AdvanceEnded(Step& step, LiveJob& job) {
  if (!job.attempt_) return;
  SendStops(step, job);
  ExcludeIfNeeded(step, job);
  if (CanDrop(step, *job.attempt_)) DropAttempt(step, job);
}

}  // namespace flamingohollow

// The phases of a job: see job_phases.h.

#include "flamingohollow/job_phases.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "flamingohollow/job_propose.h"
#include "flamingohollow/job_queue.h"
#include "flamingohollow/job_stopping.h"
#include "flamingohollow/job_workers.h"

namespace flamingohollow {
namespace {

// --- preparing

// Records a failure against each available worker whose task is in `state`. The
// prepare did not succeed because of these workers.
void RecordWorkerFailures(Step& step, const LiveJob& job, TaskState state) {
  for (const AttemptTask& task : job.attempt_->tasks_) {
    if (task.state_ != state || !TakesWork(step, task)) continue;
    RecordTaskResult(*step.controller_.placement_, job.id_, task.slice_.worker_,
                     false, step.now_);
  }
}

void StopRefused(Step& step, LiveJob& job, StopCause cause,
                 std::string reason) {
  ++job.refusals_;
  BeginStop(step, job, cause, std::move(reason));
}

// Returns a task that can't be granted any more, or null.
const AttemptTask* FindRefusal(const Step& step, const Attempt& attempt) {
  for (const AttemptTask& task : attempt.tasks_) {
    if (IsOver(task.state_) || !TakesWork(step, task)) return &task;
  }
  return nullptr;
}

std::string RefusalReason(const AttemptTask& task) {
  if (task.state_ == TaskState::kNeverRan) {
    return fmt::format("worker \"{}\" refused: {}", task.slice_.worker_.value(),
                       task.part_);
  }
  return fmt::format("worker \"{}\" takes no new work",
                     task.slice_.worker_.value());
}

void ProposeMayRun(Step& step, LiveJob& job) {
  JobMayRun may_run;
  may_run.job_ = job.id_;
  may_run.attempt_ = job.attempt_->id_;
  may_run.slices_ = SlicesOf(*job.attempt_);
  job.phase_ = JobPhase::kConfirming;
  Propose(step, job, std::move(may_run));
}

void SendPrepares(Step& step, LiveJob& job) {
  for (std::size_t i = 0; i < job.attempt_->tasks_.size(); ++i) {
    if (job.attempt_->tasks_[i].state_ != TaskState::kPending) continue;
    SendTask(step, job, i, WorkerCommandKind::kPrepare);
  }
}

void AdvancePreparing(Step& step, LiveJob& job) {
  const Attempt& attempt = *job.attempt_;
  if (job.cancel_requested_) {
    BeginStop(step, job, StopCause::kCancelled, "cancelled");
    return;
  }
  if (job.deadline_passed_) {
    BeginStop(step, job, StopCause::kDeadline, DeadlineReason(job));
    return;
  }
  if (job.reclaim_requested_) {
    BeginStop(step, job, StopCause::kReclaimed, "reclaimed");
    return;
  }
  if (const AttemptTask* refusal = FindRefusal(step, attempt)) {
    const std::string reason = RefusalReason(*refusal);
    RecordWorkerFailures(step, job, TaskState::kNeverRan);
    StopRefused(step, job, StopCause::kRefused, reason);
    return;
  }
  if (AllPrepared(attempt)) {
    ProposeMayRun(step, job);
    return;
  }
  if (step.now_ - attempt.began_at_ >= OptionsOf(step).prepare_timeout_) {
    RecordWorkerFailures(step, job, TaskState::kPending);
    StopRefused(step, job, StopCause::kRefused,
                "a worker did not answer in time");
    return;
  }
  SendPrepares(step, job);
}

// --- running

const AttemptTask* FindInState(const Attempt& attempt, TaskState state) {
  const auto found = std::find_if(
      attempt.tasks_.begin(), attempt.tasks_.end(),
      [state](const AttemptTask& task) { return task.state_ == state; });
  return found == attempt.tasks_.end() ? nullptr : &*found;
}

// Returns why the gang can't complete any more; empty while it can.
std::string LossReason(const Step& step, const Attempt& attempt) {
  for (const AttemptTask& task : attempt.tasks_) {
    const std::string& worker = task.slice_.worker_.value();
    if (task.state_ == TaskState::kLost) {
      return fmt::format("worker \"{}\" no longer has its lease", worker);
    }
    const bool ended = task.state_ == TaskState::kStopped ||
                       task.state_ == TaskState::kNeverRan;
    if (ended) {
      return fmt::format("worker \"{}\" ended its lease: {}", worker,
                         task.part_);
    }
    if (!IsOver(task.state_) && IsWorkerLost(step, task)) {
      return fmt::format("worker \"{}\" is silent", worker);
    }
  }
  return {};
}

// Returns a task that is still to be started in an evacuated failure domain, or
// null. A gang of which a part runs already is started as a whole.
const AttemptTask* FindEvacuated(const Step& step, const Attempt& attempt) {
  const AttemptTask* evacuated = nullptr;
  for (const AttemptTask& task : attempt.tasks_) {
    if (task.started_) return nullptr;
    const bool to_start = task.state_ == TaskState::kPrepared;
    if (to_start && IsEvacuated(step, task)) evacuated = &task;
  }
  return evacuated;
}

void SendStarts(Step& step, LiveJob& job) {
  // Don't start a part of a gang that is known to be unable to complete.
  if (!CanComplete(*job.attempt_)) return;
  for (std::size_t i = 0; i < job.attempt_->tasks_.size(); ++i) {
    if (job.attempt_->tasks_[i].state_ != TaskState::kPrepared) continue;
    SendTask(step, job, i, WorkerCommandKind::kStart);
  }
}

void AdvanceRunning(Step& step, LiveJob& job) {
  if (job.proposed_) return;
  const Attempt& attempt = *job.attempt_;
  if (AllFinished(attempt)) {
    ProposeEnd(step, job, Outcome::kCompleted, "");
    return;
  }
  if (const AttemptTask* failed = FindInState(attempt, TaskState::kFailed)) {
    BeginStop(step, job, StopCause::kTaskFailed,
              fmt::format("task failed on worker \"{}\": {}",
                          failed->slice_.worker_.value(), failed->part_));
    return;
  }
  std::string loss = LossReason(step, attempt);
  if (!loss.empty()) {
    BeginStop(step, job, StopCause::kLost, std::move(loss));
    return;
  }
  if (job.cancel_requested_) {
    BeginStop(step, job, StopCause::kCancelled, "cancelled");
    return;
  }
  if (job.reclaim_requested_) {
    BeginStop(step, job, StopCause::kReclaimed,
              "reclaimed for a customer's guarantee");
    return;
  }
  if (const AttemptTask* task = FindEvacuated(step, attempt)) {
    BeginStop(step, job, StopCause::kEvacuated,
              fmt::format("the failure domain of worker \"{}\" is evacuated",
                          task->slice_.worker_.value()));
    return;
  }
  SendStarts(step, job);
}

// --- all phases

bool IsBusy(const LiveJob& job) {
  if (job.proposed_) return true;
  if (job.phase_ == JobPhase::kQueued) return false;
  // A running gang needs no ticks while reports show all its leases.
  return job.phase_ != JobPhase::kRunning || !AllRunning(*job.attempt_) ||
         AnyMissing(*job.attempt_);
}

void UpdateBusy(Step& step, const LiveJob& job) {
  if (IsBusy(job)) {
    step.controller_.busy_.insert(job.id_);
  } else {
    step.controller_.busy_.erase(job.id_);
  }
}

bool CountsAsQueued(const LiveJob& job) {
  if (job.phase_ == JobPhase::kEnded) return false;
  return !job.attempt_ || !job.attempt_->may_run_;
}

void UpdateQueued(Step& step, LiveJob& job) {
  const bool queued_now = CountsAsQueued(job);
  if (queued_now == job.counted_as_queued_) return;
  job.counted_as_queued_ = queued_now;
  auto& queued = step.controller_.queued_;
  if (queued_now) {
    ++queued[job.spec_.customer_];
  } else if (--queued[job.spec_.customer_] == 0) {
    queued.erase(job.spec_.customer_);
  }
}

void Notify(Step& step, LiveJob& job) {
  if (job.phase_ == JobPhase::kEnded) return;
  const Outcome outcome = OutcomeOf(job);
  if (outcome == job.notified_outcome_) return;
  job.notified_outcome_ = outcome;
  step.actions_.emplace_back(std::in_place_type<NotifyAction>,
                             NotifyAction{job.id_});
}

void RemoveIfDone(Step& step, JobId id) {
  const auto found = step.controller_.jobs_.find(id);
  const LiveJob& job = found->second;
  if (job.phase_ != JobPhase::kEnded || job.attempt_) return;
  step.controller_.busy_.erase(id);
  step.controller_.jobs_.erase(found);
}

void AdvancePhase(Step& step, LiveJob& job) {
  if (job.attempt_) MarkLongMissing(step, *job.attempt_);
  switch (job.phase_) {
    case JobPhase::kQueued:
      AdvanceQueued(step, job);
      return;
    case JobPhase::kPreparing:
      AdvancePreparing(step, job);
      return;
    case JobPhase::kConfirming:
      return;
    case JobPhase::kRunning:
      AdvanceRunning(step, job);
      return;
    case JobPhase::kStopping:
      AdvanceStopping(step, job);
      return;
    case JobPhase::kEnded:
      AdvanceEnded(step, job);
      return;
  }
}

// Resumes the attempt that may be running according to the record.
void AdoptAttempt(Step& step, LiveJob& job, const JobRecord& record) {
  job.attempt_ = RestoreAttempt(record, step.now_);
  job.last_attempt_ = std::max(job.last_attempt_, record.may_run_attempt_);
  job.phase_ = JobPhase::kRunning;
  AddTasks(step, job);
  RestoreRunningJob(*step.controller_.placement_, PlacementJobOf(job),
                    record.slices_);
}

}  // namespace

void AddJob(Step& step, const JobRecord& record, Time queued_at,
            bool inherited) {
  LiveJob& job = step.controller_.jobs_[record.id_];
  job.inherited_ = inherited;
  job.id_ = record.id_;
  job.spec_ = record.spec_;
  job.last_attempt_ = record.may_run_attempt_;
  job.queued_at_ = queued_at;
  if (record.may_be_running_) {
    AdoptAttempt(step, job, record);
  } else {
    AddDeadline(step, job);
    Queue(step, job);
  }
  Advance(step, record.id_);
}

void BeginAttempt(Step& step, LiveJob& job, const std::vector<Slice>& slices) {
  job.last_attempt_ = Next(job.last_attempt_);
  job.attempt_ = MakeAttempt(job.last_attempt_, slices, step.now_);
  job.phase_ = JobPhase::kPreparing;
  AddTasks(step, job);
  Advance(step, job.id_);
}

void Advance(Step& step, JobId id) {
  LiveJob& job = step.controller_.jobs_.at(id);
  AdvancePhase(step, job);
  Repropose(step, job);
  UpdateBusy(step, job);
  UpdateQueued(step, job);
  Notify(step, job);
  RemoveIfDone(step, id);
}

void OnMayRunCommitted(Step& step, LiveJob& job) {
  const JobRecord& record = step.controller_.records_->jobs_.at(job.id_);
  job.proposed_.reset();
  // The job left the queue before its deadline, even if the deadline passed
  // while the record was being committed.
  RemoveDeadline(step, job);
  job.deadline_passed_ = false;
  const bool is_current_attempt =
      job.attempt_ && job.attempt_->id_ == record.may_run_attempt_ &&
      SlicesOf(*job.attempt_) == record.slices_;
  if (is_current_attempt) {
    job.attempt_->may_run_ = true;
    job.refusals_ = 0;
    job.phase_ = JobPhase::kRunning;
    ResetSendTimes(*job.attempt_);
  } else {
    // A record of an earlier leader was committed late.
    if (job.attempt_) DropAttempt(step, job);
    RemoveJob(*step.controller_.placement_, job.id_);
    AdoptAttempt(step, job, record);
  }
  Advance(step, job.id_);
}

void OnRequeuedCommitted(Step& step, LiveJob& job) {
  job.proposed_.reset();
  if (job.attempt_) DropAttempt(step, job);
  job.queued_at_ = step.now_;
  AddDeadline(step, job);
  Queue(step, job);
  Advance(step, job.id_);
}

void OnEndedCommitted(Step& step, LiveJob& job) {
  job.proposed_.reset();
  RemoveDeadline(step, job);
  // The accelerators of an attempt stay allocated until its leases are over.
  if (!job.attempt_) RemoveJob(*step.controller_.placement_, job.id_);
  job.phase_ = JobPhase::kEnded;
  step.actions_.emplace_back(std::in_place_type<NotifyAction>,
                             NotifyAction{job.id_});
  if (job.attempt_ && !job.attempt_->stop_cause_) {
    job.attempt_->stop_cause_ = StopCause::kLost;
    job.attempt_->stop_began_at_ = step.now_;
    ResetSendTimes(*job.attempt_);
  }
  Advance(step, job.id_);
}

Outcome OutcomeOf(const LiveJob& job) {
  switch (job.phase_) {
    case JobPhase::kQueued:
      return Outcome::kQueued;
    case JobPhase::kPreparing:
      return Outcome::kPreparing;
    case JobPhase::kConfirming:
      return Outcome::kStarting;
    case JobPhase::kRunning:
      return AllRunning(*job.attempt_) ? Outcome::kRunning : Outcome::kStarting;
    case JobPhase::kStopping:
      return job.attempt_->may_run_ ? Outcome::kRunning : Outcome::kPreparing;
    case JobPhase::kEnded:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

}  // namespace flamingohollow

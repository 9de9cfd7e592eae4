// A job's way from the queue to its end: see job_phases.h.

#include "flamingohollow/job_phases.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "flamingohollow/job_outcome.h"
#include "flamingohollow/job_workers.h"

namespace flamingohollow {
namespace {

const JobControllerOptions& OptionsOf(const Step& step) {
  return step.controller_.options_;
}

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

void Propose(Step& step, LiveJob& job, Command command) {
  const Time wall_now = OptionsOf(step).wall_at_start_ +
                        (step.now_ - step.controller_.took_office_at_);
  std::visit([wall_now](auto& record) { record.at_ = wall_now; }, command);
  job.proposed_ = command;
  job.proposed_at_ = step.now_;
  step.actions_.push_back(ProposeAction{std::move(command)});
}

void Repropose(Step& step, LiveJob& job) {
  if (!job.proposed_) return;
  if (step.now_ - job.proposed_at_ < kProposeInterval) return;
  Propose(step, job, Command(*job.proposed_));
}

void ProposeEnd(Step& step, LiveJob& job, Outcome outcome, std::string reason,
                Duration retry_after = Duration(0)) {
  JobEnded ended;
  ended.job_ = job.id_;
  ended.outcome_ = outcome;
  ended.reason_ = std::move(reason);
  ended.retry_after_ = retry_after;
  if (outcome == Outcome::kCompleted) ended.parts_ = PartsOf(*job.attempt_);
  Propose(step, job, std::move(ended));
}

bool RanBefore(const Step& step, const LiveJob& job) {
  const JobRecord& record = step.controller_.records_->jobs_.at(job.id_);
  return record.may_run_attempt_ != AttemptId(0);
}

// Ends a job of which no attempt runs. "Not run" is true only if no earlier
// attempt ran either.
void ProposeNotRun(Step& step, LiveJob& job, const std::string& reason,
                   Duration retry_after) {
  if (RanBefore(step, job)) {
    ProposeEnd(step, job, Outcome::kFailed,
               reason + "; an earlier attempt may have run in part",
               retry_after);
    return;
  }
  ProposeEnd(step, job, Outcome::kNotRun, reason, retry_after);
}

std::string DeadlineReason(const LiveJob& job) {
  return fmt::format("not started within its deadline of {} ms",
                     job.spec_.deadline_.ms());
}

// --- queued

void WatchDeadline(Step& step, const LiveJob& job) {
  if (job.spec_.deadline_ <= Duration(0)) return;
  step.controller_.deadlines_.emplace(job.queued_at_ + job.spec_.deadline_,
                                      job.id_);
}

void ForgetDeadline(Step& step, const LiveJob& job) {
  step.controller_.deadlines_.erase(
      {job.queued_at_ + job.spec_.deadline_, job.id_});
}

Duration BackOffAfter(std::uint32_t refusals) {
  if (refusals <= 1) return Duration(0);
  const std::uint32_t doublings = std::min(refusals - 2, 10U);
  return std::min(kFirstBackOff * (std::int64_t{1} << doublings), kMaxBackOff);
}

void Queue(Step& step, LiveJob& job) {
  job.phase_ = JobPhase::kQueued;
  job.reclaim_ = false;
  const Duration back_off = BackOffAfter(job.refusals_);
  if (back_off > Duration(0)) {
    step.controller_.back_offs_.emplace(step.now_ + back_off, job.id_);
    return;
  }
  EnqueueJob(*step.controller_.placement_, PlacementJobOf(job));
  step.controller_.decide_ = true;
}

void AdvanceQueued(Step& step, LiveJob& job) {
  if (job.proposed_) return;
  if (!job.cancel_ && !job.deadline_passed_) return;
  RemoveJob(*step.controller_.placement_, job.id_);
  if (job.cancel_) {
    ProposeEnd(step, job, Outcome::kCancelled, "cancelled while queued");
    return;
  }
  ProposeNotRun(step, job, DeadlineReason(job), kRetryAfterDeadline);
}

// --- stopping

void Exclude(Step& step, LiveJob& job) {
  if (job.attempt_->excluded_at_) return;
  job.attempt_->excluded_at_ = step.now_;
  step.actions_.emplace_back(std::in_place_type<ExcludeFromRenewalAction>,
                             ExcludeFromRenewalAction{job.id_, true});
}

// The attempt's leases are over: frees its accelerators.
void DropAttempt(Step& step, LiveJob& job) {
  RemoveTasks(step, job);
  if (job.attempt_->excluded_at_) {
    step.actions_.emplace_back(std::in_place_type<ExcludeFromRenewalAction>,
                               ExcludeFromRenewalAction{job.id_, false});
  }
  RemoveJob(*step.controller_.placement_, job.id_);
  step.controller_.decide_ = true;
  job.attempt_.reset();
}

bool WaitedLong(const Step& step, const Attempt& attempt) {
  return step.now_ - attempt.stop_began_at_ >= OptionsOf(step).prepare_timeout_;
}

bool AnyOutOfReach(const Step& step, const Attempt& attempt) {
  return std::any_of(attempt.tasks_.begin(), attempt.tasks_.end(),
                     [&step](const AttemptTask& task) {
                       return !IsOver(task.state_) && IsOutOfReach(step, task);
                     });
}

// No more confirmations of ends are to be expected soon.
bool CantLearnSoon(const Step& step, const Attempt& attempt) {
  return AnyOutOfReach(step, attempt) || WaitedLong(step, attempt);
}

// All leases of an attempt without JobMayRun are over or out of reach. Those
// out of reach never start; they only keep their worker from new work until
// it says that they are gone.
bool IsAbandoned(const Step& step, const Attempt& attempt) {
  return std::all_of(attempt.tasks_.begin(), attempt.tasks_.end(),
                     [&](const AttemptTask& task) {
                       return IsOver(task.state_) || IsOutOfReach(step, task) ||
                              WaitedLong(step, attempt);
                     });
}

bool CanDrop(const Step& step, const Attempt& attempt) {
  if (!attempt.may_run_) return IsAbandoned(step, attempt);
  return SurelyOver(attempt, OptionsOf(step), step.now_);
}

void SendStops(Step& step, LiveJob& job) {
  for (std::size_t i = 0; i < job.attempt_->tasks_.size(); ++i) {
    if (IsOver(job.attempt_->tasks_[i].state_)) continue;
    SendTask(step, job, i, WorkerCommandKind::kStop);
  }
}

// Leases that a stop doesn't reach must end by themselves. Nearly all stops are
// confirmed at once, so an exclusion is worth its traffic only if a worker is
// out of reach or a stop had to be repeated.
void ExcludeIfNeeded(Step& step, LiveJob& job) {
  const Attempt& attempt = *job.attempt_;
  if (!attempt.may_run_ || AllOver(attempt)) return;
  const bool repeated =
      step.now_ - attempt.stop_began_at_ >= OptionsOf(step).resend_interval_;
  if (repeated || AnyOutOfReach(step, attempt)) Exclude(step, job);
}

StopFacts FactsOf(const Step& step, const LiveJob& job) {
  const Attempt& attempt = *job.attempt_;
  StopFacts facts;
  facts.cause_ = *attempt.stop_cause_;
  facts.reason_ = attempt.stop_reason_;
  facts.idempotent_ = job.spec_.idempotent_;
  facts.blames_job_ = IsBlamed(*step.controller_.placement_, job.id_);
  facts.all_finished_ = AllFinished(attempt);
  facts.all_never_ran_ = AllNeverRan(attempt);
  facts.any_started_ = AnyStarted(attempt);
  facts.all_over_ = AllOver(attempt);
  facts.surely_over_ = SurelyOver(attempt, OptionsOf(step), step.now_);
  facts.out_of_reach_ = CantLearnSoon(step, attempt);
  facts.attempts_left_ = job.runs_ < OptionsOf(step).max_attempts_;
  return facts;
}

void ProposeRequeue(Step& step, LiveJob& job) {
  JobRequeued requeued;
  requeued.job_ = job.id_;
  requeued.attempt_ = job.attempt_->id_;
  requeued.reason_ = job.attempt_->stop_reason_;
  Propose(step, job, std::move(requeued));
}

void JudgeMayRun(Step& step, LiveJob& job) {
  StopVerdict verdict = JudgeStopped(FactsOf(step, job));
  switch (verdict.kind_) {
    case StopVerdictKind::kWait:
      return;
    case StopVerdictKind::kRequeue:
      ProposeRequeue(step, job);
      return;
    case StopVerdictKind::kEnd:
      ProposeEnd(step, job, verdict.outcome_, std::move(verdict.reason_),
                 verdict.retry_after_);
      return;
  }
}

// Without JobMayRun there is nothing to wait for before an answer: this attempt
// never ran.
void JudgeNeverStarted(Step& step, LiveJob& job) {
  if (job.cancel_) {
    ProposeEnd(step, job, Outcome::kCancelled, "cancelled before it started");
    return;
  }
  if (job.deadline_passed_) {
    ProposeNotRun(step, job, DeadlineReason(job), kRetryAfterDeadline);
    return;
  }
  if (!IsAbandoned(step, *job.attempt_)) return;
  DropAttempt(step, job);
  Queue(step, job);
}

void AdvanceStopping(Step& step, LiveJob& job) {
  SendStops(step, job);
  ExcludeIfNeeded(step, job);
  if (job.proposed_) return;
  if (job.cancel_) job.attempt_->stop_cause_ = StopCause::kCancelled;
  if (job.attempt_->may_run_) {
    JudgeMayRun(step, job);
  } else {
    JudgeNeverStarted(step, job);
  }
}

void BeginStop(Step& step, LiveJob& job, StopCause cause, std::string reason) {
  Attempt& attempt = *job.attempt_;
  attempt.stop_cause_ = cause;
  attempt.stop_began_at_ = step.now_;
  attempt.stop_reason_ = std::move(reason);
  ForgetSent(attempt);
  job.phase_ = JobPhase::kStopping;
  AdvanceStopping(step, job);
}

void AdvanceEnded(Step& step, LiveJob& job) {
  if (!job.attempt_) return;
  SendStops(step, job);
  ExcludeIfNeeded(step, job);
  if (CanDrop(step, *job.attempt_)) DropAttempt(step, job);
}

// --- preparing

// Evidence against the workers that kept a prepare from succeeding.
void BlameWorkers(Step& step, const LiveJob& job, TaskState state) {
  for (const AttemptTask& task : job.attempt_->tasks_) {
    if (task.state_ != state || !TakesWork(step, task)) continue;
    RecordTaskResult(*step.controller_.placement_, job.id_, task.slice_.worker_,
                     false, step.now_);
  }
}

void Refuse(Step& step, LiveJob& job, StopCause cause, std::string reason) {
  ++job.refusals_;
  BeginStop(step, job, cause, std::move(reason));
}

// A task that can't be granted any more; null when there is none.
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
    if (job.attempt_->tasks_[i].state_ != TaskState::kAsked) continue;
    SendTask(step, job, i, WorkerCommandKind::kPrepare);
  }
}

void AdvancePreparing(Step& step, LiveJob& job) {
  const Attempt& attempt = *job.attempt_;
  if (job.cancel_) {
    BeginStop(step, job, StopCause::kCancelled, "cancelled");
    return;
  }
  if (job.deadline_passed_) {
    BeginStop(step, job, StopCause::kDeadline, DeadlineReason(job));
    return;
  }
  if (job.reclaim_) {
    BeginStop(step, job, StopCause::kReclaimed, "reclaimed");
    return;
  }
  if (const AttemptTask* refusal = FindRefusal(step, attempt)) {
    const std::string reason = RefusalReason(*refusal);
    BlameWorkers(step, job, TaskState::kNeverRan);
    Refuse(step, job, StopCause::kRefused, reason);
    return;
  }
  if (AllPrepared(attempt)) {
    ProposeMayRun(step, job);
    return;
  }
  if (step.now_ - attempt.began_at_ >= OptionsOf(step).prepare_timeout_) {
    BlameWorkers(step, job, TaskState::kAsked);
    Refuse(step, job, StopCause::kRefused, "a worker did not answer in time");
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

// Why the gang can't complete any more; empty while it can.
std::string LossOf(const Step& step, const Attempt& attempt) {
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

void SendStarts(Step& step, LiveJob& job) {
  // A gang starts only while all of it can: never a part of it knowingly.
  if (!AllAlive(*job.attempt_)) return;
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
  std::string loss = LossOf(step, attempt);
  if (!loss.empty()) {
    BeginStop(step, job, StopCause::kLost, std::move(loss));
    return;
  }
  if (job.cancel_) {
    BeginStop(step, job, StopCause::kCancelled, "cancelled");
    return;
  }
  if (job.reclaim_) {
    BeginStop(step, job, StopCause::kReclaimed,
              "reclaimed for a customer's guarantee");
    return;
  }
  SendStarts(step, job);
}

// --- all phases

bool IsBusy(const LiveJob& job) {
  if (job.proposed_) return true;
  if (job.phase_ == JobPhase::kQueued) return false;
  // A running gang is left alone until a worker says or stops saying something.
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

bool IsWaiting(const LiveJob& job) {
  if (job.phase_ == JobPhase::kEnded) return false;
  return !job.attempt_ || !job.attempt_->may_run_;
}

void UpdateQueued(Step& step, LiveJob& job) {
  const bool waits = IsWaiting(job);
  if (waits == job.counted_) return;
  job.counted_ = waits;
  auto& queued = step.controller_.queued_;
  if (waits) {
    ++queued[job.spec_.customer_];
  } else if (--queued[job.spec_.customer_] == 0) {
    queued.erase(job.spec_.customer_);
  }
}

void Notify(Step& step, LiveJob& job) {
  if (job.phase_ == JobPhase::kEnded) return;
  const Outcome outcome = OutcomeOf(job);
  if (outcome == job.notified_) return;
  job.notified_ = outcome;
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

// Goes on with the attempt that the record says may run.
void AdoptAttempt(Step& step, LiveJob& job, const JobRecord& record) {
  job.attempt_ = RestoreAttempt(record, step.now_);
  job.last_attempt_ = std::max(job.last_attempt_, record.may_run_attempt_);
  job.phase_ = JobPhase::kRunning;
  ++job.runs_;
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
    job.runs_ = record.may_run_attempt_ == AttemptId(0) ? 0 : 1;
    WatchDeadline(step, job);
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

void RefuseJob(Step& step, LiveJob& job, const std::string& reason) {
  RemoveJob(*step.controller_.placement_, job.id_);
  const bool may_know_few =
      job.inherited_ &&
      step.now_ - step.controller_.took_office_at_ < OptionsOf(step).lease_;
  if (may_know_few || RanBefore(step, job)) {
    step.controller_.back_offs_.emplace(step.now_ + kRefusedAgainAfter,
                                        job.id_);
    return;
  }
  ProposeNotRun(step, job, reason, Duration(0));
  Advance(step, job.id_);
}

void EndBackOff(Step& step, const LiveJob& job) {
  if (job.phase_ != JobPhase::kQueued || job.proposed_) return;
  EnqueueJob(*step.controller_.placement_, PlacementJobOf(job));
  step.controller_.decide_ = true;
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

void TakeMayRun(Step& step, LiveJob& job) {
  const JobRecord& record = step.controller_.records_->jobs_.at(job.id_);
  job.proposed_.reset();
  // It left the queue in time, whatever the clock said since.
  ForgetDeadline(step, job);
  job.deadline_passed_ = false;
  const bool ours = job.attempt_ &&
                    job.attempt_->id_ == record.may_run_attempt_ &&
                    SlicesOf(*job.attempt_) == record.slices_;
  if (ours) {
    job.attempt_->may_run_ = true;
    job.refusals_ = 0;
    job.phase_ = JobPhase::kRunning;
    ++job.runs_;
    ForgetSent(*job.attempt_);
  } else {
    // An earlier leader's record, committed late.
    if (job.attempt_) DropAttempt(step, job);
    RemoveJob(*step.controller_.placement_, job.id_);
    AdoptAttempt(step, job, record);
  }
  Advance(step, job.id_);
}

void TakeRequeued(Step& step, LiveJob& job) {
  job.proposed_.reset();
  if (job.attempt_) DropAttempt(step, job);
  job.queued_at_ = step.now_;
  WatchDeadline(step, job);
  Queue(step, job);
  Advance(step, job.id_);
}

void TakeEnded(Step& step, LiveJob& job) {
  job.proposed_.reset();
  ForgetDeadline(step, job);
  // An attempt's accelerators stay taken until its leases are over.
  if (!job.attempt_) RemoveJob(*step.controller_.placement_, job.id_);
  job.phase_ = JobPhase::kEnded;
  step.actions_.emplace_back(std::in_place_type<NotifyAction>,
                             NotifyAction{job.id_});
  if (job.attempt_ && !job.attempt_->stop_cause_) {
    job.attempt_->stop_cause_ = StopCause::kLost;
    job.attempt_->stop_began_at_ = step.now_;
    ForgetSent(*job.attempt_);
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

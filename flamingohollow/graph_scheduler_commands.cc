// Commands to workers, and ends that the leader determines itself.

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

// The lease to grant to the worker. It is shortened while the worker drains, as
// the worker may be gone without notice once its remaining time is over.
Duration LeaseFor(const Context& ctx, const FleetWorker& worker) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (!worker.report_.draining_) return options.lease_;
  return std::min(options.lease_,
                  RemainingStay(worker, ctx.now_) + options.start_lease_);
}

// Whether the task has crashes, or attempts of its job were lost on workers
// that may turn out to have crashed.
bool MayCrashWorker(const Context& ctx, const TaskRef& task) {
  if (SuspicionOf(ctx.state_.crashes_, task) != Suspicion::kNone) return true;
  const JobTrace* trace = FindTrace(ctx, task.job_);
  return trace != nullptr && trace->lost_ > 0;
}

// Whether the attempt has begun and is not known to have ended. What was only
// sent, or was stopped, is no evidence that the worker crashed under it.
bool IsKnownToRun(const Run& run) {
  if (run.end_proposed_) return false;
  return run.start_broke_off_ ||
         (run.began_.has_value() && run.phase_ != RunPhase::kStopped);
}

}  // namespace

CommandTarget TargetOf(const Context& ctx, const FleetWorker& worker) {
  return {worker.report_.id_, worker.report_.incarnation_,
          worker.report_.address_, ctx.scheduler_.token_};
}

FleetWorker* FindIncarnation(const Context& ctx, const WorkerId& id,
                             WorkerIncarnation incarnation) {
  const auto found = ctx.scheduler_.fleet_.find(id);
  if (found == ctx.scheduler_.fleet_.end()) return nullptr;
  return found->second.report_.incarnation_ == incarnation ? &found->second
                                                           : nullptr;
}

bool IsEvacuated(const Context& ctx, const FleetWorker& worker) {
  return flamingohollow::IsEvacuated(ctx.state_.evacuations_,
                                     worker.report_.failure_domain_);
}

JobTrace* FindTrace(const Context& ctx, const GraphJobKey& key) {
  const auto found = ctx.scheduler_.traces_.find(key);
  return found == ctx.scheduler_.traces_.end() ? nullptr : &found->second;
}

Run* FindRun(FleetWorker& worker, const AttemptRef& attempt) {
  const auto found = worker.runs_.find(attempt);
  return found == worker.runs_.end() ? nullptr : &found->second;
}

FleetWorker* FindWorkerOf(const Context& ctx, const AttemptRef& attempt) {
  const TaskRef& task = attempt.task_;
  const StepRecord* step = FindStep(ctx.state_, task);
  if (step != nullptr) {
    const auto found =
        ctx.scheduler_.fleet_.find(step->tasks_[task.index_.value()].worker_);
    if (found != ctx.scheduler_.fleet_.end() &&
        found->second.runs_.contains(attempt)) {
      return &found->second;
    }
  }
  // The state no longer holds the occurrence, or holds a newer attempt.
  for (auto& [id, worker] : ctx.scheduler_.fleet_) {
    if (worker.runs_.contains(attempt)) return &worker;
  }
  return nullptr;
}

std::string Describe(const TaskRef& task) {
  return fmt::format("{}.{}.{}.{}", task.job_.value(), task.occurrence_.value(),
                     task.step_.value(), task.index_.value());
}

std::string Describe(const AttemptRef& attempt) {
  return fmt::format("{}#{}", Describe(attempt.task_),
                     attempt.attempt_.value());
}

void Propose(Context& ctx, GraphRecord record) {
  ctx.actions_.emplace_back(std::move(record));
}

void SetPhase(Context& ctx, Run& run, RunPhase phase) {
  run.phase_ = phase;
  run.last_command_at_ = ctx.now_;
  run.commands_sent_ = 0;
  ctx.scheduler_.placement_due_ = true;
}

void ProposeEnds(Context& ctx, FleetWorker& worker,
                 const std::vector<AttemptRef>& attempts, AttemptEnd end) {
  EndRecord record;
  record.ended_ = ctx.scheduler_.wall_time_;
  for (const AttemptRef& attempt : attempts) {
    Run* run = FindRun(worker, attempt);
    if (run == nullptr || run->end_proposed_) continue;
    if (run->phase_ == RunPhase::kProposed) continue;
    run->end_proposed_ = true;
    record.attempts_.push_back({attempt, end, run->checkpoint_});
    LogDetail("attempt_end", {{"attempt", Describe(attempt)},
                              {"worker", worker.report_.id_.value()},
                              {"end", AttemptEndName(end)}});
  }
  if (!record.attempts_.empty()) Propose(ctx, std::move(record));
}

void ProposeLostRuns(Context& ctx, FleetWorker& worker, std::string_view why) {
  std::vector<AttemptRef> lost;
  for (const auto& [attempt, run] : worker.runs_) {
    if (!run.end_proposed_) lost.push_back(attempt);
  }
  if (lost.empty()) return;
  LogEvent("worker_lost", {{"worker", worker.report_.id_.value()},
                           {"life", worker.report_.incarnation_.value()},
                           {"runs", lost.size()},
                           {"why", why}});
  ProposeRunning(ctx, worker);
  ProposeEnds(ctx, worker, lost, AttemptEnd::kLost);
}

void SendStart(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
               Run& run) {
  const GraphJob* job = FindJob(ctx.state_, attempt.task_.job_);
  if (job == nullptr) return;
  const StepRecord* step =
      FindStep(*job, attempt.task_.occurrence_, attempt.task_.step_);
  if (step == nullptr) return;
  const StepSpec& spec = job->spec_.steps_[attempt.task_.step_.value()];
  StartCommand command{.target_ = TargetOf(ctx, worker),
                       .attempt_ = attempt,
                       .payload_ = job->spec_.payload_,
                       .checkpoint_ = {}};
  command.checkpoint_ =
      spec.gang_ ? step->checkpoint_
                 : step->tasks_[attempt.task_.index_.value()].checkpoint_;
  command.lease_until_ms_ =
      GrantLease(worker, ctx.scheduler_.options_.start_lease_, ctx.now_);
  command.new_connection_ = MayCrashWorker(ctx, attempt.task_);
  run.command_in_flight_ = true;
  run.last_command_at_ = ctx.now_;
  ++run.commands_sent_;
  ctx.actions_.emplace_back(std::move(command));
}

void SendStop(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
              Run& run) {
  run.command_in_flight_ = true;
  run.last_command_at_ = ctx.now_;
  ++run.commands_sent_;
  ctx.actions_.emplace_back(StopCommand{TargetOf(ctx, worker), attempt});
}

void StopRun(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
             Run& run, std::string_view why) {
  if (IsEnding(run)) return;
  // The start command has not been sent; TickWorker decides again once the
  // attempt's record is in the log.
  if (run.phase_ == RunPhase::kProposed) return;
  LogDetail("stop_attempt", {{"attempt", Describe(attempt)},
                             {"worker", worker.report_.id_.value()},
                             {"why", why}});
  const bool start_in_flight =
      run.phase_ == RunPhase::kStarting && run.command_in_flight_;
  run.start_unanswered_ = run.start_unanswered_ || start_in_flight;
  SetPhase(ctx, run, RunPhase::kStopping);
  SendStop(ctx, worker, attempt, run);
}

void ProposeConfirmed(Context& ctx, const FleetWorker& worker) {
  const WorkerId& id = worker.report_.id_;
  if (!ctx.state_.crashes_.accused_.contains(id)) return;
  ConfirmedRecord record{id, {}};
  for (const auto& [attempt, run] : worker.runs_) {
    if (!IsKnownToRun(run)) continue;
    if (AwaitsConfirmation(ctx.state_.crashes_, attempt, id)) {
      record.attempts_.push_back(attempt);
    }
  }
  if (!record.attempts_.empty()) Propose(ctx, std::move(record));
}

void ProposeRunning(Context& ctx, const FleetWorker& worker) {
  ConfirmedRecord record{worker.report_.id_, {}};
  for (const auto& [attempt, run] : worker.runs_) {
    if (IsKnownToRun(run)) record.attempts_.push_back(attempt);
  }
  if (!record.attempts_.empty()) Propose(ctx, std::move(record));
}

void SendPoll(Context& ctx, FleetWorker& worker) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  PollCommand command;
  command.target_ = TargetOf(ctx, worker);
  command.number_ = ++worker.polls_sent_;
  // A poll without an answer may be carried out by the worker's next
  // incarnation, which forgets its own ends up to `last_end_`. So each end is
  // acknowledged once, and none while the worker does not answer.
  const bool acknowledges = worker.unanswered_calls_ == 0 &&
                            worker.acknowledged_end_ < worker.logged_end_;
  if (acknowledges) command.last_end_ = worker.logged_end_;
  worker.polled_end_ = command.last_end_;
  command.wait_ = options.poll_wait_;
  // A worker without a task that is known to run needs no lease. Granting one
  // would delay the point at which a task whose start gets lost is known to be
  // over.
  bool runs = false;
  bool settled = worker.answered_poll_ && !worker.more_ends_;
  bool urgent = false;
  for (const auto& [attempt, run] : worker.runs_) {
    runs = runs || run.phase_ == RunPhase::kRunning ||
           run.phase_ == RunPhase::kRecovering;
    settled = settled && run.phase_ == RunPhase::kRunning;
    urgent = urgent || run.urgent_;
  }
  // The end of a lease is given on the worker's clock, which is unknown until
  // the worker has answered or reported.
  if (runs && worker.clock_at_ != Time()) {
    command.lease_until_ms_ =
        GrantLease(worker, LeaseFor(ctx, worker), ctx.now_);
  }
  // The scheduler needs the poll's answer at once, whether or not an attempt
  // ends.
  if (!settled || worker.runs_.empty()) {
    command.wait_ = Duration(0);
  } else if (ctx.scheduler_.held_polls_ >= options.max_held_polls_) {
    command.wait_ = Duration(0);
    worker.next_poll_at_ = ctx.now_ + options.poll_wait_;
  }
  if (urgent) {
    command.wait_ = std::min(command.wait_, options.urgent_poll_wait_);
  }
  worker.poll_held_ = command.wait_ > Duration(0);
  if (worker.poll_held_) ++ctx.scheduler_.held_polls_;
  worker.poll_in_flight_ = true;
  worker.polled_address_ = worker.report_.address_;
  ctx.actions_.emplace_back(std::move(command));
}

void PollIfDue(Context& ctx, FleetWorker& worker) {
  const bool needed = !worker.answered_poll_ || !worker.runs_.empty() ||
                      worker.strays_ != Resources() ||
                      worker.unanswered_calls_ > 0 ||
                      worker.acknowledged_end_ < worker.logged_end_;
  if (!needed || worker.ends_proposed_ || ctx.now_ < worker.next_poll_at_) {
    return;
  }
  const bool contested = IsAddressContested(ctx, worker);
  if (worker.poll_in_flight_ && !contested) return;
  SendPoll(ctx, worker);
  // A poll that gets lost must not put off the news of a crash.
  if (contested) {
    worker.next_poll_at_ = ctx.now_ + ctx.scheduler_.options_.resend_interval_;
  }
}

}  // namespace flamingohollow::graph_scheduler_internal

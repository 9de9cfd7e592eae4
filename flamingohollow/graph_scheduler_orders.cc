// Orders to workers, and ends by the leader's own finding.

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

// A worker that leaves may be gone without a word once its time is over.
Duration LeaseFor(const Context& ctx, const FleetWorker& worker) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (!worker.report_.draining_) return options.lease_;
  return std::min(options.lease_,
                  RemainingStay(worker, ctx.now_) + options.start_lease_);
}

}  // namespace

OrderTarget TargetOf(const Context& ctx, const FleetWorker& worker) {
  return {worker.report_.id_, worker.report_.incarnation_,
          worker.report_.address_, ctx.scheduler_.token_};
}

FleetWorker* FindLife(const Context& ctx, const WorkerId& id, WorkerLife life) {
  const auto found = ctx.scheduler_.fleet_.find(id);
  if (found == ctx.scheduler_.fleet_.end()) return nullptr;
  return found->second.report_.incarnation_ == life ? &found->second : nullptr;
}

Run* FindRun(FleetWorker& worker, const AttemptRef& attempt) {
  const auto found = worker.runs_.find(attempt);
  return found == worker.runs_.end() ? nullptr : &found->second;
}

FleetWorker* FindHolder(const Context& ctx, const AttemptRef& attempt) {
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
  // The state no longer holds the occurrence, or a newer attempt.
  for (auto& [id, worker] : ctx.scheduler_.fleet_) {
    if (worker.runs_.contains(attempt)) return &worker;
  }
  return nullptr;
}

std::string Describe(const AttemptRef& attempt) {
  const TaskRef& task = attempt.task_;
  return fmt::format("{}.{}.{}.{}#{}", task.job_.value(),
                     task.occurrence_.value(), task.step_.value(),
                     task.index_.value(), attempt.attempt_.value());
}

void Propose(Context& ctx, GraphRecord record) {
  ctx.actions_.emplace_back(std::move(record));
}

void SetPhase(Context& ctx, Run& run, RunPhase phase) {
  run.phase_ = phase;
  run.last_command_at_ = ctx.now_;
  run.commands_sent_ = 0;
  ctx.scheduler_.dirty_ = true;
}

void ProposeEnds(Context& ctx, FleetWorker& worker,
                 const std::vector<AttemptRef>& attempts, AttemptEnd end) {
  EndRecord record;
  record.ended_ = ctx.scheduler_.wall_;
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

void LoseRuns(Context& ctx, FleetWorker& worker, std::string_view why) {
  std::vector<AttemptRef> lost;
  for (const auto& [attempt, run] : worker.runs_) lost.push_back(attempt);
  if (lost.empty()) return;
  LogEvent("worker_lost", {{"worker", worker.report_.id_.value()},
                           {"life", worker.report_.incarnation_.value()},
                           {"runs", lost.size()},
                           {"why", why}});
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
  StartOrder order{.target_ = TargetOf(ctx, worker),
                   .attempt_ = attempt,
                   .payload_ = job->spec_.payload_,
                   .checkpoint_ = {}};
  order.checkpoint_ =
      spec.gang_ ? step->checkpoint_
                 : step->tasks_[attempt.task_.index_.value()].checkpoint_;
  order.lease_until_ms_ =
      GrantLease(worker, ctx.scheduler_.options_.start_lease_, ctx.now_);
  run.command_in_flight_ = true;
  run.last_command_at_ = ctx.now_;
  ++run.commands_sent_;
  ctx.actions_.emplace_back(std::move(order));
}

void SendStop(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
              Run& run) {
  run.command_in_flight_ = true;
  run.last_command_at_ = ctx.now_;
  ++run.commands_sent_;
  ctx.actions_.emplace_back(StopOrder{TargetOf(ctx, worker), attempt});
}

void StopRun(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
             Run& run, std::string_view why) {
  if (IsEnding(run)) return;
  // Its start has not left yet; decided again once its record is in the log.
  if (run.phase_ == RunPhase::kProposed) return;
  LogDetail("stop_attempt", {{"attempt", Describe(attempt)},
                             {"worker", worker.report_.id_.value()},
                             {"why", why}});
  const bool start_out =
      run.phase_ == RunPhase::kStarting && run.command_in_flight_;
  run.start_unanswered_ = run.start_unanswered_ || start_out;
  SetPhase(ctx, run, RunPhase::kStopping);
  SendStop(ctx, worker, attempt, run);
}

void SendLook(Context& ctx, FleetWorker& worker) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  LookOrder order;
  order.target_ = TargetOf(ctx, worker);
  order.number_ = ++worker.polls_sent_;
  // While the worker is silent it may be restarting, and its next life would
  // forget ends of its own up to that number.
  if (worker.unanswered_calls_ == 0) order.last_end_ = worker.logged_end_;
  order.wait_ = options.look_wait_;
  // Without a task that surely runs a worker needs no lease; with one it takes
  // longer until a task that gets lost on the way there is known to be over.
  bool runs = false;
  bool settled = worker.answered_poll_;
  for (const auto& [attempt, run] : worker.runs_) {
    runs = runs || run.phase_ == RunPhase::kRunning ||
           run.phase_ == RunPhase::kRecovering;
    settled = settled && run.phase_ == RunPhase::kRunning;
  }
  // A lease ends on the worker's clock, which the first answer tells.
  if (runs && worker.clock_at_ != Time()) {
    order.lease_until_ms_ = GrantLease(worker, LeaseFor(ctx, worker), ctx.now_);
  }
  // Something waits for what the look shows, not for an end.
  if (!settled || worker.runs_.empty()) order.wait_ = Duration(0);
  worker.poll_in_flight_ = true;
  ctx.actions_.emplace_back(std::move(order));
}

}  // namespace flamingohollow::graph_scheduler_internal

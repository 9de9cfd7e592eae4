// What a look shows of a worker: what runs there, how far it is, what has
// ended.

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

void CountOutcome(Context& ctx, FleetWorker& worker, AttemptEnd end) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (end == AttemptEnd::kDone) worker.failures_ = 0;
  if (end != AttemptEnd::kFailed) return;
  if (++worker.failures_ < options.avoid_after_) return;
  worker.avoid_until_ = ctx.now_ + options.avoid_for_;
  // One more failure after the pause is enough.
  worker.failures_ = options.avoid_after_ - 1;
  LogEvent("worker_avoided", {{"worker", worker.report_.id_.value()},
                              {"for_ms", options.avoid_for_.ms()}});
}

void TakeEnds(Context& ctx, FleetWorker& worker, const LookResult& result) {
  EndRecord record{.attempts_ = {},
                   .ended_ = ctx.scheduler_.wall_,
                   .worker_ = result.worker_,
                   .life_ = result.life_};
  for (const EndRow& row : result.ends_) {
    if (row.number_ <= worker.logged_end_) continue;
    record.last_end_ = row.number_;
    Run* run = FindRun(worker, row.attempt_);
    if (run == nullptr) continue;
    CountOutcome(ctx, worker, row.end_);
    if (!IsOpen(ctx.state_, row.attempt_)) {
      RemoveRun(worker, row.attempt_);
      ctx.scheduler_.dirty_ = true;
      continue;
    }
    run->end_proposed_ = true;
    const Checkpoint checkpoint =
        row.checkpoint_ != Checkpoint() ? row.checkpoint_ : run->checkpoint_;
    record.attempts_.push_back({row.attempt_, row.end_, checkpoint});
    LogDetail("attempt_end", {{"attempt", Describe(row.attempt_)},
                              {"worker", result.worker_.value()},
                              {"end", AttemptEndName(row.end_)}});
  }
  if (record.last_end_ == 0) return;
  if (record.attempts_.empty()) {
    worker.logged_end_ = record.last_end_;
    return;
  }
  worker.ends_proposed_ = true;
  Propose(ctx, std::move(record));
}

// Learns from how far the task came since the last measure.
void MeasurePace(Context& ctx, FleetWorker& worker, const RunningRow& row,
                 Run& run) {
  constexpr std::int64_t kWhole = 100;
  if (!row.done_percent_.has_value()) return;
  const ProgressPoint point{*row.done_percent_, ctx.now_};
  run.progress_ = point;
  if (!run.first_progress_.has_value()) {
    run.first_progress_ = point;
    run.measured_from_ = point;
  }
  // A member of a gang that is through waits for the others.
  if (point.percent_ >= kWhole) return;
  const auto rate = RateBetween(*run.measured_from_, point);
  if (!rate.has_value()) return;
  run.measured_from_ = point;
  const TaskRef& task = row.attempt_.task_;
  const GraphJob* job = FindJob(ctx.state_, task.job_);
  if (job == nullptr) return;
  const StepSpec& spec = job->spec_.steps_[task.step_.value()];
  // A task that runs until it is cancelled has no end to come nearer to; one
  // away from its data is slow by that.
  const bool away = IsAwayFromData(spec, worker.report_.rack_);
  if (spec.long_running_ || away) return;
  StepPace& step = ctx.scheduler_.step_paces_[StepOf(task)];
  if (LearnPace(worker.pace_, step, *rate, spec.gang_, ctx.now_)) {
    LogDetail("worker_pace", {{"worker", worker.report_.id_.value()},
                              {"attempt", Describe(row.attempt_)},
                              {"percent", point.percent_},
                              {"pace", std::exp(worker.pace_.log_pace_)}});
  }
}

// Stops what runs there and should not, such as an attempt that an earlier
// leader's late order began.
void TakeRunning(Context& ctx, FleetWorker& worker, const LookResult& result,
                 std::set<AttemptRef>& seen) {
  for (const RunningRow& row : result.running_) {
    seen.insert(row.attempt_);
    Run* run = FindRun(worker, row.attempt_);
    if (run == nullptr) {
      LogDetail("stop_attempt", {{"attempt", Describe(row.attempt_)},
                                 {"worker", result.worker_.value()},
                                 {"why", "no open attempt"}});
      ctx.actions_.emplace_back(StopOrder{TargetOf(ctx, worker), row.attempt_});
      continue;
    }
    if (row.checkpoint_ != Checkpoint()) run->checkpoint_ = row.checkpoint_;
    MeasurePace(ctx, worker, row, *run);
    const bool found = run->phase_ == RunPhase::kStarting ||
                       run->phase_ == RunPhase::kRecovering;
    if (!found) continue;
    run->began_ = ctx.now_;
    SetPhase(ctx, *run, RunPhase::kRunning);
  }
}

// Runs that the worker should have shown, had they ever begun.
void TakeMissing(Context& ctx, FleetWorker& worker, const LookResult& result,
                 const std::set<AttemptRef>& seen) {
  std::vector<AttemptRef> missing;
  std::vector<AttemptRef> lost;
  for (const auto& [attempt, run] : worker.runs_) {
    if (run.end_proposed_ || seen.contains(attempt)) continue;
    const bool decided = (run.phase_ == RunPhase::kRunning ||
                          run.phase_ == RunPhase::kStopped) &&
                         result.number_ >= run.first_valid_poll_;
    // The token of this look shuts out the earlier leader's late orders.
    const bool shut_out = run.phase_ == RunPhase::kRecovering;
    if (!decided && !shut_out) continue;
    (run.began_.has_value() ? lost : missing).push_back(attempt);
  }
  ProposeEnds(ctx, worker, missing, AttemptEnd::kNeverBegan);
  ProposeEnds(ctx, worker, lost, AttemptEnd::kLost);
}

}  // namespace

void On(Context& ctx, const LookResult& result) {
  FleetWorker* worker = FindLife(ctx, result.worker_, result.life_);
  if (worker == nullptr) return;
  worker->poll_in_flight_ = false;
  const std::uint32_t silent_before = worker->unanswered_calls_;
  NoteAnswer(ctx, *worker, result.outcome_);
  if (TakeEndOfLife(ctx, *worker, result.outcome_)) return;
  if (result.outcome_ != OrderOutcome::kDone) {
    worker->next_poll_at_ = ctx.now_ + ctx.scheduler_.options_.resend_;
    return;
  }
  RecordClock(*worker, result.clock_ms_, ctx.now_);
  worker->last_heard_at_ = std::max(worker->last_heard_at_, ctx.now_);
  if (!worker->answered_poll_) ctx.scheduler_.dirty_ = true;
  worker->answered_poll_ = true;
  worker->next_poll_at_ = ctx.now_;
  if (silent_before == 0) {
    worker->acknowledged_end_ =
        std::max(worker->acknowledged_end_, worker->logged_end_);
  }
  std::set<AttemptRef> seen;
  for (const EndRow& row : result.ends_) seen.insert(row.attempt_);
  TakeRunning(ctx, *worker, result, seen);
  TakeEnds(ctx, *worker, result);
  TakeMissing(ctx, *worker, result, seen);
}

}  // namespace flamingohollow::graph_scheduler_internal

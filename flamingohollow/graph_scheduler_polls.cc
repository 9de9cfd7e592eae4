// Handles poll results: the attempts that run on a worker, their progress, and
// the attempts that have ended.

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

// A worker that has said that it leaves is polled this often until it is known
// to be gone, as its tasks wait for that.
constexpr Duration kLeftPollInterval(50);

void CountOutcome(Context& ctx, FleetWorker& worker, AttemptEnd end) {
  const bool failed = end == AttemptEnd::kFailed;
  if (!failed && end != AttemptEnd::kDone) return;
  const bool avoided = IsLikelyFaulty(worker.suspicion_, ctx.now_);
  RecordOutcome(worker.suspicion_, failed, ctx.now_);
  if (avoided || !IsLikelyFaulty(worker.suspicion_, ctx.now_)) return;
  LogEvent("worker_avoided",
           {{"worker", worker.report_.id_.value()}, {"why", "its tasks fail"}});
}

// Returns the step if its tasks' rates on the worker tell of its speed. A
// long-running task makes no progress towards an end, and a task away from its
// data or on a cold worker is slow for that reason.
const StepSpec* FindComparableStep(const Context& ctx,
                                   const FleetWorker& worker,
                                   const TaskRef& task) {
  const GraphJob* job = FindJob(ctx.state_, task.job_);
  if (job == nullptr) return nullptr;
  const StepSpec& spec = job->spec_.steps_[task.step_.value()];
  if (spec.long_running_ || IsCold(worker, ctx.now_)) return nullptr;
  return IsAwayFromData(spec, worker.report_.rack_) ? nullptr : &spec;
}

void MeasureSpeed(Context& ctx, FleetWorker& worker, Run& run,
                  const TaskRef& task, const StepSpec& spec, double log_rate) {
  // The work of a single task is as uneven at its end as at its start.
  if (run.speed_measured_ && !spec.gang_) return;
  run.speed_measured_ = true;
  LearnSpeed(worker.speed_, ctx.scheduler_.step_rates_[StepOf(task)], log_rate,
             spec.gang_, ctx.now_);
}

// Returns when the attempt began its task from the start, if that is known. The
// members of a gang begin when the last of them has been started.
std::optional<Time> FindBegin(const AttemptRef& attempt, const Run& run,
                              const StepSpec& spec) {
  const bool first = attempt.attempt_ == Next(AttemptId());
  const bool answered =
      run.phase_ == RunPhase::kRunning && run.first_valid_poll_ > 0;
  if (!first || !answered || spec.gang_) return std::nullopt;
  return run.began_;
}

// Updates the worker's speed from the length of a whole task that was too short
// to be measured by its progress.
void MeasureLength(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
                   Run& run) {
  constexpr Duration kMinLength(400);
  const StepSpec* spec = FindComparableStep(ctx, worker, attempt.task_);
  if (spec == nullptr) return;
  const auto began = FindBegin(attempt, run, *spec);
  if (!began.has_value() || ctx.now_ - *began < kMinLength) return;
  constexpr double kMsPerSecond = 1000;
  const auto ms = static_cast<double>((ctx.now_ - *began).ms());
  MeasureSpeed(ctx, worker, run, attempt.task_, *spec,
               std::log(kMsPerSecond / ms));
}

void HandleEnds(Context& ctx, FleetWorker& worker, const PollResult& result) {
  EndRecord record{.attempts_ = {},
                   .ended_ = ctx.scheduler_.wall_time_,
                   .worker_ = result.worker_,
                   .incarnation_ = result.incarnation_};
  for (const ReportedEnd& row : result.ends_) {
    if (row.number_ <= worker.logged_end_) continue;
    record.last_end_ = row.number_;
    Run* run = FindRun(worker, row.attempt_);
    if (run == nullptr) continue;
    CountOutcome(ctx, worker, row.end_);
    if (!IsOpen(ctx.state_, row.attempt_)) {
      RemoveRun(worker, row.attempt_);
      ctx.scheduler_.placement_due_ = true;
      continue;
    }
    if (row.end_ == AttemptEnd::kDone) {
      MeasureLength(ctx, worker, row.attempt_, *run);
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

// Updates the worker's pace from the task's progress since the last
// measurement.
void MeasurePace(Context& ctx, FleetWorker& worker, const RunningAttempt& row,
                 Run& run) {
  constexpr std::int64_t kWhole = 100;
  if (!row.done_percent_.has_value()) return;
  const ProgressPoint point{*row.done_percent_, ctx.now_};
  run.progress_ = point;
  if (!run.first_progress_.has_value()) {
    run.first_progress_ = point;
    run.measured_from_ = point;
  }
  // A gang member that has finished its work waits for the others, so its rate
  // says nothing.
  if (point.percent_ >= kWhole) return;
  const TaskRef& task = row.attempt_.task_;
  const StepSpec* spec = FindComparableStep(ctx, worker, task);
  if (spec != nullptr && !run.speed_measured_) {
    if (const auto began = FindBegin(row.attempt_, run, *spec)) {
      const auto rate = RateBetween({0, *began}, point);
      if (rate.has_value()) MeasureSpeed(ctx, worker, run, task, *spec, *rate);
    }
  }
  const auto rate = RateBetween(*run.measured_from_, point);
  if (!rate.has_value()) return;
  run.measured_from_ = point;
  if (spec == nullptr) return;
  MeasureSpeed(ctx, worker, run, task, *spec, *rate);
  StepPace& step = ctx.scheduler_.step_paces_[StepOf(task)];
  if (LearnPace(worker.pace_, step, *rate, spec->gang_, ctx.now_)) {
    LogDetail("worker_pace", {{"worker", worker.report_.id_.value()},
                              {"attempt", Describe(row.attempt_)},
                              {"percent", point.percent_},
                              {"pace", std::exp(worker.pace_.log_pace_)}});
  }
}

// Nothing if the job has been forgotten.
Resources NeedOf(const GraphState& state, const TaskRef& task) {
  const GraphJob* job = FindJob(state, task.job_);
  const bool known =
      job != nullptr && task.step_.value() < job->spec_.steps_.size();
  return known ? ReservedResources(job->spec_.steps_[task.step_.value()])
               : Resources();
}

// Handles the attempts that run on the worker. Stops those that should not,
// such as one started by a delayed command of an earlier leader; they take
// resources until they have ended. Adds all to `seen`.
void HandleRunning(Context& ctx, FleetWorker& worker, const PollResult& result,
                   std::set<AttemptRef>& seen) {
  const Resources strays_before = std::exchange(worker.strays_, Resources());
  for (const RunningAttempt& row : result.running_) {
    seen.insert(row.attempt_);
    Run* run = FindRun(worker, row.attempt_);
    if (run == nullptr) {
      worker.strays_ = worker.strays_ + NeedOf(ctx.state_, row.attempt_.task_);
      LogDetail("stop_attempt", {{"attempt", Describe(row.attempt_)},
                                 {"worker", result.worker_.value()},
                                 {"why", "no open attempt"}});
      ctx.actions_.emplace_back(
          StopCommand{TargetOf(ctx, worker), row.attempt_});
      continue;
    }
    if (row.checkpoint_ != Checkpoint()) run->checkpoint_ = row.checkpoint_;
    MeasurePace(ctx, worker, row, *run);
    const bool began = run->phase_ == RunPhase::kStarting ||
                       run->phase_ == RunPhase::kRecovering;
    if (!began) continue;
    run->began_ = ctx.now_;
    SetPhase(ctx, *run, RunPhase::kRunning);
  }
  if (worker.strays_ != strays_before) ctx.scheduler_.placement_due_ = true;
}

// Proposes ends for runs that the poll should have shown but did not.
void HandleMissing(Context& ctx, FleetWorker& worker, const PollResult& result,
                   const std::set<AttemptRef>& seen) {
  // A run that is missing may be among the ends that the worker lists next.
  if (result.more_ends_) return;
  std::vector<AttemptRef> missing;
  std::vector<AttemptRef> lost;
  for (const auto& [attempt, run] : worker.runs_) {
    if (run.end_proposed_ || seen.contains(attempt)) continue;
    const bool decided = (run.phase_ == RunPhase::kRunning ||
                          run.phase_ == RunPhase::kStopped) &&
                         result.number_ >= run.first_valid_poll_;
    // The token of this poll makes the worker reject delayed commands of
    // earlier leaders.
    const bool fenced = run.phase_ == RunPhase::kRecovering;
    if (!decided && !fenced) continue;
    (run.began_.has_value() ? lost : missing).push_back(attempt);
  }
  ProposeEnds(ctx, worker, missing, AttemptEnd::kNeverStarted);
  ProposeEnds(ctx, worker, lost, AttemptEnd::kLost);
}

}  // namespace

void On(Context& ctx, const PollResult& result) {
  FleetWorker* worker =
      FindIncarnation(ctx, result.worker_, result.incarnation_);
  if (worker == nullptr) return;
  worker->poll_in_flight_ = false;
  RecordAnswer(ctx, *worker, result.outcome_);
  if (HandleIncarnationEnd(ctx, *worker, result.outcome_)) return;
  if (result.outcome_ != CommandOutcome::kDone) {
    if (worker->left_ && result.refused_) return RemoveLeft(ctx, *worker);
    worker->next_poll_at_ =
        ctx.now_ + (worker->left_ ? kLeftPollInterval
                                  : ctx.scheduler_.options_.resend_interval_);
    return;
  }
  RecordClock(*worker, result.clock_ms_, ctx.now_);
  worker->last_heard_at_ = std::max(worker->last_heard_at_, ctx.now_);
  worker->replaced_at_ = Time();
  const bool here = worker->polled_address_ == worker->report_.address_;
  if (here && !worker->answered_poll_) {
    ctx.scheduler_.placement_due_ = true;
    worker->answered_poll_ = true;
    if (worker->reported_) ListWorker(ctx, *worker);
  }
  worker->next_poll_at_ = std::max(worker->next_poll_at_, ctx.now_);
  worker->acknowledged_end_ =
      std::max(worker->acknowledged_end_, worker->polled_end_);
  worker->more_ends_ = result.more_ends_;
  std::set<AttemptRef> seen;
  for (const ReportedEnd& row : result.ends_) seen.insert(row.attempt_);
  HandleRunning(ctx, *worker, result, seen);
  HandleEnds(ctx, *worker, result);
  HandleMissing(ctx, *worker, result, seen);
  ProposeConfirmed(ctx, *worker);
}

}  // namespace flamingohollow::graph_scheduler_internal

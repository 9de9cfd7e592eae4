// Handles committed records, whichever leader proposed them, and proposed
// records of this scheduler that were not committed.

#include <algorithm>
#include <string>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

void CheckJob(Context& ctx, const GraphJobKey& key) {
  ctx.scheduler_.jobs_to_check_.insert(key);
}

// Whether the end of an attempt may be a reason to stop others of its job.
bool MayStopOthers(const Context& ctx, const TaskRef& task) {
  const GraphJob* job = FindJob(ctx.state_, task.job_);
  if (job == nullptr) return false;
  return job->state_ != GraphJobState::kActive ||
         job->spec_.steps_[task.step_.value()].gang_;
}

// Counts an attempt's end in its job's trace.
void TraceEnd(Context& ctx, const EndedAttempt& ended) {
  JobTrace* trace = FindTrace(ctx, ended.attempt_.task_.job_);
  if (trace == nullptr) return;
  if (ended.end_ == AttemptEnd::kFailed) ++trace->failed_;
  if (ended.end_ == AttemptEnd::kLost) ++trace->lost_;
}

// Logs what became of the job, and what delayed it most, once it has ended.
void LogIfEnded(Context& ctx, const GraphJobKey& key) {
  const JobTrace* trace = FindTrace(ctx, key);
  const GraphJob* job = FindJob(ctx.state_, key);
  const bool ended = job != nullptr && job->state_ != GraphJobState::kActive;
  if (trace == nullptr || !ended) return;
  const JobTimes times = MeasureTimes(*trace, *job, ctx.now_);
  const DelayCause cause = FindDelayCause(*trace, times, *job);
  LogEvent("job_end", {{"job", key.value()},
                       {"queue", job->queue_.value()},
                       {"priority", job->terms_.priority_},
                       {"customer", job->customer_.value()},
                       {"outcome", GraphJobStateName(job->state_)},
                       {"late_ms", times.late_.ms()},
                       {"cause", DelayCauseName(cause)},
                       {"total_ms", times.total_.ms()},
                       {"waited_ms", times.waited_.ms()},
                       {"repeated_ms", times.repeated_.ms()},
                       {"ran_ms", times.ran_.ms()},
                       {"estimate_ms", LongestChain(job->spec_).ms()},
                       {"attempts", trace->attempts_},
                       {"preempted", trace->preempted_},
                       {"evacuated", trace->evacuated_},
                       {"failed", trace->failed_},
                       {"lost", trace->lost_}});
  ctx.scheduler_.traces_.erase(key);
}

void OnApplied(Context& ctx, const OpenRecord& record) {
  if (ctx.scheduler_.open_records_in_flight_ > 0)
    --ctx.scheduler_.open_records_in_flight_;
  for (const OpenedAttempt& opened : record.attempts_) {
    const auto found = ctx.scheduler_.fleet_.find(opened.worker_);
    if (found == ctx.scheduler_.fleet_.end()) continue;
    FleetWorker& worker = found->second;
    Run* run = FindRun(worker, opened.attempt_);
    if (run == nullptr) continue;
    if (!IsOpen(ctx.state_, opened.attempt_)) {
      RemoveRun(worker, opened.attempt_);
      continue;
    }
    if (JobTrace* trace = FindTrace(ctx, opened.attempt_.task_.job_)) {
      RecordOpened(*trace, ctx.now_);
    }
    SetPhase(ctx, *run, RunPhase::kStarting);
    // The job may have been cancelled since the attempt was proposed.
    CheckJob(ctx, opened.attempt_.task_.job_);
    // The worker started to drain, restarted, shrank, was lost or was evacuated
    // after the attempt was proposed.
    const bool unfit = worker.report_.incarnation_ != opened.incarnation_ ||
                       !worker.reported_ || worker.report_.draining_ ||
                       IsEvacuated(ctx, worker) || IsOvercommitted(worker);
    if (unfit) {
      ProposeEnds(ctx, worker, {opened.attempt_}, AttemptEnd::kRejected);
      continue;
    }
    SendStart(ctx, worker, opened.attempt_, *run);
  }
}

void OnApplied(Context& ctx, const EndRecord& record) {
  for (const EndedAttempt& ended : record.attempts_) {
    const TaskRef& task = ended.attempt_.task_;
    if (MayStopOthers(ctx, task)) CheckJob(ctx, task.job_);
    TraceEnd(ctx, ended);
    LogIfEnded(ctx, task.job_);
    FleetWorker* holder = FindWorkerOf(ctx, ended.attempt_);
    if (holder == nullptr) continue;
    if (FindRun(*holder, ended.attempt_)->end_proposed_) {
      RemoveRun(*holder, ended.attempt_);
    }
  }
  FleetWorker* worker =
      FindIncarnation(ctx, record.worker_, record.incarnation_);
  if (worker != nullptr && record.last_end_ > 0) {
    worker->logged_end_ = std::max(worker->logged_end_, record.last_end_);
    worker->ends_proposed_ = false;
  }
}

void OnApplied(Context& ctx, const SubmitRecord& record) {
  ctx.scheduler_.last_accepted_ = ctx.now_;
  ctx.scheduler_.queued_since_.emplace(record.key_, ctx.now_);
  ctx.scheduler_.traces_[record.key_].queued_at_ = ctx.now_;
  if (record.terms_.priority_ == 0) ctx.scheduler_.urgent_placement_due_ = true;
}

void OnApplied(Context& ctx, const DueRecord& record) {
  for (const auto& item : record.items_) {
    ctx.scheduler_.due_proposed_.erase(item.key_);
  }
}

void OnApplied(Context& ctx, const ForgetRecord& record) {
  for (const GraphJobKey& key : record.keys_) {
    ctx.scheduler_.forget_proposed_.erase(key);
    ctx.scheduler_.queued_since_.erase(key);
    ctx.scheduler_.traces_.erase(key);
    const auto forget = [&key](auto& steps) {
      auto step = steps.lower_bound({key, Occurrence(), StepIndex()});
      while (step != steps.end() && step->first.job_ == key) {
        step = steps.erase(step);
      }
    };
    forget(ctx.scheduler_.step_paces_);
    forget(ctx.scheduler_.step_rates_);
  }
}

void OnApplied(Context& ctx, const CancelRecord& record) {
  CheckJob(ctx, record.key_);
  LogIfEnded(ctx, record.key_);
}

void OnApplied(Context& /*ctx*/, const CatalogRecord& /*record*/) {}

// Stops what else runs of the jobs that were given up.
void HandleGivenUp(Context& ctx) {
  for (const TaskRef& task : ctx.state_.new_given_up_) {
    const CrashHistory& history = ctx.state_.crashes_.histories_.at(task);
    LogEvent("task_given_up", {{"task", Describe(task)},
                               {"crashes", history.crashes_},
                               {"begun", history.begun_},
                               {"blamed", history.blamed_},
                               {"isolated", history.isolated_}});
    CheckJob(ctx, task.job_);
    LogIfEnded(ctx, task.job_);
  }
}

// Waves are of one series if they are this far apart. Crashes that are closer
// are of one wave.
constexpr Duration kMinWaveInterval = Duration(3000);
constexpr Duration kMaxWaveInterval = Duration(15'000);

void NoteWave(Context& ctx, Time restarted) {
  Scheduler& scheduler = ctx.scheduler_;
  // The worker's clock may be ahead.
  const Duration age = std::max(scheduler.wall_time_ - restarted, Duration());
  const Time crashed = ctx.now_ - age;
  if (!AwaitsCalm(scheduler, ctx.now_)) scheduler.waves_began_ = ctx.now_;
  const Duration apart = crashed - scheduler.last_in_wave_;
  if (apart >= kMinWaveInterval) {
    scheduler.wave_interval_ = apart <= kMaxWaveInterval ? apart : Duration();
  }
  scheduler.last_in_wave_ = std::max(scheduler.last_in_wave_, crashed);
}

// Logs the crashes that the record has shown.
void OnApplied(Context& ctx, const WorkerRecord& /*record*/) {
  constexpr std::size_t kMaxTasksLogged = 8;
  for (const WorkerCrash& crash : ctx.state_.new_crashes_) {
    std::string tasks;
    for (std::size_t i = 0; i < std::min(crash.tasks_.size(), kMaxTasksLogged);
         ++i) {
      if (i > 0) tasks += ',';
      tasks += Describe(crash.tasks_[i]);
    }
    LogEvent("worker_crashed", {{"worker", crash.worker_.value()},
                                {"life", crash.incarnation_.value()},
                                {"tasks", crash.tasks_.size()},
                                {"first", tasks},
                                {"blamed", crash.blamed_.size()},
                                {"in_wave", crash.in_wave_}});
    if (crash.in_wave_) NoteWave(ctx, crash.restarted_);
  }
  HandleGivenUp(ctx);
}

void OnApplied(Context& ctx, const GiveUpRecord& /*record*/) {
  HandleGivenUp(ctx);
}

void OnApplied(Context& /*ctx*/, const EvacuationRecord& /*record*/) {}
void OnApplied(Context& /*ctx*/, const WorkerSpeedsRecord& /*record*/) {}
void OnApplied(Context& /*ctx*/, const ConfirmedRecord& /*record*/) {}

void OnLost(Context& ctx, const OpenRecord& record) {
  if (ctx.scheduler_.open_records_in_flight_ > 0)
    --ctx.scheduler_.open_records_in_flight_;
  for (const OpenedAttempt& opened : record.attempts_) {
    const auto found = ctx.scheduler_.fleet_.find(opened.worker_);
    if (found != ctx.scheduler_.fleet_.end()) {
      RemoveRun(found->second, opened.attempt_);
    }
  }
}

void OnLost(Context& ctx, const EndRecord& record) {
  for (const EndedAttempt& ended : record.attempts_) {
    FleetWorker* holder = FindWorkerOf(ctx, ended.attempt_);
    if (holder == nullptr) continue;
    FindRun(*holder, ended.attempt_)->end_proposed_ = false;
    CheckJob(ctx, ended.attempt_.task_.job_);
  }
  FleetWorker* worker =
      FindIncarnation(ctx, record.worker_, record.incarnation_);
  if (worker != nullptr) worker->ends_proposed_ = false;
}

void OnLost(Context& ctx, const DueRecord& record) {
  for (const auto& item : record.items_) {
    ctx.scheduler_.due_proposed_.erase(item.key_);
  }
}

void OnLost(Context& ctx, const ForgetRecord& record) {
  for (const GraphJobKey& key : record.keys_) {
    ctx.scheduler_.forget_proposed_.erase(key);
  }
}

template <class Record>
void OnLost(Context& /*ctx*/, const Record& /*record*/) {}

}  // namespace

void On(Context& ctx, const RecordApplied& applied) {
  ctx.scheduler_.placement_due_ = true;
  std::visit([&ctx](const auto& record) { OnApplied(ctx, record); },
             *applied.record_);
}

void On(Context& ctx, const RecordLost& lost) {
  ctx.scheduler_.placement_due_ = true;
  std::visit([&ctx](const auto& record) { OnLost(ctx, record); }, lost.record_);
}

}  // namespace flamingohollow::graph_scheduler_internal

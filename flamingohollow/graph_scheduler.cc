// The scheduler's timers (resent commands, draining workers, due occurrences,
// expired jobs and workers), placement, and recovery by a new leader.

#include "flamingohollow/graph_scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow {
namespace graph_scheduler_internal {
namespace {

// Waiting jobs become more urgent with time, so a placement pass runs this
// often even if nothing else changes.
constexpr Duration kPlacementInterval = Duration(100);
// The pause between placement passes is this many times the duration of the
// last one, so that passes leave most of the thread's time to polls, commands
// and callers. The shorter pause holds if urgent work has been accepted.
constexpr std::int64_t kPausePerCost = 4;
constexpr std::int64_t kUrgentPausePerCost = 2;
// Bounds the pause after a pass that took long because the process was slow or
// suspended.
constexpr Duration kMaxPlacementPause = Duration(250);
// A worker that has sent nothing for this long is considered gone for good.
// Network partitions are several times shorter.
constexpr Duration kRemoveWorkerAfter = Duration(60000);
// A worker on which urgent work was found to be slow gets no new tasks for this
// long. Such faults last seconds.
constexpr Duration kAvoidSlowWorker = Duration(6000);
// The process that has taken a worker's address is expected to report within
// this time. The worker's runs end with that report, so that its crash counts
// before they start again.
constexpr Duration kMaxSuccessorReport = Duration(1000);
// Remaining times are accurate to about a third: a task that needs more than
// this many tenths of its worker's remaining time won't finish there.
constexpr std::int64_t kRemainingTimeMarginTenths = 13;

// Why the open attempts of the step should be stopped; empty if they should
// continue.
std::string_view StopReason(const GraphJob& job, const StepSpec& spec,
                            const StepRecord& step) {
  if (job.state_ == GraphJobState::kCancelled) return "its job is cancelled";
  if (job.state_ == GraphJobState::kFailed) return "its job has failed";
  const bool complete = !spec.gang_ || step.open_ == step.tasks_.size();
  return complete ? "" : "another member of its gang ended";
}

// Stops all members of the attempt's gang, as they can't work without it.
void StopRestOfGang(Context& ctx, const AttemptRef& attempt,
                    std::string_view why) {
  const TaskRef& task = attempt.task_;
  const GraphJob* job = FindJob(ctx.state_, task.job_);
  if (job == nullptr || !job->spec_.steps_[task.step_.value()].gang_) return;
  const StepRecord* step = FindStep(*job, task.occurrence_, task.step_);
  if (step == nullptr) return;
  for (std::uint32_t index = 0; index < step->tasks_.size(); ++index) {
    AttemptRef member = attempt;
    member.task_.index_ = TaskIndex(index);
    FleetWorker* holder = FindWorkerOf(ctx, member);
    if (holder == nullptr) continue;
    StopRun(ctx, *holder, member, *FindRun(*holder, member), why);
  }
}

void RetryCommands(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
                   Run& run) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (run.command_in_flight_ ||
      ctx.now_ - run.last_command_at_ < options.resend_interval_)
    return;
  if (run.phase_ == RunPhase::kStopping) {
    return SendStop(ctx, worker, attempt, run);
  }
  if (run.phase_ != RunPhase::kStarting) return;
  std::string_view why = "its start had no answer";
  if (IsEvacuated(ctx, worker)) {
    why = "its failure domain is evacuated";
  } else if (IsOvercommitted(worker)) {
    why = "its worker has shrunk";
  } else if (run.commands_sent_ < options.max_start_commands_) {
    return SendStart(ctx, worker, attempt, run);
  }
  StopRun(ctx, worker, attempt, run, why);
  StopRestOfGang(ctx, attempt, "the start of a gang member had no answer");
}

// Whether to stop the task now because it won't finish before its worker leaves
// in `time_left`. The worker confirms a stop, whereas a worker that has left
// doesn't answer, and its lease has to expire first. Tasks with checkpoints and
// long-running tasks run until shortly before the worker leaves; other tasks
// gain nothing by running on.
bool ShouldStopBeforeDrain(const Context& ctx, const Run& run,
                           const StepSpec& spec, Duration time_left) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (spec.long_running_) return time_left <= options.evacuation_lead_;
  const Duration needs = RemainingTime(run, spec.estimate_, ctx.now_);
  if (needs < time_left) return false;
  if (time_left <= options.evacuation_lead_) return true;
  return !spec.checkpoints_ &&
         needs * 10 > time_left * kRemainingTimeMarginTenths;
}

void Evacuate(Context& ctx, FleetWorker& worker) {
  const Duration time_left = RemainingStay(worker, ctx.now_);
  for (auto& [attempt, run] : worker.runs_) {
    const GraphJob* job = FindJob(ctx.state_, attempt.task_.job_);
    if (job == nullptr || IsEnding(run)) continue;
    const StepSpec& spec = job->spec_.steps_[attempt.task_.step_.value()];
    if (ShouldStopBeforeDrain(ctx, run, spec, time_left)) {
      StopRun(ctx, worker, attempt, run, "its worker leaves");
      if (JobTrace* trace = FindTrace(ctx, attempt.task_.job_)) {
        ++trace->evacuated_;
      }
      StopRestOfGang(ctx, attempt, "the worker of a gang member leaves");
    }
  }
}

void TickWorker(Context& ctx, FleetWorker& worker) {
  if (!worker.runs_.empty() && ctx.now_ >= worker.lease_end_) {
    ProposeLostRuns(ctx, worker, "its lease is over");
  }
  if (worker.replaced_at_ != Time() &&
      ctx.now_ - worker.replaced_at_ >= kMaxSuccessorReport) {
    ProposeLostRuns(ctx, worker, "another worker answered at its address");
  }
  if (!worker.reported_) return;
  ListIfSettled(ctx, worker);
  ResendStops(ctx, worker);
  for (auto& [attempt, run] : worker.runs_) {
    if (!run.end_proposed_) RetryCommands(ctx, worker, attempt, run);
  }
  if (worker.report_.draining_) Evacuate(ctx, worker);
  PollIfDue(ctx, worker);
}

// Stops an open attempt. Returns false if that is not possible yet.
bool StopAttempt(Context& ctx, const AttemptRef& attempt,
                 std::string_view why) {
  FleetWorker* worker = FindWorkerOf(ctx, attempt);
  if (worker == nullptr) return true;
  Run& run = worker->runs_.at(attempt);
  if (worker->reported_) StopRun(ctx, *worker, attempt, run, why);
  return IsEnding(run);
}

// Stops the runs of the job that should not continue. Returns false if some
// can't be stopped yet.
bool StopUnwanted(Context& ctx, const GraphJob& job) {
  bool all = true;
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepRecord& step = occurrence.steps_[i];
      if (step.open_ == 0) continue;
      const std::string_view why = StopReason(job, job.spec_.steps_[i], step);
      if (why.empty()) continue;
      for (std::uint32_t index = 0; index < step.tasks_.size(); ++index) {
        const TaskRecord& task = step.tasks_[index];
        const TaskRef ref{job.key_, number, StepIndex(i), TaskIndex(index)};
        if (task.open_ && !StopAttempt(ctx, {ref, task.attempt_}, why)) {
          all = false;
        }
      }
    }
  }
  return all;
}

void CheckJobs(Context& ctx) {
  std::set<GraphJobKey> jobs = std::move(ctx.scheduler_.jobs_to_check_);
  ctx.scheduler_.jobs_to_check_.clear();
  for (const GraphJobKey& key : jobs) {
    const GraphJob* job = FindJob(ctx.state_, key);
    const bool settled = job == nullptr || StopUnwanted(ctx, *job);
    if (!settled) ctx.scheduler_.jobs_to_check_.insert(key);
  }
}

// Whether the job's unfinished occurrences hold as many tasks as a job may
// have. Further ones become due once some have finished, since each takes
// memory on all control nodes.
bool HasManyDue(const GraphJob& job) {
  std::uint64_t tasks = 0;
  for (const StepSpec& step : job.spec_.steps_) tasks += step.tasks_;
  return job.occurrences_.size() * tasks >= kMaxTasksPerJob;
}

void ProposeDue(Context& ctx) {
  DueRecord record;
  for (const auto& [key, job] : ctx.state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    if (job.next_due_ >= job.spec_.occurrences_ || HasManyDue(job)) continue;
    if (ctx.scheduler_.due_proposed_.contains(key)) continue;
    const Time due =
        job.spec_.first_due_ +
        job.spec_.interval_ * static_cast<std::int64_t>(job.next_due_);
    if (ctx.scheduler_.wall_time_ < due) continue;
    record.items_.push_back({key, Occurrence(job.next_due_)});
    ctx.scheduler_.due_proposed_.insert(key);
  }
  if (!record.items_.empty()) Propose(ctx, std::move(record));
}

void ProposeForget(Context& ctx) {
  ForgetRecord record;
  for (const auto& [key, job] : ctx.state_.jobs_) {
    if (job.state_ == GraphJobState::kActive) continue;
    const Duration age = ctx.scheduler_.wall_time_ - job.ended_;
    if (age < ctx.scheduler_.options_.ended_job_retention_) continue;
    if (!ctx.scheduler_.forget_proposed_.insert(key).second) continue;
    record.keys_.push_back(key);
  }
  if (!record.keys_.empty()) Propose(ctx, std::move(record));
}

// Removes workers that have sent nothing for a long time from the fleet and
// from the replicated state.
void ForgetWorkers(Context& ctx) {
  WorkerRecord record;
  for (const auto& [id, worker] : ctx.scheduler_.fleet_) {
    const bool silent = ctx.now_ - worker.last_heard_at_ > kRemoveWorkerAfter;
    if (!silent || !worker.runs_.empty()) continue;
    LogEvent("worker_forgotten",
             {{"worker", id.value()},
              {"life", worker.report_.incarnation_.value()}});
    record.gone_.push_back(id);
  }
  if (record.gone_.empty()) return;
  for (const WorkerId& id : record.gone_) ctx.scheduler_.fleet_.erase(id);
  Propose(ctx, std::move(record));
}

// Verdicts on tasks that crash their workers are looked for this often.
constexpr Duration kVerdictInterval = Duration(200);

// Proposes to give up tasks, once all crashes at about the same time as theirs
// are known.
void ProposeVerdicts(Context& ctx) {
  Scheduler& scheduler = ctx.scheduler_;
  if (ctx.now_ < scheduler.next_verdicts_) return;
  scheduler.next_verdicts_ = ctx.now_ + kVerdictInterval;
  GiveUpRecord record;
  std::map<TaskRef, Time> awaited;
  for (const auto& [task, history] : ctx.state_.crashes_.histories_) {
    const Verdict verdict = VerdictOn(history);
    if (verdict == Verdict::kGoOn) continue;
    if (!IsTaskUnfinished(ctx.state_, task)) continue;
    if (IsTaskOpen(ctx.state_, task)) continue;
    const auto known = scheduler.verdicts_since_.find(task);
    const Time since =
        known == scheduler.verdicts_since_.end() ? ctx.now_ : known->second;
    awaited.emplace(task, since);
    // Leaders that change often must not put the verdict off for ever.
    const bool waited =
        ctx.now_ - since >= kWaveReportTime ||
        scheduler.wall_time_ - history.last_crash_ > kMaxWaveReportTime;
    if (verdict == Verdict::kGiveUp || waited) record.tasks_.push_back(task);
  }
  scheduler.verdicts_since_ = std::move(awaited);
  if (!record.tasks_.empty()) Propose(ctx, std::move(record));
}

// Speeds are recorded this often at most.
constexpr Duration kSpeedsRecordInterval = Duration(2000);
// Workers in one record; a record takes some 40 bytes for each.
constexpr std::size_t kMaxSpeedsInRecord = 250;

// Records the speeds that have become known or have changed, so that the next
// leader begins with them.
void ProposeSpeeds(Context& ctx) {
  if (ctx.now_ < ctx.scheduler_.next_speeds_record_) return;
  ctx.scheduler_.next_speeds_record_ = ctx.now_ + kSpeedsRecordInterval;
  WorkerSpeedsRecord record;
  for (const auto& [id, worker] : ctx.scheduler_.fleet_) {
    if (record.speeds_.size() >= kMaxSpeedsInRecord) break;
    const auto listed = ctx.state_.worker_speeds_.find(id);
    const bool is_listed =
        listed != ctx.state_.worker_speeds_.end() &&
        listed->second.incarnation_ == worker.report_.incarnation_;
    const auto speed = SpeedToRecord(
        worker.speed_, is_listed ? &listed->second : nullptr, ctx.now_);
    if (!worker.reported_ || !speed.has_value()) continue;
    LearnedSpeed& added = record.speeds_[id];
    added = *speed;
    added.incarnation_ = worker.report_.incarnation_;
  }
  if (!record.speeds_.empty()) Propose(ctx, std::move(record));
}

// Returns the speed that the plan assumed of a worker.
double AssumedSpeed(const Context& ctx, const WorkerId& id,
                    const PlacementPlan& plan) {
  const auto worker = ctx.scheduler_.fleet_.find(id);
  if (worker == ctx.scheduler_.fleet_.end()) return 1;
  const auto spread = plan.spreads_.find(worker->second.report_.pool_);
  if (spread == plan.spreads_.end()) return 1;
  return SpeedOf(worker->second.speed_, spread->second, ctx.now_);
}

// Logs one event per group of tasks of a step that start together.
void LogPlaced(const Context& ctx, const PlacementPlan& plan,
               const std::vector<OpenedAttempt>& attempts) {
  for (std::size_t begin = 0; begin < attempts.size();) {
    std::size_t end = begin;
    std::string workers;
    double slowest = std::numeric_limits<double>::infinity();
    while (end < attempts.size() &&
           IsSameStart(attempts[begin].attempt_, attempts[end].attempt_)) {
      if (!workers.empty()) workers += ',';
      workers += attempts[end].worker_.value();
      slowest =
          std::min(slowest, AssumedSpeed(ctx, attempts[end].worker_, plan));
      ++end;
    }
    LogDetail("place", {{"attempt", Describe(attempts[begin].attempt_)},
                        {"tasks", end - begin},
                        {"workers", workers},
                        {"speed", fmt::format("{:.2f}", slowest)}});
    begin = end;
  }
}

void StartPlanned(Context& ctx, const PlacementPlan& plan) {
  if (plan.open_.empty()) return;
  OpenRecord record;
  for (const OpenedAttempt& opened : plan.open_) {
    FleetWorker* worker =
        FindIncarnation(ctx, opened.worker_, opened.incarnation_);
    const GraphJob* job = FindJob(ctx.state_, opened.attempt_.task_.job_);
    if (worker == nullptr || job == nullptr) continue;
    const StepSpec& spec =
        job->spec_.steps_[opened.attempt_.task_.step_.value()];
    Run run;
    run.need_ = ReservedResources(spec);
    run.urgent_ = job->terms_.priority_ == 0;
    run.last_command_at_ = ctx.now_;
    AddRun(*worker, opened.attempt_, std::move(run));
    record.attempts_.push_back(opened);
  }
  LogPlaced(ctx, plan, record.attempts_);
  ++ctx.scheduler_.open_records_in_flight_;
  Propose(ctx, std::move(record));
}

bool IsPlacementDue(const Context& ctx) {
  const Scheduler& scheduler = ctx.scheduler_;
  if (scheduler.open_records_in_flight_ > 0) return false;
  if (!scheduler.placement_due_ && ctx.now_ < scheduler.next_placement_) {
    return false;
  }
  const std::int64_t factor =
      scheduler.urgent_placement_due_ ? kUrgentPausePerCost : kPausePerCost;
  // The last pass began at `last_placement_`.
  const Duration pause =
      std::min(scheduler.placement_cost_ * (factor + 1), kMaxPlacementPause);
  return ctx.now_ - scheduler.last_placement_ >= pause;
}

void StopPlanned(Context& ctx, const PlacementPlan& plan) {
  for (const PlacementPlan::Stop& stop : plan.stop_) {
    FleetWorker& worker = ctx.scheduler_.fleet_.at(stop.worker_);
    RecordPreempted(ctx.scheduler_.urgent_demands_, worker.report_.pool_, 1,
                    ctx.now_);
    Run* run = FindRun(worker, stop.attempt_);
    if (run != nullptr) {
      StopRun(ctx, worker, stop.attempt_, *run, "more urgent work");
      if (JobTrace* trace = FindTrace(ctx, stop.attempt_.task_.job_)) {
        ++trace->preempted_;
      }
    }
  }
}

// Resources are held against a stream of small jobs, which would keep large
// gangs from ever starting. Once no job has been accepted for this long, there
// is none, and an idle job waits for held resources for the shorter time only.
constexpr Duration kStreamPause = Duration(2000);
constexpr Duration kMaxKeptWait = Duration(2000);
constexpr Duration kMaxKeptWaitInStream = Duration(10'000);

Duration MaxKeptWait(const Context& ctx) {
  const Duration pause = ctx.now_ - ctx.scheduler_.last_accepted_;
  return pause >= kStreamPause ? kMaxKeptWait : kMaxKeptWaitInStream;
}

// Strong suspects start again when their crashes can't be taken for a part of
// the wave, or when waves have gone on for this long.
constexpr Duration kMaxWaitForCalm = Duration(20'000);
// The same of those that may be started only a few times more, in a series of
// waves with pauses: after these they can be told from deadly tasks. Crashes
// without pauses may be the work of deadly tasks.
constexpr Duration kMaxWaitOfLimited = Duration(90'000);

// Stops urgent work on workers that stand still or are far too slow, so that
// the next pass starts it elsewhere.
void StopSlow(Context& ctx) {
  for (const SlowRun& slow :
       FindSlowRuns(ctx.state_, ctx.scheduler_.fleet_,
                    ctx.scheduler_.options_.slow_runs_, ctx.now_)) {
    FleetWorker& worker = ctx.scheduler_.fleet_.at(slow.worker_);
    worker.avoid_until_ = ctx.now_ + kAvoidSlowWorker;
    StopRun(ctx, worker, slow.attempt_, *FindRun(worker, slow.attempt_),
            "its worker is slow");
    StopRestOfGang(ctx, slow.attempt_, "the worker of a gang member is slow");
  }
}

// The ratio of fast to slow workers in the most uneven pool of the plan.
double SpeedRatio(const PlacementPlan& plan) {
  double ratio = 1;
  for (const auto& [pool, spread] : plan.spreads_) {
    ratio = std::max(ratio, spread.fast_ / spread.slow_);
  }
  return ratio;
}

void PlaceTasks(Context& ctx) {
  if (!IsPlacementDue(ctx)) return;
  ctx.scheduler_.last_placement_ = ctx.now_;
  ctx.scheduler_.placement_due_ = false;
  ctx.scheduler_.urgent_placement_due_ = false;
  ctx.scheduler_.placed_in_last_tick_ = true;
  ctx.scheduler_.next_placement_ = ctx.now_ + kPlacementInterval;
  const JobQueuedAt since = [&ctx](const GraphJob& job) {
    const auto found = ctx.scheduler_.queued_since_.find(job.key_);
    return found == ctx.scheduler_.queued_since_.end() ? ctx.now_
                                                       : found->second;
  };
  UrgentDemands& demands = ctx.scheduler_.urgent_demands_;
  const ResourcesByPool need = UrgentNeed(ctx.state_);
  RecordNeed(demands, need, ctx.now_);
  GraphPlacementOptions options = ctx.scheduler_.options_.placement_;
  const Duration waves = ctx.now_ - ctx.scheduler_.waves_began_;
  const bool awaits_calm = AwaitsCalm(ctx.scheduler_, ctx.now_);
  options.hold_strong_suspects_ = awaits_calm && waves < kMaxWaitForCalm;
  const bool series = ctx.scheduler_.wave_interval_ > Duration();
  options.hold_limited_suspects_ =
      awaits_calm && waves < (series ? kMaxWaitOfLimited : kMaxWaitForCalm);
  options.max_kept_wait_ = MaxKeptWait(ctx);
  options.explain_waits_ = ctx.now_ >= ctx.scheduler_.next_explanation_;
  const PlacementPlan plan = PlanPlacement(
      ctx.state_, ctx.scheduler_.fleet_, options, since, ctx.now_,
      RoomToKeep(demands, need, ctx.now_), ctx.scheduler_.idle_jobs_);
  ctx.scheduler_.speed_ratio_ = SpeedRatio(plan);
  StopSlow(ctx);
  StopPlanned(ctx, plan);
  StartPlanned(ctx, plan);
  if (options.explain_waits_) {
    ctx.scheduler_.next_explanation_ = ctx.now_ + kWaitsInterval;
    ctx.scheduler_.unit_waits_ = plan.waits_;
  }
}

// Idle jobs are looked for this often.
constexpr Duration kIdleInterval = Duration(250);

void FindIdleJobs(Context& ctx) {
  Scheduler& scheduler = ctx.scheduler_;
  if (ctx.now_ < scheduler.next_idle_update_) return;
  scheduler.next_idle_update_ = ctx.now_ + kIdleInterval;
  UpdateIdleJobs(scheduler.idle_jobs_, ctx.state_, scheduler.fleet_, ctx.now_);
  if (ctx.now_ < scheduler.next_waits_) return;
  scheduler.next_waits_ = ctx.now_ + kWaitsInterval;
  LogWaits(scheduler.idle_jobs_, scheduler.fleet_, scheduler.unit_waits_,
           ctx.now_ - scheduler.last_placement_, ctx.now_);
}

}  // namespace

// The next wave of a series is known this long after its time.
constexpr Duration kLateWave = Duration(1500);
// Suspects wait at most this long after a wave.
constexpr Duration kMaxCalm = Duration(10'500);

bool AwaitsCalm(const Scheduler& scheduler, Time now) {
  const Duration calm =
      std::clamp(scheduler.wave_interval_ + kLateWave, kMaxWaveTime, kMaxCalm);
  return scheduler.last_in_wave_ != Time() &&
         now - scheduler.last_in_wave_ <= calm;
}

void On(Context& ctx, const SchedulerTick& tick) {
  ctx.scheduler_.wall_time_ = tick.wall_;
  if (std::exchange(ctx.scheduler_.placed_in_last_tick_, false)) {
    ctx.scheduler_.placement_cost_ = tick.previous_cost_;
  }
  Fleet& fleet = ctx.scheduler_.fleet_;
  ctx.scheduler_.held_polls_ = static_cast<std::size_t>(
      std::count_if(fleet.begin(), fleet.end(), [](const auto& item) {
        return item.second.poll_in_flight_ && item.second.poll_held_;
      }));
  CheckJobs(ctx);
  for (auto& [id, worker] : fleet) TickWorker(ctx, worker);
  ProposeDue(ctx);
  ProposeForget(ctx);
  ForgetWorkers(ctx);
  ProposeSpeeds(ctx);
  ProposeVerdicts(ctx);
  PlaceTasks(ctx);
  FindIdleJobs(ctx);
}

}  // namespace graph_scheduler_internal

namespace {

// Limits the waiting time that a new leader credits to the jobs it finds, as
// the leaders' clocks may differ.
constexpr Duration kMaxInheritedAge = Duration(60000);

// When the leases that earlier leaders granted have expired. They granted them
// before now.
Time EarlierLeasesEnd(const Scheduler& scheduler, Time now) {
  return now + AllowForClockDrift(scheduler.options_.lease_) +
         scheduler.options_.resend_interval_;
}

// Restores the workers of the replicated state, so that they can be polled
// before they report again. They get new tasks only once they have answered.
// A lease covers everything that runs on a worker, so an earlier leader's lease
// also counts for attempts that this leader starts there.
void RecoverWorkers(Scheduler& scheduler, const GraphState& state, Time now) {
  for (const auto& [id, report] : state.workers_) {
    FleetWorker& worker = scheduler.fleet_[id];
    worker.report_ = report;
    worker.largest_capacity_ = report.capacity_;
    worker.reported_ = true;
    worker.report_received_at_ = now;
    worker.last_heard_at_ = now;
    worker.lease_end_ = EarlierLeasesEnd(scheduler, now);
    scheduler.addresses_[report.address_] = id;
    const auto speed = state.worker_speeds_.find(id);
    const bool same = speed != state.worker_speeds_.end() &&
                      speed->second.incarnation_ == report.incarnation_;
    if (same) worker.speed_ = SpeedFromRecord(speed->second, now);
  }
}

void RecoverRuns(Scheduler& scheduler, const GraphJob& job, Time now) {
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepSpec& spec = job.spec_.steps_[i];
      const auto& tasks = occurrence.steps_[i].tasks_;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (!tasks[index].open_) continue;
        FleetWorker& worker = scheduler.fleet_[tasks[index].worker_];
        // If the records name two incarnations of a worker, the runs of the
        // older one are over; the first poll will show that.
        worker.report_.id_ = tasks[index].worker_;
        worker.report_.incarnation_ =
            std::max(worker.report_.incarnation_, tasks[index].incarnation_);
        worker.lease_end_ = EarlierLeasesEnd(scheduler, now);
        Run run;
        run.phase_ = RunPhase::kRecovering;
        run.need_ = ReservedResources(spec);
        run.urgent_ = job.terms_.priority_ == 0;
        run.last_command_at_ = now;
        AddRun(worker,
               {{job.key_, number, StepIndex(i), TaskIndex(index)},
                tasks[index].attempt_},
               std::move(run));
      }
    }
  }
}

// Whether the open attempt may run.
bool MayRun(const Scheduler& scheduler, const AttemptRef& attempt,
            const WorkerId& id) {
  const auto worker = scheduler.fleet_.find(id);
  if (worker == scheduler.fleet_.end()) return true;
  const auto run = worker->second.runs_.find(attempt);
  if (run == worker->second.runs_.end()) return true;
  return run->second.phase_ == RunPhase::kRecovering ||
         run->second.began_.has_value();
}

bool MayRunAny(const Scheduler& scheduler, const StepRecord& step,
               const StepRef& ref) {
  if (step.open_ == 0) return false;
  for (std::uint32_t index = 0; index < step.tasks_.size(); ++index) {
    const TaskRecord& task = step.tasks_[index];
    if (!task.open_) continue;
    const TaskRef here{ref.job_, ref.occurrence_, ref.step_, TaskIndex(index)};
    if (MayRun(scheduler, {here, task.attempt_}, task.worker_)) return true;
  }
  return false;
}

}  // namespace

bool HasBegun(const Scheduler& scheduler, const GraphJob& job) {
  if (job.begun_) return true;
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepRef ref{job.key_, number, StepIndex(i)};
      if (MayRunAny(scheduler, occurrence.steps_[i], ref)) return true;
    }
  }
  return false;
}

Scheduler MakeScheduler(const SchedulerOptions& options, FencingToken token,
                        const GraphState& state, Time now, Time wall) {
  Scheduler scheduler;
  scheduler.options_ = options;
  scheduler.token_ = token;
  scheduler.wall_time_ = wall;
  scheduler.last_accepted_ = now;
  RecoverWorkers(scheduler, state, now);
  for (const auto& [key, job] : state.jobs_) {
    const Duration age =
        std::clamp(wall - job.accepted_, Duration(0), kMaxInheritedAge);
    scheduler.queued_since_.emplace(key, now - age);
    RecoverRuns(scheduler, job, now);
    if (job.state_ == GraphJobState::kActive) {
      JobTrace& trace = scheduler.traces_[key];
      trace.queued_at_ = now - age;
      // What the job waited for under earlier leaders is not known.
      if (HasBegun(scheduler, job)) {
        trace.first_open_ = trace.last_open_ = trace.queued_at_;
      }
    }
    if (!job.occurrences_.empty()) scheduler.jobs_to_check_.insert(key);
  }
  return scheduler;
}

std::vector<SchedulerAction> Step(Scheduler& scheduler, const GraphState& state,
                                  const SchedulerEvent& event, Time now) {
  std::vector<SchedulerAction> actions;
  graph_scheduler_internal::Context ctx{scheduler, state, now, actions};
  std::visit([&ctx](const auto& body) { On(ctx, body); }, event);
  return actions;
}

}  // namespace flamingohollow

// Handlers for each event, in the order: ends, orders, reports, results,
// records, time.

#include "flamingohollow/graph_scheduler.h"

#include <algorithm>
#include <utility>

#include "util/event_log.h"

namespace flamingohollow {
namespace {

// Jobs that a new leader finds count as known for this long at most, whatever
// the clocks of the leaders say.
constexpr Duration kMaxInheritedAge = Duration(60000);
// Waiting jobs become urgent with time; they are looked at again this often
// even when nothing else changes.
constexpr Duration kPlacementInterval = Duration(100);
// Passes of placement are a millisecond apart for each so many workers: a pass
// at 350 workers takes some ms of a core, and leaders may have half a core.
constexpr std::int64_t kWorkersPerPauseMs = 5;
// A worker that has been silent for this long, several times as long as cuts
// last, is taken for gone for good.
constexpr Duration kForgetWorkerAfter = Duration(60000);
// Remaining times are known to about a third: what needs this many tenths of
// its worker's stay won't end there.
constexpr std::int64_t kSurelyLongerTenths = 13;
// A worker that refuses for now is asked again after this long.
constexpr Duration kNotNowPause = Duration(500);
// Answers of one worker may overtake each other by about the time of a call.
constexpr Duration kOvertaken = Duration(1500);

struct Context {
  Scheduler& scheduler_;
  const GraphState& state_;
  Time now_;
  std::vector<SchedulerAction>& actions_;
};

OrderTarget TargetOf(const Context& ctx, const FleetWorker& worker) {
  return {worker.report_.id_, worker.report_.life_, worker.report_.address_,
          ctx.scheduler_.token_};
}

FleetWorker* FindLife(const Context& ctx, const WorkerId& id, WorkerLife life) {
  const auto found = ctx.scheduler_.fleet_.find(id);
  if (found == ctx.scheduler_.fleet_.end()) return nullptr;
  return found->second.report_.life_ == life ? &found->second : nullptr;
}

Run* FindRun(FleetWorker& worker, const AttemptRef& attempt) {
  const auto found = worker.runs_.find(attempt);
  return found == worker.runs_.end() ? nullptr : &found->second;
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
  run.since_ = ctx.now_;
  run.orders_ = 0;
  ctx.scheduler_.dirty_ = true;
}

// Ends.

// Ends these runs of the worker by the leader's own finding.
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

// Everything on the worker is over: it restarted, left, or its lease ran out.
void LoseRuns(Context& ctx, FleetWorker& worker, std::string_view why) {
  std::vector<AttemptRef> lost;
  for (const auto& [attempt, run] : worker.runs_) lost.push_back(attempt);
  if (lost.empty()) return;
  LogEvent("worker_lost", {{"worker", worker.report_.id_.value()},
                           {"life", worker.report_.life_.value()},
                           {"runs", lost.size()},
                           {"why", why}});
  ProposeEnds(ctx, worker, lost, AttemptEnd::kLost);
}

// Orders.

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
  run.order_in_flight_ = true;
  run.since_ = ctx.now_;
  ++run.orders_;
  ctx.actions_.emplace_back(std::move(order));
}

void SendStop(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
              Run& run) {
  run.order_in_flight_ = true;
  run.since_ = ctx.now_;
  ++run.orders_;
  ctx.actions_.emplace_back(StopOrder{TargetOf(ctx, worker), attempt});
}

void StopRun(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
             Run& run, std::string_view why) {
  const bool stopping =
      run.phase_ == RunPhase::kStopping || run.phase_ == RunPhase::kStopped;
  if (stopping || run.end_proposed_) return;
  // Its start has not left yet; decided again once its record is in the log.
  if (run.phase_ == RunPhase::kProposed) return;
  LogDetail("stop_attempt", {{"attempt", Describe(attempt)},
                             {"worker", worker.report_.id_.value()},
                             {"why", why}});
  const bool start_out =
      run.phase_ == RunPhase::kStarting && run.order_in_flight_;
  run.unclear_start_ = run.unclear_start_ || start_out;
  SetPhase(ctx, run, RunPhase::kStopping);
  SendStop(ctx, worker, attempt, run);
}

// A worker that leaves may be gone without a word once its time is over.
Duration LeaseFor(const Context& ctx, const FleetWorker& worker) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (!worker.report_.draining_) return options.lease_;
  return std::min(options.lease_,
                  StaysFor(worker, ctx.now_) + options.start_lease_);
}

void SendLook(Context& ctx, FleetWorker& worker) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  LookOrder order;
  order.target_ = TargetOf(ctx, worker);
  order.number_ = ++worker.looks_;
  // While the worker is silent it may be restarting, and its next life would
  // forget ends of its own up to that number.
  if (worker.silent_calls_ == 0) order.last_end_ = worker.logged_end_;
  order.wait_ = options.look_wait_;
  // Without a task that surely runs a worker needs no lease; with one it takes
  // longer until a task that gets lost on the way there is known to be over.
  bool runs = false;
  for (const auto& [attempt, run] : worker.runs_) {
    runs = runs || run.phase_ == RunPhase::kRunning ||
           run.phase_ == RunPhase::kRecovering;
  }
  // A lease ends on the worker's clock, which the first answer tells.
  if (runs && worker.clock_at_ != Time()) {
    order.lease_until_ms_ = GrantLease(worker, LeaseFor(ctx, worker), ctx.now_);
  }
  bool settled = worker.seen_;
  for (const auto& [attempt, run] : worker.runs_) {
    settled = settled && run.phase_ == RunPhase::kRunning;
  }
  // Something waits for what the look shows, not for an end.
  if (!settled || worker.runs_.empty()) order.wait_ = Duration(0);
  worker.look_in_flight_ = true;
  ctx.actions_.emplace_back(std::move(order));
}

// Reports.

void TakeAddress(Context& ctx, const PoolWorkerReport& report) {
  WorkerId& holder = ctx.scheduler_.addresses_[report.address_];
  if (holder != report.id_ && holder != WorkerId()) {
    const auto found = ctx.scheduler_.fleet_.find(holder);
    const bool moved = found != ctx.scheduler_.fleet_.end() &&
                       found->second.report_.address_ == report.address_;
    // A newer process at its address: the former one is gone.
    if (moved) {
      found->second.reported_ = false;
      LoseRuns(ctx, found->second, "another worker started at its address");
    }
  }
  holder = report.id_;
}

// A late report of a process whose address another one has taken since.
bool IsSuperseded(const Context& ctx, const PoolWorkerReport& report) {
  const auto holder = ctx.scheduler_.addresses_.find(report.address_);
  if (holder == ctx.scheduler_.addresses_.end()) return false;
  if (holder->second == report.id_) return false;
  const auto found = ctx.scheduler_.fleet_.find(holder->second);
  return found != ctx.scheduler_.fleet_.end() && found->second.reported_ &&
         found->second.report_.address_ == report.address_ &&
         found->second.report_.life_ > report.life_;
}

// The worker restarted. All that ran there is over, but a start order that was
// still under way names only the id, which the worker has kept, so the new life
// may carry it out. Each attempt is therefore stopped there, and over once a
// look shows nothing of it.
void BeginLife(Context& ctx, FleetWorker& worker,
               const PoolWorkerReport& report) {
  LogEvent("worker_restarted", {{"worker", report.id_.value()},
                                {"life", report.life_.value()},
                                {"runs", worker.runs_.size()}});
  FleetWorker fresh;
  fresh.runs_ = std::move(worker.runs_);
  fresh.used_ = worker.used_;
  // A late start may bring a whole lease with it.
  fresh.lease_over_ = ctx.now_ + Stretch(ctx.scheduler_.options_.lease_) +
                      ctx.scheduler_.options_.resend_;
  for (auto& [attempt, run] : fresh.runs_) {
    if (run.end_proposed_ || run.phase_ == RunPhase::kProposed) continue;
    SetPhase(ctx, run, RunPhase::kStopping);
    run.order_in_flight_ = false;
    run.since_ = ctx.now_ - ctx.scheduler_.options_.resend_;
  }
  fresh.late_starts_ = std::move(worker.late_starts_);
  worker = std::move(fresh);
  worker.report_ = report;
  std::erase_if(worker.late_starts_, [&ctx](const auto& start) {
    return ctx.now_ - start.second > kLateOrderBound;
  });
  for (const auto& [attempt, sent] : worker.late_starts_) {
    if (worker.runs_.contains(attempt)) continue;
    ctx.actions_.emplace_back(StopOrder{TargetOf(ctx, worker), attempt});
  }
}

void On(Context& ctx, const PoolWorkerReport& report) {
  if (IsSuperseded(ctx, report)) return;
  FleetWorker& worker = ctx.scheduler_.fleet_[report.id_];
  const bool known = worker.report_.life_ != WorkerLife();
  if (known && report.life_ < worker.report_.life_) return;
  const bool same_life = known && report.life_ == worker.report_.life_;
  if (same_life && worker.reported_ &&
      report.sequence_ <= worker.report_.sequence_) {
    return;
  }
  if (known && !same_life) BeginLife(ctx, worker, report);
  if (!worker.reported_ || worker.report_.draining_ != report.draining_) {
    ctx.scheduler_.dirty_ = true;
    LogEvent("worker", {{"worker", report.id_.value()},
                        {"life", report.life_.value()},
                        {"address", report.address_},
                        {"draining", report.draining_}});
  }
  const bool first = !worker.reported_;
  // Again with each report until it is in the log.
  if (!IsListed(ctx.state_, report)) Propose(ctx, WorkerRecord{{report}, {}});
  worker.report_ = report;
  worker.reported_ = true;
  worker.report_at_ = ctx.now_;
  worker.heard_ = ctx.now_;
  NoteClock(worker, report.clock_ms_, ctx.now_);
  if (first) worker.next_look_ = ctx.now_;
  TakeAddress(ctx, report);
}

void On(Context& ctx, const WorkerLeft& left) {
  const auto found = ctx.scheduler_.fleet_.find(left.id_);
  if (found == ctx.scheduler_.fleet_.end()) return;
  FleetWorker& worker = found->second;
  // Without a word that it drains, this may be an old message of a former
  // life; its lease or its successor tells.
  if (!worker.report_.draining_) return;
  worker.reported_ = false;
  LoseRuns(ctx, worker, "it left");
  Propose(ctx, WorkerRecord{{}, {left.id_}});
  if (worker.runs_.empty()) ctx.scheduler_.fleet_.erase(found);
}

// Results.

void NoteAnswer(Context& ctx, FleetWorker& worker, OrderOutcome outcome) {
  if (outcome == OrderOutcome::kNoAnswer) {
    ++worker.silent_calls_;
    return;
  }
  if (worker.silent_calls_ >= kMaxSilentCalls) ctx.scheduler_.dirty_ = true;
  worker.silent_calls_ = 0;
}

// An order names its worker by an id that a later life has too; a clock that
// went back tells that such a one answered.
OrderOutcome WithClock(const FleetWorker& worker, OrderOutcome outcome,
                       std::int64_t clock_ms) {
  const bool back = clock_ms > 0 && worker.clock_at_ != Time() &&
                    clock_ms + kOvertaken.ms() < worker.clock_ms_;
  return back ? OrderOutcome::kOtherLife : outcome;
}

// Whether the answer says that this life of the worker is over.
bool TakeEndOfLife(Context& ctx, FleetWorker& worker, OrderOutcome outcome) {
  if (outcome == OrderOutcome::kOtherWorker) {
    worker.reported_ = false;
    LoseRuns(ctx, worker, "another worker answered at its address");
    return true;
  }
  if (outcome != OrderOutcome::kOtherLife) return false;
  worker.reported_ = false;
  return true;
}

struct AnsweredRun {
  FleetWorker* worker_ = nullptr;
  // Null when the answer changes nothing about the attempt any more.
  Run* run_ = nullptr;
};

// What a start and a stop have in common: whose answer it is, and whether the
// attempt still waits for it in `phase`.
template <class Result>
AnsweredRun TakeOrderAnswer(Context& ctx, const Result& result,
                            RunPhase phase) {
  FleetWorker* worker = FindLife(ctx, result.worker_, result.life_);
  if (worker == nullptr) return {};
  NoteAnswer(ctx, *worker, result.outcome_);
  const OrderOutcome outcome =
      WithClock(*worker, result.outcome_, result.clock_ms_);
  if (TakeEndOfLife(ctx, *worker, outcome)) return {};
  Run* run = FindRun(*worker, result.attempt_);
  if (run == nullptr || run->phase_ != phase) return {};
  run->order_in_flight_ = false;
  return {worker, run};
}

void On(Context& ctx, const StartResult& result) {
  const auto [worker, run] = TakeOrderAnswer(ctx, result, RunPhase::kStarting);
  if (run == nullptr) return;
  switch (result.outcome_) {
    case OrderOutcome::kDone:
      run->began_ = ctx.now_;
      run->decisive_look_ = worker->looks_ + 1;
      return SetPhase(ctx, *run, RunPhase::kRunning);
    case OrderOutcome::kRefused:
    case OrderOutcome::kNotNow:
      LogDetail("start_refused", {{"attempt", Describe(result.attempt_)},
                                  {"worker", result.worker_.value()},
                                  {"reason", result.reason_}});
      worker->avoid_until_ = ctx.now_ + kNotNowPause;
      // An earlier order of this start may still be under way.
      if (run->unclear_start_) {
        return StopRun(ctx, *worker, result.attempt_, *run,
                       "the worker refused it");
      }
      return ProposeEnds(ctx, *worker, {result.attempt_},
                         AttemptEnd::kNeverBegan);
    case OrderOutcome::kNoAnswer:
      run->unclear_start_ = true;
      worker->late_starts_[result.attempt_] = run->since_;
      return;
    case OrderOutcome::kOtherWorker:
    case OrderOutcome::kOtherLife:
      return;
  }
}

void On(Context& ctx, const StopResult& result) {
  const auto [worker, run] = TakeOrderAnswer(ctx, result, RunPhase::kStopping);
  if (run == nullptr) return;
  if (result.outcome_ != OrderOutcome::kDone &&
      result.outcome_ != OrderOutcome::kRefused) {
    return;
  }
  run->decisive_look_ = worker->looks_ + 1;
  SetPhase(ctx, *run, RunPhase::kStopped);
}

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
  const bool away =
      spec.data_rack_ != Rack() && spec.data_rack_ != worker.report_.rack_;
  if (spec.long_running_ || away) return;
  StepPace& step =
      ctx.scheduler_.step_paces_[{task.job_, task.occurrence_, task.step_}];
  LearnPace(worker.pace_, step, *rate, spec.gang_, ctx.now_);
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
    if (row.checkpoint_ != Checkpoint() &&
        row.checkpoint_ != run->checkpoint_) {
      run->checkpoint_ = row.checkpoint_;
      run->checkpoint_at_ = ctx.now_;
    }
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
                         result.number_ >= run.decisive_look_;
    // The token of this look shuts out the earlier leader's late orders.
    const bool shut_out = run.phase_ == RunPhase::kRecovering;
    if (!decided && !shut_out) continue;
    (run.began_.has_value() ? lost : missing).push_back(attempt);
  }
  ProposeEnds(ctx, worker, missing, AttemptEnd::kNeverBegan);
  ProposeEnds(ctx, worker, lost, AttemptEnd::kLost);
}

void On(Context& ctx, const LookResult& result) {
  FleetWorker* worker = FindLife(ctx, result.worker_, result.life_);
  if (worker == nullptr) return;
  worker->look_in_flight_ = false;
  const std::uint32_t silent_before = worker->silent_calls_;
  NoteAnswer(ctx, *worker, result.outcome_);
  if (TakeEndOfLife(ctx, *worker, result.outcome_)) return;
  if (result.outcome_ != OrderOutcome::kDone) {
    worker->next_look_ = ctx.now_ + ctx.scheduler_.options_.resend_;
    return;
  }
  NoteClock(*worker, result.clock_ms_, ctx.now_);
  worker->heard_ = std::max(worker->heard_, ctx.now_);
  if (!worker->seen_) ctx.scheduler_.dirty_ = true;
  worker->seen_ = true;
  worker->next_look_ = ctx.now_;
  if (silent_before == 0) {
    worker->told_end_ = std::max(worker->told_end_, worker->logged_end_);
  }
  std::set<AttemptRef> seen;
  for (const EndRow& row : result.ends_) seen.insert(row.attempt_);
  TakeRunning(ctx, *worker, result, seen);
  TakeEnds(ctx, *worker, result);
  TakeMissing(ctx, *worker, result, seen);
}

// Records.

void OnApplied(Context& ctx, const OpenRecord& record) {
  if (ctx.scheduler_.opening_ > 0) --ctx.scheduler_.opening_;
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
    SetPhase(ctx, *run, RunPhase::kStarting);
    // Its worker began to drain, or was lost, in the meantime.
    const bool gone = worker.report_.life_ != opened.life_ ||
                      !worker.reported_ || worker.report_.draining_;
    if (gone) {
      ProposeEnds(ctx, worker, {opened.attempt_}, AttemptEnd::kNeverBegan);
      continue;
    }
    SendStart(ctx, worker, opened.attempt_, *run);
  }
}

// The worker that the attempt runs on; null when none does.
FleetWorker* FindHolder(const Context& ctx, const AttemptRef& attempt) {
  const TaskRef& task = attempt.task_;
  const GraphJob* job = FindJob(ctx.state_, task.job_);
  const StepRecord* step =
      job == nullptr ? nullptr : FindStep(*job, task.occurrence_, task.step_);
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

void OnApplied(Context& ctx, const EndRecord& record) {
  for (const EndedAttempt& ended : record.attempts_) {
    FleetWorker* holder = FindHolder(ctx, ended.attempt_);
    if (holder == nullptr) continue;
    if (FindRun(*holder, ended.attempt_)->end_proposed_) {
      RemoveRun(*holder, ended.attempt_);
    }
  }
  FleetWorker* worker = FindLife(ctx, record.worker_, record.life_);
  if (worker != nullptr && record.last_end_ > 0) {
    worker->logged_end_ = std::max(worker->logged_end_, record.last_end_);
    worker->ends_proposed_ = false;
  }
}

void OnApplied(Context& ctx, const SubmitRecord& record) {
  ctx.scheduler_.since_.emplace(record.key_, ctx.now_);
}

void OnApplied(Context& ctx, const DueRecord& record) {
  for (const auto& item : record.items_) {
    ctx.scheduler_.due_proposed_.erase(item.key_);
  }
}

void OnApplied(Context& ctx, const ForgetRecord& record) {
  for (const GraphJobKey& key : record.keys_) {
    ctx.scheduler_.forget_proposed_.erase(key);
    ctx.scheduler_.since_.erase(key);
    auto& paces = ctx.scheduler_.step_paces_;
    auto pace = paces.lower_bound({key, Occurrence(), StepIndex()});
    while (pace != paces.end() && pace->first.job_ == key) {
      pace = paces.erase(pace);
    }
  }
}

void OnApplied(Context& /*ctx*/, const CatalogRecord& /*record*/) {}
void OnApplied(Context& /*ctx*/, const CancelRecord& /*record*/) {}
void OnApplied(Context& /*ctx*/, const WorkerRecord& /*record*/) {}

void On(Context& ctx, const RecordApplied& applied) {
  ctx.scheduler_.dirty_ = true;
  std::visit([&ctx](const auto& record) { OnApplied(ctx, record); },
             *applied.record_);
}

void OnLost(Context& ctx, const OpenRecord& record) {
  if (ctx.scheduler_.opening_ > 0) --ctx.scheduler_.opening_;
  for (const OpenedAttempt& opened : record.attempts_) {
    const auto found = ctx.scheduler_.fleet_.find(opened.worker_);
    if (found != ctx.scheduler_.fleet_.end()) {
      RemoveRun(found->second, opened.attempt_);
    }
  }
}

void OnLost(Context& ctx, const EndRecord& record) {
  for (const EndedAttempt& ended : record.attempts_) {
    FleetWorker* holder = FindHolder(ctx, ended.attempt_);
    if (holder == nullptr) continue;
    FindRun(*holder, ended.attempt_)->end_proposed_ = false;
  }
  FleetWorker* worker = FindLife(ctx, record.worker_, record.life_);
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

void On(Context& ctx, const RecordLost& lost) {
  ctx.scheduler_.dirty_ = true;
  std::visit([&ctx](const auto& record) { OnLost(ctx, record); }, lost.record_);
}

// Time.

// Why the run should not go on, or nothing.
std::string_view StopReason(const Context& ctx, const AttemptRef& attempt) {
  const GraphJob* job = FindJob(ctx.state_, attempt.task_.job_);
  if (job == nullptr) return "its job is gone";
  if (job->state_ == GraphJobState::kCancelled) return "its job is cancelled";
  if (job->state_ == GraphJobState::kFailed) return "its job has failed";
  const StepSpec& spec = job->spec_.steps_[attempt.task_.step_.value()];
  if (!spec.gang_ || !IsOpen(ctx.state_, attempt)) return "";
  const StepRecord* step =
      FindStep(*job, attempt.task_.occurrence_, attempt.task_.step_);
  const bool whole = step != nullptr && step->open_ == step->tasks_.size();
  return whole ? "" : "another member of its gang ended";
}

void RetryOrders(Context& ctx, FleetWorker& worker, const AttemptRef& attempt,
                 Run& run) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (run.order_in_flight_ || ctx.now_ - run.since_ < options.resend_) return;
  if (run.phase_ == RunPhase::kStopping) {
    return SendStop(ctx, worker, attempt, run);
  }
  if (run.phase_ != RunPhase::kStarting) return;
  if (run.orders_ < options.max_start_orders_) {
    return SendStart(ctx, worker, attempt, run);
  }
  StopRun(ctx, worker, attempt, run, "its start had no answer");
}

// Whether the task is to be stopped before its worker leaves: it won't end by
// then, and a stop tells that it is over, where a worker that is gone says
// nothing and its lease has to run out. Tasks that save their work go on until
// shortly before, the others have nothing to gain.
bool IsDoomed(const Context& ctx, const Run& run, const StepSpec& spec,
              Duration stays) {
  const SchedulerOptions& options = ctx.scheduler_.options_;
  if (spec.long_running_) return stays <= options.evacuate_ahead_;
  const Duration needs = RemainingTime(run, spec.estimate_, ctx.now_);
  if (needs < stays) return false;
  if (stays <= options.evacuate_ahead_) return true;
  return !spec.checkpoints_ && needs * 10 > stays * kSurelyLongerTenths;
}

void Evacuate(Context& ctx, FleetWorker& worker) {
  const Duration stays = StaysFor(worker, ctx.now_);
  for (auto& [attempt, run] : worker.runs_) {
    const GraphJob* job = FindJob(ctx.state_, attempt.task_.job_);
    if (job == nullptr) continue;
    const StepSpec& spec = job->spec_.steps_[attempt.task_.step_.value()];
    if (IsDoomed(ctx, run, spec, stays)) {
      StopRun(ctx, worker, attempt, run, "its worker leaves");
    }
  }
}

void TickWorker(Context& ctx, FleetWorker& worker) {
  if (!worker.runs_.empty() && ctx.now_ >= worker.lease_over_) {
    LoseRuns(ctx, worker, "its lease is over");
  }
  for (auto& [attempt, run] : worker.runs_) {
    if (run.end_proposed_) continue;
    if (!worker.reported_) continue;
    const std::string_view why = StopReason(ctx, attempt);
    if (!why.empty()) StopRun(ctx, worker, attempt, run, why);
    RetryOrders(ctx, worker, attempt, run);
  }
  if (!worker.reported_) return;
  if (worker.report_.draining_) Evacuate(ctx, worker);
  const bool needed = !worker.seen_ || !worker.runs_.empty() ||
                      worker.silent_calls_ > 0 ||
                      worker.told_end_ < worker.logged_end_;
  const bool free = !worker.look_in_flight_ && !worker.ends_proposed_ &&
                    ctx.now_ >= worker.next_look_;
  if (needed && free) SendLook(ctx, worker);
}

void ProposeDue(Context& ctx) {
  DueRecord record;
  for (const auto& [key, job] : ctx.state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    if (job.due_ >= job.spec_.occurrences_) continue;
    if (ctx.scheduler_.due_proposed_.contains(key)) continue;
    const Time due = job.spec_.first_due_ +
                     job.spec_.interval_ * static_cast<std::int64_t>(job.due_);
    if (ctx.scheduler_.wall_ < due) continue;
    record.items_.push_back({key, Occurrence(job.due_)});
    ctx.scheduler_.due_proposed_.insert(key);
  }
  if (!record.items_.empty()) Propose(ctx, std::move(record));
}

void ProposeForget(Context& ctx) {
  ForgetRecord record;
  for (const auto& [key, job] : ctx.state_.jobs_) {
    if (job.state_ == GraphJobState::kActive) continue;
    const Duration age = ctx.scheduler_.wall_ - job.ended_;
    if (age < ctx.scheduler_.options_.keep_ended_) continue;
    if (!ctx.scheduler_.forget_proposed_.insert(key).second) continue;
    record.keys_.push_back(key);
  }
  if (!record.keys_.empty()) Propose(ctx, std::move(record));
}

// Workers that are gone without a word leave the fleet and the log's list.
void ForgetWorkers(Context& ctx) {
  WorkerRecord record;
  for (const auto& [id, worker] : ctx.scheduler_.fleet_) {
    const bool silent = ctx.now_ - worker.heard_ > kForgetWorkerAfter;
    if (!silent || !worker.runs_.empty()) continue;
    LogEvent("worker_forgotten",
             {{"worker", id.value()}, {"life", worker.report_.life_.value()}});
    record.gone_.push_back(id);
  }
  if (record.gone_.empty()) return;
  for (const WorkerId& id : record.gone_) ctx.scheduler_.fleet_.erase(id);
  Propose(ctx, std::move(record));
}

bool SameStart(const AttemptRef& a, const AttemptRef& b) {
  return a.task_.job_ == b.task_.job_ &&
         a.task_.occurrence_ == b.task_.occurrence_ &&
         a.task_.step_ == b.task_.step_ && a.attempt_ == b.attempt_;
}

// One line for the tasks of a step that start together.
void LogPlaced(const std::vector<OpenedAttempt>& attempts) {
  for (std::size_t begin = 0; begin < attempts.size();) {
    std::size_t end = begin;
    std::string workers;
    while (end < attempts.size() &&
           SameStart(attempts[begin].attempt_, attempts[end].attempt_)) {
      if (!workers.empty()) workers += ',';
      workers += attempts[end].worker_.value();
      ++end;
    }
    LogDetail("place", {{"attempt", Describe(attempts[begin].attempt_)},
                        {"tasks", end - begin},
                        {"workers", workers}});
    begin = end;
  }
}

void StartPlanned(Context& ctx, const PlacementPlan& plan) {
  if (plan.open_.empty()) return;
  OpenRecord record;
  for (const OpenedAttempt& opened : plan.open_) {
    FleetWorker* worker = FindLife(ctx, opened.worker_, opened.life_);
    const GraphJob* job = FindJob(ctx.state_, opened.attempt_.task_.job_);
    if (worker == nullptr || job == nullptr) continue;
    const StepSpec& spec =
        job->spec_.steps_[opened.attempt_.task_.step_.value()];
    Run run;
    run.need_ = spec.need_;
    if (spec.fills_) run.need_.millicores_ = 0;
    run.since_ = ctx.now_;
    AddRun(*worker, opened.attempt_, std::move(run));
    record.attempts_.push_back(opened);
  }
  LogPlaced(record.attempts_);
  ++ctx.scheduler_.opening_;
  Propose(ctx, std::move(record));
}

void PlaceTasks(Context& ctx) {
  if (ctx.scheduler_.opening_ > 0) return;
  if (!ctx.scheduler_.dirty_ && ctx.now_ < ctx.scheduler_.next_placement_) {
    return;
  }
  // A pass takes longer the larger the pool is; so much of the time stays for
  // everything else.
  const Duration pause(static_cast<std::int64_t>(ctx.scheduler_.fleet_.size()) /
                       kWorkersPerPauseMs);
  if (ctx.now_ - ctx.scheduler_.last_placement_ < pause) return;
  ctx.scheduler_.last_placement_ = ctx.now_;
  ctx.scheduler_.dirty_ = false;
  ctx.scheduler_.next_placement_ = ctx.now_ + kPlacementInterval;
  const JobSince since = [&ctx](const GraphJob& job) {
    const auto found = ctx.scheduler_.since_.find(job.key_);
    return found == ctx.scheduler_.since_.end() ? ctx.now_ : found->second;
  };
  const PlacementPlan plan =
      PlanPlacement(ctx.state_, ctx.scheduler_.fleet_,
                    ctx.scheduler_.options_.placement_, since, ctx.now_);
  for (const PlacementPlan::Stop& stop : plan.stop_) {
    FleetWorker& worker = ctx.scheduler_.fleet_.at(stop.worker_);
    Run* run = FindRun(worker, stop.attempt_);
    if (run != nullptr) {
      StopRun(ctx, worker, stop.attempt_, *run, "more urgent work");
    }
  }
  StartPlanned(ctx, plan);
}

void On(Context& ctx, const SchedulerTick& tick) {
  ctx.scheduler_.wall_ = tick.wall_;
  for (auto& [id, worker] : ctx.scheduler_.fleet_) TickWorker(ctx, worker);
  ProposeDue(ctx);
  ProposeForget(ctx);
  ForgetWorkers(ctx);
  PlaceTasks(ctx);
}

// Workers that the log lists can be looked at before they report again. They
// get new tasks only once they have answered.
void RecoverWorkers(Scheduler& scheduler, const GraphState& state, Time now) {
  for (const auto& [id, report] : state.workers_) {
    FleetWorker& worker = scheduler.fleet_[id];
    worker.report_ = report;
    worker.reported_ = true;
    worker.report_at_ = now;
    worker.heard_ = now;
    scheduler.addresses_[report.address_] = id;
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
        // Two lives of one id: the older one's runs are over, and so says the
        // first look.
        worker.report_.id_ = tasks[index].worker_;
        worker.report_.life_ =
            std::max(worker.report_.life_, tasks[index].life_);
        // Earlier leaders' leases, given before now.
        worker.lease_over_ = now + Stretch(scheduler.options_.lease_) +
                             scheduler.options_.resend_;
        Run run;
        run.phase_ = RunPhase::kRecovering;
        run.need_ = spec.need_;
        if (spec.fills_) run.need_.millicores_ = 0;
        run.since_ = now;
        AddRun(worker,
               {{job.key_, number, StepIndex(i), TaskIndex(index)},
                tasks[index].attempt_},
               std::move(run));
      }
    }
  }
}

}  // namespace

Scheduler MakeScheduler(const SchedulerOptions& options, FencingToken token,
                        const GraphState& state, Time now, Time wall) {
  Scheduler scheduler;
  scheduler.options_ = options;
  scheduler.token_ = token;
  scheduler.wall_ = wall;
  RecoverWorkers(scheduler, state, now);
  for (const auto& [key, job] : state.jobs_) {
    const Duration age =
        std::clamp(wall - job.accepted_, Duration(0), kMaxInheritedAge);
    scheduler.since_.emplace(key, now - age);
    RecoverRuns(scheduler, job, now);
  }
  return scheduler;
}

std::vector<SchedulerAction> Step(Scheduler& scheduler, const GraphState& state,
                                  const SchedulerEvent& event, Time now) {
  std::vector<SchedulerAction> actions;
  Context ctx{scheduler, state, now, actions};
  std::visit([&ctx](const auto& body) { On(ctx, body); }, event);
  return actions;
}

}  // namespace flamingohollow

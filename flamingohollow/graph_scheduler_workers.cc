// Handles workers' reports, and their answers to start and stop commands.

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

// A worker that refused a start gets no new tasks for this long.
constexpr Duration kRefusalPause = Duration(500);
// Answers of a worker may arrive out of order by about the duration of a call.
constexpr Duration kAnswerReorderBound = Duration(1500);

// Returns the other worker that the report's address is assigned to; null if
// there is none.
FleetWorker* FindHolder(const Context& ctx, const PoolWorkerReport& report) {
  const auto holder = ctx.scheduler_.addresses_.find(report.address_);
  if (holder == ctx.scheduler_.addresses_.end()) return nullptr;
  if (holder->second == report.id_) return nullptr;
  const auto found = ctx.scheduler_.fleet_.find(holder->second);
  const bool there = found != ctx.scheduler_.fleet_.end() &&
                     found->second.report_.address_ == report.address_;
  return there ? &found->second : nullptr;
}

void ForgetOldStarts(UnansweredStarts& starts, Time now) {
  std::erase_if(starts, [now](const auto& start) {
    return now - start.second > kLateCommandBound;
  });
}

// Keeps a worker's new incarnation from carrying out starts that an earlier one
// did not answer.
void StopUnansweredStarts(Context& ctx, FleetWorker& worker) {
  for (const auto& [attempt, sent] : worker.unanswered_starts_) {
    if (worker.runs_.contains(attempt)) continue;
    worker.unconfirmed_stops_[attempt] = Time();
  }
  ResendStops(ctx, worker);
}

// Resets the state of a worker that restarted. Its tasks are over, but a start
// command still in transit names the worker only by its id, which has not
// changed, so the new incarnation may carry it out. Each attempt is therefore
// stopped on the new incarnation, and counts as ended once a poll does not show
// it.
void HandleRestart(Context& ctx, FleetWorker& worker,
                   const PoolWorkerReport& report) {
  LogEvent("worker_restarted", {{"worker", report.id_.value()},
                                {"life", report.incarnation_.value()},
                                {"runs", worker.runs_.size()}});
  ProposeRunning(ctx, worker);
  FleetWorker fresh;
  fresh.runs_ = std::move(worker.runs_);
  fresh.used_ = worker.used_;
  // A delayed start command may grant a whole lease.
  fresh.lease_end_ = ctx.now_ +
                     AllowForClockDrift(ctx.scheduler_.options_.lease_) +
                     ctx.scheduler_.options_.resend_interval_;
  for (auto& [attempt, run] : fresh.runs_) {
    // The new incarnation's polls are numbered anew.
    run.first_valid_poll_ = 0;
    // An answer of the earlier life is ignored.
    run.command_in_flight_ = false;
    if (run.end_proposed_ || run.phase_ == RunPhase::kProposed) continue;
    SetPhase(ctx, run, RunPhase::kStopping);
    run.last_command_at_ = ctx.now_ - ctx.scheduler_.options_.resend_interval_;
  }
  fresh.unanswered_starts_ = std::move(worker.unanswered_starts_);
  worker = std::move(fresh);
  worker.report_ = report;
  StopUnansweredStarts(ctx, worker);
}

// Takes over what a worker that has left did not answer, if a process has
// returned under its id.
void HandleReturn(Context& ctx, FleetWorker& worker,
                  const PoolWorkerReport& report) {
  auto left = ctx.scheduler_.unanswered_by_left_.extract(report.id_);
  if (left.empty()) return;
  worker.report_ = report;
  worker.unanswered_starts_ = std::move(left.mapped());
  StopUnansweredStarts(ctx, worker);
}

}  // namespace

bool IsAddressContested(const Context& ctx, const FleetWorker& worker) {
  if (worker.answered_poll_) return false;
  const FleetWorker* holder = FindHolder(ctx, worker.report_);
  return holder != nullptr && holder->replaced_at_ == Time() &&
         (holder->reported_ || !holder->runs_.empty());
}

void ListWorker(Context& ctx, const FleetWorker& worker) {
  const PoolWorkerReport& report = worker.report_;
  FleetWorker* replaced = FindHolder(ctx, report);
  // Proposed again with each report until it is in the log.
  if (!IsListed(ctx.state_, report)) {
    if (replaced != nullptr) ProposeRunning(ctx, *replaced);
    Propose(ctx, WorkerRecord{{report}, {}});
  }
  if (replaced != nullptr) {
    replaced->reported_ = false;
    replaced->answered_poll_ = false;
    ProposeLostRuns(ctx, *replaced, "another worker started at its address");
  }
  ctx.scheduler_.addresses_[report.address_] = report.id_;
}

void ListIfSettled(Context& ctx, const FleetWorker& worker) {
  if (worker.answered_poll_ || FindHolder(ctx, worker.report_) == nullptr) {
    return;
  }
  if (!IsAddressContested(ctx, worker)) ListWorker(ctx, worker);
}

void ResendStops(Context& ctx, FleetWorker& worker) {
  if (worker.unconfirmed_stops_.empty()) return;
  ForgetOldStarts(worker.unanswered_starts_, ctx.now_);
  std::erase_if(worker.unconfirmed_stops_, [&worker](const auto& stop) {
    return !worker.unanswered_starts_.contains(stop.first);
  });
  for (auto& [attempt, sent] : worker.unconfirmed_stops_) {
    if (ctx.now_ - sent < ctx.scheduler_.options_.resend_interval_) continue;
    sent = ctx.now_;
    ctx.actions_.emplace_back(StopCommand{TargetOf(ctx, worker), attempt});
  }
}

void On(Context& ctx, const PoolWorkerReport& report) {
  FleetWorker& worker = ctx.scheduler_.fleet_[report.id_];
  const bool known = worker.report_.incarnation_ != WorkerIncarnation();
  if (known && report.incarnation_ < worker.report_.incarnation_) return;
  const bool same_incarnation =
      known && report.incarnation_ == worker.report_.incarnation_;
  if (same_incarnation && worker.reported_ &&
      report.sequence_ <= worker.report_.sequence_) {
    return;
  }
  if (known && !same_incarnation) HandleRestart(ctx, worker, report);
  if (!known) HandleReturn(ctx, worker, report);
  if (!worker.reported_ || worker.report_.draining_ != report.draining_) {
    ctx.scheduler_.placement_due_ = true;
    LogEvent("worker", {{"worker", report.id_.value()},
                        {"life", report.incarnation_.value()},
                        {"address", report.address_},
                        {"draining", report.draining_}});
  }
  const bool first = !worker.reported_;
  if (worker.report_.address_ != report.address_) worker.answered_poll_ = false;
  if (worker.reported_ && worker.report_.capacity_ != report.capacity_) {
    ctx.scheduler_.placement_due_ = true;
    LogEvent("worker_capacity",
             {{"worker", report.id_.value()},
              {"millicores", report.capacity_.millicores_},
              {"memory_mb", report.capacity_.memory_mb_},
              {"accelerators", report.capacity_.accelerators_}});
  }
  worker.report_ = report;
  worker.largest_capacity_ =
      ElementwiseMax(worker.largest_capacity_, report.capacity_);
  worker.reported_ = true;
  worker.left_ = false;
  worker.report_received_at_ = ctx.now_;
  worker.last_heard_at_ = ctx.now_;
  RecordClock(worker, report.clock_ms_, ctx.now_);
  if (first) worker.next_poll_at_ = ctx.now_;
  if (!IsAddressContested(ctx, worker)) return ListWorker(ctx, worker);
  if (first) {
    LogEvent("address_contested",
             {{"worker", report.id_.value()}, {"address", report.address_}});
  }
  PollIfDue(ctx, worker);
}

void On(Context& ctx, const WorkerLeft& left) {
  const auto found = ctx.scheduler_.fleet_.find(left.id_);
  if (found == ctx.scheduler_.fleet_.end()) return;
  FleetWorker& worker = found->second;
  // If the worker has not reported that it drains, this may be a delayed
  // message of an earlier incarnation. If the worker is really gone, its
  // lease expires or its next incarnation reports.
  if (!worker.report_.draining_) return;
  if (worker.runs_.empty()) return RemoveLeft(ctx, worker);
  // A delayed message of an earlier incarnation that drained looks the same.
  LogEvent("worker_left", {{"worker", left.id_.value()},
                           {"life", worker.report_.incarnation_.value()},
                           {"runs", worker.runs_.size()}});
  worker.left_ = true;
  worker.next_poll_at_ = ctx.now_;
}

void RemoveLeft(Context& ctx, FleetWorker& worker) {
  const WorkerId id = worker.report_.id_;
  worker.reported_ = false;
  ProposeLostRuns(ctx, worker, "it left");
  Propose(ctx, WorkerRecord{{}, {id}});
  if (!worker.runs_.empty()) return;
  auto& by_left = ctx.scheduler_.unanswered_by_left_;
  by_left[id] = std::move(worker.unanswered_starts_);
  for (auto& [left, starts] : by_left) ForgetOldStarts(starts, ctx.now_);
  std::erase_if(by_left, [](const auto& item) { return item.second.empty(); });
  ctx.scheduler_.fleet_.erase(id);
}

void On(Context& ctx, const WorkerCold& cold) {
  FleetWorker* worker = FindIncarnation(ctx, cold.id_, cold.incarnation_);
  // A delayed report would make the worker seem cold for longer than it is.
  if (worker == nullptr || worker->report_.sequence_ != cold.sequence_) return;
  if (!IsCold(*worker, ctx.now_) && cold.left_ > Duration()) {
    LogEvent("worker_cold",
             {{"worker", cold.id_.value()}, {"left_ms", cold.left_.ms()}});
  }
  worker->warm_at_ = ctx.now_ + cold.left_;
}

void RecordAnswer(Context& ctx, FleetWorker& worker, CommandOutcome outcome) {
  if (outcome == CommandOutcome::kNotSent) return;
  if (outcome == CommandOutcome::kNoAnswer) {
    // A second call without an answer shows that not only the connection ended.
    if (++worker.unanswered_calls_ > 1) ProposeConfirmed(ctx, worker);
    return;
  }
  if (outcome != CommandOutcome::kOtherWorker &&
      outcome != CommandOutcome::kOtherIncarnation) {
    for (auto& [attempt, run] : worker.runs_) run.start_broke_off_ = false;
  }
  if (worker.unanswered_calls_ >= kMaxUnansweredCalls)
    ctx.scheduler_.placement_due_ = true;
  worker.unanswered_calls_ = 0;
}

namespace {

// Corrects the outcome if the answer came from a later incarnation. Commands
// name the worker by its id, which a later incarnation shares; a clock that
// went back shows that a later incarnation answered.
CommandOutcome OutcomeByClock(const FleetWorker& worker, CommandOutcome outcome,
                              std::int64_t clock_ms) {
  const bool went_back = clock_ms > 0 && worker.clock_at_ != Time() &&
                         clock_ms + kAnswerReorderBound.ms() < worker.clock_ms_;
  return went_back ? CommandOutcome::kOtherIncarnation : outcome;
}

}  // namespace

bool HandleIncarnationEnd(Context& ctx, FleetWorker& worker,
                          CommandOutcome outcome) {
  if (outcome == CommandOutcome::kOtherWorker) {
    worker.reported_ = false;
    worker.answered_poll_ = false;
    if (worker.replaced_at_ == Time()) worker.replaced_at_ = ctx.now_;
    return true;
  }
  if (outcome != CommandOutcome::kOtherIncarnation) return false;
  worker.reported_ = false;
  return true;
}

namespace {

struct AnsweredRun {
  FleetWorker* worker_ = nullptr;
  // Null if the answer no longer affects the attempt.
  Run* run_ = nullptr;
};

// Handles what answers to starts and stops have in common: finds the worker and
// the run that the answer belongs to, if the run is still in `phase`.
template <class Result>
AnsweredRun HandleCommandAnswer(Context& ctx, const Result& result,
                                RunPhase phase) {
  FleetWorker* worker =
      FindIncarnation(ctx, result.worker_, result.incarnation_);
  if (worker == nullptr) return {};
  const CommandOutcome outcome =
      OutcomeByClock(*worker, result.outcome_, result.clock_ms_);
  RecordAnswer(ctx, *worker, outcome);
  Run* run = FindRun(*worker, result.attempt_);
  const bool awaited = run != nullptr && run->phase_ == phase;
  // Also if a later incarnation seems to have answered: if it was this one
  // after all, the command is sent again once the worker reports.
  if (awaited) run->command_in_flight_ = false;
  if (HandleIncarnationEnd(ctx, *worker, outcome) || !awaited) return {};
  return {worker, run};
}

}  // namespace

void On(Context& ctx, const StartResult& result) {
  const auto [worker, run] =
      HandleCommandAnswer(ctx, result, RunPhase::kStarting);
  if (run == nullptr) return;
  switch (result.outcome_) {
    case CommandOutcome::kDone:
      run->began_ = ctx.now_;
      run->first_valid_poll_ = worker->polls_sent_ + 1;
      SetPhase(ctx, *run, RunPhase::kRunning);
      return ProposeConfirmed(ctx, *worker);
    case CommandOutcome::kRefused:
    case CommandOutcome::kRetryLater:
      LogDetail("start_refused", {{"attempt", Describe(result.attempt_)},
                                  {"worker", result.worker_.value()},
                                  {"reason", result.reason_}});
      worker->avoid_until_ = ctx.now_ + kRefusalPause;
      // An earlier command for this start may still be in transit.
      if (run->start_unanswered_) {
        return StopRun(ctx, *worker, result.attempt_, *run,
                       "the worker refused it");
      }
      return ProposeEnds(ctx, *worker, {result.attempt_},
                         AttemptEnd::kRejected);
    case CommandOutcome::kNoAnswer:
      run->start_unanswered_ = true;
      worker->unanswered_starts_[result.attempt_] = run->last_command_at_;
      run->start_broke_off_ = run->start_broke_off_ || result.broke_off_;
      return;
    case CommandOutcome::kNotSent:
      // Sent again after `resend_interval_`, which does not count as a resend.
      --run->commands_sent_;
      return;
    case CommandOutcome::kOtherWorker:
    case CommandOutcome::kOtherIncarnation:
      return;
  }
}

void On(Context& ctx, const StopResult& result) {
  const bool confirmed = result.outcome_ == CommandOutcome::kDone ||
                         result.outcome_ == CommandOutcome::kRefused;
  FleetWorker* stopped =
      FindIncarnation(ctx, result.worker_, result.incarnation_);
  if (stopped != nullptr && confirmed) {
    stopped->unconfirmed_stops_.erase(result.attempt_);
  }
  const auto [worker, run] =
      HandleCommandAnswer(ctx, result, RunPhase::kStopping);
  if (run == nullptr || !confirmed) return;
  run->first_valid_poll_ = worker->polls_sent_ + 1;
  SetPhase(ctx, *run, RunPhase::kStopped);
}

}  // namespace flamingohollow::graph_scheduler_internal

// What workers say of themselves, and their answers to starts and stops.

#include <algorithm>
#include <utility>

#include "flamingohollow/graph_scheduler_step.h"
#include "util/event_log.h"

namespace flamingohollow::graph_scheduler_internal {
namespace {

// A worker that refuses for now is asked again after this long.
constexpr Duration kNotNowPause = Duration(500);
// Answers of one worker may overtake each other by about the time of a call.
constexpr Duration kOvertaken = Duration(1500);

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
         found->second.report_.incarnation_ > report.incarnation_;
}

// The worker restarted. All that ran there is over, but a start order that was
// still under way names only the id, which the worker has kept, so the new life
// may carry it out. Each attempt is therefore stopped there, and over once a
// look shows nothing of it.
void BeginLife(Context& ctx, FleetWorker& worker,
               const PoolWorkerReport& report) {
  LogEvent("worker_restarted", {{"worker", report.id_.value()},
                                {"life", report.incarnation_.value()},
                                {"runs", worker.runs_.size()}});
  FleetWorker fresh;
  fresh.runs_ = std::move(worker.runs_);
  fresh.used_ = worker.used_;
  // A late start may bring a whole lease with it.
  fresh.lease_end_ = ctx.now_ +
                     AllowForClockDrift(ctx.scheduler_.options_.lease_) +
                     ctx.scheduler_.options_.resend_;
  for (auto& [attempt, run] : fresh.runs_) {
    if (run.end_proposed_ || run.phase_ == RunPhase::kProposed) continue;
    SetPhase(ctx, run, RunPhase::kStopping);
    run.command_in_flight_ = false;
    run.last_command_at_ = ctx.now_ - ctx.scheduler_.options_.resend_;
  }
  fresh.unanswered_starts_ = std::move(worker.unanswered_starts_);
  worker = std::move(fresh);
  worker.report_ = report;
  std::erase_if(worker.unanswered_starts_, [&ctx](const auto& start) {
    return ctx.now_ - start.second > kLateCommandBound;
  });
  for (const auto& [attempt, sent] : worker.unanswered_starts_) {
    if (worker.runs_.contains(attempt)) continue;
    ctx.actions_.emplace_back(StopOrder{TargetOf(ctx, worker), attempt});
  }
}

}  // namespace

void On(Context& ctx, const PoolWorkerReport& report) {
  if (IsSuperseded(ctx, report)) return;
  FleetWorker& worker = ctx.scheduler_.fleet_[report.id_];
  const bool known = worker.report_.incarnation_ != WorkerLife();
  if (known && report.incarnation_ < worker.report_.incarnation_) return;
  const bool same_life =
      known && report.incarnation_ == worker.report_.incarnation_;
  if (same_life && worker.reported_ &&
      report.sequence_ <= worker.report_.sequence_) {
    return;
  }
  if (known && !same_life) BeginLife(ctx, worker, report);
  if (!worker.reported_ || worker.report_.draining_ != report.draining_) {
    ctx.scheduler_.dirty_ = true;
    LogEvent("worker", {{"worker", report.id_.value()},
                        {"life", report.incarnation_.value()},
                        {"address", report.address_},
                        {"draining", report.draining_}});
  }
  const bool first = !worker.reported_;
  // Again with each report until it is in the log.
  if (!IsListed(ctx.state_, report)) Propose(ctx, WorkerRecord{{report}, {}});
  worker.report_ = report;
  worker.reported_ = true;
  worker.report_received_at_ = ctx.now_;
  worker.last_heard_at_ = ctx.now_;
  RecordClock(worker, report.clock_ms_, ctx.now_);
  if (first) worker.next_poll_at_ = ctx.now_;
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

void NoteAnswer(Context& ctx, FleetWorker& worker, OrderOutcome outcome) {
  if (outcome == OrderOutcome::kNoAnswer) {
    ++worker.unanswered_calls_;
    return;
  }
  if (worker.unanswered_calls_ >= kMaxUnansweredCalls)
    ctx.scheduler_.dirty_ = true;
  worker.unanswered_calls_ = 0;
}

namespace {

// An order names its worker by an id that a later life has too; a clock that
// went back tells that such a one answered.
OrderOutcome WithClock(const FleetWorker& worker, OrderOutcome outcome,
                       std::int64_t clock_ms) {
  const bool back = clock_ms > 0 && worker.clock_at_ != Time() &&
                    clock_ms + kOvertaken.ms() < worker.clock_ms_;
  return back ? OrderOutcome::kOtherLife : outcome;
}

}  // namespace

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

namespace {

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
  run->command_in_flight_ = false;
  return {worker, run};
}

}  // namespace

void On(Context& ctx, const StartResult& result) {
  const auto [worker, run] = TakeOrderAnswer(ctx, result, RunPhase::kStarting);
  if (run == nullptr) return;
  switch (result.outcome_) {
    case OrderOutcome::kDone:
      run->began_ = ctx.now_;
      run->first_valid_poll_ = worker->polls_sent_ + 1;
      return SetPhase(ctx, *run, RunPhase::kRunning);
    case OrderOutcome::kRefused:
    case OrderOutcome::kNotNow:
      LogDetail("start_refused", {{"attempt", Describe(result.attempt_)},
                                  {"worker", result.worker_.value()},
                                  {"reason", result.reason_}});
      worker->avoid_until_ = ctx.now_ + kNotNowPause;
      // An earlier order of this start may still be under way.
      if (run->start_unanswered_) {
        return StopRun(ctx, *worker, result.attempt_, *run,
                       "the worker refused it");
      }
      return ProposeEnds(ctx, *worker, {result.attempt_},
                         AttemptEnd::kNeverBegan);
    case OrderOutcome::kNoAnswer:
      run->start_unanswered_ = true;
      worker->unanswered_starts_[result.attempt_] = run->last_command_at_;
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
  run->first_valid_poll_ = worker->polls_sent_ + 1;
  SetPhase(ctx, *run, RunPhase::kStopped);
}

}  // namespace flamingohollow::graph_scheduler_internal

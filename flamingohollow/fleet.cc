// Runs, clock and lease of a worker.

#include "flamingohollow/fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingohollow {
namespace {

// A worker's clock may run slow by this much relative to the leader's: the
// worker protocol allows 2%, and 1% is added for the leader's own clock.
constexpr std::int64_t kClockDriftPerMille = 30;
// Margin for rounding and timers, added to each computed end of a lease.
constexpr Duration kLeaseMargin = Duration(200);

}  // namespace

bool IsOvercommitted(const FleetWorker& worker) {
  return !Fits(TakenResources(worker), worker.report_.capacity_);
}

void AddRun(FleetWorker& worker, const AttemptRef& attempt, Run run) {
  const Resources need = run.need_;
  if (!worker.runs_.emplace(attempt, std::move(run)).second) return;
  worker.used_ = worker.used_ + need;
}

void RemoveRun(FleetWorker& worker, const AttemptRef& attempt) {
  const auto found = worker.runs_.find(attempt);
  if (found == worker.runs_.end()) return;
  worker.used_ = worker.used_ - found->second.need_;
  worker.runs_.erase(found);
}

bool IsEnding(const Run& run) {
  return run.phase_ == RunPhase::kStopping ||
         run.phase_ == RunPhase::kStopped || run.end_proposed_;
}

Duration RemainingTime(const Run& run, Duration estimate, Time now) {
  constexpr double kAllPercent = 100;
  if (!run.progress_.has_value()) {
    const Duration spent = now - run.began_.value_or(now);
    return std::max(estimate - spent, Duration(0));
  }
  const double remaining_percent =
      kAllPercent - static_cast<double>(run.progress_->percent_);
  double ms_per_percent = static_cast<double>(estimate.ms()) / kAllPercent;
  const auto rate = RateBetween(*run.first_progress_, *run.progress_);
  if (rate.has_value()) {
    constexpr double kMsPerSecond = 1000;
    ms_per_percent = kMsPerSecond / kAllPercent / std::exp(*rate);
  }
  const Duration left(
      static_cast<std::int64_t>(remaining_percent * ms_per_percent));
  return std::max(left - (now - run.progress_->at_), Duration(0));
}

Duration RemainingStay(const FleetWorker& worker, Time now) {
  return std::max(
      worker.report_.remaining_ - (now - worker.report_received_at_),
      Duration(0));
}

bool AcceptsTasks(const FleetWorker& worker, Duration report_interval,
                  Time now) {
  return worker.reported_ && !worker.report_.draining_ &&
         worker.answered_poll_ &&
         worker.unanswered_calls_ < kMaxUnansweredCalls &&
         now - worker.last_heard_at_ < report_interval * kMissedReports &&
         now >= worker.avoid_until_;
}

bool IsAwaited(const FleetWorker& worker, Duration report_interval, Time now) {
  return worker.reported_ && !worker.report_.draining_ &&
         !worker.answered_poll_ &&
         now - worker.last_heard_at_ < report_interval * kMissedReports;
}

Duration AllowForClockDrift(Duration span) {
  return Duration(span.ms() + span.ms() * kClockDriftPerMille / 1000);
}

std::int64_t GrantLease(FleetWorker& worker, Duration lease, Time now) {
  const bool silent =
      worker.unanswered_calls_ > 0 && worker.granted_until_ms_ > 0;
  if (silent) return worker.granted_until_ms_;
  const std::int64_t until =
      worker.clock_ms_ + (now - worker.clock_at_).ms() + lease.ms();
  worker.granted_until_ms_ = std::max(worker.granted_until_ms_, until);
  const Duration left(std::max<std::int64_t>(0, until - worker.clock_ms_));
  const Time over = worker.clock_at_ + AllowForClockDrift(left) + kLeaseMargin;
  worker.lease_end_ = std::max(worker.lease_end_, over);
  return until;
}

void RecordClock(FleetWorker& worker, std::int64_t clock_ms, Time now) {
  const std::int64_t expected =
      worker.clock_ms_ + (now - worker.clock_at_).ms();
  const bool first = worker.clock_at_ == Time();
  // A delayed answer carries an older reading than the one already known.
  if (!first && clock_ms + kLeaseMargin.ms() < expected) return;
  worker.clock_ms_ = clock_ms;
  worker.clock_at_ = now;
}

}  // namespace flamingohollow

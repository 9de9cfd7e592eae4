// Compares the predicted end of each urgent unit with that of a new attempt.

#include "flamingohollow/slow_runs.h"

#include <algorithm>
#include <map>
#include <optional>

namespace flamingohollow {
namespace {

// An urgent unit's members that run.
struct RunningUnit {
  AttemptRef slowest_;
  const FleetWorker* worker_ = nullptr;
  Duration remaining_;
  // Of the fastest member, in percent of its work per millisecond.
  double best_rate_ = 0;
  bool all_running_ = true;
  const StepSpec* spec_ = nullptr;
};

// A rate is known once progress was reported over this time.
constexpr Duration kMinSpan(900);
constexpr double kAllPercent = 100;

// Returns the percentage of its work that the task does per millisecond at
// most, as progress is reported in whole percent.
std::optional<double> FindMaxRate(const Run& run) {
  if (!run.progress_.has_value()) return std::nullopt;
  const Duration span = run.progress_->at_ - run.first_progress_->at_;
  if (span < kMinSpan) return std::nullopt;
  const auto done = static_cast<double>(run.progress_->percent_ -
                                        run.first_progress_->percent_);
  return (done + 1) / static_cast<double>(span.ms());
}

// Returns how much longer the task takes at least.
Duration FindMinRemaining(const Run& run, double rate, Time now) {
  const double left =
      kAllPercent - static_cast<double>(run.progress_->percent_);
  return Duration(static_cast<std::int64_t>(left / rate)) -
         (now - run.progress_->at_);
}

void AddMember(RunningUnit& unit, const AttemptRef& attempt, const Run& run,
               const FleetWorker& worker, Time now) {
  const bool runs = run.phase_ == RunPhase::kRunning && !run.end_proposed_;
  unit.all_running_ = unit.all_running_ && runs;
  const auto rate = FindMaxRate(run);
  if (!rate.has_value()) return;
  unit.best_rate_ = std::max(unit.best_rate_, *rate);
  const Duration remaining = FindMinRemaining(run, *rate, now);
  if (unit.worker_ != nullptr && remaining <= unit.remaining_) return;
  unit.slowest_ = attempt;
  unit.worker_ = &worker;
  unit.remaining_ = remaining;
}

Duration Scale(Duration span, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(span.ms()) * factor));
}

// How long a new attempt would take from now.
Duration NewAttemptTime(const RunningUnit& unit,
                        const SlowRunOptions& options) {
  Duration length =
      Scale(unit.spec_->estimate_, options.estimate_safety_factor_);
  if (unit.spec_->gang_ && unit.spec_->tasks_ > 1) {
    const Duration seen(
        static_cast<std::int64_t>(kAllPercent / unit.best_rate_));
    length = Scale(seen, options.safety_factor_);
  }
  return options.restart_time_ + length;
}

}  // namespace

std::vector<SlowRun> FindSlowRuns(const GraphState& state, const Fleet& fleet,
                                  const SlowRunOptions& options, Time now) {
  std::map<AttemptRef, RunningUnit> units;
  std::map<PoolName, std::size_t> pool_sizes;
  std::map<PoolName, std::size_t> avoided;
  for (const auto& [id, worker] : fleet) {
    if (!worker.reported_) continue;
    ++pool_sizes[worker.report_.pool_];
    if (now < worker.avoid_until_) ++avoided[worker.report_.pool_];
    for (const auto& [attempt, run] : worker.runs_) {
      if (!run.urgent_) continue;
      const GraphJob* job = FindJob(state, attempt.task_.job_);
      if (job == nullptr) continue;
      const StepSpec& spec = job->spec_.steps_[attempt.task_.step_.value()];
      if (spec.long_running_) continue;
      AttemptRef first = attempt;
      if (spec.gang_) first.task_.index_ = TaskIndex();
      RunningUnit& unit = units[first];
      unit.spec_ = &spec;
      AddMember(unit, attempt, run, worker, now);
    }
  }
  std::vector<SlowRun> slow;
  for (const auto& [attempt, unit] : units) {
    if (unit.worker_ == nullptr || !unit.all_running_) continue;
    if (attempt.attempt_.value() > options.max_moves_) continue;
    if (unit.remaining_ <= NewAttemptTime(unit, options)) continue;
    const PoolName& pool = unit.worker_->report_.pool_;
    if (++avoided[pool] * options.workers_per_avoided_ > pool_sizes[pool]) {
      continue;
    }
    slow.push_back({unit.slowest_, unit.worker_->report_.id_});
  }
  return slow;
}

}  // namespace flamingohollow

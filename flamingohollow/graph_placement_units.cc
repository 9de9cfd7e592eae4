// Collects the waiting gangs and tasks and orders them by urgency.

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "flamingohollow/graph_placement_pass.h"

namespace flamingohollow::graph_placement_internal {
namespace {

// Returns the length of the longest chain of steps, where `length` gives the
// length of each step. Takes time in proportion to the number of dependencies,
// as each pass computes it for each job.
Duration FindLongestChain(
    const GraphSpec& spec,
    const std::function<Duration(std::size_t step)>& length) {
  const std::size_t steps = spec.steps_.size();
  if (steps == 1) return length(0);
  std::vector<std::vector<std::size_t>> followers(steps);
  // Dependencies of each step whose ends are not known yet.
  std::vector<std::size_t> missing(steps);
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < steps; ++i) {
    const auto& after = spec.steps_[i].after_;
    for (const std::uint32_t step : after) followers[step].push_back(i);
    missing[i] = after.size();
    if (after.empty()) ready.push_back(i);
  }
  std::vector<Duration> begins(steps);
  Duration longest;
  while (!ready.empty()) {
    const std::size_t step = ready.back();
    ready.pop_back();
    const Duration end = begins[step] + length(step);
    longest = std::max(longest, end);
    for (const std::size_t next : followers[step]) {
      begins[next] = std::max(begins[next], end);
      if (--missing[next] == 0) ready.push_back(next);
    }
  }
  return longest;
}

bool PredecessorsDone(const OccurrenceRecord& occurrence,
                      const StepSpec& spec) {
  return std::all_of(spec.after_.begin(), spec.after_.end(),
                     [&occurrence](std::uint32_t step) {
                       return IsDone(occurrence.steps_[step]);
                     });
}

// Returns the length of the longest chain of steps that are not done. A step
// that is open counts with its whole estimate.
Duration RemainingChain(const GraphJob& job,
                        const OccurrenceRecord& occurrence) {
  return FindLongestChain(job.spec_, [&](std::size_t step) {
    return IsDone(occurrence.steps_[step]) ? Duration()
                                           : job.spec_.steps_[step].estimate_;
  });
}

// Work takes up to this many times as long as estimated, unless it is odd.
constexpr double kEstimateError = 1.5;

// Jobs aren't taken for worthless unless they would be with estimates that are
// this much too short.
constexpr std::int64_t kMaxUnderestimate = 2;

void SetUrgency(Unit& unit, const OccurrenceRecord& occurrence, Time queued_at,
                Time now) {
  const GraphJob& job = *unit.job_;
  const Duration allowed = AllowedTime(job);
  unit.remaining_ = RemainingChain(job, occurrence);
  const Time finish = now + unit.remaining_;
  // A late job has reduced value until three times the allowed time, and none
  // after that. The allowed time depends on the real length, which may be twice
  // the estimate.
  const Time late = queued_at + allowed * 3 * kMaxUnderestimate;
  unit.queued_at_ = queued_at;
  unit.deadline_ = queued_at + allowed;
  const Duration left = unit.deadline_ - now;
  unit.required_speed_ =
      left <= Duration() ? std::numeric_limits<double>::infinity()
                         : static_cast<double>(unit.remaining_.ms()) *
                               kEstimateError / static_cast<double>(left.ms());
  // A task that lasts is of use whenever it runs.
  if (finish > unit.deadline_ && !unit.spec_->long_running_)
    unit.lateness_ = finish > late ? Lateness::kTooLate : Lateness::kLate;
}

// The attempts that were lost lately with a worker that is still silent, by
// task. Such a worker may have crashed.
using UnresolvedAttempts = std::map<TaskRef, std::set<AttemptId>>;

UnresolvedAttempts CollectUnresolved(const Pass& pass) {
  UnresolvedAttempts unresolved;
  for (const auto& [id, lost] : pass.state_.crashes_.lost_) {
    const auto found = pass.fleet_.find(id);
    if (found == pass.fleet_.end()) continue;
    const FleetWorker& worker = found->second;
    const bool silent = worker.report_.incarnation_ == lost.incarnation_ &&
                        (worker.unanswered_calls_ > 0 || !worker.reported_);
    if (!silent || pass.now_ - worker.last_heard_at_ >= kMaxRestartTime) {
      continue;
    }
    for (const AttemptOnWorker& lost_here : lost.attempts_) {
      const AttemptRef& attempt = lost_here.attempt_;
      unresolved[attempt.task_].insert(attempt.attempt_);
    }
  }
  return unresolved;
}

// Collects units of one job.
struct JobUnits {
  const Pass& pass_;
  // Unset until a unit first needs it.
  std::optional<UnresolvedAttempts>& unresolved_;
  std::vector<Unit>& units_;
};

// A task with this many attempts that may have crashed workers waits for news
// of these workers.
constexpr std::uint32_t kCrashesToAwait = 3;

// Whether the next attempt waits until it is known whether the task has crashed
// the workers that its last attempts were lost with.
bool AwaitsVerdict(JobUnits& out, const TaskRef& ref, const TaskRecord& task) {
  if (task.attempt_.value() < kCrashesToAwait) return false;
  const CrashLedger& ledger = out.pass_.state_.crashes_;
  if (VerdictOn(ledger, ref) != Verdict::kGoOn) return true;
  if (!out.unresolved_.has_value()) {
    out.unresolved_ = CollectUnresolved(out.pass_);
  }
  const auto unresolved = out.unresolved_->find(ref);
  if (unresolved == out.unresolved_->end()) return false;
  const auto history = ledger.histories_.find(ref);
  const std::size_t crashes =
      history == ledger.histories_.end() ? 0 : history->second.crashes_;
  return crashes + unresolved->second.size() >= kCrashesToAwait;
}

// Whether the task waits until workers don't crash in waves any more.
bool IsHeld(const JobUnits& out, const TaskRef& task) {
  const CrashLedger& ledger = out.pass_.state_.crashes_;
  const GraphPlacementOptions& options = out.pass_.options_;
  if (SuspicionOf(ledger, task) != Suspicion::kStrong) return false;
  return HasFewStartsLeft(ledger, task) ? options.hold_limited_suspects_
                                        : options.hold_strong_suspects_;
}

// A gang is as suspect as the most suspect of its members.
void CollectGang(Unit unit, TaskRef task, JobUnits& out) {
  const StepRecord& step = *unit.step_;
  if (step.open_ > 0) return;
  for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
    task.index_ = TaskIndex(i);
    if (AwaitsVerdict(out, task, step.tasks_[i]) || IsHeld(out, task)) return;
    unit.suspicion_ =
        std::max(unit.suspicion_, SuspicionOf(out.pass_.state_.crashes_, task));
    unit.tasks_.emplace_back(i);
  }
  unit.first_suspect_ = true;
  out.units_.push_back(std::move(unit));
}

// Adds one unit for the tasks of the step without a suspicion, one for the weak
// suspects, and one for each strong suspect.
void CollectStep(const Unit& base, JobUnits& out) {
  const StepRecord& step = *base.step_;
  TaskRef task{base.job_->key_, base.occurrence_, base.index_, {}};
  if (base.spec_->gang_) return CollectGang(base, task, out);
  Unit unsuspected = base;
  Unit weak_suspects = base;
  weak_suspects.suspicion_ = Suspicion::kWeak;
  bool idle = step.open_ == 0;
  for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
    if (step.tasks_[i].open_ || step.tasks_[i].done_) continue;
    task.index_ = TaskIndex(i);
    if (AwaitsVerdict(out, task, step.tasks_[i])) continue;
    const Suspicion suspicion = SuspicionOf(out.pass_.state_.crashes_, task);
    if (IsHeld(out, task)) continue;
    if (suspicion == Suspicion::kStrong) {
      Unit& alone = out.units_.emplace_back(base);
      alone.suspicion_ = suspicion;
      alone.first_suspect_ = std::exchange(idle, false);
      alone.tasks_.emplace_back(i);
      continue;
    }
    const bool weak = suspicion == Suspicion::kWeak;
    (weak ? weak_suspects : unsuspected).tasks_.emplace_back(i);
  }
  for (Unit* unit : {&weak_suspects, &unsuspected}) {
    if (!unit->tasks_.empty()) out.units_.push_back(std::move(*unit));
  }
}

void CollectJob(const GraphJob& job, Time queued_at, JobUnits& out) {
  const bool guaranteed = out.pass_.guaranteed_.contains(&job);
  for (const auto& [number, occurrence] : job.occurrences_) {
    for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepRecord& step = occurrence.steps_[i];
      const StepSpec& spec = job.spec_.steps_[i];
      const bool waits = !IsDone(step) &&
                         step.open_ + step.done_ < step.tasks_.size() &&
                         PredecessorsDone(occurrence, spec);
      if (!waits) continue;
      Unit unit{.job_ = &job,
                .spec_ = &spec,
                .step_ = &step,
                .occurrence_ = number,
                .index_ = StepIndex(i),
                .tasks_ = {},
                .need_ = ReservedResources(spec),
                .deadline_ = {},
                .remaining_ = {},
                .queued_at_ = {},
                .guaranteed_ = guaranteed};
      SetUrgency(unit, occurrence, queued_at, out.pass_.now_);
      CollectStep(unit, out);
    }
  }
}

}  // namespace

std::vector<Unit> CollectUnits(const Pass& pass, const JobQueuedAt& queued_at) {
  std::vector<Unit> units;
  std::optional<UnresolvedAttempts> unresolved;
  JobUnits out{pass, unresolved, units};
  for (const auto& [key, job] : pass.state_.jobs_) {
    if (job.state_ != GraphJobState::kActive) continue;
    CollectJob(job, queued_at(job), out);
  }
  // Units that may preempt come before the units that they may preempt.
  // Otherwise a preempted unit would take the freed resources first and be
  // preempted again, forever.
  const auto order = [](const Unit& unit) {
    const bool too_late = unit.lateness_ == Lateness::kTooLate;
    // Strong suspects need a worker without recent starts, which a pool of
    // short tasks has only if it is held before these are placed. Few start at
    // a time, so no job takes all turns while nothing of another one runs.
    const bool strong = unit.suspicion_ == Suspicion::kStrong;
    return std::tuple(!unit.guaranteed_, too_late, unit.job_->terms_.priority_,
                      !strong, strong && !unit.first_suspect_, unit.lateness_,
                      unit.deadline_);
  };
  std::stable_sort(
      units.begin(), units.end(),
      [&order](const Unit& a, const Unit& b) { return order(a) < order(b); });
  return units;
}

}  // namespace flamingohollow::graph_placement_internal

namespace flamingohollow {

Duration LongestChain(const GraphSpec& spec) {
  return graph_placement_internal::FindLongestChain(
      spec, [&spec](std::size_t step) { return spec.steps_[step].estimate_; });
}

Duration AllowedTime(const GraphJob& job) {
  const Duration chain = LongestChain(job.spec_);
  return Duration(static_cast<std::int64_t>(job.terms_.slack_ *
                                            static_cast<double>(chain.ms()))) +
         job.terms_.objective_;
}

}  // namespace flamingohollow

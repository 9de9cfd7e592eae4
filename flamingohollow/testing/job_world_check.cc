// The invariants at the end of every simulation run: see job_world.h.

#include <fmt/format.h>

#include <algorithm>

#include "flamingohollow/testing/job_world.h"

namespace flamingohollow {
namespace {

using Violations = std::vector<std::string>;
using AttemptKey = std::pair<JobId, AttemptId>;

struct Replay {
  JobRecords records_;
  // Number of tasks of each attempt that may have run.
  std::map<AttemptKey, std::size_t> tasks_;
  std::map<JobId, int> ends_;
};

Replay ReplayLog(const World& world) {
  Replay replay;
  for (std::size_t i = 0; i < world.log_.size(); ++i) {
    const Command& command = world.log_[i];
    const JobApplyResult result =
        ApplyJobCommand(replay.records_, LogIndex(i + 1), command);
    if (result.outcome_ != ApplyOutcome::kApplied) continue;
    if (const auto* may_run = std::get_if<JobMayRun>(&command)) {
      replay.tasks_[{may_run->job_, may_run->attempt_}] =
          may_run->slices_.size();
    }
    if (std::holds_alternative<JobEnded>(command)) ++replay.ends_[result.job_];
  }
  return replay;
}

// How long a task may keep running after another task of its attempt ended
// without a result or, if some task never started, after the first start: the
// loss is noticed within one lease time, and the other leases then end within
// the time that exclusion from renewal takes.
Duration LeaseBound(const World& world) {
  const JobControllerOptions& options = world.options_;
  return options.lease_ * 2 + options.entry_authority_ + options.clock_margin_ +
         Duration(5000);
}

std::map<AttemptKey, std::vector<const Run*>> RunsByAttempt(
    const World& world) {
  std::map<AttemptKey, std::vector<const Run*>> attempts;
  for (const Run& run : world.runs_) {
    attempts[{run.key_.job_, run.key_.attempt_}].push_back(&run);
  }
  return attempts;
}

void CheckGangAtomicity(const World& world, const Replay& replay,
                        Violations& found) {
  for (const auto& [key, runs] : RunsByAttempt(world)) {
    const auto tasks = replay.tasks_.find(key);
    if (tasks == replay.tasks_.end()) {
      found.push_back("a start before JobMayRun was committed");
      continue;
    }
    std::optional<Time> partial_since;
    for (const Run* run : runs) {
      const bool unfinished = run->ended_at_ && !run->finished_;
      const bool partial = unfinished || runs.size() < tasks->second;
      if (!partial) continue;
      const Time since = unfinished ? *run->ended_at_ : run->began_at_;
      partial_since = std::min(partial_since.value_or(since), since);
    }
    if (!partial_since) continue;
    for (const Run* run : runs) {
      const Time ended = run->ended_at_.value_or(world.now_);
      if (ended - *partial_since > LeaseBound(world)) {
        found.push_back("a part of a gang kept running beyond its lease");
      }
    }
  }
}

void CheckStarts(const World& world, const Replay& replay, Violations& found) {
  std::map<std::pair<JobId, TaskIndex>, int> starts;
  std::set<LeaseKey> keys;
  for (const Run& run : world.runs_) {
    ++starts[{run.key_.job_, run.key_.task_}];
    if (!keys.insert(run.key_).second) {
      found.push_back("a task of one attempt started twice");
    }
    for (const Run& other : world.runs_) {
      const bool later = other.key_.job_ == run.key_.job_ &&
                         other.key_.attempt_ > run.key_.attempt_;
      if (later && run.ended_at_.value_or(world.now_) > other.began_at_) {
        found.push_back("two attempts of a job ran at the same time");
      }
    }
  }
  for (const auto& [key, count] : starts) {
    const JobRecord& record = replay.records_.jobs_.at(key.first);
    if (!record.spec_.idempotent_ && count > 1) {
      found.push_back("a non-idempotent job started twice");
    }
    if (record.end_ && record.end_->outcome_ == Outcome::kNotRun) {
      found.push_back("a job that was not run had started");
    }
  }
}

void CheckParts(const JobRecord& record, Violations& found) {
  if (record.end_->outcome_ != Outcome::kCompleted) return;
  const std::vector<std::string>& parts = record.end_->parts_;
  if (parts.size() != record.slices_.size()) {
    found.push_back("an answer is incomplete");
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::string expected = fmt::format(
        "{}/{}/{}", record.id_.value(), record.may_run_attempt_.value(), i);
    if (parts[i] != expected)
      found.push_back("a part does not belong to its task");
  }
}

void CheckRequests(const World& world, const Replay& replay,
                   Violations& found) {
  for (const WorldRequest& request : world.requests_) {
    if (!request.last_view_ || !IsTerminal(request.last_view_->outcome_)) {
      found.push_back("a request has no terminal outcome");
      continue;
    }
    const JobId job = request.last_view_->job_;
    const JobRecord& record = replay.records_.jobs_.at(job);
    if (!record.end_ || record.end_->outcome_ != request.last_view_->outcome_ ||
        record.end_->parts_ != request.last_view_->parts_) {
      found.push_back(
          "a caller received an outcome that differs from the record");
      continue;
    }
    if (replay.ends_.at(job) != 1) found.push_back("a job ended twice");
    if (record.spec_.idempotent_ &&
        record.end_->outcome_ == Outcome::kUnknown) {
      found.push_back("an idempotent job ended unknown");
    }
    const Outcome outcome = record.end_->outcome_;
    if (outcome == Outcome::kCancelled && !request.cancel_) {
      found.push_back("a job was cancelled without a request");
    }
    const bool may_fail =
        world.may_fail_ || record.spec_.deadline_ > Duration(0);
    if (outcome == Outcome::kFailed && !may_fail) {
      found.push_back("a job failed without cause: " + record.end_->reason_);
    }
    CheckParts(record, found);
  }
}

void CheckWorkers(World& world, Violations& found) {
  const WorldLeader* leader = CurrentLeader(world);
  for (const WorkerView& view : ViewWorkers(*leader->controller_)) {
    const int index = std::stoi(view.report_.worker_.value().substr(1));
    const WorldWorker& worker = world.workers_[index];
    if (!world.nodes_.at({Role::kWorker, index}).alive_) continue;
    if (!worker.table_.leases_.empty()) {
      found.push_back("a lease was never released");
    }
    if (view.free_ != worker.table_.accelerators_) {
      found.push_back("accelerators are allocated without a lease");
    }
  }
}

}  // namespace

std::vector<std::string> CheckWorld(World& world) {
  const Replay replay = ReplayLog(world);
  Violations found = world.violations_;
  CheckGangAtomicity(world, replay, found);
  CheckStarts(world, replay, found);
  CheckRequests(world, replay, found);
  CheckWorkers(world, found);
  if (world.double_allocations_ > 0) {
    found.push_back("accelerators were allocated twice");
  }
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  return found;
}

}  // namespace flamingohollow

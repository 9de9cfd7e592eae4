// The state of an attempt's tasks: see job_attempt.h.

#include "flamingohollow/job_attempt.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingohollow {
namespace {

TaskState TaskStateOf(LeaseState state) {
  switch (state) {
    case LeaseState::kPrepared:
      return TaskState::kPrepared;
    case LeaseState::kRunning:
      return TaskState::kRunning;
    case LeaseState::kFinished:
      return TaskState::kFinished;
    case LeaseState::kFailed:
      return TaskState::kFailed;
    case LeaseState::kStopped:
      return TaskState::kStopped;
    case LeaseState::kNeverRan:
      return TaskState::kNeverRan;
  }
  return TaskState::kLost;
}

bool HasStarted(TaskState state) {
  return state == TaskState::kRunning || state == TaskState::kFinished ||
         state == TaskState::kFailed || state == TaskState::kStopped;
}

template <typename Predicate>
bool All(const Attempt& attempt, Predicate predicate) {
  return std::all_of(attempt.tasks_.begin(), attempt.tasks_.end(), predicate);
}

}  // namespace

Attempt MakeAttempt(AttemptId id, const std::vector<Slice>& slices, Time now) {
  Attempt attempt;
  attempt.id_ = id;
  attempt.began_at_ = now;
  for (const Slice& slice : slices) {
    AttemptTask& task = attempt.tasks_.emplace_back();
    task.slice_ = slice;
  }
  return attempt;
}

Attempt RestoreAttempt(const JobRecord& record, Time now) {
  Attempt attempt = MakeAttempt(record.may_run_attempt_, record.slices_, now);
  attempt.may_run_ = true;
  for (AttemptTask& task : attempt.tasks_) task.granted_ = true;
  return attempt;
}

bool ApplyLeaseReport(AttemptTask& task, const LeaseReport& report) {
  task.missing_since_.reset();
  if (IsOver(task.state_)) return false;
  // A lease with the same key but another size was granted to an earlier
  // leader, not to this attempt.
  if (report.accelerators_ != task.slice_.accelerators_) return false;
  const bool too_long = report.part_.size() > kMaxPartBytes;
  const TaskState reported =
      too_long ? TaskState::kFailed : TaskStateOf(report.state_);
  // A worker never goes back from running to prepared.
  if (reported <= task.state_) return false;
  // A "never ran" report contradicts an earlier report of a start. Only the end
  // of the task can be relied on.
  const bool contradicts = reported == TaskState::kNeverRan && task.started_;
  task.state_ = contradicts ? TaskState::kLost : reported;
  task.granted_ = true;
  task.started_ = task.started_ || HasStarted(reported);
  task.part_ = too_long
                   ? fmt::format("a part of {} bytes, over the limit of {}",
                                 report.part_.size(), kMaxPartBytes)
                   : report.part_;
  return true;
}

bool MarkLost(AttemptTask& task) {
  if (IsOver(task.state_)) return false;
  task.state_ = TaskState::kLost;
  return true;
}

bool AnyMissing(const Attempt& attempt) {
  return std::any_of(attempt.tasks_.begin(), attempt.tasks_.end(),
                     [](const AttemptTask& task) {
                       return task.missing_since_ && !IsOver(task.state_);
                     });
}

bool AllPrepared(const Attempt& attempt) {
  return All(attempt, [](const AttemptTask& task) {
    return task.state_ == TaskState::kPrepared;
  });
}

bool AllFinished(const Attempt& attempt) {
  return All(attempt, [](const AttemptTask& task) {
    return task.state_ == TaskState::kFinished;
  });
}

bool AllNeverRan(const Attempt& attempt) {
  return All(attempt, [](const AttemptTask& task) {
    return task.state_ == TaskState::kNeverRan;
  });
}

bool AllOver(const Attempt& attempt) {
  return All(attempt,
             [](const AttemptTask& task) { return IsOver(task.state_); });
}

bool AnyStarted(const Attempt& attempt) {
  return std::any_of(attempt.tasks_.begin(), attempt.tasks_.end(),
                     [](const AttemptTask& task) { return task.started_; });
}

bool CanComplete(const Attempt& attempt) {
  return All(attempt, [](const AttemptTask& task) {
    return task.state_ == TaskState::kPrepared ||
           task.state_ == TaskState::kRunning ||
           task.state_ == TaskState::kFinished;
  });
}

bool AllRunning(const Attempt& attempt) {
  return All(attempt, [](const AttemptTask& task) { return task.started_; });
}

bool IsGuaranteedOver(const Attempt& attempt,
                      const JobControllerOptions& options, Time now) {
  if (AllOver(attempt)) return true;
  return attempt.excluded_at_ &&
         now >= LatestLeaseExpiry(options, *attempt.excluded_at_);
}

Time LatestLeaseExpiry(const JobControllerOptions& options, Time excluded_at) {
  // An entry that has not received the exclusion may renew leases until
  // `entry_authority_` after it. That renewal lasts for `lease_`.
  return excluded_at + options.entry_authority_ + options.lease_ +
         options.clock_margin_;
}

std::vector<std::string> PartsOf(const Attempt& attempt) {
  std::vector<std::string> parts;
  parts.reserve(attempt.tasks_.size());
  for (const AttemptTask& task : attempt.tasks_) parts.push_back(task.part_);
  return parts;
}

std::vector<Slice> SlicesOf(const Attempt& attempt) {
  std::vector<Slice> slices;
  slices.reserve(attempt.tasks_.size());
  for (const AttemptTask& task : attempt.tasks_) slices.push_back(task.slice_);
  return slices;
}

}  // namespace flamingohollow

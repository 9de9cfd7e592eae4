// Counts crashes of workers against the tasks that were there.

#include "flamingohollow/worker_crashes.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace flamingohollow {
namespace {

bool HasHistory(const CrashLedger& ledger, const TaskRef& task) {
  return ledger.histories_.contains(task);
}

// Returns what the ledger holds of the attempt, which may be accused.
AttemptOnWorker LookUpAttempt(const CrashLedger& ledger,
                              const AttemptRef& attempt,
                              const WorkerId& worker) {
  AttemptOnWorker described{attempt, false, false, Time()};
  const auto here = ledger.accused_.find(worker);
  if (here == ledger.accused_.end()) return described;
  const auto found = here->second.find(attempt.task_);
  if (found == here->second.end()) return described;
  described.accused_ = true;
  described.confirmed_ = found->second;
  return described;
}

// Returns the attempts that were on the worker, each gang once.
std::vector<AttemptOnWorker> CollectAttempts(
    const CrashLedger& ledger, const WorkerId& worker,
    WorkerIncarnation incarnation, const std::vector<AttemptRef>& open,
    Time restarted) {
  std::vector<AttemptOnWorker> all;
  all.reserve(open.size());
  for (const AttemptRef& attempt : open) {
    all.push_back(LookUpAttempt(ledger, attempt, worker));
  }
  const auto lost = ledger.lost_.find(worker);
  if (lost != ledger.lost_.end() && lost->second.incarnation_ == incarnation) {
    for (const AttemptOnWorker& attempt : lost->second.attempts_) {
      const bool recent =
          restarted == Time() || restarted - attempt.lost_ <= kMaxRestartTime;
      if (recent) all.push_back(attempt);
    }
  }
  const auto by_attempt = [](const auto& a, const auto& b) {
    return a.attempt_ < b.attempt_;
  };
  const auto same = [](const auto& a, const auto& b) {
    return a.attempt_ == b.attempt_;
  };
  std::stable_sort(all.begin(), all.end(), by_attempt);
  all.erase(std::unique(all.begin(), all.end(), same), all.end());
  return all;
}

// Returns the only task that may have caused the crash if it is known to have
// begun.
std::optional<TaskRef> FindBlamed(const std::vector<AttemptOnWorker>& all) {
  const AttemptOnWorker* only = nullptr;
  for (const AttemptOnWorker& here : all) {
    if (!here.accused_) continue;
    if (only != nullptr) return std::nullopt;
    only = &here;
  }
  if (only == nullptr || !only->confirmed_) return std::nullopt;
  return only->attempt_.task_;
}

bool ShouldGiveUp(const CrashHistory& history) {
  return std::any_of(kGiveUpRules.begin(), kGiveUpRules.end(),
                     [&history](const GiveUpRule& rule) {
                       return history.crashes_ >= rule.crashes_ &&
                              history.blamed_ >= rule.blamed_;
                     });
}

}  // namespace

AttemptRef ListedAttempt(const AttemptRef& attempt, const StepSpec& spec) {
  AttemptRef listed = attempt;
  if (spec.gang_) listed.task_.index_ = TaskIndex();
  return listed;
}

void NoteOpened(CrashLedger& ledger, const AttemptRef& listed,
                const WorkerId& worker) {
  const TaskRef& task = listed.task_;
  if (HasHistory(ledger, task) || ledger.accused_.contains(worker)) {
    ledger.accused_[worker].emplace(task, false);
  }
}

void NoteConfirmed(CrashLedger& ledger, const AttemptRef& listed,
                   const WorkerId& worker) {
  if (!AwaitsConfirmation(ledger, listed, worker)) return;
  auto& accused = ledger.accused_.at(worker);
  if (SuspicionOf(ledger, listed.task_) == Suspicion::kStrong) accused.clear();
  accused[listed.task_] = true;
}

bool AwaitsConfirmation(const CrashLedger& ledger, const AttemptRef& listed,
                        const WorkerId& worker) {
  const AttemptOnWorker attempt = LookUpAttempt(ledger, listed, worker);
  return attempt.accused_ && !attempt.confirmed_;
}

void NoteEnded(CrashLedger& ledger, const AttemptRef& listed,
               const WorkerId& worker, WorkerIncarnation incarnation, bool lost,
               Time at) {
  AttemptOnWorker ended = LookUpAttempt(ledger, listed, worker);
  if (ended.accused_) {
    auto& accused = ledger.accused_.at(worker);
    accused.erase(listed.task_);
    if (accused.empty()) ledger.accused_.erase(worker);
  }
  if (!lost) return;
  CrashLedger::Lost& here = ledger.lost_[worker];
  if (here.incarnation_ != incarnation) here = {incarnation, {}};
  std::erase_if(here.attempts_, [at](const AttemptOnWorker& attempt) {
    return at - attempt.lost_ > kMaxRestartTime;
  });
  ended.lost_ = at;
  here.attempts_.push_back(ended);
}

WorkerCrash CountCrash(CrashLedger& ledger, const WorkerId& worker,
                       WorkerIncarnation incarnation,
                       const std::vector<AttemptRef>& open, Time restarted) {
  WorkerCrash crash{worker, incarnation, {}, {}};
  const std::vector<AttemptOnWorker> all =
      CollectAttempts(ledger, worker, incarnation, open, restarted);
  // A worker that doesn't return may only be cut off.
  const std::optional<TaskRef> blamed =
      restarted == Time() ? std::nullopt : FindBlamed(all);
  ForgetWorker(ledger, worker);
  for (const AttemptOnWorker& here : all) {
    const TaskRef& task = here.attempt_.task_;
    CrashHistory& history = ledger.histories_[task];
    // Another member of the gang was on another worker that crashed.
    if (here.attempt_.attempt_ <= history.last_attempt_) continue;
    const Time at = std::max(restarted, here.lost_);
    if (at - history.last_crash_ > kCrashMemory) history = {};
    ++history.crashes_;
    if (blamed == task) ++history.blamed_;
    history.last_attempt_ = here.attempt_.attempt_;
    history.last_crash_ = at;
    crash.tasks_.push_back(task);
    if (ShouldGiveUp(history)) crash.given_up_.push_back(task);
  }
  return crash;
}

void ForgetWorker(CrashLedger& ledger, const WorkerId& worker) {
  ledger.lost_.erase(worker);
  ledger.accused_.erase(worker);
}

void ForgetJob(CrashLedger& ledger, const GraphJobKey& job) {
  auto& histories = ledger.histories_;
  auto task = histories.lower_bound({job, {}, {}, {}});
  while (task != histories.end() && task->first.job_ == job) {
    task = histories.erase(task);
  }
}

void ForgetOccurrence(CrashLedger& ledger, const GraphJobKey& job,
                      Occurrence occurrence) {
  auto& histories = ledger.histories_;
  auto task = histories.lower_bound({job, occurrence, {}, {}});
  while (task != histories.end() && task->first.job_ == job &&
         task->first.occurrence_ == occurrence) {
    task = histories.erase(task);
  }
}

Suspicion SuspicionOf(const CrashLedger& ledger, const TaskRef& listed) {
  const auto found = ledger.histories_.find(listed);
  if (found == ledger.histories_.end()) return Suspicion::kNone;
  const std::uint32_t crashes = found->second.crashes_;
  return crashes >= kCrashesOfStrongSuspect ? Suspicion::kStrong
                                            : Suspicion::kWeak;
}

}  // namespace flamingohollow

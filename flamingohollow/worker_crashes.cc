// Counts crashes of workers against the tasks that were there.

#include "flamingohollow/worker_crashes.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace flamingohollow {
namespace {

bool HasHistory(const CrashLedger& ledger, const TaskRef& task) {
  return ledger.histories_.contains(task);
}

// Returns what the ledger holds of the attempt, which may be accused.
AttemptOnWorker Describe(const CrashLedger& ledger, const AttemptRef& attempt,
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
    all.push_back(Describe(ledger, attempt, worker));
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

// Returns the attempts that may have caused the crash: those that are accused,
// otherwise the suspects, otherwise all.
std::vector<AttemptOnWorker> FindCandidates(const CrashLedger& ledger,
                                            std::vector<AttemptOnWorker> all) {
  const auto keep = [&all](const auto& predicate) {
    const bool any = std::any_of(all.begin(), all.end(), predicate);
    if (any) std::erase_if(all, std::not_fn(predicate));
    return any;
  };
  const bool accused =
      keep([](const AttemptOnWorker& attempt) { return attempt.accused_; });
  if (!accused) {
    keep([&ledger](const AttemptOnWorker& attempt) {
      return HasHistory(ledger, attempt.attempt_.task_);
    });
  }
  return all;
}

bool ShouldGiveUp(const CrashHistory& history) {
  const bool blamed = history.crashes_ >= kCrashesToGiveUp &&
                      history.blamed_ >= kBlamedToGiveUp;
  return blamed || history.crashes_ >= kMaxCrashes;
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
  if (SuspicionOf(ledger, task) == Suspicion::kStrong) {
    ledger.accused_[worker] = {{task, false}};
  } else if (HasHistory(ledger, task) || ledger.accused_.contains(worker)) {
    ledger.accused_[worker].emplace(task, false);
  }
}

void NoteConfirmed(CrashLedger& ledger, const AttemptRef& listed,
                   const WorkerId& worker) {
  if (AwaitsConfirmation(ledger, listed, worker)) {
    ledger.accused_.at(worker).at(listed.task_) = true;
  }
}

bool AwaitsConfirmation(const CrashLedger& ledger, const AttemptRef& listed,
                        const WorkerId& worker) {
  const AttemptOnWorker attempt = Describe(ledger, listed, worker);
  return attempt.accused_ && !attempt.confirmed_;
}

void NoteEnded(CrashLedger& ledger, const AttemptRef& listed,
               const WorkerId& worker, WorkerIncarnation incarnation, bool lost,
               Time at) {
  AttemptOnWorker ended = Describe(ledger, listed, worker);
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
  const auto candidates = FindCandidates(
      ledger, CollectAttempts(ledger, worker, incarnation, open, restarted));
  ForgetWorker(ledger, worker);
  for (const AttemptOnWorker& candidate : candidates) {
    const TaskRef& task = candidate.attempt_.task_;
    CrashHistory& history = ledger.histories_[task];
    // Another member of the gang was on another worker that crashed.
    if (candidate.attempt_.attempt_ <= history.last_attempt_) continue;
    const Time at = std::max(restarted, candidate.lost_);
    if (at - history.last_crash_ > kCrashMemory) history = {};
    ++history.crashes_;
    if (candidates.size() == 1 && candidate.confirmed_) ++history.blamed_;
    history.last_attempt_ = candidate.attempt_.attempt_;
    history.last_crash_ = at;
    crash.suspects_.push_back(task);
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
  return found->second.crashes_ >= kCrashesToIsolate ? Suspicion::kStrong
                                                     : Suspicion::kSome;
}

}  // namespace flamingohollow

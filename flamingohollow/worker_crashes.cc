// Counts crashes of workers against the tasks that were there.

#include "flamingohollow/worker_crashes.h"

#include <algorithm>
#include <utility>

namespace flamingohollow {
namespace {

// Returns what the ledger holds of the attempt, which may be accused.
AttemptOnWorker LookUpAttempt(const CrashLedger& ledger,
                              const AttemptRef& attempt,
                              const WorkerId& worker) {
  AttemptOnWorker described{attempt, false, false, Time()};
  const auto begun = ledger.begun_.find(worker);
  described.confirmed_ =
      begun != ledger.begun_.end() && begun->second.contains(attempt);
  const auto here = ledger.accused_.find(worker);
  if (here == ledger.accused_.end()) return described;
  const auto found = here->second.find(attempt.task_);
  if (found == here->second.end()) return described;
  described.accused_ = true;
  described.confirmed_ = described.confirmed_ || found->second;
  return described;
}

// Returns the attempts that were on the worker.
std::vector<AttemptOnWorker> CollectAttempts(
    const CrashLedger& ledger, const CrashedWorker& crashed,
    const std::vector<AttemptRef>& open) {
  std::vector<AttemptOnWorker> all;
  all.reserve(open.size());
  for (const AttemptRef& attempt : open) {
    all.push_back(LookUpAttempt(ledger, attempt, crashed.worker_));
  }
  const auto lost = ledger.lost_.find(crashed.worker_);
  if (lost != ledger.lost_.end() &&
      lost->second.incarnation_ == crashed.incarnation_) {
    for (const AttemptOnWorker& attempt : lost->second.attempts_) {
      const bool recent = crashed.restarted_ == Time() ||
                          crashed.restarted_ - attempt.lost_ <= kMaxRestartTime;
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

// Returns the tasks that are known to have begun, if only tasks of one job may
// have caused the crash.
std::vector<TaskRef> FindBlamed(const std::vector<AttemptOnWorker>& all) {
  std::vector<TaskRef> blamed;
  const GraphJobKey* job = nullptr;
  for (const AttemptOnWorker& here : all) {
    if (!here.accused_) continue;
    const TaskRef& task = here.attempt_.task_;
    if (job != nullptr && *job != task.job_) return {};
    job = &task.job_;
    if (here.confirmed_) blamed.push_back(task);
  }
  return blamed;
}

bool IsNear(const RecentCrash& a, const RecentCrash& b) {
  const Duration apart = std::max(a.restarted_, b.restarted_) -
                         std::min(a.restarted_, b.restarted_);
  return &a != &b && apart <= kMaxWaveTime && a.pool_ == b.pool_;
}

// Adds `other` to the crashes at about the same time as `crash`. Those of other
// tasks of the job that it is blamed on don't count.
void CountOther(RecentCrash& crash, const RecentCrash& other) {
  if (!IsNear(crash, other)) return;
  const bool same_job =
      crash.isolated_ && other.jobs_.contains(crash.blamed_.front().job_);
  if (same_job) return;
  ++crash.others_;
  if (!other.isolated_) ++crash.unexplained_;
}

// Whether so many crashes happened at about the same time that this one may
// have had the same cause.
bool IsInWave(const RecentCrash& crash, std::size_t pool_size) {
  const auto exceeds = [pool_size](std::size_t crashes, std::size_t divisor) {
    return crashes >= kMinCrashesOfWave && crashes * divisor > pool_size;
  };
  return exceeds(crash.unexplained_, kWaveShareDivisor) ||
         exceeds(crash.others_, kBlamedWaveShareDivisor);
}

// The crash is not isolated any more.
void ClearIsolated(CrashLedger& ledger, RecentCrash& crash) {
  crash.isolated_ = false;
  for (const TaskRef& task : crash.blamed_) {
    const auto history = ledger.histories_.find(task);
    if (history == ledger.histories_.end()) continue;
    CrashHistory& counts = history->second;
    if (counts.isolated_ > 0) --counts.isolated_;
  }
  for (RecentCrash& other : ledger.recent_) {
    const bool counts = other.isolated_ && IsNear(other, crash) &&
                        !crash.jobs_.contains(other.blamed_.front().job_);
    if (counts) ++other.unexplained_;
  }
}

// Decides anew which crashes are isolated. One that is not any more may be of
// the same wave as others.
void UpdateIsolated(CrashLedger& ledger, const PoolName& pool,
                    std::size_t pool_size) {
  for (bool changed = true; changed;) {
    changed = false;
    for (RecentCrash& crash : ledger.recent_) {
      if (!crash.isolated_ || !IsInWave(crash, pool_size)) continue;
      if (crash.pool_ != pool) continue;
      ClearIsolated(ledger, crash);
      changed = true;
    }
  }
}

// Returns whether the crash is in a wave, as far as is known.
bool NoteRecent(CrashLedger& ledger, const CrashedWorker& crashed,
                const std::vector<AttemptOnWorker>& all,
                const std::vector<TaskRef>& blamed) {
  if (crashed.restarted_ == Time()) return false;
  std::erase_if(ledger.recent_, [&crashed](const RecentCrash& crash) {
    return crashed.restarted_ - crash.restarted_ > kMaxRestartTime;
  });
  if (ledger.recent_.size() >= kMaxRecentCrashes) {
    ledger.recent_.erase(ledger.recent_.begin());
  }
  RecentCrash& added = ledger.recent_.emplace_back();
  added.pool_ = crashed.pool_;
  added.restarted_ = crashed.restarted_;
  for (const AttemptOnWorker& here : all) {
    added.jobs_.insert(here.attempt_.task_.job_);
  }
  added.isolated_ = !blamed.empty();
  added.blamed_ = blamed;
  for (RecentCrash& other : ledger.recent_) {
    if (other.isolated_) CountOther(other, added);
    CountOther(added, other);
  }
  UpdateIsolated(ledger, crashed.pool_, crashed.pool_size_);
  return IsInWave(added, crashed.pool_size_);
}

}  // namespace

void NoteOpened(CrashLedger& ledger, const TaskRef& task,
                const WorkerId& worker) {
  const bool suspect = ledger.histories_.contains(task);
  if (suspect || ledger.accused_.contains(worker)) {
    ledger.accused_[worker].emplace(task, false);
  }
}

void NoteConfirmed(CrashLedger& ledger, const AttemptRef& attempt,
                   const WorkerId& worker) {
  if (!AwaitsConfirmation(ledger, attempt, worker)) {
    ledger.begun_[worker].insert(attempt);
    return;
  }
  auto& accused = ledger.accused_.at(worker);
  if (SuspicionOf(ledger, attempt.task_) == Suspicion::kStrong) {
    std::erase_if(accused, [&attempt](const auto& other) {
      return other.first.job_ != attempt.task_.job_;
    });
  }
  accused[attempt.task_] = true;
  const auto history = ledger.histories_.find(attempt.task_);
  const bool limited = history != ledger.histories_.end() &&
                       history->second.begun_ >= kCrashesBeforeExtraStarts;
  if (limited) ++history->second.extra_starts_;
}

bool AwaitsConfirmation(const CrashLedger& ledger, const AttemptRef& attempt,
                        const WorkerId& worker) {
  const AttemptOnWorker here = LookUpAttempt(ledger, attempt, worker);
  return here.accused_ && !here.confirmed_;
}

void NoteEnded(CrashLedger& ledger, const AttemptRef& attempt,
               const WorkerId& worker, WorkerIncarnation incarnation, bool lost,
               Time at) {
  AttemptOnWorker ended = LookUpAttempt(ledger, attempt, worker);
  if (ended.accused_) {
    auto& accused = ledger.accused_.at(worker);
    accused.erase(attempt.task_);
    if (accused.empty()) ledger.accused_.erase(worker);
  }
  if (const auto begun = ledger.begun_.find(worker);
      begun != ledger.begun_.end()) {
    begun->second.erase(attempt);
    if (begun->second.empty()) ledger.begun_.erase(begun);
  }
  if (!lost) return;
  CrashLedger::Lost& here = ledger.lost_[worker];
  if (here.incarnation_ != incarnation) here = {incarnation, {}};
  std::erase_if(here.attempts_, [at](const AttemptOnWorker& other) {
    return at - other.lost_ > kMaxRestartTime;
  });
  ended.lost_ = at;
  here.attempts_.push_back(ended);
}

WorkerCrash CountCrash(CrashLedger& ledger, const CrashedWorker& crashed,
                       const std::vector<AttemptRef>& open) {
  const Time restarted = crashed.restarted_;
  WorkerCrash crash{.worker_ = crashed.worker_,
                    .incarnation_ = crashed.incarnation_,
                    .tasks_ = {},
                    .blamed_ = {},
                    .restarted_ = restarted};
  const std::vector<AttemptOnWorker> all =
      CollectAttempts(ledger, crashed, open);
  // A worker that doesn't return may only be cut off.
  const std::vector<TaskRef> blamed =
      restarted == Time() ? std::vector<TaskRef>() : FindBlamed(all);
  ForgetWorker(ledger, crashed.worker_);
  for (const AttemptOnWorker& here : all) {
    const TaskRef& task = here.attempt_.task_;
    CrashHistory& history = ledger.histories_[task];
    if (here.attempt_.attempt_ <= history.last_attempt_) continue;
    const Time at = std::max(restarted, here.lost_);
    if (at - history.last_crash_ > kCrashMemory) history = {};
    ++history.crashes_;
    if (std::find(blamed.begin(), blamed.end(), task) != blamed.end()) {
      ++history.blamed_;
      ++history.isolated_;
      crash.blamed_.push_back(task);
    }
    history.last_attempt_ = here.attempt_.attempt_;
    history.last_crash_ = at;
    crash.tasks_.push_back(task);
  }
  crash.in_wave_ = NoteRecent(ledger, crashed, all, crash.blamed_);
  for (const AttemptOnWorker& here : all) {
    CrashHistory& history = ledger.histories_.at(here.attempt_.task_);
    const bool counted = history.last_attempt_ == here.attempt_.attempt_;
    if (!counted) continue;
    if (here.confirmed_ || !crash.in_wave_) ++history.begun_;
    if (!crash.in_wave_) ++history.calm_;
  }
  return crash;
}

void ForgetWorker(CrashLedger& ledger, const WorkerId& worker) {
  ledger.lost_.erase(worker);
  ledger.accused_.erase(worker);
  ledger.begun_.erase(worker);
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

Suspicion SuspicionOf(const CrashLedger& ledger, const TaskRef& task) {
  const auto found = ledger.histories_.find(task);
  if (found == ledger.histories_.end()) return Suspicion::kNone;
  const std::uint32_t crashes = found->second.crashes_;
  return crashes >= kCrashesOfStrongSuspect ? Suspicion::kStrong
                                            : Suspicion::kWeak;
}

bool HasFewStartsLeft(const CrashLedger& ledger, const TaskRef& task) {
  const auto found = ledger.histories_.find(task);
  return found != ledger.histories_.end() &&
         found->second.crashes_ >= kCrashesBeforeExtraStarts;
}

Verdict VerdictOn(const CrashHistory& history) {
  Verdict verdict = Verdict::kGoOn;
  for (const GiveUpRule& rule : kGiveUpRules) {
    const bool met =
        history.crashes_ >= rule.crashes_ && history.begun_ >= rule.begun_ &&
        history.blamed_ >= rule.blamed_ &&
        history.isolated_ >= rule.isolated_ && history.calm_ >= rule.calm_ &&
        history.extra_starts_ >= rule.extra_starts_;
    if (!met) continue;
    if (rule.isolated_ == 0) return Verdict::kGiveUp;
    verdict = Verdict::kGiveUpUnlessWave;
  }
  return verdict;
}

Verdict VerdictOn(const CrashLedger& ledger, const TaskRef& task) {
  const auto found = ledger.histories_.find(task);
  return found == ledger.histories_.end() ? Verdict::kGoOn
                                          : VerdictOn(found->second);
}

}  // namespace flamingohollow

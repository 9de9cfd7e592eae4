// Finds tasks that crash the workers that start them.
//
// A crash of a worker counts for all tasks that were there: each may have
// caused it. A task with crashes is a *suspect*, and is placed the further
// apart from others the more it has. So the next crash soon has a single
// possible cause there, and is *blamed* on it. Tasks of one job are accused
// together, since they are given up together. Workers also crash for other
// reasons, such as the loss of power, often many at a time: a blamed crash is
// *isolated* if few others happened at about the same time. A task is given up
// by how many of its crashes are of each kind; the others go on
// (docs/design/deadly-tasks.md). Each member of a gang is a task of its own, as
// a gang on many workers meets many crashes.
//
// The ledger is a part of the replicated state and changes only with committed
// records, so a new leader knows what its predecessor knew.

#ifndef FLAMINGOHOLLOW_WORKER_CRASHES_H_
#define FLAMINGOHOLLOW_WORKER_CRASHES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "flamingohollow/graph_types.h"
#include "util/clock.h"

namespace flamingohollow {

// A task that may crash its workers may be started only a few times more after
// this many crashes on which it had begun.
inline constexpr std::uint32_t kCrashesBeforeExtraStarts = 3;
// A task is given up if its history has at least these numbers, for one of the
// rules. Where workers crash all the time, the second bounds its starts and the
// third its crashes. The last is for a task that is never known to begin.
struct GiveUpRule {
  std::uint32_t crashes_ = 0;
  std::uint32_t begun_ = 0;
  std::uint32_t blamed_ = 0;
  std::uint32_t isolated_ = 0;
  std::uint32_t calm_ = 0;
  std::uint32_t extra_starts_ = 0;
};
inline constexpr std::array<GiveUpRule, 4> kGiveUpRules = {{
    {.crashes_ = 3, .isolated_ = 2},
    {.crashes_ = 4, .begun_ = 3, .blamed_ = 2, .extra_starts_ = 2},
    {.crashes_ = 5, .begun_ = 2, .blamed_ = 1},
    {.crashes_ = 10, .calm_ = 5},
}};
// Crashes whose workers restarted within this time of each other may have one
// cause.
inline constexpr Duration kMaxWaveTime = Duration(5000);
// A blamed crash is not isolated if there were at least this many other crashes
// at about the same time, and they hit more than this share of the pool.
inline constexpr std::size_t kMinCrashesOfWave = 2;
inline constexpr std::size_t kWaveShareDivisor = 16;
// The same, with those that are blamed on other jobs: a wave may hit workers
// with one suspect each.
inline constexpr std::size_t kBlamedWaveShareDivisor = 4;
// How long after a crash becomes known it takes at most to learn of the others
// at about the same time.
inline constexpr Duration kWaveReportTime = Duration(3000);
// The same after the worker's restart, for a leader that took over since.
inline constexpr Duration kMaxWaveReportTime = Duration(8000);
// A task with this many crashes is a strong suspect.
inline constexpr std::uint32_t kCrashesOfStrongSuspect = 2;
// Crashes that are further apart are not counted together, as every worker
// crashes now and then.
inline constexpr Duration kCrashMemory = Duration(10 * 60 * 1000);
// An attempt that was lost longer than this before its worker restarted says
// nothing about the restart.
inline constexpr Duration kMaxRestartTime = Duration(30 * 1000);

// Crashes that are remembered at most, whatever the workers' clocks say.
inline constexpr std::size_t kMaxRecentCrashes = 4096;

struct CrashHistory {
  // Workers that crashed with the task on them.
  std::uint32_t crashes_ = 0;
  // Of `crashes_`, those on which it is known to have begun, or that were in no
  // wave. In a wave, a start that had no answer may have met a worker that was
  // cut off or had crashed before.
  std::uint32_t begun_ = 0;
  // Of `begun_`, those that were blamed on the task.
  std::uint32_t blamed_ = 0;
  // Of `blamed_`, those that are isolated. Falls as more crashes at about the
  // same time become known.
  std::uint32_t isolated_ = 0;
  // Of `crashes_`, those that were in no wave of crashes, as far as was known
  // then.
  std::uint32_t calm_ = 0;
  // Starts that are known to have begun after `kCrashesBeforeExtraStarts` of
  // `begun_`.
  std::uint32_t extra_starts_ = 0;
  // The newest attempt that was on a crashed worker.
  AttemptId last_attempt_;
  // Unix time of the newest crash.
  Time last_crash_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes_, begun_, blamed_, isolated_, calm_, extra_starts_,
            last_attempt_, last_crash_);
  }
};

// An attempt on a worker that may have crashed.
struct AttemptOnWorker {
  AttemptRef attempt_;
  // See CrashLedger.
  bool accused_ = false;
  // It is known to have begun, and not known to have ended.
  bool confirmed_ = false;
  // Unix time at which it was taken for lost; unset if it is open.
  Time lost_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, accused_, confirmed_, lost_);
  }
};

// A crash that may be one of several at about the same time.
struct RecentCrash {
  PoolName pool_;
  // Unix time at which the next process started.
  Time restarted_;
  // Jobs with tasks on the worker.
  std::set<GraphJobKey> jobs_;
  // The tasks that it is blamed on, all of one job; not empty if isolated.
  std::vector<TaskRef> blamed_;
  bool isolated_ = false;
  // Number of others at about the same time, except under other tasks of the
  // job that this one is blamed on; and of these, those that are not isolated.
  // Kept up to date while this one is isolated.
  std::uint32_t others_ = 0;
  std::uint32_t unexplained_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pool_, restarted_, jobs_, blamed_, isolated_, others_,
            unexplained_);
  }
};

struct CrashLedger {
  // Tasks of active jobs.
  std::map<TaskRef, CrashHistory> histories_;
  // By worker with a suspect: the open tasks that may be blamed for a crash.
  // These are the suspects and what was placed there later. Since a strong
  // suspect is only placed beside tasks that have run for a while, it replaces
  // all others once it has begun. The value tells whether the worker has
  // confirmed that the task runs.
  std::map<WorkerId, std::map<TaskRef, bool>> accused_;
  // Other open attempts that are known to have begun on the worker, as far as
  // the leader told before a record that shows a crash or a loss.
  std::map<WorkerId, std::set<AttemptRef>> begun_;
  // Attempts that were taken for lost on a worker, which may have crashed.
  struct Lost {
    WorkerIncarnation incarnation_;
    std::vector<AttemptOnWorker> attempts_;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(incarnation_, attempts_);
    }
  };
  std::map<WorkerId, Lost> lost_;
  // In the order in which they became known.
  std::vector<RecentCrash> recent_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(histories_, accused_, begun_, lost_, recent_);
  }
};

// A process of a worker that has crashed.
struct CrashedWorker {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  PoolName pool_;
  // Number of workers in the pool.
  std::size_t pool_size_ = 0;
  // Unix time at which it was replaced; unset if it was not.
  Time restarted_;
};

// What a crash changed.
struct WorkerCrash {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  // Tasks that the crash was counted for.
  std::vector<TaskRef> tasks_;
  // Of `tasks_`, those that it was blamed on.
  std::vector<TaskRef> blamed_;
  // Whether many workers crashed at about the same time, as far as is known.
  bool in_wave_ = false;
  // See CrashedWorker.
  Time restarted_;
};

// An attempt was opened on the worker.
void NoteOpened(CrashLedger& ledger, const TaskRef& task,
                const WorkerId& worker);
// The attempt is known to have begun on the worker.
void NoteConfirmed(CrashLedger& ledger, const AttemptRef& attempt,
                   const WorkerId& worker);
// Whether the attempt is accused and not confirmed yet.
bool AwaitsConfirmation(const CrashLedger& ledger, const AttemptRef& attempt,
                        const WorkerId& worker);
// An attempt on the worker ended. `lost` says that the worker may have crashed.
void NoteEnded(CrashLedger& ledger, const AttemptRef& attempt,
               const WorkerId& worker, WorkerIncarnation incarnation, bool lost,
               Time at);
// The worker has crashed; `open` are its open attempts.
WorkerCrash CountCrash(CrashLedger& ledger, const CrashedWorker& crashed,
                       const std::vector<AttemptRef>& open);
// The worker left without a crash.
void ForgetWorker(CrashLedger& ledger, const WorkerId& worker);
// The job, or one of its occurrences, is over.
void ForgetJob(CrashLedger& ledger, const GraphJobKey& job);
void ForgetOccurrence(CrashLedger& ledger, const GraphJobKey& job,
                      Occurrence occurrence);

enum class Suspicion : std::uint8_t {
  kNone,
  // Kept apart from other suspects where there is room.
  kWeak,
  // Never started on a worker on which another task has just started, nor the
  // other way round.
  kStrong,
};

Suspicion SuspicionOf(const CrashLedger& ledger, const TaskRef& task);
// Whether the task may be started only a few times more if it crashes its
// workers.
bool HasFewStartsLeft(const CrashLedger& ledger, const TaskRef& task);

enum class Verdict : std::uint8_t {
  kGoOn,
  // To be given up, unless more crashes at about the same time as the last ones
  // become known. It is not started meanwhile.
  kGiveUpUnlessWave,
  kGiveUp,
};

Verdict VerdictOn(const CrashHistory& history);
// kGoOn if the ledger has no history of the task.
Verdict VerdictOn(const CrashLedger& ledger, const TaskRef& task);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_CRASHES_H_

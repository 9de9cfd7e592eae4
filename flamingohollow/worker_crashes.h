// Finds tasks that crash the workers that start them.
//
// A crash of a worker counts for all tasks that were there: each may have
// caused it. A task with crashes is a *suspect*, and is placed the further
// apart from others the more it has. So the next crash soon has a single
// possible cause, and is *blamed* on it. A task is given up by its crashes and
// by how many of them were blamed on it; the others go on
// (docs/design/deadly-tasks.md).
//
// The ledger is a part of the replicated state and changes only with committed
// records, so a new leader knows what its predecessor knew. A gang is listed as
// its first task, and counts at most one crash for each attempt.

#ifndef FLAMINGOHOLLOW_WORKER_CRASHES_H_
#define FLAMINGOHOLLOW_WORKER_CRASHES_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "flamingohollow/graph_types.h"
#include "util/clock.h"

namespace flamingohollow {

// A task is given up if it has at least `crashes_`, of which at least `blamed_`
// were blamed on it, for one of these.
struct GiveUpRule {
  std::uint32_t crashes_ = 0;
  std::uint32_t blamed_ = 0;
};
inline constexpr std::array<GiveUpRule, 3> kGiveUpRules = {
    {{3, 2}, {5, 1}, {10, 0}}};
// A task with this many crashes is a strong suspect.
inline constexpr std::uint32_t kCrashesOfStrongSuspect = 2;
// Crashes that are further apart are not counted together, as every worker
// crashes now and then.
inline constexpr Duration kCrashMemory = Duration(10 * 60 * 1000);
// An attempt that was lost longer than this before its worker restarted says
// nothing about the restart.
inline constexpr Duration kMaxRestartTime = Duration(30 * 1000);

struct CrashHistory {
  // Workers that crashed with the task on them.
  std::uint32_t crashes_ = 0;
  // Of `crashes_`, those that were blamed on the task.
  std::uint32_t blamed_ = 0;
  // The newest attempt that was on a crashed worker.
  AttemptId last_attempt_;
  // Unix time of the newest crash.
  Time last_crash_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(crashes_, blamed_, last_attempt_, last_crash_);
  }
};

// An attempt on a worker that may have crashed.
struct AttemptOnWorker {
  // The first task's, if it is a gang.
  AttemptRef attempt_;
  // See CrashLedger.
  bool accused_ = false;
  // The worker had confirmed that it runs. Known of the accused only.
  bool confirmed_ = false;
  // Unix time at which it was taken for lost; unset if it is open.
  Time lost_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt_, accused_, confirmed_, lost_);
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

  template <class Archive>
  void serialize(Archive& archive) {
    archive(histories_, accused_, lost_);
  }
};

// What a crash changed.
struct WorkerCrash {
  WorkerId worker_;
  WorkerIncarnation incarnation_;
  // Tasks that the crash was counted for.
  std::vector<TaskRef> tasks_;
  // Tasks to give up.
  std::vector<TaskRef> given_up_;
};

// Returns the attempt under which the ledger lists it.
AttemptRef ListedAttempt(const AttemptRef& attempt, const StepSpec& spec);

// An attempt was opened on the worker.
void NoteOpened(CrashLedger& ledger, const AttemptRef& listed,
                const WorkerId& worker);
// The worker has confirmed that the attempt runs.
void NoteConfirmed(CrashLedger& ledger, const AttemptRef& listed,
                   const WorkerId& worker);
// Whether the attempt is accused and not confirmed yet.
bool AwaitsConfirmation(const CrashLedger& ledger, const AttemptRef& listed,
                        const WorkerId& worker);
// An attempt on the worker ended. `lost` says that the worker may have crashed.
void NoteEnded(CrashLedger& ledger, const AttemptRef& listed,
               const WorkerId& worker, WorkerIncarnation incarnation, bool lost,
               Time at);
// The worker's process has crashed; `open` are its open attempts. `restarted`
// is the Unix time at which it was replaced; unset if it was not.
WorkerCrash CountCrash(CrashLedger& ledger, const WorkerId& worker,
                       WorkerIncarnation incarnation,
                       const std::vector<AttemptRef>& open, Time restarted);
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

Suspicion SuspicionOf(const CrashLedger& ledger, const TaskRef& listed);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_CRASHES_H_

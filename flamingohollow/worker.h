// What a worker says of itself, and what it is told to do.
//
// A worker's announcement carries its whole truth: who it is, and every lease
// that it holds with the lease's state. It is sent again at intervals and at
// once on a change, through any entry, so a lost or repeated announcement does
// no harm. A worker forgets a lease only when told to (kRelease), so a result
// is never lost on the way. Commands may be repeated too: each names job,
// attempt, task and term, and a worker refuses those older than what it saw.

#ifndef FLAMINGOHOLLOW_WORKER_H_
#define FLAMINGOHOLLOW_WORKER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

enum class WorkerState : std::uint8_t { kReady = 0, kLeaving = 1 };

// A lease's state at the worker.
enum class LeaseState : std::uint8_t {
  // The lease holds its accelerators and runs nothing.
  kPrepared = 0,
  kRunning = 1,
  // Ran to its end; `part_` holds the answer.
  kFinished = 2,
  // Ran and failed; `part_` holds the error.
  kFailed = 3,
  // Ended by kStop or by expiry after it had started.
  kStopped = 4,
  // Ended by kStop or by expiry, or refused, before it had started: it never
  // ran and never will.
  kNeverRan = 5,
};

// A task's part of the answer, or its error, may have this many bytes. A longer
// part is refused as a whole: its task has failed.
inline constexpr std::size_t kMaxPartBytes = 64 * 1024;

// One lease as its worker reports it.
struct LeaseReport {
  JobId job_;
  AttemptId attempt_;
  TaskIndex task_;
  Accelerators accelerators_;
  LeaseState state_ = LeaseState::kPrepared;
  std::string part_;

  friend bool operator==(const LeaseReport&, const LeaseReport&) = default;
};

struct WorkerReport {
  WorkerId worker_;
  Incarnation incarnation_;
  // Grows with every change of this incarnation's report; an older one is
  // dropped.
  std::uint64_t sequence_ = 0;
  // "HOST:PORT" of the worker's HTTP server.
  std::string address_;
  WorkerPlace place_;
  Accelerators accelerators_;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  std::uint32_t cores_ = 0;
  std::uint64_t memory_bytes_ = 0;
  std::uint64_t used_memory_bytes_ = 0;
  WorkerState state_ = WorkerState::kReady;
  std::vector<LeaseReport> leases_;

  friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
};

enum class WorkerCommandKind : std::uint8_t {
  // Take a lease; run nothing.
  kPrepare = 0,
  // Start the task of a prepared lease.
  kStart = 1,
  // End the lease, running or not; keep the report.
  kStop = 2,
  // Forget the ended lease.
  kRelease = 3,
};

struct WorkerCommand {
  WorkerCommandKind kind_ = WorkerCommandKind::kPrepare;
  WorkerId worker_;
  Incarnation incarnation_;
  std::string address_;
  JobId job_;
  AttemptId attempt_;
  TaskIndex task_;
  // The leader's term: a worker refuses commands older than the newest term
  // it has seen for the job.
  Term term_;
  Accelerators accelerators_;
  // Until when the lease holds without renewal, from receipt. A worker's
  // leases are renewed by the answer to its announcement.
  Duration lease_;
  RequestId request_id_;
  CustomerId customer_;
  Duration run_time_;

  friend bool operator==(const WorkerCommand&, const WorkerCommand&) = default;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_WORKER_H_

// A worker's side of the lease protocol.
//
// Pure: the worker's program feeds commands, answers to announcements and the
// time, and carries out the events that come back: start a task, stop it. Each
// call costs at most one pass over the worker's leases.
//
// A lease is prepared (holds accelerators, runs nothing), then running, then
// ended. An ended lease stays in the reports until it is released, so that its
// result can't be lost on the way. Every command may come twice, late or out of
// order:
// - A job's commands of an older term, or for an older attempt, are refused.
// - A stop that overtakes its prepare leaves an ended lease, which the late
//   prepare can't bring back.
// - A released attempt leaves a mark for `kFenceMemory`, longer than any
//   command lives, so that a late prepare or start of it finds nothing to run.
// - A newer attempt of a job ends the older ones here: two never run together.

#ifndef FLAMINGOHOLLOW_LEASE_TABLE_H_
#define FLAMINGOHOLLOW_LEASE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

// For how long a job's fence outlives its last lease here.
inline constexpr Duration kFenceMemory = Duration(600'000);
// Fences kept at most; beyond it those that ended first go.
inline constexpr std::size_t kMaxFences = 65'536;
// Leases kept at most, ended ones included; commands that would need more are
// ignored, and so answered by the sender's time-out.
inline constexpr std::size_t kMaxLeases = 4'096;

struct LeaseKey {
  JobId job_;
  AttemptId attempt_;
  TaskIndex task_;

  friend auto operator<=>(const LeaseKey&, const LeaseKey&) = default;
};

struct Lease {
  Accelerators accelerators_;
  LeaseState state_ = LeaseState::kPrepared;
  std::string part_;
  // When an active lease ends by itself.
  Time expires_at_;
  RequestId request_id_;
  CustomerId customer_;
  Duration run_time_;
};

// What a worker remembers of a job so as to refuse old commands.
struct LeaseFence {
  // The newest seen; older ones are refused.
  Term term_;
  AttemptId attempt_;
  // Attempts up to this one take no new lease.
  AttemptId released_;
  // When the job last had a command here.
  Time touched_at_;
};

struct LeaseTable {
  // Commands for another incarnation are ignored.
  Incarnation incarnation_;
  // Limits over all active leases.
  Accelerators accelerators_;
  std::uint32_t slots_ = 0;
  // A leaving worker refuses new leases; what it holds goes on.
  WorkerState state_ = WorkerState::kReady;

  std::map<LeaseKey, Lease> leases_;
  std::map<JobId, LeaseFence> fences_;
  // Grows with every change of what ReportLeases gives.
  std::uint64_t changes_ = 0;
};

enum class LeaseEventKind : std::uint8_t {
  kPrepared,
  // A prepare was refused; `reason_` says why.
  kRefused,
  // Run the task now.
  kStarted,
  // End the task if it runs.
  kStopped,
  kReleased,
};

struct LeaseEvent {
  LeaseEventKind kind_ = LeaseEventKind::kPrepared;
  LeaseKey key_;
  Accelerators accelerators_;
  RequestId request_id_;
  CustomerId customer_;
  Duration run_time_;
  // True for a kStopped whose task had started.
  bool was_running_ = false;
  std::string reason_;
};
using LeaseEvents = std::vector<LeaseEvent>;

// Carries out one command. Leases whose time is over end first.
LeaseEvents ApplyWorkerCommand(LeaseTable& table, const WorkerCommand& command,
                               Time now);

// An answer to an announcement sent at `sent_at`: active leases hold until
// `sent_at + renew`, but for those of `excluded`. Never shortens a lease.
void RenewLeases(LeaseTable& table, Time sent_at, Duration renew,
                 const std::vector<JobId>& excluded);

// Ends the leases whose time is over and forgets old fences.
LeaseEvents ExpireLeases(LeaseTable& table, Time now);
// When ExpireLeases next has a lease to end.
std::optional<Time> NextExpiry(const LeaseTable& table);

// A task came to its end by itself, with its part of the answer or its error.
// False when its lease no longer runs: the result is dropped.
bool FinishTask(LeaseTable& table, const LeaseKey& key, bool succeeded,
                std::string_view part);

// All leases, in order of job, attempt and task.
std::vector<LeaseReport> ReportLeases(const LeaseTable& table);

// Held by active leases.
Accelerators UsedAccelerators(const LeaseTable& table);
std::uint32_t UsedSlots(const LeaseTable& table);

constexpr bool IsActive(LeaseState state) {
  return state == LeaseState::kPrepared || state == LeaseState::kRunning;
}

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_LEASE_TABLE_H_

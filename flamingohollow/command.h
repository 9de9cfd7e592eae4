// The durable records: what the replicated log holds.
//
// Applying a record is deterministic. Job ids are the log index of the
// JobAccepted record, so no leader can give one twice.

#ifndef FLAMINGOHOLLOW_COMMAND_H_
#define FLAMINGOHOLLOW_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "flamingohollow/evacuation.h"
#include "flamingohollow/table.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// What a caller asks for.
struct JobSpec {
  CustomerId customer_;
  RequestId request_id_;
  Accelerators accelerators_;
  Adjacency adjacency_ = Adjacency::kRegion;
  bool urgent_ = false;
  bool idempotent_ = false;
  // Non-idempotent work may run beyond the guarantee only if this is set.
  bool reclaimable_ = false;
  // Declared run time; a hint.
  Duration run_time_;
  // Given up on after this long in the queue; 0 for no deadline.
  Duration deadline_;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

enum class Outcome : std::uint8_t {
  kAccepted,
  kQueued,
  kPreparing,
  kStarting,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  kNotRun,
  kUnknown,
};

// "accepted", "queued", ... as in the tool's output.
std::string_view OutcomeName(Outcome outcome);
constexpr bool IsTerminal(Outcome outcome) {
  return outcome >= Outcome::kCompleted;
}

struct JobAccepted {
  JobSpec spec_;
  // Wall time of acceptance.
  Time at_;

  friend bool operator==(const JobAccepted&, const JobAccepted&) = default;
};

// Written before any start goes out: from here on the job may have run.
struct JobMayRun {
  JobId job_;
  AttemptId attempt_;
  // One a task, in task order.
  std::vector<Slice> slices_;
  Time at_;

  friend bool operator==(const JobMayRun&, const JobMayRun&) = default;
};

// The attempt is surely over and the idempotent job goes back to the queue.
struct JobRequeued {
  JobId job_;
  AttemptId attempt_;
  std::string reason_;
  Time at_;
  // The scheduler stopped a sound attempt, to reclaim its accelerators or to
  // evacuate a failure domain.
  bool on_order_ = false;

  friend bool operator==(const JobRequeued&, const JobRequeued&) = default;
};

// The one terminal record of a job.
struct JobEnded {
  JobId job_;
  Outcome outcome_ = Outcome::kUnknown;
  std::string reason_;
  Duration retry_after_;
  // One a task, in task order; only when completed.
  std::vector<std::string> parts_;
  Time at_;

  friend bool operator==(const JobEnded&, const JobEnded&) = default;
};

using Command = std::variant<TableChange, JobAccepted, JobMayRun, JobRequeued,
                             JobEnded, EvacuationOrder>;

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_COMMAND_H_

// The leader's view of the workers and of the attempts that run on them.
//
// This is soft state. A new leader rebuilds it from the log, which lists the
// workers and the open attempts, and from polling each worker once. A poll asks
// a worker what runs there and what has ended, and renews the worker's lease.

#ifndef FLAMINGOHOLLOW_FLEET_H_
#define FLAMINGOHOLLOW_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/graph_types.h"
#include "flamingohollow/worker_pace.h"
#include "flamingohollow/worker_speed.h"
#include "flamingohollow/worker_suspicion.h"
#include "util/clock.h"

namespace flamingohollow {

// A worker's periodic report about itself.
struct PoolWorkerReport {
  WorkerId id_;
  WorkerIncarnation incarnation_;
  // Counts the reports of one incarnation.
  std::uint64_t sequence_ = 0;
  PoolName pool_;
  // "IP:PORT" where the worker accepts commands.
  std::string address_;
  FailureDomain failure_domain_;
  Rack rack_;
  std::vector<std::string> labels_;
  Resources capacity_;
  bool draining_ = false;
  // While draining: minimum time until the worker leaves.
  Duration remaining_;
  // The worker's own steady clock when it sent the report.
  std::int64_t clock_ms_ = 0;

  friend bool operator==(const PoolWorkerReport&,
                         const PoolWorkerReport&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id_, incarnation_, sequence_, pool_, address_, failure_domain_,
            rack_, labels_, capacity_, draining_, remaining_, clock_ms_);
  }
};

enum class RunPhase : std::uint8_t {
  // The attempt's record is proposed to the log but not yet committed.
  kProposed,
  // A start command is in flight or due.
  kStarting,
  kRunning,
  // A stop command is in flight or due.
  kStopping,
  // The worker accepted the stop. If a later poll does not show the attempt, it
  // never began.
  kStopped,
  // Inherited from an earlier leader. The answer to the first poll shows its
  // phase.
  kRecovering,
};

// An attempt on a worker, from its placement until its end is committed to the
// log.
struct Run {
  RunPhase phase_ = RunPhase::kProposed;
  Resources need_;
  // Its job has priority 0.
  bool urgent_ = false;
  // When the last command of the phase was sent, or the phase began if none
  // was.
  Time last_command_at_;
  bool command_in_flight_ = false;
  // A start command was not answered, so it may still be carried out.
  bool start_unanswered_ = false;
  // The start command was sent on a new connection, which ended without an
  // answer, and the worker has answered nothing since: the task may have
  // crashed it.
  bool start_broke_off_ = false;
  // Commands sent in this phase.
  std::uint32_t commands_sent_ = 0;
  // The end is proposed to the log but not yet committed.
  bool end_proposed_ = false;
  // Number of the first poll that was sent after the start or stop command was
  // answered. Answers to earlier polls may predate the command.
  std::uint64_t first_valid_poll_ = 0;
  // When the worker confirmed that the attempt runs.
  std::optional<Time> began_;
  // The newest checkpoint that a poll returned.
  Checkpoint checkpoint_;
  // Progress at the start of the current pace measurement, and the newest.
  std::optional<ProgressPoint> measured_from_;
  std::optional<ProgressPoint> progress_;
  // The first progress that the worker reported.
  std::optional<ProgressPoint> first_progress_;
  // Its rate was used for its worker's speed.
  bool speed_measured_ = false;
};

// Start commands that were not answered, and when they were sent. For
// kLateCommandBound they may still be carried out, also by a later incarnation.
using UnansweredStarts = std::map<AttemptRef, Time>;

struct FleetWorker {
  PoolWorkerReport report_;
  // False while only the worker's attempts are known, and after it has left.
  bool reported_ = false;
  // The largest capacity that this incarnation has reported.
  Resources largest_capacity_;
  // When `report_` was received.
  Time report_received_at_;
  // When the last message from the worker was received.
  Time last_heard_at_;
  // The worker's clock showed at least `clock_ms_` at `clock_at_`, which is on
  // the leader's clock.
  std::int64_t clock_ms_ = 0;
  Time clock_at_;
  // Latest end of the lease in any command sent to the worker, on its clock.
  std::int64_t granted_until_ms_ = 0;
  // The lease is known to have expired at this time on the leader's clock, even
  // if messages were lost or delayed.
  Time lease_end_;
  std::map<AttemptRef, Run> runs_;
  // Sum of the needs of `runs_`.
  Resources used_;
  // What else the last poll showed there, such as a start that was carried out
  // late. Takes resources until it is stopped.
  Resources strays_;
  // Ended attempts are numbered per worker. Those up to `logged_end_` are in
  // the log; those up to `acknowledged_end_` are acknowledged to the worker.
  std::uint64_t logged_end_ = 0;
  std::uint64_t acknowledged_end_ = 0;
  // A record of the worker's ended attempts is proposed but not yet committed.
  bool ends_proposed_ = false;
  // The last answer to a poll may not have listed all ends.
  bool more_ends_ = false;
  bool poll_in_flight_ = false;
  // The worker may hold the poll in flight open.
  bool poll_held_ = false;
  // Number of polls sent.
  std::uint64_t polls_sent_ = 0;
  Time next_poll_at_;
  // The address that the poll in flight, or the last one, was sent to, and the
  // ends that it acknowledges.
  std::string polled_address_;
  std::uint64_t polled_end_ = 0;
  // When another process was found to have its address; unset before that.
  Time replaced_at_;
  // A process has said under its id that it leaves, and this incarnation has
  // not reported since.
  bool left_ = false;
  // This incarnation has answered a poll of this leader at its address.
  bool answered_poll_ = false;
  // Consecutive calls that were not answered.
  std::uint32_t unanswered_calls_ = 0;
  UnansweredStarts unanswered_starts_;
  // Stops of those that earlier incarnations did not answer, until this one has
  // confirmed them, and when each was sent last.
  std::map<AttemptRef, Time> unconfirmed_stops_;
  // It gets no new tasks before this.
  Time avoid_until_;
  // Lately started workers are slow until then.
  Time warm_at_;
  WorkerSuspicion suspicion_;
  WorkerPace pace_;
  WorkerSpeed speed_;
};

using Fleet = std::map<WorkerId, FleetWorker>;

// What is taken by `runs_` and `strays_`.
inline Resources TakenResources(const FleetWorker& worker) {
  return worker.used_ + worker.strays_;
}
// Whether the worker has shrunk below what is taken. Nothing starts there then.
bool IsOvercommitted(const FleetWorker& worker);

void AddRun(FleetWorker& worker, const AttemptRef& attempt, Run run);
void RemoveRun(FleetWorker& worker, const AttemptRef& attempt);

// Default interval between a worker's reports.
inline constexpr Duration kReportInterval = Duration(1500);
// A worker that missed this many reports gets no new tasks.
inline constexpr std::int64_t kMissedReports = 3;
// A command that was not answered is carried out within this time or never:
// twice the longest delay observed in the worker protocol's transport.
inline constexpr Duration kLateCommandBound = Duration(24000);
// After this many consecutive unanswered calls a worker gets no new tasks until
// it answers again.
inline constexpr std::uint32_t kMaxUnansweredCalls = 1;

// Whether the run is being stopped, or its end is proposed to the log.
bool IsEnding(const Run& run);
// Estimates how much longer the run takes on its worker. Until the run's
// reported progress gives a rate, uses `estimate` for the whole task.
Duration RemainingTime(const Run& run, Duration estimate, Time now);
// Returns the minimum time until a draining worker leaves.
Duration RemainingStay(const FleetWorker& worker, Time now);

// Whether new tasks may be placed on the worker.
bool AcceptsTasks(const FleetWorker& worker, Duration report_interval,
                  Time now);

// Whether the worker is expected to accept tasks soon: it was heard of, but has
// yet to answer its first poll by this leader.
bool IsAwaited(const FleetWorker& worker, Duration report_interval, Time now);

// Whether the worker is still slow because it was started lately.
inline bool IsCold(const FleetWorker& worker, Time now) {
  return now < worker.warm_at_;
}

// Grants a lease and returns its end on the worker's clock, to be sent with a
// command. The lease ends `lease` from now. If the worker did not answer the
// last call, the earlier grant is returned unchanged, so that the lease of an
// unreachable worker expires however often it is called.
std::int64_t GrantLease(FleetWorker& worker, Duration lease, Time now);
// Records a reading of the worker's clock. Ignores readings that were delayed.
void RecordClock(FleetWorker& worker, std::int64_t clock_ms, Time now);
// Returns the longest time that `span` on the worker's clock can take, if that
// clock runs as slow as allowed.
Duration AllowForClockDrift(Duration span);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FLEET_H_

// What the leader knows of the workers, and what runs on each.
//
// Soft state: a new leader rebuilds it from the log, which lists the workers
// and the open attempts, and from looking at each worker once. A look asks a
// worker what runs there and what has ended, and renews its one lease.

#ifndef FLAMINGOHOLLOW_FLEET_H_
#define FLAMINGOHOLLOW_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/graph_types.h"
#include "flamingohollow/worker_pace.h"
#include "util/clock.h"

namespace flamingohollow {

// A worker's statement about itself.
struct PoolWorkerReport {
  WorkerId id_;
  WorkerIncarnation life_;
  // Counts the reports of one life.
  std::uint64_t sequence_ = 0;
  PoolName pool_;
  // "IP:PORT" that it takes orders at.
  std::string address_;
  FailureDomain failure_domain_;
  Rack rack_;
  std::vector<std::string> labels_;
  Resources capacity_;
  bool draining_ = false;
  // While draining: it stays at least this long.
  Duration remaining_;
  // Its own steady clock as it sent this.
  std::int64_t clock_ms_ = 0;

  friend bool operator==(const PoolWorkerReport&,
                         const PoolWorkerReport&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id_, life_, sequence_, pool_, address_, failure_domain_, rack_,
            labels_, capacity_, draining_, remaining_, clock_ms_);
  }
};

enum class RunPhase : std::uint8_t {
  // The attempt's record is on its way into the log.
  kProposed,
  // A start order is out or due.
  kStarting,
  kRunning,
  // A stop order is out or due.
  kStopping,
  // The worker took the stop: what a later look doesn't show never began.
  kStopped,
  // Taken over from an earlier leader: the first look decides.
  kRecovering,
};

// An attempt on a worker, from its placement until its end is in the log.
struct Run {
  RunPhase phase_ = RunPhase::kProposed;
  Resources need_;
  // When the phase began, or the last order of the phase was sent.
  Time since_;
  bool order_in_flight_ = false;
  // A start order had no answer: it may still be carried out.
  bool unclear_start_ = false;
  std::uint32_t orders_ = 0;
  // The end is on its way into the log.
  bool end_proposed_ = false;
  // The first look that was sent after the start or the stop was answered; an
  // earlier one says nothing about it.
  std::uint64_t decisive_look_ = 0;
  // When the worker said that it runs.
  std::optional<Time> began_;
  // The newest that a look showed.
  Checkpoint checkpoint_;
  // Its progress where the present measure of its pace began, and the newest.
  std::optional<ProgressPoint> measured_from_;
  std::optional<ProgressPoint> progress_;
  // The first that its worker showed.
  std::optional<ProgressPoint> first_progress_;
};

struct FleetWorker {
  PoolWorkerReport report_;
  // False while nothing but its attempts is known, and once it is gone.
  bool reported_ = false;
  // When `report_` came.
  Time report_at_;
  // When it last said anything.
  Time heard_;
  // The worker's clock showed at least `clock_ms_` at `clock_at_`.
  std::int64_t clock_ms_ = 0;
  Time clock_at_;
  // The longest lease in any order to it, on its clock.
  std::int64_t granted_until_ms_ = 0;
  // From then on its lease is over, whatever was cut or delayed.
  Time lease_over_;
  std::map<AttemptRef, Run> runs_;
  // Sum of the needs of `runs_`.
  Resources used_;
  // Its ends up to here are in the log; it has been told up to `told_end_`.
  std::uint64_t logged_end_ = 0;
  std::uint64_t told_end_ = 0;
  // A record that covers its ends is on its way into the log.
  bool ends_proposed_ = false;
  bool look_in_flight_ = false;
  // Counts the looks sent.
  std::uint64_t looks_ = 0;
  Time next_look_;
  // It answered a look of this leader in this life.
  bool seen_ = false;
  // Calls in a row that had no answer.
  std::uint32_t silent_calls_ = 0;
  // Starts that had no answer, and when they were sent: for kLateOrderBound
  // they may still be carried out, also by a later life.
  std::map<AttemptRef, Time> late_starts_;
  // Tasks in a row that failed here; no new work before `avoid_until_`.
  std::uint32_t failures_ = 0;
  Time avoid_until_;
  WorkerPace pace_;
};

using Fleet = std::map<WorkerId, FleetWorker>;

void AddRun(FleetWorker& worker, const AttemptRef& attempt, Run run);
void RemoveRun(FleetWorker& worker, const AttemptRef& attempt);

// Reports come about this often unless the settings say otherwise.
inline constexpr Duration kReportInterval = Duration(1500);
// A worker that missed this many reports gets no new work.
inline constexpr std::int64_t kMissedReports = 3;
// An order without an answer is carried out within this, or never: twice the
// longest delay that was seen of the worker protocol's transport.
inline constexpr Duration kLateOrderBound = Duration(24000);
// Calls in a row without an answer after which a worker gets no new work until
// it answers again.
inline constexpr std::uint32_t kMaxSilentCalls = 1;

// It is being stopped, or its end is on its way into the log.
bool IsLeaving(const Run& run);
// How much longer the run takes where it is: by its progress, or by `estimate`
// of the whole task while too little of that is known.
Duration RemainingTime(const Run& run, Duration estimate, Time now);
// At least this much longer does a draining worker stay.
Duration StaysFor(const FleetWorker& worker, Time now);

// Whether new tasks may be placed on the worker.
bool TakesTasks(const FleetWorker& worker, Duration report_interval, Time now);

// The end of the lease that an order to the worker carries, on its clock:
// `lease` from now, or what was granted before, for a worker that left the last
// call unanswered. So the lease of a worker that can't be reached runs out,
// however often it is called. Counts as granted from here on.
std::int64_t GrantLease(FleetWorker& worker, Duration lease, Time now);
// Takes a reading of the worker's clock in.
void NoteClock(FleetWorker& worker, std::int64_t clock_ms, Time now);
// How much longer `span` may take on a worker's clock that runs slow.
Duration Stretch(Duration span);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FLEET_H_

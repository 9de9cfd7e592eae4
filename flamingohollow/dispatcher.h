// Carries worker commands to workers: bounded, in order a job, with retries.
//
// Pure. Control sends a command again until a report shows its effect, so the
// dispatcher may drop one when it has to; it only makes the first tries quick
// and keeps a bad worker from taking what others need. For each worker:
//   - at most max_open_ requests are under way; commands of one job and
//     attempt are never in two of them, so they arrive in order;
//   - a failed batch is tried again after a jittered pause while the commands
//     are younger than max_age_ and the retry budget lasts. The budget grows
//     by a share of the first tries, so retries can't multiply the load;
//   - after open_after_ failures in a row the circuit opens: commands are held
//     for a pause that doubles, then one request probes the worker.
// Time for one step is O(log n) in the commands of one worker, plus the size of
// a batch.

#ifndef FLAMINGOHOLLOW_DISPATCHER_H_
#define FLAMINGOHOLLOW_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

struct DispatchOptions {
  // With nine entries this stays below a worker's 60 connections.
  std::uint32_t max_open_ = 6;
  std::size_t max_batch_ = 64;
  std::size_t max_queued_ = 1024;
  Duration max_age_ = Duration(2000);
  Duration retry_pause_ = Duration(50);
  // Retries allowed for each first try, and at most so many saved up.
  double retry_share_ = 0.2;
  double max_retry_budget_ = 100;
  std::uint32_t open_after_ = 5;
  Duration first_open_ = Duration(500);
  Duration max_open_time_ = Duration(8000);
};

using BatchId = Strong<struct BatchIdTag, std::uint64_t>;

// One request to one worker.
struct Batch {
  BatchId id_;
  WorkerId worker_;
  std::string address_;
  std::vector<WorkerCommand> commands_;
};

struct QueuedCommand {
  WorkerCommand command_;
  Time queued_at_;
  std::uint32_t tries_ = 0;
};

struct WorkerLane {
  // Oldest first; at most max_queued_.
  std::deque<QueuedCommand> queue_;
  std::map<BatchId, std::vector<QueuedCommand>> open_;
  // Failures in a row.
  std::uint32_t failures_ = 0;
  // Nothing is sent before this; set by a failure.
  Time hold_until_;
};

struct DispatchCounts {
  std::uint64_t batches_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t failures_ = 0;
  std::uint64_t dropped_old_ = 0;
  std::uint64_t dropped_full_ = 0;
  std::uint64_t circuit_opened_ = 0;
};

struct Dispatcher {
  DispatchOptions options_;
  std::map<WorkerId, WorkerLane> lanes_;
  BatchId last_batch_;
  double retry_budget_ = 0;
  DispatchCounts counts_;
};

Dispatcher MakeDispatcher(const DispatchOptions& options);

// Queues commands. One that waits already is replaced by its newer self.
void QueueCommands(Dispatcher& dispatcher,
                   const std::vector<WorkerCommand>& commands, Time now);

// The requests to send now; each must be followed by one OnBatchDone.
std::vector<Batch> TakeBatches(Dispatcher& dispatcher, Time now);

// `ok`: the worker answered, so it took the commands. `random` is uniform over
// all values, for the jitter.
void OnBatchDone(Dispatcher& dispatcher, const WorkerId& worker, BatchId batch,
                 bool ok, Time now, std::uint64_t random);

// Requests under way.
std::size_t OpenBatches(const Dispatcher& dispatcher);
bool IsCircuitOpen(const Dispatcher& dispatcher, const WorkerId& worker);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_DISPATCHER_H_

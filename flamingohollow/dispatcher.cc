// Queues commands by worker and decides what to send when.

#include "flamingohollow/dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace flamingohollow {
namespace {

using JobAttempt = std::pair<JobId, AttemptId>;

JobAttempt AttemptOf(const WorkerCommand& command) {
  return {command.job_, command.attempt_};
}

bool SameCommand(const WorkerCommand& a, const WorkerCommand& b) {
  return a.kind_ == b.kind_ && a.job_ == b.job_ && a.attempt_ == b.attempt_ &&
         a.task_ == b.task_;
}

void QueueOne(Dispatcher& dispatcher, const WorkerCommand& command, Time now) {
  WorkerLane& lane = dispatcher.lanes_[command.worker_];
  const auto waiting = std::find_if(
      lane.queue_.begin(), lane.queue_.end(), [&](const QueuedCommand& queued) {
        return SameCommand(queued.command_, command);
      });
  if (waiting != lane.queue_.end()) {
    // Keeps its place: what was queued after it may depend on it.
    waiting->command_ = command;
    waiting->queued_at_ = now;
    return;
  }
  if (lane.queue_.size() >= dispatcher.options_.max_queued_) {
    ++dispatcher.counts_.dropped_full_;
    return;
  }
  lane.queue_.push_back({command, now, 0});
}

void DropOld(Dispatcher& dispatcher, WorkerLane& lane, Time now) {
  const std::size_t dropped =
      std::erase_if(lane.queue_, [&](const QueuedCommand& queued) {
        return now - queued.queued_at_ >= dispatcher.options_.max_age_;
      });
  dispatcher.counts_.dropped_old_ += dropped;
}

// Attempts with commands under way.
std::set<JobAttempt> BusyAttempts(const WorkerLane& lane) {
  std::set<JobAttempt> busy;
  for (const auto& [id, commands] : lane.open_) {
    for (const QueuedCommand& queued : commands) {
      busy.insert(AttemptOf(queued.command_));
    }
  }
  return busy;
}

// Takes the next batch off the queue: in order, leaving out attempts that have
// commands under way. A first try adds to the retry budget; a command that was
// tried before takes one from it, or is dropped when there is none.
std::vector<QueuedCommand> TakeCommands(Dispatcher& dispatcher,
                                        WorkerLane& lane) {
  const DispatchOptions& options = dispatcher.options_;
  const std::set<JobAttempt> busy = BusyAttempts(lane);
  std::vector<QueuedCommand> taken;
  std::deque<QueuedCommand> left;
  for (QueuedCommand& queued : lane.queue_) {
    const bool must_wait = taken.size() >= options.max_batch_ ||
                           busy.contains(AttemptOf(queued.command_));
    if (must_wait) {
      left.push_back(std::move(queued));
    } else if (queued.tries_ == 0) {
      dispatcher.retry_budget_ =
          std::min(dispatcher.retry_budget_ + options.retry_share_,
                   options.max_retry_budget_);
      taken.push_back(std::move(queued));
    } else if (dispatcher.retry_budget_ >= 1) {
      dispatcher.retry_budget_ -= 1;
      ++dispatcher.counts_.retries_;
      taken.push_back(std::move(queued));
    } else {
      ++dispatcher.counts_.dropped_old_;
    }
  }
  lane.queue_ = std::move(left);
  return taken;
}

bool CircuitOpen(const DispatchOptions& options, const WorkerLane& lane) {
  return lane.failures_ >= options.open_after_;
}

// How many requests the lane may have under way.
std::size_t MaxOpen(const DispatchOptions& options, const WorkerLane& lane) {
  return CircuitOpen(options, lane) ? 1 : options.max_open_;
}

Batch MakeBatch(Dispatcher& dispatcher, const WorkerId& worker,
                WorkerLane& lane, std::vector<QueuedCommand> commands) {
  dispatcher.last_batch_ = Next(dispatcher.last_batch_);
  ++dispatcher.counts_.batches_;
  Batch batch;
  batch.id_ = dispatcher.last_batch_;
  batch.worker_ = worker;
  // The newest command knows the worker's newest address.
  batch.address_ = commands.back().command_.address_;
  for (QueuedCommand& queued : commands) {
    ++queued.tries_;
    batch.commands_.push_back(queued.command_);
  }
  lane.open_[batch.id_] = std::move(commands);
  return batch;
}

// The pause after a failure, between half of it and all of it.
Duration HoldTime(const DispatchOptions& options, const WorkerLane& lane,
                  std::uint64_t random) {
  constexpr std::uint32_t kMaxDoublings = 10;
  std::int64_t top = options.retry_pause_.ms();
  if (CircuitOpen(options, lane)) {
    const std::uint32_t doublings =
        std::min(lane.failures_ - options.open_after_, kMaxDoublings);
    top = std::min(options.first_open_.ms() << doublings,
                   options.max_open_time_.ms());
  }
  const std::int64_t low = (top + 1) / 2;
  const auto span = static_cast<std::uint64_t>(top - low + 1);
  return Duration(low + static_cast<std::int64_t>(random % span));
}

// Puts a failed batch back in front, in its order, but for those commands
// that a newer self replaced.
void PutBack(WorkerLane& lane, std::vector<QueuedCommand> commands) {
  for (auto failed = commands.rbegin(); failed != commands.rend(); ++failed) {
    const bool replaced =
        std::any_of(lane.queue_.begin(), lane.queue_.end(),
                    [&](const QueuedCommand& queued) {
                      return SameCommand(queued.command_, failed->command_);
                    });
    if (!replaced) lane.queue_.push_front(std::move(*failed));
  }
}

}  // namespace

Dispatcher MakeDispatcher(const DispatchOptions& options) {
  Dispatcher dispatcher;
  dispatcher.options_ = options;
  dispatcher.retry_budget_ = options.max_retry_budget_;
  return dispatcher;
}

void QueueCommands(Dispatcher& dispatcher,
                   const std::vector<WorkerCommand>& commands, Time now) {
  for (const WorkerCommand& command : commands) {
    QueueOne(dispatcher, command, now);
  }
}

std::vector<Batch> TakeBatches(Dispatcher& dispatcher, Time now) {
  std::vector<Batch> batches;
  for (auto it = dispatcher.lanes_.begin(); it != dispatcher.lanes_.end();) {
    auto& [worker, lane] = *it;
    DropOld(dispatcher, lane, now);
    while (now >= lane.hold_until_ &&
           lane.open_.size() < MaxOpen(dispatcher.options_, lane)) {
      std::vector<QueuedCommand> commands = TakeCommands(dispatcher, lane);
      if (commands.empty()) break;
      batches.push_back(
          MakeBatch(dispatcher, worker, lane, std::move(commands)));
    }
    const bool unused =
        lane.queue_.empty() && lane.open_.empty() && lane.failures_ == 0;
    it = unused ? dispatcher.lanes_.erase(it) : std::next(it);
  }
  return batches;
}

void OnBatchDone(Dispatcher& dispatcher, const WorkerId& worker, BatchId batch,
                 bool ok, Time now, std::uint64_t random) {
  const auto found = dispatcher.lanes_.find(worker);
  if (found == dispatcher.lanes_.end()) return;
  WorkerLane& lane = found->second;
  auto open = lane.open_.extract(batch);
  if (open.empty()) return;
  if (ok) {
    lane.failures_ = 0;
    lane.hold_until_ = Time();
    return;
  }
  ++dispatcher.counts_.failures_;
  ++lane.failures_;
  if (lane.failures_ == dispatcher.options_.open_after_) {
    ++dispatcher.counts_.circuit_opened_;
  }
  lane.hold_until_ = now + HoldTime(dispatcher.options_, lane, random);
  PutBack(lane, std::move(open.mapped()));
}

std::size_t OpenBatches(const Dispatcher& dispatcher) {
  std::size_t open = 0;
  for (const auto& [worker, lane] : dispatcher.lanes_) {
    open += lane.open_.size();
  }
  return open;
}

bool IsCircuitOpen(const Dispatcher& dispatcher, const WorkerId& worker) {
  const auto lane = dispatcher.lanes_.find(worker);
  return lane != dispatcher.lanes_.end() &&
         CircuitOpen(dispatcher.options_, lane->second);
}

}  // namespace flamingohollow

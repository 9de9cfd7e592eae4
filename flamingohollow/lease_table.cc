// A worker's side of the lease protocol: see lease_table.h.

#include "flamingohollow/lease_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingohollow {
namespace {

LeaseKey KeyOf(const WorkerCommand& command) {
  return {command.job_, command.attempt_, command.task_};
}

LeaseEvent MakeEvent(LeaseEventKind kind, const LeaseKey& key,
                     const Lease& lease) {
  LeaseEvent event;
  event.kind_ = kind;
  event.key_ = key;
  event.accelerators_ = lease.accelerators_;
  event.request_id_ = lease.request_id_;
  event.customer_ = lease.customer_;
  event.run_time_ = lease.run_time_;
  return event;
}

// Ends an active lease. One that only was prepared never ran and never will.
void EndLease(LeaseTable& table, const LeaseKey& key, Lease& lease,
              std::string_view reason, LeaseEvents& events) {
  if (!IsActive(lease.state_)) return;
  const bool was_running = lease.state_ == LeaseState::kRunning;
  lease.state_ = was_running ? LeaseState::kStopped : LeaseState::kNeverRan;
  lease.part_ = reason;
  ++table.changes_;
  LeaseEvent event = MakeEvent(LeaseEventKind::kStopped, key, lease);
  event.was_running_ = was_running;
  event.reason_ = reason;
  events.push_back(std::move(event));
}

// The leases of one job stand together in the map.
auto JobBegin(LeaseTable& table, JobId job) {
  return table.leases_.lower_bound({job, AttemptId(0), TaskIndex(0)});
}

void EndOlderAttempts(LeaseTable& table, JobId job, AttemptId attempt,
                      LeaseEvents& events) {
  for (auto it = JobBegin(table, job); it != table.leases_.end(); ++it) {
    if (it->first.job_ != job || it->first.attempt_ >= attempt) break;
    EndLease(table, it->first, it->second, "a newer attempt took over", events);
  }
}

void DropOldestFence(LeaseTable& table) {
  const auto oldest =
      std::min_element(table.fences_.begin(), table.fences_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.touched_at_ < b.second.touched_at_;
                       });
  table.fences_.erase(oldest);
}

// Raises the job's fence to this command. False when the command is older than
// what was seen, and so must change nothing.
bool PassesFence(LeaseTable& table, const WorkerCommand& command, Time now) {
  const auto found = table.fences_.find(command.job_);
  if (found == table.fences_.end()) {
    if (table.fences_.size() >= kMaxFences) DropOldestFence(table);
    table.fences_[command.job_] = {command.term_, command.attempt_,
                                   AttemptId(0), now};
    return true;
  }
  LeaseFence& fence = found->second;
  if (command.term_ < fence.term_) return false;
  fence.term_ = command.term_;
  fence.touched_at_ = now;
  // Stops and releases of older attempts clean up and start nothing.
  const bool cleans_up = command.kind_ == WorkerCommandKind::kStop ||
                         command.kind_ == WorkerCommandKind::kRelease;
  if (command.attempt_ < fence.attempt_) return cleans_up;
  fence.attempt_ = command.attempt_;
  return true;
}

Lease MakeLease(const WorkerCommand& command, Time now) {
  Lease lease;
  lease.accelerators_ = command.accelerators_;
  lease.expires_at_ = now + command.lease_;
  lease.request_id_ = command.request_id_;
  lease.customer_ = command.customer_;
  lease.run_time_ = command.run_time_;
  return lease;
}

// Records a lease that ended before it began, so that reports show it and a
// late command can't begin it.
void InsertEnded(LeaseTable& table, const WorkerCommand& command,
                 LeaseState state, std::string_view reason, Time now) {
  if (table.leases_.size() >= kMaxLeases) return;
  Lease lease = MakeLease(command, now);
  lease.state_ = state;
  lease.part_ = reason;
  table.leases_.emplace(KeyOf(command), std::move(lease));
  ++table.changes_;
}

// Why this worker can't take the lease now; empty when it can.
std::string RefusalOf(const LeaseTable& table, const WorkerCommand& command) {
  if (table.state_ == WorkerState::kLeaving) return "worker is leaving";
  const std::uint32_t used = UsedAccelerators(table).value();
  // More may be in use than there is, if the worker has shrunk.
  const std::uint32_t all = std::max(table.accelerators_.value(), used);
  const std::uint32_t free = all - used;
  if (command.accelerators_.value() > free) {
    return fmt::format("{} accelerators wanted, {} free",
                       command.accelerators_.value(), free);
  }
  if (UsedSlots(table) >= table.slots_) {
    return fmt::format("all {} slots are in use", table.slots_);
  }
  return {};
}

void Prepare(LeaseTable& table, const WorkerCommand& command, Time now,
             LeaseEvents& events) {
  const LeaseKey key = KeyOf(command);
  // A repeated prepare changes nothing; above all it renews nothing, for the
  // leader reckons a lease's end from the renewals that it allowed.
  if (table.leases_.contains(key)) return;
  if (command.attempt_ <= table.fences_.at(command.job_).released_) return;
  EndOlderAttempts(table, command.job_, command.attempt_, events);
  if (table.leases_.size() >= kMaxLeases) return;

  const std::string refusal = RefusalOf(table, command);
  if (!refusal.empty()) {
    InsertEnded(table, command, LeaseState::kNeverRan, refusal, now);
    LeaseEvent event =
        MakeEvent(LeaseEventKind::kRefused, key, table.leases_.at(key));
    event.reason_ = refusal;
    events.push_back(std::move(event));
    return;
  }
  const Lease& lease =
      table.leases_.emplace(key, MakeLease(command, now)).first->second;
  ++table.changes_;
  events.push_back(MakeEvent(LeaseEventKind::kPrepared, key, lease));
}

void Start(LeaseTable& table, const WorkerCommand& command, Time now,
           LeaseEvents& events) {
  const LeaseKey key = KeyOf(command);
  const auto found = table.leases_.find(key);
  if (found == table.leases_.end()) {
    if (command.attempt_ <= table.fences_.at(command.job_).released_) return;
    InsertEnded(table, command, LeaseState::kNeverRan, "was never prepared",
                now);
    return;
  }
  Lease& lease = found->second;
  // Running: a repeated start. Ended: a late one.
  if (lease.state_ != LeaseState::kPrepared) return;
  lease.state_ = LeaseState::kRunning;
  ++table.changes_;
  events.push_back(MakeEvent(LeaseEventKind::kStarted, key, lease));
}

void Stop(LeaseTable& table, const WorkerCommand& command, Time now,
          LeaseEvents& events) {
  const LeaseKey key = KeyOf(command);
  const auto found = table.leases_.find(key);
  if (found != table.leases_.end()) {
    EndLease(table, key, found->second, "stopped", events);
    return;
  }
  // A released lease may have run: "never ran" would be a lie.
  const bool released =
      command.attempt_ <= table.fences_.at(command.job_).released_;
  InsertEnded(table, command,
              released ? LeaseState::kStopped : LeaseState::kNeverRan,
              "stopped", now);
}

void Release(LeaseTable& table, const WorkerCommand& command,
             LeaseEvents& events) {
  LeaseFence& fence = table.fences_.at(command.job_);
  fence.released_ = std::max(fence.released_, command.attempt_);
  const LeaseKey key = KeyOf(command);
  const auto found = table.leases_.find(key);
  if (found == table.leases_.end()) return;
  EndLease(table, key, found->second, "released", events);
  events.push_back(MakeEvent(LeaseEventKind::kReleased, key, found->second));
  table.leases_.erase(found);
  ++table.changes_;
}

bool HasLeases(LeaseTable& table, JobId job) {
  const auto it = JobBegin(table, job);
  return it != table.leases_.end() && it->first.job_ == job;
}

void ForgetOldFences(LeaseTable& table, Time now) {
  for (auto it = table.fences_.begin(); it != table.fences_.end();) {
    const bool old = now - it->second.touched_at_ > kFenceMemory;
    const bool forget = old && !HasLeases(table, it->first);
    it = forget ? table.fences_.erase(it) : std::next(it);
  }
}

}  // namespace

LeaseEvents ApplyWorkerCommand(LeaseTable& table, const WorkerCommand& command,
                               Time now) {
  if (command.incarnation_ != table.incarnation_) return {};
  LeaseEvents events = ExpireLeases(table, now);
  if (!PassesFence(table, command, now)) return events;
  switch (command.kind_) {
    case WorkerCommandKind::kPrepare:
      Prepare(table, command, now, events);
      break;
    case WorkerCommandKind::kStart:
      Start(table, command, now, events);
      break;
    case WorkerCommandKind::kStop:
      Stop(table, command, now, events);
      break;
    case WorkerCommandKind::kRelease:
      Release(table, command, events);
      break;
  }
  return events;
}

void RenewLeases(LeaseTable& table, Time sent_at, Duration renew,
                 const std::vector<JobId>& excluded) {
  if (renew <= Duration(0)) return;
  for (auto& [key, lease] : table.leases_) {
    if (!IsActive(lease.state_)) continue;
    if (std::find(excluded.begin(), excluded.end(), key.job_) !=
        excluded.end()) {
      continue;
    }
    lease.expires_at_ = std::max(lease.expires_at_, sent_at + renew);
  }
}

LeaseEvents ExpireLeases(LeaseTable& table, Time now) {
  LeaseEvents events;
  for (auto& [key, lease] : table.leases_) {
    if (lease.expires_at_ > now) continue;
    EndLease(table, key, lease, "lease expired", events);
  }
  ForgetOldFences(table, now);
  return events;
}

std::optional<Time> NextExpiry(const LeaseTable& table) {
  std::optional<Time> next;
  for (const auto& [key, lease] : table.leases_) {
    if (!IsActive(lease.state_)) continue;
    next = next ? std::min(*next, lease.expires_at_) : lease.expires_at_;
  }
  return next;
}

bool FinishTask(LeaseTable& table, const LeaseKey& key, bool succeeded,
                std::string_view part) {
  const auto found = table.leases_.find(key);
  if (found == table.leases_.end()) return false;
  Lease& lease = found->second;
  if (lease.state_ != LeaseState::kRunning) return false;
  lease.state_ = succeeded ? LeaseState::kFinished : LeaseState::kFailed;
  lease.part_ = part;
  ++table.changes_;
  return true;
}

std::vector<LeaseReport> ReportLeases(const LeaseTable& table) {
  std::vector<LeaseReport> reports;
  reports.reserve(table.leases_.size());
  for (const auto& [key, lease] : table.leases_) {
    reports.push_back({key.job_, key.attempt_, key.task_, lease.accelerators_,
                       lease.state_, lease.part_});
  }
  return reports;
}

Accelerators UsedAccelerators(const LeaseTable& table) {
  std::uint32_t used = 0;
  for (const auto& [key, lease] : table.leases_) {
    if (IsActive(lease.state_)) used += lease.accelerators_.value();
  }
  return Accelerators(used);
}

std::uint32_t UsedSlots(const LeaseTable& table) {
  std::uint32_t used = 0;
  for (const auto& [key, lease] : table.leases_) {
    if (IsActive(lease.state_)) ++used;
  }
  return used;
}

}  // namespace flamingohollow

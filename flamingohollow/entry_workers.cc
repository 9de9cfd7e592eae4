// Tracks the newest report of each worker and what control has acknowledged.

#include "flamingohollow/entry_workers.h"

#include <algorithm>

namespace flamingohollow {
namespace {

bool IsFresh(const EntryWorkers& workers, const EntryWorker& worker, Time now) {
  return now - worker.heard_at_ <
         workers.options_.silence_margin_ + workers.interval_ * 2;
}

// Records that exchange `sequence` reports the worker as alive or silent.
void RecordStatus(EntryWorker& worker, bool alive, std::uint64_t sequence) {
  worker.sent_alive_ = alive;
  worker.sent_sequence_ = sequence;
  worker.status_confirmed_ = false;
}

// Marks the status sent in exchange `sequence` as confirmed. Has no effect if a
// newer exchange has carried a status since.
void ConfirmStatus(EntryWorkers& workers, const WorkerId& id,
                   std::uint64_t sequence) {
  const auto found = workers.workers_.find(id);
  if (found == workers.workers_.end()) return;
  if (found->second.sent_sequence_ == sequence)
    found->second.status_confirmed_ = true;
}

// Whether the leader may hold a status other than `alive`.
bool NeedsStatusUpdate(const EntryWorker& worker, bool alive) {
  return !worker.status_confirmed_ || worker.sent_alive_ != alive;
}

std::size_t AnswerBytes(const WorkerReport& report) {
  std::size_t bytes = 0;
  for (const LeaseReport& lease : report.leases_) bytes += lease.part_.size();
  return bytes;
}

bool SameReport(const WorkerReport& a, const WorkerReport& b) {
  return a.incarnation_ == b.incarnation_ && a.sequence_ == b.sequence_;
}

AnnounceOutcome ApplyShortAnnouncement(EntryWorkers& workers,
                                       const WorkerReport& report, Time now) {
  const auto found = workers.workers_.find(report.worker_);
  if (found == workers.workers_.end() ||
      !SameReport(found->second.report_, report)) {
    return AnnounceOutcome::kUnknown;
  }
  found->second.heard_at_ = now;
  return AnnounceOutcome::kUnchanged;
}

}  // namespace

AnnounceOutcome ApplyAnnouncement(EntryWorkers& workers,
                                  const Announcement& announcement, Time now) {
  const WorkerReport& report = announcement.report_;
  if (!announcement.whole_) return ApplyShortAnnouncement(workers, report, now);

  const auto found = workers.workers_.find(report.worker_);
  if (found == workers.workers_.end()) {
    if (workers.workers_.size() >= workers.options_.max_workers_) {
      return AnnounceOutcome::kFull;
    }
    EntryWorker& worker = workers.workers_[report.worker_];
    worker.report_ = report;
    worker.heard_at_ = now;
    return AnnounceOutcome::kChanged;
  }
  EntryWorker& worker = found->second;
  const WorkerReport& held = worker.report_;
  if (report.incarnation_ < held.incarnation_ ||
      (report.incarnation_ == held.incarnation_ &&
       report.sequence_ < held.sequence_)) {
    return AnnounceOutcome::kOld;
  }
  worker.heard_at_ = now;
  if (SameReport(report, held)) return AnnounceOutcome::kUnchanged;
  worker.report_ = report;
  worker.unacknowledged_ = true;
  worker.in_flight_ = false;
  return AnnounceOutcome::kChanged;
}

AnnounceReply MakeAnnounceReply(const EntryWorkers& workers,
                                const EntryTable& table,
                                const Announcement& announcement,
                                AnnounceOutcome outcome, Time now) {
  AnnounceReply reply;
  reply.announce_after_ = workers.interval_;
  // An old announcement arrived late. Its worker has announced again since, so
  // there is no report to request and no lease to renew.
  reply.known_ = outcome != AnnounceOutcome::kUnknown;
  const bool is_newest = outcome == AnnounceOutcome::kChanged ||
                         outcome == AnnounceOutcome::kUnchanged;
  if (!is_newest || !MayRenew(table, now)) return reply;
  reply.renew_ = table.worker_lease_;
  const auto found = workers.workers_.find(announcement.report_.worker_);
  if (found == workers.workers_.end()) return reply;
  // Leases granted after the announcement need not be listed: they last at
  // least as long as this renewal would extend them.
  for (const LeaseReport& lease : found->second.report_.leases_) {
    if (table.exclusions_.contains(lease.job_)) {
      reply.excluded_.push_back(lease.job_);
    }
  }
  return reply;
}

bool HasReportsToSend(const EntryWorkers& workers, Time now) {
  return std::any_of(workers.workers_.begin(), workers.workers_.end(),
                     [&](const auto& entry) {
                       const EntryWorker& worker = entry.second;
                       return worker.unacknowledged_ && !worker.in_flight_ &&
                              IsFresh(workers, worker, now);
                     });
}

WorkerUpdate BuildWorkerUpdate(EntryWorkers& workers, Time now) {
  WorkerUpdate update;
  update.sequence_ = ++workers.sequence_;
  const EntryWorkersOptions& options = workers.options_;
  std::size_t bytes = 0;
  for (auto& [id, worker] : workers.workers_) {
    if (!IsFresh(workers, worker, now)) {
      if (!NeedsStatusUpdate(worker, false)) continue;
      RecordStatus(worker, false, update.sequence_);
      update.silent_.push_back(id);
      continue;
    }
    const bool to_send = worker.unacknowledged_ && !worker.in_flight_;
    if (to_send && update.reports_.size() < options.max_reports_ &&
        bytes <= options.max_report_bytes_) {
      bytes += AnswerBytes(worker.report_);
      worker.in_flight_ = true;
      RecordStatus(worker, true, update.sequence_);
      update.reports_.push_back(worker.report_);
    } else if (!worker.unacknowledged_ && NeedsStatusUpdate(worker, true)) {
      RecordStatus(worker, true, update.sequence_);
      update.alive_.push_back(id);
    }
  }
  return update;
}

namespace {

// Marks the reports as no longer in flight and those of the workers in
// `acknowledged` as acknowledged.
void CompleteReports(EntryWorkers& workers, const WorkerUpdate& update,
                     const std::vector<WorkerId>& acknowledged) {
  for (const WorkerReport& sent : update.reports_) {
    const auto found = workers.workers_.find(sent.worker_);
    if (found == workers.workers_.end()) continue;
    EntryWorker& worker = found->second;
    // A report that changed in the meantime has yet to be sent.
    if (!SameReport(worker.report_, sent)) continue;
    worker.in_flight_ = false;
    const bool accepted = std::find(acknowledged.begin(), acknowledged.end(),
                                    sent.worker_) != acknowledged.end();
    if (accepted) worker.unacknowledged_ = false;
  }
}

}  // namespace

void OnUpdateAnswered(EntryWorkers& workers, const WorkerUpdate& update,
                      const std::vector<WorkerId>& acknowledged) {
  CompleteReports(workers, update, acknowledged);
  for (const WorkerId& id : acknowledged)
    ConfirmStatus(workers, id, update.sequence_);
  for (const WorkerId& id : update.alive_)
    ConfirmStatus(workers, id, update.sequence_);
  for (const WorkerId& id : update.silent_)
    ConfirmStatus(workers, id, update.sequence_);
}

void OnUpdateLost(EntryWorkers& workers, const WorkerUpdate& update) {
  // The statuses stay unconfirmed and are sent again.
  CompleteReports(workers, update, {});
}

void ResendAll(EntryWorkers& workers) {
  for (auto& [id, worker] : workers.workers_) {
    worker.unacknowledged_ = true;
    worker.status_confirmed_ = false;
  }
}

void RemoveSilentWorkers(EntryWorkers& workers, Time now) {
  std::erase_if(workers.workers_, [&](const auto& entry) {
    // Keep the worker until the leader is known to count it as silent.
    if (NeedsStatusUpdate(entry.second, false)) return false;
    return now - entry.second.heard_at_ >= workers.options_.forget_after_;
  });
}

void UpdateInterval(EntryWorkers& workers, Duration worker_lease) {
  const EntryWorkersOptions& options = workers.options_;
  const auto bytes =
      static_cast<std::int64_t>(workers.workers_.size()) * kAnnouncementBytes;
  const Duration wanted(bytes * 1000 / options.announce_bytes_per_second_);
  const Duration longest = worker_lease / kAnnouncementsInLease;
  const Duration shortest = options.announce_interval_;
  workers.interval_ = std::max(shortest, std::min(wanted, longest));
}

}  // namespace flamingohollow

// The workers that announce through an entry, and what the leader knows of
// them.
//
// Performs no I/O. A changed worker report is forwarded to control until the
// leader acknowledges that report. Unchanged reports are not sent: each
// exchange renews the leader's view that a worker is alive, from when the entry
// first mentions the worker until the entry reports it as silent. The answer to
// an announcement renews the worker's leases if the entry has the authority.
//
// The entry tracks the last status (alive or silent) that it sent to the leader
// and whether an answer confirmed it. An unconfirmed status may have been lost,
// so it is sent again; a status that has changed is sent too. Exchanges are
// numbered and the leader drops those that arrive out of order, so the last
// status it accepted is the newest one.

#ifndef FLAMINGOHOLLOW_ENTRY_WORKERS_H_
#define FLAMINGOHOLLOW_ENTRY_WORKERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "flamingohollow/entry_table.h"
#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "flamingohollow/worker_json.h"
#include "util/clock.h"

namespace flamingohollow {

struct EntryWorkersOptions {
  std::size_t max_workers_ = 4096;
  // Shortest interval between a worker's announcements.
  Duration announce_interval_ = Duration(500);
  // The interval grows with the number of workers to keep the traffic of all
  // announcements below this rate. It grows to at most
  // 1 / kAnnouncementsInLease of the worker lease, but is never below
  // announce_interval_.
  std::uint32_t announce_bytes_per_second_ = 7 * 1024;
  // A worker is silent when not heard from for this long plus two announcement
  // intervals. It may be dead, and a new leader must not take its old report as
  // evidence that it is alive.
  Duration silence_margin_ = Duration(500);
  // A worker not heard from for this long is removed.
  Duration forget_after_ = Duration(60000);
  // Limits of the reports in one exchange: their number, and the bytes of the
  // job answers in them.
  std::size_t max_reports_ = 512;
  std::size_t max_report_bytes_ = 4 * 1024 * 1024;
};

struct EntryWorker {
  WorkerReport report_;
  Time heard_at_;
  // The report changed since the leader acknowledged one.
  bool unacknowledged_ = true;
  // Sent in an exchange that is still open; sent again only if that fails.
  bool in_flight_ = false;
  // The status last sent to the leader, the number of the exchange that carried
  // it, and whether that exchange was answered.
  bool sent_alive_ = false;
  std::uint64_t sent_sequence_ = 0;
  bool status_confirmed_ = true;
};

// Size of an unchanged announcement and its answer, including headers.
inline constexpr std::uint32_t kAnnouncementBytes = 400;
// The interval does not grow beyond the worker lease divided by this.
inline constexpr int kAnnouncementsInLease = 4;

struct EntryWorkers {
  EntryWorkersOptions options_;
  std::map<WorkerId, EntryWorker> workers_;
  // Number of the last exchange.
  std::uint64_t sequence_ = 0;
  // Interval between announcements that is sent to the workers.
  Duration interval_ = options_.announce_interval_;
};

// Adapts the interval to the number of workers and the lease they hold.
void UpdateInterval(EntryWorkers& workers, Duration worker_lease);

enum class AnnounceOutcome : std::uint8_t {
  kChanged,
  kUnchanged,
  // A short announcement of a report that the entry doesn't hold.
  kUnknown,
  // From an earlier incarnation or with an earlier report.
  kOld,
  // Too many workers.
  kFull,
};

// Applies an announcement, which may also be the answer to a command.
AnnounceOutcome ApplyAnnouncement(EntryWorkers& workers,
                                  const Announcement& announcement, Time now);

// The answer to the announcement that gave `outcome`.
AnnounceReply MakeAnnounceReply(const EntryWorkers& workers,
                                const EntryTable& table,
                                const Announcement& announcement,
                                AnnounceOutcome outcome, Time now);

// The part of one exchange that concerns workers.
struct WorkerUpdate {
  std::uint64_t sequence_ = 0;
  std::vector<WorkerReport> reports_;
  std::vector<WorkerId> alive_;
  std::vector<WorkerId> silent_;
};

// True when there are reports that no open exchange carries.
bool HasReportsToSend(const EntryWorkers& workers, Time now);
// Builds the worker part of the next exchange and records it as sent.
WorkerUpdate BuildWorkerUpdate(EntryWorkers& workers, Time now);
// Call when the exchange was answered. `acknowledged` lists the workers whose
// reports the leader accepted.
void OnUpdateAnswered(EntryWorkers& workers, const WorkerUpdate& update,
                      const std::vector<WorkerId>& acknowledged);
// Call when the exchange got no answer, or one from a process that isn't the
// leader.
void OnUpdateLost(EntryWorkers& workers, const WorkerUpdate& update);
// Marks everything for resending, for a leader that has no worker state yet.
void ResendAll(EntryWorkers& workers);
void RemoveSilentWorkers(EntryWorkers& workers, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_WORKERS_H_

// What an entry knows of the workers that announce through it.
//
// Pure. A worker's report is forwarded to control when it changed, until the
// leader acknowledges that very report. While it is unchanged nothing is sent:
// the leader counts a worker as alive with every exchange, from when the entry
// first spoke of it until the entry says that it is silent. The answer to an
// announcement renews the worker's leases when the entry has the authority to.
//
// What the leader believes is tracked as the last statement sent (alive or
// silent) and whether an answer settled it. An unsettled statement may or may
// not have arrived, so it is made again; so is one that is no longer true.
// Exchanges are numbered and the leader drops an old one that comes late,
// hence the last statement that arrived is the newest one.

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
  // What a worker is told to wait between announcements.
  Duration announce_interval_ = Duration(500);
  // The interval grows with the number of workers, so that all announcements
  // together stay below this many bytes a second, up to a part of the lease.
  std::uint32_t announce_bytes_per_second_ = 7 * 1024;
  // A worker is silent when not heard from for this long and two intervals: it
  // may be dead, and a new leader must not take its old report for a sign of
  // life.
  Duration fresh_ = Duration(500);
  // A worker not heard from for this long is forgotten.
  Duration forget_after_ = Duration(60000);
  // Reports in one exchange, by number and by bytes of their answers.
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
  // What the leader was last told, in which exchange, and whether that
  // exchange was answered.
  bool stated_alive_ = false;
  std::uint64_t stated_in_ = 0;
  bool settled_ = true;
};

// Of an unchanged announcement with its answer, headers included.
inline constexpr std::uint32_t kAnnouncementBytes = 400;
// A worker announces at least this often within its lease.
inline constexpr int kAnnouncementsInLease = 4;

struct EntryWorkers {
  EntryWorkersOptions options_;
  std::map<WorkerId, EntryWorker> workers_;
  // Number of the last exchange's news.
  std::uint64_t sequence_ = 0;
  // What the workers are told to wait between announcements.
  Duration interval_ = options_.announce_interval_;
};

// Adapts the interval to the number of workers and the lease they hold.
void UpdateInterval(EntryWorkers& workers, Duration worker_lease);

enum class AnnounceOutcome : std::uint8_t {
  kChanged,
  kUnchanged,
  // A short announcement of a report that the entry doesn't hold.
  kUnknown,
  // Of an earlier incarnation or an earlier report.
  kOld,
  // Too many workers.
  kFull,
};

// Takes an announcement, or the announcement that answers a command.
AnnounceOutcome TakeAnnouncement(EntryWorkers& workers,
                                 const Announcement& announcement, Time now);

// The answer to the announcement that gave `outcome`.
AnnounceReply MakeAnnounceReply(const EntryWorkers& workers,
                                const EntryTable& table,
                                const Announcement& announcement,
                                AnnounceOutcome outcome, Time now);

// One exchange's part about workers.
struct WorkerNews {
  std::uint64_t sequence_ = 0;
  std::vector<WorkerReport> reports_;
  std::vector<WorkerId> alive_;
  std::vector<WorkerId> silent_;
};

// True when there are reports that no open exchange carries.
bool HasReportsToSend(const EntryWorkers& workers, Time now);
// Takes what the next exchange is to carry.
WorkerNews TakeNews(EntryWorkers& workers, Time now);
// The exchange that carried `news` was answered; `acknowledged` are the
// workers whose reports the leader took.
void OnNewsAnswered(EntryWorkers& workers, const WorkerNews& news,
                    const std::vector<WorkerId>& acknowledged);
// It got no answer, or one from a process that does not lead.
void OnNewsLost(EntryWorkers& workers, const WorkerNews& news);
// The leader knows nothing yet.
void SendAllAgain(EntryWorkers& workers);
void ForgetSilent(EntryWorkers& workers, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_ENTRY_WORKERS_H_

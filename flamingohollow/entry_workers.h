// What an entry knows of the workers that announce through it.
//
// Pure. A worker's report is forwarded to control when it changed, until the
// leader acknowledges that very report; while unchanged, only the worker's id
// goes there, at most once an interval. The answer to an announcement renews
// the worker's leases when the entry has the authority to.

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
  // A worker not heard from for this long is not spoken of to control: it may
  // be dead, and a new leader must not take its old report for a sign of life.
  Duration fresh_ = Duration(1500);
  // A worker not heard from for this long is forgotten.
  Duration forget_after_ = Duration(60000);
  // Unchanged workers are named to control this often.
  Duration alive_interval_ = Duration(1000);
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
  // Heard from since it was last named to control.
  bool alive_ = false;
};

struct EntryWorkers {
  EntryWorkersOptions options_;
  std::map<WorkerId, EntryWorker> workers_;
  Time alive_sent_at_;
};

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
  std::vector<WorkerReport> reports_;
  std::vector<WorkerId> alive_;
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

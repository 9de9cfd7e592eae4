// What entries and control say to each other.
//
// An entry keeps one exchange open with the leader: it sends what changed
// among the workers that announce through it, and gets back the table when
// newer, a lease on it, worker commands to carry out and news of the jobs that
// its callers wait for. The leader answers at once when it has something to
// send, otherwise after a short wait. Losing an exchange loses nothing:
// reports are sent again until acknowledged, commands until a report shows
// their effect.

#ifndef FLAMINGOHOLLOW_MESSAGES_H_
#define FLAMINGOHOLLOW_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/command.h"
#include "flamingohollow/job.h"
#include "flamingohollow/table.h"
#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

// Entry to leader.
struct EntrySync {
  NodeName entry_;
  Incarnation incarnation_;
  // The version that the entry enforces; 0 for none yet.
  TableVersion table_version_;
  // The newest renewal-exclusion set that the entry enforces.
  std::uint64_t exclusions_version_ = 0;
  // Reports that changed since the leader acknowledged them.
  std::vector<WorkerReport> reports_;
  // Grows with each exchange of this incarnation; an older one that comes
  // late is dropped, as it would undo what a newer one said.
  std::uint64_t sequence_ = 0;
  // Workers that announce here again, or for the first time, with a report
  // that the leader has. From here on each exchange stands for them, until
  // `silent_` names them: so an unchanged worker costs nothing.
  std::vector<WorkerId> alive_;
  // Workers not heard from any more.
  std::vector<WorkerId> silent_;
  // Jobs whose callers wait at this entry and are not terminal yet.
  std::vector<JobId> watched_;
};

// Leader to entry.
struct ControlSync {
  // False: ask `leader_address_` (empty when unknown) instead; nothing else
  // is filled in.
  bool is_leader_ = false;
  std::string leader_address_;
  Term term_;
  // The entry may enforce its table and renew leases for this long from when
  // it sent the EntrySync that this answers; 0 when control has no quorum.
  Duration lease_;
  TableVersion table_version_;
  // The whole table, when the entry's is older.
  std::optional<Table> table_;
  // Jobs whose leases must not be renewed, when the entry's set is older.
  std::uint64_t exclusions_version_ = 0;
  std::optional<std::vector<JobId>> exclusions_;
  // How long a renewed worker lease holds.
  Duration worker_lease_;
  // Workers of `reports_` that the leader has taken in.
  std::vector<WorkerId> acknowledged_;
  // Workers whose whole report the leader wants (a new leader knows none).
  bool send_all_reports_ = false;
  std::vector<WorkerCommand> commands_;
  // Watched jobs whose state changed.
  std::vector<JobView> jobs_;
};

enum class CallKind : std::uint8_t {
  kInit = 0,
  kTableShow = 1,
  kTableApply = 2,
  kTableStatus = 3,
  kSubmit = 4,
  kJobShow = 5,
  kJobCancel = 6,
  kJobList = 7,
  kWorkers = 8,
  kStatus = 9,
  kVoterAdd = 10,
  kVoterRemove = 11,
  kTableHistory = 12,
  // Evacuates a failure domain.
  kEvacuate = 13,
  // Ends the evacuation of a failure domain.
  kTakeBack = 14,
  // Lists the failure domains that are evacuated.
  kEvacuations = 15,
};

// A caller's or operator's request, checked by the entry's filters.
struct CallRequest {
  CallKind kind_ = CallKind::kStatus;
  // Empty for an operator; else only this customer's jobs may be touched.
  CustomerId on_behalf_of_;
  // Name of whoever asks, for the history.
  std::string caller_;
  TableChange change_;
  bool dry_run_ = false;
  JobSpec spec_;
  JobId job_;
  // kVoterAdd and kVoterRemove.
  NodeName voter_;
  std::string address_;
  // kEvacuate and kTakeBack.
  FailureDomain domain_;
  // The W3C trace context of the caller's span; may be empty.
  std::string trace_parent_;
};

// `status_` is the HTTP status; `body_` the JSON that the caller gets.
struct CallReply {
  bool is_leader_ = false;
  std::string leader_address_;
  std::uint16_t status_ = 500;
  std::string body_;
  Duration retry_after_;
  // kSubmit, kJobShow: the job.
  std::optional<JobView> job_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_MESSAGES_H_

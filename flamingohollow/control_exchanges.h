// The leader's open exchanges with the entries (long polling).
//
// An entry's EntrySync is held until there is data for that entry or kMaxHold
// has passed, and is then answered once. Meanwhile worker commands and updates
// of watched jobs are queued here per entry. The contents of a lost answer are
// sent again: the controller repeats a command until a report shows its effect,
// and a job's end is sent for as long as the entry watches the job.
//
// Memory: one exchange, at most kMaxCommands commands and the watched jobs for
// each of at most EntriesOptions::max_holders_ holders; one route for each
// worker that an entry named within kRouteLifetime.

#ifndef FLAMINGOHOLLOW_CONTROL_EXCHANGES_H_
#define FLAMINGOHOLLOW_CONTROL_EXCHANGES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "flamingohollow/control_entries.h"
#include "flamingohollow/job.h"
#include "flamingohollow/messages.h"
#include "flamingohollow/table.h"
#include "flamingohollow/types.h"
#include "flamingohollow/worker.h"
#include "util/clock.h"

namespace flamingohollow {

// An exchange without data is answered after this long. Twice this plus a round
// trip must stay below an entry's lease, which counts from when the exchange
// was sent, and this must stay below the entry's timeout, kSyncTimeout.
inline constexpr Duration kMaxHold = Duration(1000);
// Maximum number of commands queued for one entry. Further ones are dropped;
// the controller sends them again.
inline constexpr std::size_t kMaxCommands = 10000;
// A command that was not sent within this time is dropped: by then the
// controller has sent it again or has replaced it by a newer one. A worker
// remembers ended attempts for far longer (kFenceMemory), so no command arrives
// after its attempt is forgotten.
inline constexpr Duration kCommandLifetime = Duration(5000);
// The route of a worker that no entry has named for this long is removed.
inline constexpr Duration kRouteLifetime = Duration(60000);

using SyncResponder = std::function<void(const ControlSync&)>;

// The leader's state that answers are built from.
struct LeaderView {
  Term term_;
  const Table* table_ = nullptr;
  const JobController* controller_ = nullptr;
  Duration worker_lease_;
};

struct ExchangeCounters {
  std::uint64_t answered_ = 0;
  std::uint64_t commands_ = 0;
  std::uint64_t commands_without_route_ = 0;
  std::uint64_t commands_dropped_ = 0;
};

class EntryExchanges {
 public:
  // Holds the exchange open. An older open exchange of the same holder is
  // answered at once with the data available.
  void Open(const EntrySync& sync, SyncResponder respond,
            const LeaderView& view, Entries& entries, Time now);
  // The workers that are alive according to the entry that sent `sync`; empty
  // if `sync` is not its newest exchange.
  std::vector<WorkerId> WorkersOf(const EntrySync& sync) const;
  // Queues the command for the entry on the worker's route; dropped if the
  // worker has none.
  void QueueCommand(const WorkerCommand& command, Time now);
  // Marks the job as changed for the entries that watch it.
  void JobChanged(JobId job);
  // Answers every exchange that has data or has been held for kMaxHold.
  void AnswerDue(const LeaderView& view, Entries& entries, Time now);
  // Answers every exchange with `sync`, for when this node no longer leads.
  void AnswerAll(const ControlSync& sync);
  // Removes expired routes and commands, and holders without a lease.
  void Prune(const Entries& entries, Time now);

  const ExchangeCounters& counters() const { return counters_; }

 private:
  using CommandKey =
      std::tuple<WorkerId, JobId, AttemptId, TaskIndex, WorkerCommandKind>;

  struct OpenExchange {
    SyncResponder respond_;
    Time received_;
    TableVersion table_version_;
    std::uint64_t exclusions_version_ = 0;
    std::vector<WorkerId> acknowledged_;
    // The entry named workers whose report this leader never received.
    bool needs_all_reports_ = false;
  };

  // The state of a watched job that the entry was last sent.
  struct SentState {
    Outcome outcome_ = Outcome::kAccepted;
    AttemptId attempt_;

    friend bool operator==(const SentState&, const SentState&) = default;
  };

  struct QueuedCommand {
    WorkerCommand command_;
    Time queued_at_;
  };

  struct HolderState {
    std::optional<OpenExchange> open_;
    // Whether this leader has answered the entry before.
    bool answered_once_ = false;
    // Sequence number of its newest exchange.
    std::uint64_t sequence_ = 0;
    // Workers that the entry has named and has not reported as silent since. A
    // worker may be in contact with several entries.
    std::set<WorkerId> workers_;
    std::map<CommandKey, QueuedCommand> commands_;
    std::map<JobId, std::optional<SentState>> watched_;
    // Watched jobs that may have changed since they were last sent.
    std::vector<JobId> changed_;
    // Job updates not sent yet.
    std::map<JobId, JobView> job_updates_;
  };

  struct Route {
    HolderId holder_;
    Time last_heard_at_;
    // Whether this leader has received the worker's report, from any entry.
    bool reported_ = false;
  };

  // Returns true if this leader has a report of every worker in sync.alive_.
  bool SetRoutes(const EntrySync& sync, const HolderId& id, Time now);
  Route& SetRoute(const WorkerId& worker, const HolderId& id);
  void ReassignRoute(const WorkerId& worker, const HolderId& id);
  static void SetWatched(HolderState& holder_state,
                         const std::vector<JobId>& watched);
  static void DropOldCommands(HolderState& holder_state, Time now);
  static void GatherJobUpdates(HolderState& holder_state,
                               const LeaderView& view);
  static bool IsDue(const HolderState& holder_state, const LeaderView& view,
                    const Entries& entries, Time now);
  void Answer(const HolderId& id, HolderState& holder_state,
              const LeaderView& view, Entries& entries, Time now);

  std::map<HolderId, HolderState> holder_states_;
  std::map<WorkerId, Route> routes_;
  ExchangeCounters counters_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_EXCHANGES_H_

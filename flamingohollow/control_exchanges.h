// The leader's open exchanges with the entries.
//
// An entry's EntrySync is held until there is something to say to that entry
// or kMaxHold has gone by, and then answered once. In between, worker commands
// and news of watched jobs are gathered here, by the entry that they go to.
// Whatever is lost with an answer comes again: the controller sends a command
// again until a report shows its effect, and a job's end is told for as long
// as the entry watches the job.
//
// Memory: one exchange, at most kMaxCommands commands and the watched jobs for
// each of at most EntriesOptions::max_holders_ holders; one route for each
// worker that was heard of within kRouteLifetime.

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

// An exchange without news is answered after this long. Twice this and a round
// trip stay below an entry's lease, which counts from when the exchange was
// sent, and this below the entry's time-out of an exchange.
inline constexpr Duration kMaxHold = Duration(1000);
// Commands that wait for one entry; later ones are dropped until the
// controller sends them again.
inline constexpr std::size_t kMaxCommands = 10000;
// A command that no exchange has taken by then is dropped: the controller has
// sent it again, or something newer. A worker remembers ended attempts for far
// longer (kFenceMemory), so no command comes after they are forgotten.
inline constexpr Duration kCommandLifetime = Duration(5000);
// A worker that no entry has mentioned for this long has no route.
inline constexpr Duration kRouteLifetime = Duration(60000);

using SyncResponder = std::function<void(const ControlSync&)>;

// What answers are made from.
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
  // Holds the exchange open; an older one of the same holder is answered with
  // what there is.
  void Open(const EntrySync& sync, SyncResponder respond,
            const LeaderView& view, Entries& entries, Time now);
  // The workers that the entry's last exchange stands for.
  std::vector<WorkerId> WorkersThrough(const EntrySync& sync) const;
  // For the entry that last carried the worker's report.
  void QueueCommand(const WorkerCommand& command, Time now);
  // Tells the entries that watch the job.
  void JobChanged(JobId job);
  // Answers every exchange that has news or has been held for kMaxHold.
  void AnswerDue(const LeaderView& view, Entries& entries, Time now);
  // Answers every exchange with `sync`, for when this node no longer leads.
  void AnswerAll(const ControlSync& sync);
  // Forgets routes that are no longer used, holders without a lease and old
  // commands.
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
    // The entry speaks of workers whose report this leader never got.
    bool wants_reports_ = false;
  };

  // What the entry was last told of a watched job.
  struct Told {
    Outcome outcome_ = Outcome::kAccepted;
    AttemptId attempt_;

    friend bool operator==(const Told&, const Told&) = default;
  };

  struct QueuedCommand {
    WorkerCommand command_;
    Time queued_at_;
  };

  struct Peer {
    std::optional<OpenExchange> open_;
    // False until this leader has answered it once.
    bool known_ = false;
    // Of its newest exchange.
    std::uint64_t sequence_ = 0;
    // Alive through this entry: named by it and not called silent since. A
    // worker may be alive through several.
    std::set<WorkerId> workers_;
    std::map<CommandKey, QueuedCommand> commands_;
    std::map<JobId, std::optional<Told>> watched_;
    // Watched jobs that may have news.
    std::vector<JobId> changed_;
    // News that no answer has carried yet.
    std::map<JobId, JobView> news_;
  };

  struct Route {
    HolderId holder_;
    Time heard_;
    // This leader has had the worker's report, through any entry.
    bool reported_ = false;
  };

  // True when all workers that the sync names have reported themselves.
  bool SetRoutes(const EntrySync& sync, const HolderId& id, Time now);
  Route& SetRoute(const WorkerId& worker, const HolderId& id);
  void LeaveRoute(const WorkerId& worker, const HolderId& id);
  static void SetWatched(Peer& peer, const std::vector<JobId>& watched);
  static void DropOldCommands(Peer& peer, Time now);
  static void GatherNews(Peer& peer, const LeaderView& view);
  static bool IsDue(const Peer& peer, const LeaderView& view,
                    const Entries& entries, Time now);
  void Answer(const HolderId& id, Peer& peer, const LeaderView& view,
              Entries& entries, Time now);

  std::map<HolderId, Peer> peers_;
  std::map<WorkerId, Route> routes_;
  ExchangeCounters counters_;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_EXCHANGES_H_

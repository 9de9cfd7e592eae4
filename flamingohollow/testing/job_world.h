// A small world round the job controller, for tests of faults.
//
// Callers, entries, control nodes and workers as plain structs, joined by a
// queue of messages in time order; everything runs on one simulated clock. The
// controller and the lease table are the real ones. The fakes keep the
// contracts that the real parts around them keep: the log commits in order and
// only the present leader's proposals; an entry renews leases only while it
// has authority, counted from when it asked; exclusions come with authority.
//
// Each hop of the job under test can be met by a fault: see `Trigger`.

#ifndef FLAMINGOHOLLOW_TESTING_JOB_WORLD_H_
#define FLAMINGOHOLLOW_TESTING_JOB_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/job.h"
#include "flamingohollow/lease_table.h"

namespace flamingohollow {

// The steps of the path.
enum class Hop : std::uint8_t {
  kSubmit,
  kFilter,
  kHandOver,
  kRecord,
  kPrepare,
  kGrant,
  kMayRun,
  kStart,
  kRun,
  kPart,
  kAssemble,
  kAnswer,
  kNone,
};

enum class Role : std::uint8_t { kCaller, kEntry, kControl, kWorker };

struct Node {
  Role role_ = Role::kCaller;
  int index_ = 0;

  friend auto operator<=>(const Node&, const Node&) = default;
};

// What becomes of one message: each delay is one delivery of it.
struct Fate {
  std::vector<Duration> delays_ = {Duration(2)};
};

struct NodeState {
  bool alive_ = true;
  Time frozen_from_;
  Time frozen_until_;
  // Of its process; messages to an earlier life are lost.
  int life_ = 0;
};

// One run of a task, as its worker saw it.
struct Run {
  LeaseKey key_;
  int worker_ = 0;
  Time began_at_;
  std::optional<Time> ended_at_;
  bool finished_ = false;
};

struct WorldWorker {
  LeaseTable table_;
  int entry_ = 0;
  Time announced_at_;
  Time answered_at_;
  std::uint64_t reported_changes_ = 0;
  std::map<LeaseKey, std::size_t> running_;  // into World::runs_
  bool fails_ = false;
  // Commands don't reach it, answers to its announcements do.
  bool deaf_ = false;
};

struct WorldEntry {
  int control_ = 0;
  Term term_;
  Time authority_until_;
  std::uint64_t exclusions_version_ = 0;
  std::vector<JobId> exclusions_;
  std::map<WorkerId, WorkerReport> reports_;
  std::map<WorkerId, std::uint64_t> acknowledged_;
  std::set<WorkerId> alive_;
  std::optional<Time> asked_at_;
};

struct WorldLeader {
  int control_ = 0;
  Term term_;
  JobRecords records_;
  JobControllerPtr controller_;
  std::uint64_t exclusions_version_ = 0;
  std::set<JobId> exclusions_;
  std::map<int, std::vector<WorkerCommand>> outbox_;
  std::map<WorkerId, int> entry_of_;
  // When it last was surely the leader.
  Time confirmed_at_;
  bool dead_ = false;
  // Since when it runs without being the leader any more.
  std::optional<Time> doubtful_since_;
};

struct WorldRequest {
  JobSpec spec_;
  int entry_ = 0;
  Time asked_at_;
  // From here on each resend asks to cancel.
  bool cancel_ = false;
  std::optional<JobView> last_;
};

struct Append {
  Command command_;
  Term term_;
};

struct World {
  explicit World(std::uint64_t seed = 1);

  // Events in time order.
  struct Event {
    Time at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;
    friend bool operator>(const Event& a, const Event& b) {
      return std::pair(a.at_, a.order_) > std::pair(b.at_, b.order_);
    }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  Time now_ = Time(1'000'000);

  JobControllerOptions options_;
  Table table_;
  std::map<Node, NodeState> nodes_;
  // Messages from the first to the second are lost.
  std::set<std::pair<Node, Node>> cut_;
  std::vector<WorldEntry> entries_;
  std::vector<WorldWorker> workers_;
  std::vector<std::unique_ptr<WorldLeader>> leaders_;
  std::vector<WorldRequest> requests_;

  // The replicated log.
  std::vector<Command> log_;
  std::vector<Append> appends_;
  Term term_;
  std::optional<Time> leaderless_since_;
  // An append of a dead leader reaches its successor.
  bool keeps_appends_ = true;
  // Leaders that died, or were cut off, by control node.
  int elections_ = 0;

  std::vector<Run> runs_;
  // Prepares refused for want of accelerators or slots.
  int capacity_refusals_ = 0;
  std::vector<std::string> violations_;
  // Some worker fails its tasks, at least for a time.
  bool may_fail_ = false;
  Duration run_time_ = Duration(2000);

  // Called at the first passing of the hop by request 0's job.
  struct Trigger {
    Hop hop_ = Hop::kNone;
    std::function<Fate(Node from, Node to)> act_;
  };
  Trigger trigger_;
  // Called for every message; the seeded test's faults.
  std::function<Fate(Node from, Node to)> fate_;
  std::optional<JobId> target_;
};

void At(World& world, Duration delay, std::function<void()> run);
void RunFor(World& world, Duration duration);

void AddRequest(World& world, const JobSpec& spec);

// Faults. A killed node starts again after `down`.
void Kill(World& world, Node node, Duration down);
void Freeze(World& world, Node node, Duration duration);
// Both ways, or only what comes `from` it or goes `to` it.
void Cut(World& world, Node node, bool from, bool to, Duration duration);
void CutFromControl(World& world, Node entry, Duration duration);
// The node of the present leader, or of the last one.
Node LeaderNode(const World& world);
WorldLeader* PresentLeader(World& world);
// Checks everything that must hold, at the end of a run.
std::vector<std::string> CheckWorld(World& world);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_JOB_WORLD_H_

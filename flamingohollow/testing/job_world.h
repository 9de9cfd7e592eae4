// A simulation of the job controller's environment, for fault tests.
//
// Callers, entries, control nodes and workers are plain structs. They exchange
// messages through a queue in time order on one simulated clock. The controller
// and the lease table are the real ones. The fakes behave like the components
// that they replace: the log commits in order and only proposals of the
// current leader; an entry renews leases only while it has authority, counted
// from the time of its request; exclusions are sent together with authority.
//
// A fault can be injected at each hop of the job under test: see `Trigger`.

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

// The steps (hops) on a request's path, in order.
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

// How one message is delivered: one copy after each delay. With an empty list
// the message is lost.
struct MessageDelivery {
  std::vector<Duration> delays_ = {Duration(2)};
};

struct NodeState {
  bool alive_ = true;
  Time frozen_from_;
  Time frozen_until_;
  // The incarnation of the node's process; messages to an earlier one are lost.
  int incarnation_ = 0;
};

// One run of a task at its worker.
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
  std::map<LeaseKey, std::size_t> running_;  // indices into World::runs_
  bool fails_ = false;
  // Commands to it are lost; answers to its announcements arrive.
  bool drops_commands_ = false;
};

struct WorldEntry {
  int control_ = 0;
  Term term_;
  Time authority_until_;
  std::uint64_t exclusions_version_ = 0;
  std::vector<JobId> exclusions_;
  std::map<WorkerId, WorkerReport> reports_;
  // The sequence number of the newest report that the leader acknowledged.
  std::map<WorkerId, std::uint64_t> acknowledged_;
  // Workers that have reported since the last request to the control node.
  std::set<WorkerId> alive_;
  // When the oldest unanswered request to the control node was sent.
  std::optional<Time> asked_at_;
};

struct WorldLeader {
  int control_ = 0;
  Term term_;
  JobRecords records_;
  JobControllerPtr controller_;
  std::uint64_t exclusions_version_ = 0;
  std::set<JobId> exclusions_;
  // Commands for the next reply to each entry.
  std::map<int, std::vector<WorkerCommand>> outbox_;
  // The entry that last forwarded a message of the worker.
  std::map<WorkerId, int> entry_of_;
  // When it was last confirmed as leader.
  Time confirmed_at_;
  bool dead_ = false;
  // When it was first seen running after it had lost the leadership.
  std::optional<Time> deposed_since_;
};

struct WorldRequest {
  JobSpec spec_;
  int entry_ = 0;
  // When the request was last sent.
  Time asked_at_;
  // If set, each further send of the request asks to cancel the job.
  bool cancel_ = false;
  std::optional<JobView> last_view_;
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
  // Links on which messages from the first node to the second are lost.
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
  // Uncommitted appends of a dead leader reach its successor.
  bool keeps_appends_ = true;
  // Number of elections so far.
  int elections_ = 0;

  std::vector<Run> runs_;
  // Prepares refused because accelerators were allocated twice.
  int double_allocations_ = 0;
  std::vector<std::string> violations_;
  // Some worker fails its tasks, at least temporarily.
  bool may_fail_ = false;
  Duration run_time_ = Duration(2000);

  // `act_` is called when request 0's job first passes the hop.
  struct Trigger {
    Hop hop_ = Hop::kNone;
    std::function<MessageDelivery(Node from, Node to)> act_;
  };
  Trigger trigger_;
  // If set, called for every message; the seeded test injects its faults here.
  std::function<MessageDelivery(Node from, Node to)> delivery_hook_;
  std::optional<JobId> target_;
};

void At(World& world, Duration delay, std::function<void()> run);
void RunFor(World& world, Duration duration);

void AddRequest(World& world, const JobSpec& spec);
// Orders the evacuation of the failure domain of all workers, or takes it back.
// The order is lost if there is no leader.
void Evacuate(World& world, bool evacuate);

// Faults. A killed node restarts after `down`.
void Kill(World& world, Node node, Duration down);
void Freeze(World& world, Node node, Duration duration);
// Cuts the messages that come `from` the node, those that go `to` it, or both.
void Cut(World& world, Node node, bool from, bool to, Duration duration);
void CutFromControl(World& world, Node entry, Duration duration);
// The node of the newest leader, which may be dead.
Node LeaderNode(const World& world);
// Null when the newest leader is dead.
WorldLeader* CurrentLeader(World& world);
// Checks all invariants at the end of a run and returns the violations.
std::vector<std::string> CheckWorld(World& world);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_JOB_WORLD_H_

// Voters in simulated time: the real consensus step over the real data folder
// code, on in-memory disks, with messages that are lost, repeated, delayed and
// blocked by partitions. All randomness comes from one seed.
//
// Every step is checked against a plain oracle; the first violation is kept in
// `violation()`:
// - all voters apply the same command at an index, a command has only
//   one index, and acknowledged commands are present;
// - a term has at most one leader, and a VoterId votes once per term;
// - a process's commit and applied indices never decrease;
// - a confirmed read sees everything acknowledged before it was requested;
// - a leader that hears from no majority steps down.

#ifndef FLAMINGOHOLLOW_TESTING_RAFT_SIM_H_
#define FLAMINGOHOLLOW_TESTING_RAFT_SIM_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/raft.h"
#include "flamingohollow/storage.h"
#include "flamingohollow/testing/fake_disk.h"

namespace flamingohollow::testing {

struct SimOptions {
  std::uint64_t seed_ = 1;
  std::size_t founders_ = 3;
  // A snapshot is taken after this many applied entries.
  std::uint64_t snapshot_entries_ = 20;
  // Probabilities per message, in thousandths.
  std::uint64_t lose_ = 0;
  std::uint64_t repeat_ = 0;
  std::uint64_t delay_long_ = 0;
  std::size_t chunk_bytes_ = 100;
  // See RaftConfig.
  std::size_t wanted_voters_ = 0;
};

struct SimNode {
  NodeName name_;
  std::string address_;
  std::shared_ptr<FakeFiles> files_;
  bool up_ = false;
  // Never starts again.
  bool gone_ = false;
  Time started_at_;
  Time frozen_until_;
  // Valid while the node is up.
  std::unique_ptr<Storage> storage_;
  RaftState state_;
  struct Batch {
    StorageBatch batch_;
    std::vector<Message> messages_;
  };
  std::deque<Batch> disk_queue_;
  // The disk completes no operation before this time.
  Time disk_busy_until_;
  // Commands applied, by index.
  std::map<LogIndex, std::string> applied_;
  // Oracle state: indices that must never decrease, and when each voter was
  // last heard from.
  LogIndex commit_;
  std::map<VoterId, Time> last_heard_;
  Time leader_since_;
};

class RaftSim {
 public:
  explicit RaftSim(const SimOptions& options);

  // Advances time, 10 ms per step.
  void Run(Duration span);
  // Runs until `done` or the span is over; false for the latter.
  template <typename Done>
  bool RunUntil(Duration span, Done done) {
    const Time end = now_ + span;
    while (!done()) {
      if (now_ >= end) return false;
      Run(kStep);
    }
    return true;
  }
  static constexpr Duration kStep = Duration(10);

  // Operations on node `i`.
  void Start(std::size_t i);
  void Crash(std::size_t i);
  // Deletes the data folder; allowed at any time, also while others are down.
  void Wipe(std::size_t i);
  // Takes the machine away for good.
  void TakeAway(std::size_t i);
  // Adds a blank process under a name; returns its node index.
  std::size_t AddNode(const NodeName& name, const std::string& address);
  void InjectEvent(std::size_t i, const RaftEvent& event);
  // False when node `i` refuses the proposal.
  bool Propose(std::size_t i);
  void Read(std::size_t i);
  // Drops messages from `a` to `b` until `until`.
  void BlockLink(std::size_t a, std::size_t b, Time until);
  void Isolate(std::size_t i, Time until);
  void HealAll();
  // Whether a message from `a` to `b` that is sent now passes.
  bool Reaches(std::size_t a, std::size_t b) const;

  // Forms the group from node 0 and waits for a leader.
  bool Form();
  // The ready leader of the highest term that is up and not frozen; nullopt if
  // there is none.
  std::optional<std::size_t> Leader() const;
  // Whether the group survives the loss of node `i`'s folder: a majority of
  // the newest committed voters, and of those of any pending change, keep
  // theirs.
  bool MayWipe(std::size_t i) const;
  // Whether a majority of `membership` has its data folder, not counting node
  // `without`.
  bool KeepsQuorum(const Membership& membership, std::size_t without) const;
  // All members are up to date and are voters.
  bool Converged() const;

  std::uint64_t Random(std::uint64_t below);
  // Whether node `i` is up and not frozen.
  bool IsActive(std::size_t i) const { return Active(nodes_[i]); }
  Time now() const { return now_; }
  std::vector<SimNode>& nodes() { return nodes_; }
  const std::vector<SimNode>& nodes() const { return nodes_; }
  SimNode& node(std::size_t i) { return nodes_[i]; }
  const std::string& violation() const { return violation_; }
  // Each node's view, for the message of a failed test.
  std::string Describe() const;
  std::size_t acknowledged() const { return acknowledged_.size(); }
  LogIndex committed() const;
  void set_options(const SimOptions& options) { options_ = options; }

 private:
  struct InFlight {
    Time at_;
    std::string from_address_;
    Message message_;
  };
  struct PendingProposal {
    std::size_t node_ = 0;
    Term term_;
    std::string command_;
  };

  bool Active(const SimNode& node) const;
  bool Survives(const Membership& membership, std::size_t without) const;
  void StepNode(SimNode* node, const RaftEvent& event);
  void ExecuteActions(SimNode* node, Actions actions);
  void SendMessages(SimNode* node, const std::vector<Message>& messages);
  void DeliverDue();
  void RunDisk(SimNode* node);
  void Apply(SimNode* node);
  void Restore(SimNode* node);
  void CheckNode(SimNode* node);
  void CheckMessage(const Message& message);
  void ReportViolation(const std::string& what);

  SimOptions options_;
  std::uint64_t random_;
  Time now_ = Time(1'000'000);
  std::vector<SimNode> nodes_;
  std::vector<InFlight> in_flight_;
  std::map<std::pair<std::string, std::string>, Time> blocked_links_;
  std::uint64_t last_command_ = 0;
  std::uint64_t last_read_ = 0;
  std::uint64_t last_id_ = 0;

  // The oracle.
  std::string violation_;
  std::map<LogIndex, LogEntry> committed_;
  std::map<std::string, LogIndex> command_index_;
  std::map<LogIndex, std::string> acknowledged_;
  std::map<LogIndex, PendingProposal> pending_proposals_;
  std::map<std::uint64_t, LogIndex> reads_;
  std::map<Term, VoterId> leaders_;
  std::map<std::pair<Term, VoterId>, VoterId> votes_;
};

}  // namespace flamingohollow::testing

#endif  // FLAMINGOHOLLOW_TESTING_RAFT_SIM_H_

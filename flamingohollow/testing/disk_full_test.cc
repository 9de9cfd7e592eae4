// Replicas whose disks, in memory, are full one after another, with changes
// proposed all the time, snapshots, leader transfers and restarts.
//
// FLAMINGOHOLLOW_DISK_FULL_RUNS=N makes N runs instead of kRuns, and
// FLAMINGOHOLLOW_SEED=S starts at seed S.

#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingohollow/replica.h"
#include "flamingohollow/testing/fake_disk.h"
#include "flamingohollow/testing/replica_group.h"

namespace flamingohollow::testing {
namespace {

constexpr std::uint64_t kRuns = 4;
constexpr std::size_t kRounds = 6;
constexpr Duration kProposeInterval(20);
// Times for a change, and for all replicas to catch up, once there is room.
constexpr Duration kCommitLimit(4000);
constexpr Duration kCatchUpLimit(6000);
// A leader whose disk is full tries to hand over this often, as a control node
// does.
constexpr Duration kHandOverInterval(400);

std::uint64_t FromEnvironment(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

class DiskFullRun {
 public:
  explicit DiskFullRun(std::uint64_t seed)
      : random_(seed),
        files_(MakeFiles(seed % 2 == 0 ? 3 : 5)),
        group_(
            files_.size(), Options(seed),
            [] { return std::make_unique<RecordingOwner>(); },
            [this](std::size_t node) {
              return std::make_unique<FakeDisk>(files_[node]);
            }) {}

  // Returns what went wrong; empty when all checks passed.
  std::string Run() {
    if (!group_.Form()) return "did not form";
    for (std::size_t round = 0; round < kRounds; ++round) {
      std::string failure = Round(round);
      if (!failure.empty()) return failure;
    }
    for (std::size_t i = 0; i < group_.nodes().size(); ++i) {
      if (!EnsureRuns(i)) return "did not start: " + group_.error();
    }
    const std::size_t before = committed_;
    if (!RunProposing([&] { return committed_ > before; }, kCommitLimit)) {
      return "no change was committed after the last disk had room:" +
             Describe();
    }
    std::string failure = CheckAllCaughtUp();
    if (!failure.empty()) return failure;
    // Nothing that a full disk cut off remains in the folders.
    for (std::size_t i = 0; i < group_.nodes().size(); ++i) group_.Stop(i);
    for (std::size_t i = 0; i < group_.nodes().size(); ++i) {
      if (!EnsureRuns(i)) return "did not start again: " + group_.error();
    }
    return CheckAllCaughtUp();
  }
  std::size_t committed() const { return committed_; }

 private:
  static ReplicaOptions Options(std::uint64_t seed) {
    ReplicaOptions options;
    options.seed_ = seed;
    options.snapshot_log_entries_ = 40;
    options.raft_.keep_entries_ = 10;
    return options;
  }

  static std::vector<std::shared_ptr<FakeFiles>> MakeFiles(std::size_t count) {
    std::vector<std::shared_ptr<FakeFiles>> files(count);
    for (auto& node : files) node = std::make_shared<FakeFiles>();
    return files;
  }

  std::uint64_t Random(std::uint64_t below) {
    random_ += 0x9e3779b97f4a7c15;
    std::uint64_t z = random_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return (z ^ (z >> 31)) % below;
  }

  // Fills one disk for a while; half the time the leader's.
  std::string Round(std::size_t round) {
    std::size_t i = round % group_.nodes().size();
    const ReplicaGroup::Node* leader = group_.Leader();
    if (leader != nullptr && Random(2) == 0) {
      i = static_cast<std::size_t>(leader - group_.nodes().data());
    }
    if (!EnsureRuns(i)) return "did not start: " + group_.error();
    const Duration full(static_cast<std::int64_t>(300 + Random(1200)));
    files_[i]->full_ = true;
    RunProposing(full / 2);
    switch (Random(4)) {
      case 0:
        // The process is killed while its disk is full, or its machine loses
        // power, and starts again.
        group_.Stop(i);
        if (Random(2) == 0) {
          files_[i]->Crash(
              [this](std::uint64_t below) { return Random(below); });
        }
        if (!group_.Start(i)) return "did not start: " + group_.error();
        break;
      case 1: {
        // Another node stops, and starts again in a later round.
        const std::size_t other = Random(group_.nodes().size());
        if (group_.nodes().size() > 3 && other != i) group_.Stop(other);
        break;
      }
      case 2:
        if (group_.Leader() != nullptr) {
          group_.Leader()->replica_->TransferLeadership(
              [](bool, const std::string&) {});
        }
        break;
      default:
        break;
    }
    RunProposing(full / 2);
    files_[i]->full_ = false;
    if (Random(3) == 0) return "";
    for (std::size_t j = 0; j < group_.nodes().size(); ++j) {
      if (!EnsureRuns(j)) return "did not start: " + group_.error();
    }
    RunProposing(Duration(static_cast<std::int64_t>(Random(300))));
    return "";
  }

  bool EnsureRuns(std::size_t i) {
    return group_.nodes()[i].replica_ != nullptr || group_.Start(i);
  }

  void RunProposing(Duration span) {
    RunProposing([] { return false; }, span);
  }
  bool RunProposing(const std::function<bool()>& done, Duration limit) {
    return group_.RunUntil(
        [&] {
          const Time now = MonotonicNow();
          if (now >= next_proposal_) {
            next_proposal_ = now + kProposeInterval;
            Propose();
          }
          HandOverIfFull(now);
          return done();
        },
        limit);
  }

  void Propose() {
    ReplicaGroup::Node* leader = group_.Leader();
    if (leader == nullptr) return;
    std::string command = "c" + std::to_string(++last_command_);
    leader->replica_->Propose(
        command, [this, command](const ProposeResult& result) {
          if (result.outcome_ != ProposeOutcome::kCommitted) return;
          ++committed_;
          acknowledged_.push_back(command);
        });
  }

  void HandOverIfFull(Time now) {
    ReplicaGroup::Node* leader = group_.Leader();
    if (leader == nullptr || now < next_hand_over_) return;
    if (!leader->replica_->Status().disk_full_) return;
    next_hand_over_ = now + kHandOverInterval;
    leader->replica_->TransferLeadership([](bool, const std::string&) {});
  }

  std::string CheckAllCaughtUp() {
    const auto caught_up = [this] {
      const ReplicaGroup::Node* leader = group_.Leader();
      if (leader == nullptr) return false;
      for (const ReplicaGroup::Node& node : group_.nodes()) {
        if (node.owner_->applied_ != leader->owner_->applied_) return false;
      }
      for (const VoterStatus& voter : leader->replica_->Status().voters_) {
        if (voter.match_ < leader->replica_->Status().committed_) return false;
      }
      return true;
    };
    if (!group_.RunUntil(caught_up, kCatchUpLimit)) {
      return "not all caught up:" + Describe();
    }
    std::map<std::string, int> applied;
    for (const std::string& command : group_.nodes()[0].owner_->applied_) {
      if (++applied[command] > 1) return command + " was applied twice";
    }
    for (const std::string& command : acknowledged_) {
      if (applied.count(command) == 0) return command + " was lost";
    }
    for (const ReplicaGroup::Node& node : group_.nodes()) {
      const ReplicaStatus status = node.replica_->Status();
      if (!status.failure_.empty()) return status.failure_;
      if (status.disk_full_) return "a disk with room counts as full";
    }
    return "";
  }

  // Each node's view, for the message of a failed test.
  std::string Describe() const {
    std::string text;
    for (const ReplicaGroup::Node& node : group_.nodes()) {
      const ReplicaStatus status = node.replica_->Status();
      text += '\n' + node.name_ + " term " +
              std::to_string(status.term_.value()) + " committed " +
              std::to_string(status.committed_.value()) + " applied " +
              std::to_string(node.owner_->applied_.size()) +
              (status.is_leader_ ? " leads, voters hold" : "");
      if (!status.is_leader_) continue;
      for (const VoterStatus& voter : status.voters_) {
        text += ' ' + std::to_string(voter.match_.value());
      }
    }
    return text;
  }

  std::uint64_t random_;
  std::uint64_t last_command_ = 0;
  std::size_t committed_ = 0;
  std::vector<std::string> acknowledged_;
  Time next_proposal_;
  Time next_hand_over_;
  // By node.
  const std::vector<std::shared_ptr<FakeFiles>> files_;
  ReplicaGroup group_;
};

TEST_CASE("DiskFull: one disk after another, changes go on and all catch up") {
  const std::uint64_t runs =
      FromEnvironment("FLAMINGOHOLLOW_DISK_FULL_RUNS", kRuns);
  const std::uint64_t first = FromEnvironment("FLAMINGOHOLLOW_SEED", 1);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    CAPTURE(seed);
    DiskFullRun run(seed);
    CHECK(run.Run() == "");
    CHECK(run.committed() > 0);
  }
}

}  // namespace
}  // namespace flamingohollow::testing

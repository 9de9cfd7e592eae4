// Tests of the replica with real folders and disk threads and in-memory
// messages.

#include "flamingohollow/replica.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "flamingohollow/peer_codec.h"
#include "flamingohollow/testing/replica_group.h"

namespace flamingohollow::testing {
namespace {

std::optional<ProposeOutcome> Propose(ReplicaGroup* group,
                                      const std::string& command) {
  std::optional<ProposeOutcome> outcome;
  group->Leader()->replica_->Propose(
      command,
      [&outcome](const ProposeResult& result) { outcome = result.outcome_; });
  group->RunUntil([&outcome] { return outcome.has_value(); });
  return outcome;
}

bool AllApplied(ReplicaGroup* group, const std::vector<std::string>& commands) {
  return group->RunUntil([&] {
    for (const ReplicaGroup::Node& node : group->nodes()) {
      if (node.replica_ == nullptr) continue;
      if (node.owner_->applied_ != commands) return false;
    }
    return true;
  });
}

TEST_CASE("a group of one and of three forms, commits and restarts") {
  for (const std::size_t size : {1, 3}) {
    CAPTURE(size);
    ReplicaGroup group(size);
    REQUIRE(group.Form());
    CHECK(Propose(&group, "a") == ProposeOutcome::kCommitted);
    CHECK(Propose(&group, "b") == ProposeOutcome::kCommitted);
    CHECK(AllApplied(&group, {"a", "b"}));
    for (std::size_t i = 0; i < size; ++i) group.Stop(i);
    for (std::size_t i = 0; i < size; ++i) REQUIRE(group.Start(i));
    REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
    CHECK(Propose(&group, "c") == ProposeOutcome::kCommitted);
    CHECK(AllApplied(&group, {"a", "b", "c"}));
  }
}

// Returns the newest message that brings entries, if any.
std::optional<Message> FindEntries(const std::vector<std::string>& messages) {
  std::optional<Message> newest;
  for (const std::string& bytes : messages) {
    const std::optional<Message> message = DecodeMessage(bytes);
    if (!message.has_value()) continue;
    const auto* append = std::get_if<AppendRequest>(&message->body_);
    if (append != nullptr && !append->entries_.empty()) newest = message;
  }
  return newest;
}

// The owner would otherwise act, as the leader, on what the new one committed.
TEST_CASE("a suspended leader resigns before it applies a new leader's log") {
  ReplicaGroup group(3);
  REQUIRE(group.Form());
  REQUIRE(Propose(&group, "a") == ProposeOutcome::kCommitted);
  ReplicaGroup::Node& old = *group.Leader();
  std::optional<ProposeOutcome> outcome;
  old.replica_->Propose("b", [&outcome](const ProposeResult& result) {
    outcome = result.outcome_;
  });
  group.Suspend(old);
  // The new leader sends its entries before they are committed. Once they are,
  // it would send them again, but only to a member that answers.
  std::optional<Message> resent;
  REQUIRE(group.RunUntil([&] {
    resent = FindEntries(old.waiting_);
    if (!resent.has_value() || group.Leader() == nullptr) return false;
    const ReplicaStatus status = group.Leader()->replica_->Status();
    auto& append = std::get<AppendRequest>(resent->body_);
    append.commit_ = append.entries_.back().index_;
    return resent->term_ == status.term_ && append.commit_ <= status.committed_;
  }));
  old.waiting_ = {EncodeMessage(*resent)};
  group.Resume(old);
  CHECK(AllApplied(&group, {"a", "b"}));
  CHECK(outcome.has_value());
  CHECK(old.owner_->applied_as_leader_ == std::vector<std::string>{"a"});
}

TEST_CASE("a group has no leader until formed and refuses a second init") {
  ReplicaGroup group(3);
  CHECK_FALSE(group.RunUntil([&] { return group.Leader() != nullptr; },
                             Duration(1500)));
  REQUIRE(group.Form());
  std::optional<bool> second;
  group.nodes()[1].replica_->Init(
      [&second](bool ok, const std::string&) { second = ok; });
  REQUIRE(group.RunUntil([&] { return second.has_value(); }));
  CHECK_FALSE(*second);
}

TEST_CASE("a wiped voter comes back as a learner and is promoted") {
  ReplicaGroup group(3);
  REQUIRE(group.Form());
  CHECK(Propose(&group, "a") == ProposeOutcome::kCommitted);
  std::size_t wiped = 0;
  while (&group.nodes()[wiped] == group.Leader()) ++wiped;
  const auto id_of_wiped = [&group, &wiped] {
    for (const VoterStatus& voter :
         group.Leader()->replica_->Status().voters_) {
      if (voter.name_.value() == group.nodes()[wiped].name_) return voter.id_;
    }
    return VoterId();
  };
  const VoterId former = id_of_wiped();
  group.Stop(wiped);
  group.Wipe(wiped);
  REQUIRE(group.Start(wiped));
  const auto promoted = [&] {
    if (group.Leader() == nullptr) return false;
    const ReplicaStatus status = group.Leader()->replica_->Status();
    for (const VoterStatus& voter : status.voters_) {
      if (voter.name_.value() == group.nodes()[wiped].name_) {
        return voter.id_ != former && !voter.learner_ &&
               voter.match_ == status.committed_;
      }
    }
    return false;
  };
  CHECK(group.RunUntil(promoted));
  CHECK(AllApplied(&group, {"a"}));
}

TEST_CASE("leadership is confirmed, transferred and taken over") {
  ReplicaGroup group(3);
  REQUIRE(group.Form());
  CHECK(Propose(&group, "a") == ProposeOutcome::kCommitted);
  const auto call = [&group](auto method) {
    std::optional<bool> answer;
    (group.Leader()->replica_.get()->*method)(
        [&answer](bool ok, const std::string&) { answer = ok; });
    group.RunUntil([&answer] { return answer.has_value(); });
    return answer.value_or(false);
  };
  CHECK(call(&Replica::ConfirmLeadership));
  const ReplicaGroup::Node* old = group.Leader();
  CHECK(call(&Replica::TransferLeadership));
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  CHECK(group.Leader() != old);
  for (std::size_t i = 0; i < 3; ++i) {
    if (&group.nodes()[i] != group.Leader()) continue;
    group.Stop(i);
    break;
  }
  REQUIRE(group.RunUntil([&] { return group.Leader() != nullptr; }));
  CHECK(Propose(&group, "b") == ProposeOutcome::kCommitted);
}

// Encoding a snapshot takes longer than a leader keeps leading without answers.
class SlowSnapshotOwner : public RecordingOwner {
 public:
  std::string EncodeSnapshot() override {
    if (leads_) std::this_thread::sleep_for(std::chrono::milliseconds(800));
    return RecordingOwner::EncodeSnapshot();
  }
};

TEST_CASE("requests are answered when a slow snapshot ends the leadership") {
  ReplicaOptions options;
  options.snapshot_log_entries_ = 4;
  ReplicaGroup group(3, options,
                     [] { return std::make_unique<SlowSnapshotOwner>(); });
  REQUIRE(group.Form());
  ReplicaGroup::Node& old = *group.Leader();
  std::size_t asked = 1;
  std::size_t answered = 0;
  // Stays pending, as no voter answers at this address.
  old.replica_->AddVoter(NodeName("control-9"), "nowhere",
                         [&answered](bool, const std::string&) { ++answered; });
  for (const std::string command : {"a", "b", "c", "d"}) {
    old.replica_->Propose(command, [](const ProposeResult&) {});
  }
  // Some reads are pending whenever the snapshot is taken.
  REQUIRE(group.RunUntil([&] {
    ++asked;
    old.replica_->ConfirmLeadership(
        [&answered](bool, const std::string&) { ++answered; });
    return !old.owner_->leads_;
  }));
  CHECK(group.RunUntil([&] { return answered == asked; }));
  CHECK(answered == asked);
}

TEST_CASE("a second process can't open the folder") {
  ReplicaGroup group(1);
  RecordingOwner owner;
  ReplicaOptions options;
  options.name_ = NodeName("control-0");
  options.data_folder_ = group.Folder(0);
  std::string message;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(MakeReplica(
            options, &owner, [](const std::string&, const std::string&) {},
            [](const std::function<void()>&) {}, MonotonicNow()));
        return {};
      },
      [&](const ReplicaError& error) { message = error.message_; },
      [&] { message = "unknown"; });
  CHECK(message.find("another process uses the folder") != std::string::npos);
}

}  // namespace
}  // namespace flamingohollow::testing

// Tests which nodes vote, and which control node a client contacts.

#include "flamingohollow/membership_plan.h"

#include <doctest/doctest.h>

#include <string>

#include "flamingohollow/control_finder.h"

namespace flamingohollow {
namespace {

constexpr Time kNow(100'000);
const NodeName kLeader("n1");

struct Group {
  std::vector<PlannedMember> members_;
  std::map<NodeName, ControlNode> nodes_;

  void Voter(const std::string& name, Duration silent = Duration(0)) {
    members_.push_back({.name_ = NodeName(name),
                        .learner_ = false,
                        .holds_log_ = true,
                        .answered_ = kNow - silent});
  }
  void Learner(const std::string& name, bool holds_log,
               Duration silent = Duration(0)) {
    members_.push_back({.name_ = NodeName(name),
                        .learner_ = true,
                        .holds_log_ = holds_log,
                        .answered_ = kNow - silent});
  }
  void Standby(const std::string& name, Time heard, Time tried = Time()) {
    nodes_[NodeName(name)] = {name + ":1", heard, false, tried};
  }
  std::optional<MembershipChange> Plan(std::size_t wanted) const {
    return PlanMembership(members_, nodes_, kLeader, wanted, kNow);
  }
};

constexpr Duration kSilent = kReplaceVoterAfter + Duration(1);

Group ThreeVoters(Duration third_silent = Duration(0)) {
  Group group;
  group.Voter("n1");
  group.Voter("n2");
  group.Voter("n3", third_silent);
  return group;
}

TEST_CASE("a group with too few voters adds a standby node") {
  Group group = ThreeVoters();
  CHECK_FALSE(group.Plan(5).has_value());
  group.Standby("n4", kNow);
  CHECK_EQ(group.Plan(5)->add_, NodeName("n4"));
}

TEST_CASE("a standby node joins a full group, to be ready before a loss") {
  Group group = ThreeVoters();
  group.Standby("n4", kNow);
  CHECK_EQ(group.Plan(3)->add_, NodeName("n4"));
  group.Learner("n4", true);
  CHECK_FALSE(group.Plan(3).has_value());
}

TEST_CASE("a node that went silent is not a standby") {
  Group group = ThreeVoters();
  group.Standby("n4", kNow - kStandbyTimeout - Duration(1));
  CHECK_FALSE(group.Plan(5).has_value());
}

// Guards against a node that can't join keeping out the others for ever.
TEST_CASE("standby nodes are tried in turn") {
  Group group = ThreeVoters();
  group.Standby("n4", kNow, kNow - Duration(10));
  group.Standby("n5", kNow, kNow - Duration(20));
  CHECK_EQ(group.Plan(3)->add_, NodeName("n5"));
  group.Standby("n5", kNow, kNow);
  CHECK_EQ(group.Plan(3)->add_, NodeName("n4"));
}

// Guards against the loss of two disks soon after a replacement: the voter that
// is gone must not count any more once its successor holds everything.
TEST_CASE("a silent voter is removed once its successor is ready") {
  Group group = ThreeVoters(kSilent);
  CHECK_FALSE(group.Plan(3).has_value());
  group.Standby("n4", kNow);
  CHECK_EQ(group.Plan(3)->add_, NodeName("n4"));
  group.Learner("n4", false);
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_.back().holds_log_ = true;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n3"));
}

TEST_CASE("a silent learner replaces no voter and is forgotten in the end") {
  Group group = ThreeVoters(kSilent);
  group.Learner("n4", true, kLearnerTimeout + Duration(1));
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_.back().answered_ = kNow - kForgetLearnerAfter - Duration(1);
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n4"));
}

// Guards against voters that are lost in series: a learner that isn't promoted
// while a voter is silent must not block the next change.
TEST_CASE("the longest silent voter is removed first, one for each learner") {
  Group group;
  for (const char* name : {"n1", "n2", "n3"}) group.Voter(name);
  group.Voter("n4", kSilent);
  group.Voter("n5", kSilent + Duration(1));
  group.Learner("n6", true);
  group.Learner("n7", true);
  CHECK_EQ(group.Plan(5)->remove_, NodeName("n5"));
  std::erase_if(group.members_,
                [](const auto& m) { return m.name_ == NodeName("n5"); });
  // The learner is promoted first.
  CHECK_FALSE(group.Plan(5).has_value());
  group.members_[4].learner_ = false;
  CHECK_EQ(group.Plan(5)->remove_, NodeName("n4"));
}

TEST_CASE("a voter that is about to stop is replaced at once, if it can be") {
  Group group = ThreeVoters();
  group.Standby("n3", kNow);
  group.nodes_[NodeName("n3")].leaving_ = true;
  CHECK_FALSE(group.Plan(3).has_value());
  group.Learner("n4", true);
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n3"));
  group.members_.erase(group.members_.begin() + 2);
  group.members_.back().learner_ = false;
  // It joins again only if it has started again.
  CHECK_FALSE(group.Plan(3).has_value());
  group.nodes_[NodeName("n3")].leaving_ = false;
  CHECK_EQ(group.Plan(3)->add_, NodeName("n3"));
}

// Guards against a change that no majority can commit: it is refused again and
// again, and nobody is replaced.
TEST_CASE("a voter that leaves and is needed is passed over for a lost one") {
  Group group = ThreeVoters();
  group.Standby("n2", kNow);
  group.nodes_[NodeName("n2")].leaving_ = true;
  group.Learner("n4", true);
  group.members_[2].answered_ = kNow - kLearnerTimeout - Duration(1);
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_[2].answered_ = kNow - kSilent;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n3"));
  group.members_[2].answered_ = kNow;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n2"));
}

// Guards against a lost voter that isn't replaced for long because the leader
// changes meanwhile.
TEST_CASE("a voter that never answered a new leader is replaced sooner") {
  Group group = ThreeVoters(kReplaceUnheardAfter + Duration(1));
  group.Learner("n4", true);
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_[2].unheard_ = true;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n3"));
  group.members_[2].answered_ = kNow - kReplaceUnheardAfter;
  CHECK_FALSE(group.Plan(3).has_value());
}

// Guards against a new leader that removes a voter whose answers come late in
// place of one that is lost.
TEST_CASE("of several voters that a new leader hasn't heard none goes early") {
  Group group = ThreeVoters(kReplaceUnheardAfter + Duration(1));
  group.Voter("n4");
  group.Voter("n5");
  group.Learner("n6", true);
  group.members_[2].unheard_ = true;
  group.members_[3].unheard_ = true;
  group.members_[3].answered_ = group.members_[2].answered_;
  CHECK_FALSE(group.Plan(5).has_value());
  group.members_[3].answered_ = kNow;
  group.members_[3].unheard_ = false;
  CHECK_EQ(group.Plan(5)->remove_, NodeName("n3"));
}

// Guards against a leader that removes a voter that works, beside one that is
// lost and has not been silent for long.
TEST_CASE("a surplus voter is removed only while all voters answer") {
  Group group = ThreeVoters();
  group.Voter("n4");
  group.members_[2].unheard_ = true;
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_[2].unheard_ = false;
  group.members_[2].answered_ = kNow - kLearnerTimeout - Duration(1);
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_[2].answered_ = kNow;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n2"));
}

TEST_CASE("a voter that is silent only briefly is kept") {
  Group group = ThreeVoters(Duration(1000));
  group.Learner("n4", true);
  CHECK_FALSE(group.Plan(3).has_value());
}

TEST_CASE("a voter without a successor is kept however long it is silent") {
  Group group = ThreeVoters(Duration(60'000));
  CHECK_FALSE(group.Plan(3).has_value());
}

TEST_CASE(
    "a group with too many voters removes a silent one, else a follower") {
  Group group = ThreeVoters(kSilent);
  group.Voter("n4");
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n3"));
  group.members_[2].answered_ = kNow;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n2"));
}

GraphReply OkReply(std::uint64_t term) {
  GraphReply reply;
  reply.outcome_ = GraphOutcome::kOk;
  reply.term_ = Term(term);
  return reply;
}

GraphReply NotLeaderReply(const std::string& leader) {
  GraphReply reply;
  reply.outcome_ = GraphOutcome::kNotLeader;
  reply.leader_address_ = leader;
  return reply;
}

TEST_CASE("seeds are tried in turn, then the leader that a reply names") {
  ControlFinder finder;
  finder.seeds_ = {"a", "b"};
  CHECK_EQ(NextAddress(finder), "a");
  CHECK_EQ(NextAddress(finder), "b");
  CHECK_FALSE(RecordReply(finder, "b", NotLeaderReply("c")));
  CHECK_EQ(NextAddress(finder), "c");
  CHECK_EQ(NextAddress(finder), "c");
  RecordNoAnswer(finder, "c");
  CHECK_EQ(NextAddress(finder), "a");
}

TEST_CASE("an answer of an older leader is rejected") {
  ControlFinder finder;
  finder.seeds_ = {"a", "b"};
  GraphReply newer = OkReply(5);
  newer.leader_address_ = std::string("b");
  CHECK(RecordReply(finder, "b", newer));
  CHECK_FALSE(RecordReply(finder, "a", OkReply(4)));
  CHECK(RecordReply(finder, "a", OkReply(5)));
}

TEST_CASE("NextOtherAddress returns an address other than the failed one") {
  ControlFinder finder;
  finder.seeds_ = {"a", "b"};
  finder.members_ = {"a", "c"};
  for (int i = 0; i < 5; ++i) CHECK_NE(NextOtherAddress(finder, "a"), "a");
  finder.seeds_ = {"a"};
  finder.members_.clear();
  CHECK_EQ(NextOtherAddress(finder, "a"), "");
}

}  // namespace
}  // namespace flamingohollow

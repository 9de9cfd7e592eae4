// Tests which nodes vote, and which control node a client contacts.

#include "flamingohollow/membership_plan.h"

#include <doctest/doctest.h>

#include <string>

#include "flamingohollow/control_finder.h"

namespace flamingohollow {
namespace {

constexpr Time kNow(100'000);
constexpr Time kLedSince(10'000);
const NodeName kLeader("n1");

struct Group {
  std::vector<PlannedMember> members_;
  std::map<NodeName, ControlNode> nodes_;

  void Member(const std::string& name, Time heard) {
    members_.push_back({NodeName(name), false});
    nodes_[NodeName(name)] = {name + ":1", heard};
  }
  void Standby(const std::string& name, Time heard) {
    nodes_[NodeName(name)] = {name + ":1", heard};
  }
  std::optional<MembershipChange> Plan(std::size_t wanted) const {
    return PlanMembership(members_, nodes_, kLeader, wanted, kLedSince, kNow);
  }
};

Group ThreeMembers(Time third_heard) {
  Group group;
  group.Member("n1", kNow);
  group.Member("n2", kNow);
  group.Member("n3", third_heard);
  return group;
}

TEST_CASE("a group with too few voters adds a standby node") {
  Group group = ThreeMembers(kNow);
  CHECK_FALSE(group.Plan(5).has_value());
  group.Standby("n4", kNow);
  CHECK_EQ(group.Plan(5)->add_, NodeName("n4"));
  CHECK_FALSE(group.Plan(3).has_value());
}

TEST_CASE("a node that went silent is not a standby") {
  Group group = ThreeMembers(kNow);
  group.Standby("n4", kNow - kStandbyTimeout - Duration(1));
  CHECK_FALSE(group.Plan(5).has_value());
}

TEST_CASE("a silent voter is removed after its successor was added") {
  const Time long_ago = kNow - kReplaceVoterAfter - Duration(1);
  Group group = ThreeMembers(long_ago);
  CHECK_FALSE(group.Plan(3).has_value());
  group.Standby("n4", kNow);
  CHECK_EQ(group.Plan(3)->add_, NodeName("n4"));
  group.members_.push_back({NodeName("n4"), true});
  // The silent voter is not removed before its successor votes.
  CHECK_FALSE(group.Plan(3).has_value());
  group.members_.back().learner_ = false;
  CHECK_EQ(group.Plan(3)->remove_, NodeName("n3"));
}

TEST_CASE("a voter that is silent only briefly is kept") {
  Group group = ThreeMembers(kNow - Duration(8000));
  group.Standby("n4", kNow);
  CHECK_FALSE(group.Plan(3).has_value());
}

TEST_CASE("a new leader gives every voter time to be heard") {
  Group group;
  group.Member("n1", kNow);
  group.members_.push_back({NodeName("n2"), false});
  group.Standby("n4", kNow);
  const auto plan = PlanMembership(group.members_, group.nodes_, kLeader, 2,
                                   kNow - Duration(1000), kNow);
  CHECK_FALSE(plan.has_value());
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

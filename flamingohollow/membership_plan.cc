// Plans one membership change at a time.

#include "flamingohollow/membership_plan.h"

#include <algorithm>

namespace flamingohollow {
namespace {

bool IsMember(const std::vector<PlannedMember>& members, const NodeName& name) {
  return std::any_of(
      members.begin(), members.end(),
      [&name](const PlannedMember& member) { return member.name_ == name; });
}

// The standby node that was tried the longest ago, so that one that can't join
// doesn't keep out the others.
std::optional<NodeName> FindStandby(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, Time now) {
  std::optional<NodeName> standby;
  Time oldest;
  for (const auto& [name, node] : nodes) {
    if (IsMember(members, name) || node.leaving_) continue;
    if (now - node.last_heard_ > kStandbyTimeout) continue;
    if (standby.has_value() && node.last_tried_ >= oldest) continue;
    standby = name;
    oldest = node.last_tried_;
  }
  return standby;
}

// The voter, or the learner, that has been silent longest, if for more than
// `limit`.
std::optional<NodeName> FindSilent(const std::vector<PlannedMember>& members,
                                   bool learner, const NodeName& leader,
                                   Duration limit, Time now) {
  std::optional<NodeName> silent;
  Time oldest = now - limit;
  for (const PlannedMember& member : members) {
    if (member.name_ == leader || member.learner_ != learner) continue;
    if (member.answered_ >= oldest) continue;
    oldest = member.answered_;
    silent = member.name_;
  }
  return silent;
}

// The voter to replace: one that is leaving, or the one that has been silent
// longest.
std::optional<NodeName> FindLost(const std::vector<PlannedMember>& members,
                                 const std::map<NodeName, ControlNode>& nodes,
                                 const NodeName& leader, Time now) {
  for (const PlannedMember& member : members) {
    if (member.learner_ || member.name_ == leader) continue;
    const auto node = nodes.find(member.name_);
    if (node != nodes.end() && node->second.leaving_) return member.name_;
  }
  return FindSilent(members, false, leader, kReplaceVoterAfter, now);
}

bool IsReady(const PlannedMember& member, Time now) {
  return member.learner_ && member.holds_log_ &&
         now - member.answered_ <= kLearnerTimeout;
}

std::optional<NodeName> FindFollower(const std::vector<PlannedMember>& members,
                                     const NodeName& leader) {
  for (const PlannedMember& member : members) {
    if (!member.learner_ && member.name_ != leader) return member.name_;
  }
  return std::nullopt;
}

}  // namespace

std::optional<MembershipChange> PlanMembership(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, const NodeName& leader,
    std::size_t wanted_voters, Time now) {
  const auto learners = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const PlannedMember& m) { return m.learner_; }));
  const std::size_t voters = members.size() - learners;
  const bool ready = std::any_of(
      members.begin(), members.end(),
      [now](const PlannedMember& member) { return IsReady(member, now); });
  const auto lost = FindLost(members, nodes, leader, now);
  // With fewer voters than wanted, the learner is promoted without a removal.
  if (lost.has_value() && ready && voters >= wanted_voters) {
    return MembershipChange{std::nullopt, lost};
  }
  if (voters > wanted_voters) {
    const auto follower =
        lost.has_value() ? lost : FindFollower(members, leader);
    if (follower.has_value()) return MembershipChange{std::nullopt, follower};
  }
  const auto lost_learner =
      FindSilent(members, true, leader, kForgetLearnerAfter, now);
  if (lost_learner.has_value()) {
    return MembershipChange{std::nullopt, lost_learner};
  }
  const auto standby = FindStandby(members, nodes, now);
  if (standby.has_value() && learners < wanted_voters) {
    return MembershipChange{standby, std::nullopt};
  }
  return std::nullopt;
}

}  // namespace flamingohollow

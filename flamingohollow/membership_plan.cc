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

bool Answers(const PlannedMember& member, const NodeName& leader, Time now) {
  return member.name_ == leader ||
         (!member.unheard_ && now - member.answered_ <= kLearnerTimeout);
}

// The voter that has been silent longest, if for long enough. While several
// don't answer a new leader, it can't tell which one has been silent longest,
// so the shorter limit doesn't hold.
std::optional<NodeName> FindSilentVoter(
    const std::vector<PlannedMember>& members, const NodeName& leader,
    Time now) {
  const auto unanswering = std::count_if(
      members.begin(), members.end(), [&](const PlannedMember& member) {
        return !member.learner_ && !Answers(member, leader, now);
      });
  std::optional<NodeName> silent;
  Time oldest = now;
  for (const PlannedMember& member : members) {
    if (member.name_ == leader || member.learner_) continue;
    const bool only_unheard = member.unheard_ && unanswering == 1;
    const Duration limit =
        only_unheard ? kReplaceUnheardAfter : kReplaceVoterAfter;
    if (now - member.answered_ <= limit || member.answered_ >= oldest) continue;
    oldest = member.answered_;
    silent = member.name_;
  }
  return silent;
}

// The learner that has been silent longest, if for too long.
std::optional<NodeName> FindSilentLearner(
    const std::vector<PlannedMember>& members, Time now) {
  std::optional<NodeName> silent;
  Time oldest = now - kForgetLearnerAfter;
  for (const PlannedMember& member : members) {
    if (!member.learner_ || member.answered_ >= oldest) continue;
    oldest = member.answered_;
    silent = member.name_;
  }
  return silent;
}

// Whether the other voters can go on without this one.
bool CanRemove(const std::vector<PlannedMember>& members, const NodeName& name,
               const NodeName& leader, Time now) {
  std::size_t others = 0;
  std::size_t answering = 0;
  for (const PlannedMember& member : members) {
    if (member.learner_ || member.name_ == name) continue;
    ++others;
    if (Answers(member, leader, now)) ++answering;
  }
  return answering > others / 2;
}

// The voter to replace: one that is leaving, or the one that has been silent
// longest. One that is leaving and still needed is passed over for one that is
// lost already.
std::optional<NodeName> FindLost(const std::vector<PlannedMember>& members,
                                 const std::map<NodeName, ControlNode>& nodes,
                                 const NodeName& leader, Time now) {
  for (const PlannedMember& member : members) {
    if (member.learner_ || member.name_ == leader) continue;
    const auto node = nodes.find(member.name_);
    const bool leaving = node != nodes.end() && node->second.leaving_;
    if (leaving && CanRemove(members, member.name_, leader, now)) {
      return member.name_;
    }
  }
  return FindSilentVoter(members, leader, now);
}

bool IsReady(const PlannedMember& member, Time now) {
  return member.learner_ && member.holds_log_ &&
         now - member.answered_ <= kLearnerTimeout;
}

// A voter to remove though all answer; nullopt while one doesn't, as that one
// may be lost.
std::optional<NodeName> FindFollower(const std::vector<PlannedMember>& members,
                                     const NodeName& leader, Time now) {
  for (const PlannedMember& member : members) {
    if (!member.learner_ && !Answers(member, leader, now)) return std::nullopt;
  }
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
        lost.has_value() ? lost : FindFollower(members, leader, now);
    if (follower.has_value()) return MembershipChange{std::nullopt, follower};
  }
  const auto lost_learner = FindSilentLearner(members, now);
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

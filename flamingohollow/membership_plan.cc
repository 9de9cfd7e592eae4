// Plans one membership change at a time from the nodes' announcements.

#include "flamingohollow/membership_plan.h"

#include <algorithm>

namespace flamingohollow {
namespace {

bool IsMember(const std::vector<PlannedMember>& members, const NodeName& name) {
  return std::any_of(
      members.begin(), members.end(),
      [&name](const PlannedMember& member) { return member.name_ == name; });
}

std::optional<NodeName> FindStandby(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, Time now) {
  for (const auto& [name, node] : nodes) {
    if (IsMember(members, name)) continue;
    if (now - node.last_heard_ <= kStandbyTimeout) return name;
  }
  return std::nullopt;
}

// The member that has been silent longest, if for more than kReplaceVoterAfter.
std::optional<NodeName> FindSilent(const std::vector<PlannedMember>& members,
                                   const std::map<NodeName, ControlNode>& nodes,
                                   const NodeName& leader, Time led_since,
                                   Time now) {
  std::optional<NodeName> silent;
  Time oldest = now - kReplaceVoterAfter;
  for (const PlannedMember& member : members) {
    if (member.name_ == leader) continue;
    const auto node = nodes.find(member.name_);
    const Time heard = node == nodes.end()
                           ? led_since
                           : std::max(led_since, node->second.last_heard_);
    if (heard >= oldest) continue;
    oldest = heard;
    silent = member.name_;
  }
  return silent;
}

}  // namespace

std::optional<MembershipChange> PlanMembership(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, const NodeName& leader,
    std::size_t wanted_voters, Time led_since, Time now) {
  const auto learners = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const PlannedMember& m) { return m.learner_; }));
  const auto standby = FindStandby(members, nodes, now);
  const auto silent = FindSilent(members, nodes, leader, led_since, now);
  if (members.size() < wanted_voters && standby.has_value()) {
    return MembershipChange{standby, std::nullopt};
  }
  const bool full = members.size() == wanted_voters;
  if (full && silent.has_value() && standby.has_value()) {
    return MembershipChange{standby, std::nullopt};
  }
  if (members.size() <= wanted_voters || learners > 0) return std::nullopt;
  if (silent.has_value()) return MembershipChange{std::nullopt, silent};
  // The silent voter returned after its replacement was added: removes one
  // follower.
  for (const PlannedMember& member : members) {
    if (member.name_ == leader) continue;
    return MembershipChange{std::nullopt, member.name_};
  }
  return std::nullopt;
}

}  // namespace flamingohollow

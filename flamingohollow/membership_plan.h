// Chooses which control nodes vote. The leader decides without an operator.
//
// PlanMembership is a pure function. To tolerate f failures, the group keeps
// 2f + 1 voters. A standby node is added while voters are missing. A voter that
// has been silent for kReplaceVoterAfter is replaced, but removed only once its
// successor votes, so the group never has fewer voters than before.

#ifndef FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_
#define FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// A voter silent for this long is replaced if a standby node is available.
// Longer than a restart or a usual partition, after which the voter returns
// with its log.
inline constexpr Duration kReplaceVoterAfter = Duration(12000);
// A standby node must have announced itself within this long.
inline constexpr Duration kStandbyTimeout = Duration(2000);

struct ControlNode {
  std::string address_;
  Time last_heard_;
};

struct PlannedMember {
  NodeName name_;
  bool learner_ = false;
};

struct MembershipChange {
  // Exactly one of the two is set.
  std::optional<NodeName> add_;
  std::optional<NodeName> remove_;
};

// `nodes` are all control nodes that ever announced themselves to this leader;
// members that never did are treated as last heard at `led_since`, when this
// node became leader.
std::optional<MembershipChange> PlanMembership(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, const NodeName& leader,
    std::size_t wanted_voters, Time led_since, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_

// Which control nodes vote: decided by the leader, without an operator.
//
// Pure. The group keeps as many voters as the losses that it must bear ask for
// (2f + 1). A node that stands by joins while voters are missing. A voter that
// has been silent for long is replaced, but only once its successor votes, so
// that the group never has fewer voters than before.

#ifndef FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_
#define FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// A voter silent for this long is replaced when a node stands by. Longer than
// a restart or the usual partition, after which it would be back with its log.
inline constexpr Duration kReplaceVoterAfter = Duration(12000);
// A node that stands by must have announced itself within this long.
inline constexpr Duration kStandbyFresh = Duration(2000);

struct ControlNode {
  std::string address_;
  Time heard_;
};

struct PlannedMember {
  NodeName name_;
  bool learner_ = false;
};

struct MembershipChange {
  // One of them is set.
  std::optional<NodeName> add_;
  std::optional<NodeName> remove_;
};

// `nodes` are all control nodes that ever announced themselves to this leader;
// members that never did count as heard at `led_since`.
std::optional<MembershipChange> PlanMembership(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, const NodeName& leader,
    std::size_t wanted_voters, Time led_since, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_

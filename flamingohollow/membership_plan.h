// Chooses which control nodes vote. The leader decides without an operator.
//
// PlanMembership is a pure function. To tolerate f failures, the group keeps
// 2f + 1 voters. Every other node that announces itself joins as a learner,
// which holds the log and counts in no quorum. A voter that stops answering, or
// announces that it stops, is removed once a learner is ready to take its
// place, and the learner is then promoted (PromoteLearner in
// raft_membership.cc). Without such a learner it stays, since it may return
// with its log. docs/design/membership.md explains the order.

#ifndef FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_
#define FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

// A voter silent for this long is replaced if a learner is ready. A voter that
// returns later joins as a learner again.
inline constexpr Duration kReplaceVoterAfter = Duration(1500);
// The same for one that has never answered a new leader: it was silent before,
// and the leader doesn't know for how long.
inline constexpr Duration kReplaceUnheardAfter = Duration(750);
// A learner silent for this long is removed.
inline constexpr Duration kForgetLearnerAfter = Duration(12000);
// A learner that is to replace a voter must have answered within this long.
inline constexpr Duration kLearnerTimeout = Duration(750);
// A standby node must have announced itself within this long. Not longer than
// kReplaceVoterAfter, or a voter that was just removed would be tried.
inline constexpr Duration kStandbyTimeout = kReplaceVoterAfter;

// A node that is about to stop waits at most this long until another voter has
// taken its place: for a leader, if there is none, and for that leader to
// replace a lost voter first.
inline constexpr Duration kLeaveLimit = Duration(2500);

// A control node that has announced itself to this leader.
struct ControlNode {
  std::string address_;
  Time last_heard_;
  // It has announced that it is about to stop.
  bool leaving_ = false;
  // When it was last to be added to the group.
  Time last_tried_;
};

struct PlannedMember {
  NodeName name_;
  bool learner_ = false;
  // It has synced a part of the log.
  bool holds_log_ = false;
  // It has not answered this leader yet.
  bool unheard_ = false;
  // When the leader sent the newest message that the member has answered, or
  // began to lead.
  Time answered_;
};

struct MembershipChange {
  // Exactly one of the two is set.
  std::optional<NodeName> add_;
  std::optional<NodeName> remove_;
};

std::optional<MembershipChange> PlanMembership(
    const std::vector<PlannedMember>& members,
    const std::map<NodeName, ControlNode>& nodes, const NodeName& leader,
    std::size_t wanted_voters, Time now);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_MEMBERSHIP_PLAN_H_

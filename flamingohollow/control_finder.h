// Which control node to ask: the leader when it is known, otherwise the known
// nodes in turn.
//
// Pure. Starts from the seeds of the settings and learns the rest from answers.
// An answer of an older leader than one that has answered before is no answer,
// so that what a caller is told never goes back.

#ifndef FLAMINGOHOLLOW_CONTROL_FINDER_H_
#define FLAMINGOHOLLOW_CONTROL_FINDER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "flamingohollow/graph_messages.h"
#include "flamingohollow/types.h"
#include "util/clock.h"

namespace flamingohollow {

struct ControlFinder {
  // From the settings; may change with them.
  std::vector<std::string> seeds_;
  // As the leader last named them.
  std::vector<std::string> members_;
  // Empty while unknown.
  std::string leader_;
  // The highest of a leader that answered.
  Term term_;
  std::size_t next_ = 0;
};

// Where to ask next.
std::string NextAddress(ControlFinder& finder);
// Another node than `besides`, to pass a call on; empty when there is none.
std::string NextDetour(ControlFinder& finder, const std::string& besides);

// Whether `reply` is a leader's final answer; takes in what it says of others.
bool TakeReply(ControlFinder& finder, const std::string& from,
               const GraphReply& reply);
void TakeSilence(ControlFinder& finder, const std::string& from);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_FINDER_H_

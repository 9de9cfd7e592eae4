// Selects the control process to ask: the leader if known, otherwise the known
// processes in round-robin order.
//
// Pure. Starts from the seed addresses in the settings and learns the others
// from replies. A reply from a leader of an older term than one seen before is
// ignored, so that callers never see state go backwards.

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
  // Addresses from the last reply that listed them.
  std::vector<std::string> members_;
  // Empty while unknown.
  std::string leader_;
  // The highest term of any leader that replied.
  Term term_;
  std::size_t next_ = 0;
};

// The address to ask next; empty if none is known.
std::string NextAddress(ControlFinder& finder);
// A node other than `excluded` to forward a call to; empty if there is none.
std::string NextOtherAddress(ControlFinder& finder,
                             const std::string& excluded);

// Learns leader and members from `reply`. Returns true if it is a leader's
// final reply.
bool RecordReply(ControlFinder& finder, const std::string& from,
                 const GraphReply& reply);
// Forgets `from` as the leader after it failed to answer.
void RecordNoAnswer(ControlFinder& finder, const std::string& from);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_FINDER_H_

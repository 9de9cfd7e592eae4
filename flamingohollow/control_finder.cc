// Tracks the control nodes and their leader.

#include "flamingohollow/control_finder.h"

#include <algorithm>

namespace flamingohollow {
namespace {

std::vector<std::string> Known(const ControlFinder& finder) {
  std::vector<std::string> known = finder.members_;
  for (const std::string& seed : finder.seeds_) {
    if (std::find(known.begin(), known.end(), seed) == known.end()) {
      known.push_back(seed);
    }
  }
  return known;
}

}  // namespace

std::string NextAddress(ControlFinder& finder) {
  if (!finder.leader_.empty()) return finder.leader_;
  const std::vector<std::string> known = Known(finder);
  if (known.empty()) return "";
  return known[finder.next_++ % known.size()];
}

std::string NextOtherAddress(ControlFinder& finder,
                             const std::string& excluded) {
  const std::vector<std::string> known = Known(finder);
  for (std::size_t i = 0; i < known.size(); ++i) {
    const std::string& address = known[finder.next_++ % known.size()];
    if (address != excluded) return address;
  }
  return "";
}

bool RecordReply(ControlFinder& finder, const std::string& from,
                 const GraphReply& reply) {
  if (!reply.control_addresses_.empty()) {
    finder.members_ = reply.control_addresses_;
  }
  if (reply.outcome_ == GraphOutcome::kNotLeader) {
    // A node may still name the leader that just failed to answer.
    const bool itself = reply.leader_address_ == from;
    finder.leader_ = itself ? "" : reply.leader_address_;
    return false;
  }
  if (reply.term_ < finder.term_) {
    if (finder.leader_ == from) finder.leader_.clear();
    return false;
  }
  finder.term_ = reply.term_;
  if (!reply.leader_address_.empty()) finder.leader_ = reply.leader_address_;
  return true;
}

void RecordNoAnswer(ControlFinder& finder, const std::string& from) {
  if (finder.leader_ == from) finder.leader_.clear();
}

}  // namespace flamingohollow

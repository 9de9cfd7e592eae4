// Searches the room without the failed workers first, then all of it.

#include "flamingohollow/job_fits.h"

#include <iterator>

#include "flamingohollow/quarantine.h"

namespace flamingohollow {
namespace {

std::vector<Fit> Search(const PlacementState& state, const NodeSums& room,
                        const FitRequest& request) {
  return FindFits(state.cluster_.tree_, room, state.shapes_,
                  state.options_.policy_, request);
}

NodeSums WithoutWorkers(const Cluster& cluster, NodeSums room,
                        const std::set<WorkerId>& workers) {
  for (const WorkerId& worker : workers) {
    const auto it = cluster.workers_.find(worker);
    if (it == cluster.workers_.end() || !it->second.leaf_) continue;
    const NodeIndex node(it->second.leaf_->value());
    AddToPath(cluster.tree_, room, node, -room[node.value()]);
  }
  return room;
}

}  // namespace

std::vector<Fit> FindJobFits(const PlacementState& state, JobId job,
                             const NodeSums& room, const FitRequest& request) {
  const auto health = state.quarantine_.jobs_.find(job);
  if (health == state.quarantine_.jobs_.end() ||
      health->second.failed_on_.empty()) {
    return Search(state, room, request);
  }
  std::vector<Fit> fits = Search(
      state, WithoutWorkers(state.cluster_, room, health->second.failed_on_),
      request);
  std::vector<Fit> others = Search(state, room, request);
  std::move(others.begin(), others.end(), std::back_inserter(fits));
  return fits;
}

}  // namespace flamingohollow

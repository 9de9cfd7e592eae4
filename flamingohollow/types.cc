// Names of the shared value types.

#include "flamingohollow/types.h"

namespace flamingohollow {

std::string_view AdjacencyName(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return "worker";
    case Adjacency::kRack:
      return "rack";
    case Adjacency::kFailureDomain:
      return "failure_domain";
    case Adjacency::kRegion:
      return "region";
  }
  return "unknown";
}

std::optional<Adjacency> ParseAdjacency(std::string_view name) {
  for (const Adjacency adjacency :
       {Adjacency::kWorker, Adjacency::kRack, Adjacency::kFailureDomain,
        Adjacency::kRegion}) {
    if (AdjacencyName(adjacency) == name) return adjacency;
  }
  return std::nullopt;
}

}  // namespace flamingohollow

// Tests of the shared value types.

#include "flamingohollow/types.h"

#include <doctest/doctest.h>

namespace flamingohollow {
namespace {

TEST_CASE("adjacency names parse back") {
  for (const Adjacency adjacency :
       {Adjacency::kWorker, Adjacency::kRack, Adjacency::kFailureDomain,
        Adjacency::kRegion}) {
    CHECK(ParseAdjacency(AdjacencyName(adjacency)) == adjacency);
  }
  CHECK_FALSE(ParseAdjacency("galaxy").has_value());
}

}  // namespace
}  // namespace flamingohollow

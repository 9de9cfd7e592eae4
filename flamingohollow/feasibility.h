// Answers about what could ever be: jobs that fit nowhere, and guarantees that
// a cluster can't hold.

#ifndef FLAMINGOHOLLOW_FEASIBILITY_H_
#define FLAMINGOHOLLOW_FEASIBILITY_H_

#include <string>

#include "flamingohollow/cluster.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/witness.h"

namespace flamingohollow {

// Why the job can never run on the known workers under this table, with the
// nearest shape that would; empty when it can, or when no worker is known.
// `cluster` must have its tree.
std::string ReasonNeverFits(const Cluster& cluster, const Table& table,
                            const PlacementJob& job);

// Why some cell of the customer has no place; empty when all have one.
std::string ReasonUnbacked(const CapacityTree& tree, const Witness& witness,
                           CustomerIndex customer);

// True when some row of `proposed` guarantees another shape than `present`
// does, and not an empty one.
bool AsksForMore(const Table& present, const Table& proposed);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FEASIBILITY_H_

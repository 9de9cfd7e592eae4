// Detects jobs that can never run and guarantees that a cluster can't provide.

#ifndef FLAMINGOHOLLOW_FEASIBILITY_H_
#define FLAMINGOHOLLOW_FEASIBILITY_H_

#include <string>

#include "flamingohollow/cluster.h"
#include "flamingohollow/placement.h"
#include "flamingohollow/witness.h"

namespace flamingohollow {

// Returns why the job can never run on the known workers under this table, with
// the nearest shape that could. Empty when the job can run, or when no worker
// is known. The tree of `cluster` must be built.
std::string ReasonNeverFits(const Cluster& cluster, const Table& table,
                            const PlacementJob& job);

// Returns why some cell of the customer is not backed; empty when all are
// backed.
std::string ReasonUnbacked(const CapacityTree& tree, const Witness& witness,
                           CustomerIndex customer);

// True when some row of `proposed` has a non-empty guarantee that differs from
// the customer's guarantee in `present`.
bool HasNewGuarantee(const Table& present, const Table& proposed);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_FEASIBILITY_H_

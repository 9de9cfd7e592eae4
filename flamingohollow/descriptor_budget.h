// Divides a process's file descriptors among the parts that open them, so that
// a burst in one part can't fail another: many workers or callers must never
// leave the log without a descriptor.

#ifndef FLAMINGOHOLLOW_DESCRIPTOR_BUDGET_H_
#define FLAMINGOHOLLOW_DESCRIPTOR_BUDGET_H_

#include <cstdint>

#include "flamingohollow/settings.h"

namespace flamingohollow {

// The shares add up to less than the limit. The rest is left for the log, its
// snapshots and the connections between the system's own processes.
struct DescriptorBudget {
  // Connections accepted by the main HTTP server.
  std::uint32_t http_connections_ = 0;
  // Connections accepted by each of the servers for readiness and metrics.
  std::uint32_t probe_connections_ = 0;
  // Connections opened to workers; control nodes only.
  std::uint32_t worker_connections_ = 0;
};

// Returns the number of descriptors that the process may open: `configured`, or
// the system's limit if that is lower.
std::uint64_t DescriptorLimit(std::uint64_t configured);

DescriptorBudget DivideDescriptors(std::uint64_t limit, ProcessRole role);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_DESCRIPTOR_BUDGET_H_

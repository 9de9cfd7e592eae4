// Fixed shares of the limit.

#include "flamingohollow/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

#include "flamingohollow/http_server.h"

namespace flamingohollow {
namespace {

constexpr std::uint32_t kProbeConnections = 32;
// Shares of the limit in sixteenths. A control node holds a poll open to each
// busy worker; an entry holds a connection for each caller.
constexpr std::uint64_t kShares = 16;
constexpr std::uint64_t kControlWorkerShares = 10;
constexpr std::uint64_t kControlHttpShares = 3;
constexpr std::uint64_t kEntryHttpShares = 12;

// Connections over a server's limit stay open until they have been refused.
std::uint32_t WithoutRefused(std::uint64_t connections) {
  const std::uint64_t refused = kMaxOpenRefused;
  return static_cast<std::uint32_t>(
      std::max<std::uint64_t>(connections, refused + 1) - refused);
}

}  // namespace

std::uint64_t DescriptorLimit(std::uint64_t configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  return std::min<std::uint64_t>(limit.rlim_cur, configured);
}

DescriptorBudget DivideDescriptors(std::uint64_t limit, ProcessRole role) {
  const bool control = role == ProcessRole::kControl;
  DescriptorBudget budget;
  budget.probe_connections_ = kProbeConnections;
  budget.http_connections_ = WithoutRefused(
      limit * (control ? kControlHttpShares : kEntryHttpShares) / kShares);
  if (control) {
    budget.worker_connections_ =
        static_cast<std::uint32_t>(limit * kControlWorkerShares / kShares);
  }
  return budget;
}

}  // namespace flamingohollow

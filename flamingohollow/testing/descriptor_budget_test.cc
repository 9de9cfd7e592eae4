// Tests how a process's file descriptors are divided.

#include "flamingohollow/descriptor_budget.h"

#include <doctest/doctest.h>

#include "flamingohollow/http_server.h"

namespace flamingohollow {
namespace {

// Files of the log and its snapshots, and connections to other processes.
constexpr std::uint64_t kOwnFiles = 64;

std::uint64_t MostUsed(const DescriptorBudget& budget) {
  const std::uint64_t refused = kMaxOpenRefused;
  return budget.http_connections_ + refused + 2 * budget.probe_connections_ +
         2 * refused + budget.worker_connections_;
}

TEST_CASE("some descriptors are left whatever callers and workers do") {
  for (const ProcessRole role : {ProcessRole::kControl, ProcessRole::kEntry}) {
    for (const std::uint64_t limit : {2048, 4096, 4324, 65536}) {
      CAPTURE(limit);
      CHECK(MostUsed(DivideDescriptors(limit, role)) + kOwnFiles <= limit);
    }
  }
}

TEST_CASE("a control node reaches each of 1,700 workers by two connections") {
  const auto budget = DivideDescriptors(6000, ProcessRole::kControl);
  CHECK(budget.worker_connections_ >= 2 * 1700);
}

TEST_CASE("the limit is the lower of the setting's and the system's") {
  CHECK_EQ(DescriptorLimit(100), 100);
  CHECK(DescriptorLimit(std::uint64_t{1} << 40) < std::uint64_t{1} << 40);
}

}  // namespace
}  // namespace flamingohollow

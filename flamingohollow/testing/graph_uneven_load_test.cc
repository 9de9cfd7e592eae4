// Checks service levels on workers of very uneven speed. The bound is the
// product's target.

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

#include "flamingohollow/testing/graph_load.h"

namespace flamingohollow::testing {
namespace {

constexpr int kWorkers = 96;
constexpr std::uint64_t kSeeds = 6;
constexpr std::size_t kUrgent = 0;
constexpr double kMinUrgentOnTime = 0.75;

struct Totals {
  double urgent_ = 0;
  double on_time_ = 0;
  std::string violations_;
};

const Totals& UnevenTotals() {
  static const Totals totals = [] {
    Totals sum;
    const GraphLoad load = MakeUnevenLoad(kWorkers, LoadDisturbance::kNone);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const LoadResult result = SimulateLoad(load, {}, seed);
      sum.urgent_ += result.queues_[kUrgent].jobs_;
      sum.on_time_ += result.queues_[kUrgent].on_time_;
      sum.violations_ += result.violations_;
    }
    return sum;
  }();
  return totals;
}

TEST_CASE("no rule is violated where speeds are very uneven") {
  CHECK_EQ(UnevenTotals().violations_, "");
}

TEST_CASE("three quarters of urgent jobs are on time on very uneven workers") {
  const Totals& totals = UnevenTotals();
  CHECK_GE(totals.on_time_, totals.urgent_ * kMinUrgentOnTime);
}

}  // namespace
}  // namespace flamingohollow::testing

// What callers get under loads like the users'. The bounds are the product's
// own targets.

#include "flamingohollow/testing/graph_load.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace flamingohollow::testing {
namespace {

constexpr int kWorkers = 48;
constexpr std::uint64_t kSeeds = 6;
constexpr std::size_t kUrgent = 0;
// Of the jobs of priority 0, in time at the usual load.
constexpr double kUrgentInTime = 0.95;
// Of the work that jobs ask for, the most that may run in vain at that load.
constexpr double kMostWasted = 0.1;

struct Played {
  double jobs_ = 0;
  double in_time_ = 0;
  double wasted_ = 0;
  double asked_ = 0;
  std::string broken_;
};

Played Play(const GraphLoad& load) {
  Played sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const LoadResult result = PlayLoad(load, {}, seed);
    sum.jobs_ += result.queues_[kUrgent].jobs_;
    sum.in_time_ += result.queues_[kUrgent].in_time_;
    sum.wasted_ += result.wasted_;
    sum.asked_ += result.asked_;
    sum.broken_ += result.broken_;
  }
  return sum;
}

// Urgent gangs that wait for room until their deadline forces a stop come too
// late whenever their work is longer than estimated or their workers are slow.
TEST_CASE("at the usual load urgent jobs are in time") {
  const Played played = Play(MakeDispatchLoad(kWorkers, LoadTrouble::kNone));
  CHECK_GE(played.in_time_, played.jobs_ * kUrgentInTime);
  CHECK_LE(played.wasted_, played.asked_ * kMostWasted);
  CHECK_EQ(played.broken_, "");
}

TEST_CASE("a burst of large jobs costs urgent ones nothing") {
  const Played played = Play(MakeDispatchLoad(kWorkers, LoadTrouble::kBurst));
  CHECK_GE(played.in_time_, played.jobs_ * kUrgentInTime);
  CHECK_EQ(played.broken_, "");
}

TEST_CASE("no rule is broken while workers are cut off or slow") {
  for (const LoadTrouble trouble :
       {LoadTrouble::kCutWorkers, LoadTrouble::kSlowWorkers}) {
    CHECK_EQ(PlayLoad(MakeTimecastLoad(kWorkers, trouble), {}, 1).broken_, "");
  }
}

}  // namespace
}  // namespace flamingohollow::testing

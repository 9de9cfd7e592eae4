// Measures the time of one placement pass over a full pool with waiting jobs.
//
//   graph_placement_bench [--workers=N] [--waiting=N] [--tasks=N] [--classes=N]
//                         [--apart] [--passes=N]
//
// Prints the median and the 99th percentile over the passes, in ms.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "flamingohollow/graph_placement.h"
#include "flamingohollow/testing/graph_fixture.h"

ABSL_FLAG(int, workers, 350, "workers in the pool, 8 to a rack");
ABSL_FLAG(int, waiting, 100, "waiting jobs");
ABSL_FLAG(int, tasks, 0, "single tasks that wait besides, 16 to a job");
ABSL_FLAG(int, classes, 500, "kinds of need of these tasks");
ABSL_FLAG(bool, apart, false, "whether they are limited to one a worker");
ABSL_FLAG(int, passes, 200, "passes to time");

namespace flamingohollow::testing {
namespace {

constexpr int kPerRack = 8;
constexpr Time kNow(100'000);

// Fills each worker with a member of a gang and six small tasks.
void FillPool(GraphState& state, Fleet& fleet, int workers) {
  std::uint64_t number = 1;
  for (int i = 0; i + 4 <= workers; i += 4, ++number) {
    Submit(state, number, {MakeGang(4, 2, Duration(8000), true)}, {});
    for (int k = 0; k < 4; ++k) {
      RunTask(state, fleet, number, static_cast<std::uint32_t>(k),
              fmt::format("w{}", i + k), kNow - Duration(10 * i));
    }
  }
  for (int i = 0; i < workers; ++i, ++number) {
    Submit(state, number, {MakeStep(6, 1, Duration(6000))}, {.priority_ = 2});
    for (std::uint32_t k = 0; k < 6; ++k) {
      RunTask(state, fleet, number, k, fmt::format("w{}", i),
              kNow - Duration(10 * i));
    }
  }
}

void AddWaiting(GraphState& state, int count) {
  std::mt19937_64 random(1);
  for (int i = 0; i < count; ++i) {
    const auto tasks = static_cast<std::uint32_t>(1 + random() % 13);
    const std::int64_t size = std::int64_t{1} << (random() % 4);
    const auto priority = static_cast<std::uint32_t>(random() % 3);
    Submit(state, 100'000 + static_cast<std::uint64_t>(i),
           {MakeGang(tasks, size, Duration(5000), priority < 2)},
           {.priority_ = priority});
  }
}

// No kind needs less of everything than another one.
void AddTasks(GraphState& state, int count, int classes, bool apart) {
  constexpr int kTasks = 16;
  std::mt19937_64 random(2);
  for (int i = 0; i < count / kTasks; ++i) {
    const auto kind = static_cast<std::int64_t>(
        random() % static_cast<std::uint64_t>(classes));
    StepSpec step = MakeStep(kTasks, 1, Duration(5000));
    step.need_.millicores_ = 1000 + kind;
    step.need_.memory_mb_ = 20'000 - kind;
    if (apart) step.max_per_worker_ = 1;
    Submit(state, 200'000 + static_cast<std::uint64_t>(i), {step},
           {.priority_ = static_cast<std::uint32_t>(random() % 3)});
  }
}

int Main() {
  GraphState state;
  const int workers = absl::GetFlag(FLAGS_workers);
  Fleet fleet = MakeFleet((workers + kPerRack - 1) / kPerRack, kPerRack, kNow);
  FillPool(state, fleet, workers);
  AddWaiting(state, absl::GetFlag(FLAGS_waiting));
  AddTasks(state, absl::GetFlag(FLAGS_tasks), absl::GetFlag(FLAGS_classes),
           absl::GetFlag(FLAGS_apart));
  std::vector<double> times;
  for (int i = 0; i < absl::GetFlag(FLAGS_passes); ++i) {
    const auto start = std::chrono::steady_clock::now();
    const PlacementPlan plan = PlanPlacement(
        state, fleet, {}, [](const GraphJob&) { return kNow - Duration(5000); },
        kNow);
    const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - start;
    times.push_back(spent.count() + (plan.open_.empty() ? 0 : 1e-9));
  }
  std::sort(times.begin(), times.end());
  fmt::print(
      "{} workers, {} waiting, {} tasks: median {:.2f} ms, 99th {:.2f} ms\n",
      workers, absl::GetFlag(FLAGS_waiting), absl::GetFlag(FLAGS_tasks),
      times[times.size() / 2], times[times.size() * 99 / 100]);
  return 0;
}

}  // namespace
}  // namespace flamingohollow::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return flamingohollow::testing::Main();
}

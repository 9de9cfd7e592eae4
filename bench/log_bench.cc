// Measures the replicated log: records per second through 1, 3 and 5 voters in
// one process over real data folders, idle traffic, and a restart after 10,000
// records.
//
//   log_bench [SECONDS]   seconds of load per group size; default 3, at most 30
//
// All voters share one control thread and one disk here, so the figures are a
// lower bound of what separate machines do.

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "flamingohollow/testing/replica_group.h"
#include "util/clock.h"

namespace flamingohollow::testing {
namespace {

constexpr std::size_t kMaxInFlight = 64;
constexpr std::size_t kRecordBytes = 200;
constexpr std::uint64_t kRestartRecords = 10'000;
constexpr Duration kIdleSpan = Duration(5000);
constexpr Duration kRestartLimit = Duration(60'000);

// Keeps `max_in_flight` proposals in flight at the leader.
class LoadGenerator {
 public:
  LoadGenerator(ReplicaGroup* group, std::size_t max_in_flight)
      : group_(group), max_in_flight_(max_in_flight) {}

  // Runs until `span` has passed or `records` records are committed.
  void Run(Duration span, std::uint64_t records) {
    group_->RunUntil(
        [&] {
          while (in_flight_ < max_in_flight_ && proposed_ < records)
            ProposeOne();
          return committed_ >= records;
        },
        span);
    group_->RunUntil([&] { return in_flight_ == 0; });
  }
  std::uint64_t committed() const { return committed_; }
  std::int64_t LatencyMs(std::size_t percent) {
    if (latencies_.empty()) return 0;
    std::sort(latencies_.begin(), latencies_.end());
    return latencies_[(latencies_.size() - 1) * percent / 100];
  }

 private:
  void ProposeOne() {
    ReplicaGroup::Node* leader = group_->Leader();
    if (leader == nullptr) return;
    ++in_flight_;
    ++proposed_;
    const Time start = MonotonicNow();
    leader->replica_->Propose(
        std::string(kRecordBytes, 'r'), [this, start](const ProposeResult& r) {
          --in_flight_;
          if (r.outcome_ != ProposeOutcome::kCommitted) return;
          ++committed_;
          latencies_.push_back((MonotonicNow() - start).ms());
        });
  }

  ReplicaGroup* group_;
  std::size_t max_in_flight_;
  std::size_t in_flight_ = 0;
  std::uint64_t proposed_ = 0;
  std::uint64_t committed_ = 0;
  std::vector<std::int64_t> latencies_;
};

void MeasureLoad(std::size_t voters, std::size_t max_in_flight, Duration span) {
  ReplicaGroup group(voters);
  if (!group.Form()) return fmt::print("{} voters: not formed\n", voters);
  LoadGenerator load(&group, max_in_flight);
  const Time start = MonotonicNow();
  load.Run(span, UINT64_MAX);
  const auto ms = std::max<std::int64_t>(1, (MonotonicNow() - start).ms());
  fmt::print(
      "{} voters, {} in flight: {} records/s, median {} ms, 99th {} ms\n",
      voters, max_in_flight,
      load.committed() * 1000 / static_cast<std::uint64_t>(ms),
      load.LatencyMs(50), load.LatencyMs(99));
}

void MeasureIdle(std::size_t voters) {
  ReplicaGroup group(voters);
  if (!group.Form()) return fmt::print("{} voters: not formed\n", voters);
  const std::uint64_t messages = group.messages();
  const std::uint64_t bytes = group.message_bytes();
  group.RunUntil([] { return false; }, kIdleSpan);
  const auto seconds = static_cast<std::uint64_t>(kIdleSpan.ms()) / 1000;
  fmt::print("{} voters, idle: {} messages/s, {} bytes/s in all\n", voters,
             (group.messages() - messages) / seconds,
             (group.message_bytes() - bytes) / seconds);
}

void MeasureRestart() {
  ReplicaGroup group(3);
  if (!group.Form()) return fmt::print("3 voters: not formed\n");
  LoadGenerator load(&group, kMaxInFlight);
  load.Run(kRestartLimit, kRestartRecords);
  const std::uint64_t bytes =
      group.nodes()[0].replica_->Status().bytes_on_disk_;
  for (std::size_t i = 0; i < 3; ++i) group.Stop(i);
  const Time start = MonotonicNow();
  for (std::size_t i = 0; i < 3; ++i) group.Start(i);
  const Time opened = MonotonicNow();
  group.RunUntil([&] { return group.Leader() != nullptr; });
  const Time leads = MonotonicNow();
  fmt::print(
      "after {} records: {} bytes on disk, 3 folders opened in {} ms, "
      "leader with all applied {} ms later\n",
      load.committed(), bytes, (opened - start).ms(), (leads - opened).ms());
}

void Measure(Duration span) {
  for (const std::size_t voters : {1, 3, 5}) {
    MeasureLoad(voters, 1, span);
    MeasureLoad(voters, kMaxInFlight, span);
  }
  MeasureIdle(3);
  MeasureIdle(5);
  MeasureRestart();
}

}  // namespace
}  // namespace flamingohollow::testing

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 3;
  flamingohollow::testing::Measure(
      flamingohollow::Duration(std::clamp(seconds, 1, 30) * 1000));
}

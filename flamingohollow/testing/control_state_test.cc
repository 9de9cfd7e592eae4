// Tests that equal logs give equal replicated states, also when a snapshot
// replaces the beginning of the log.

#include "flamingohollow/control_state.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace flamingohollow {
namespace {

namespace leaf = boost::leaf;

constexpr std::uint64_t kSeeds = 20;
constexpr std::uint64_t kRecords = 600;
// The second voter restarts from a snapshot after every this many records.
constexpr std::uint64_t kSnapshotEvery = 37;

class RandomCommands {
 public:
  explicit RandomCommands(std::uint64_t seed) : random_(seed) {}

  // Mostly valid commands; some are stale, repeated or name an unknown job.
  Command Make(const ControlState& state) {
    switch (RandomBelow(5)) {
      case 0:
        return MakeChange(state);
      case 1:
        return MakeAccepted();
      case 2:
        return JobMayRun{.job_ = RandomJob(state),
                         .attempt_ = AttemptId(1 + RandomBelow(2)),
                         .slices_ = {{WorkerId("worker-0"), Incarnation(1),
                                      Accelerators(8)}},
                         .at_ = RandomTime()};
      case 3:
        return JobRequeued{.job_ = RandomJob(state),
                           .attempt_ = AttemptId(1 + RandomBelow(2)),
                           .reason_ = "lost",
                           .at_ = RandomTime()};
      default:
        return JobEnded{.job_ = RandomJob(state),
                        .outcome_ = Outcome::kCompleted,
                        .reason_ = "",
                        .retry_after_ = Duration(0),
                        .parts_ = {"part"},
                        .at_ = RandomTime()};
    }
  }

 private:
  std::uint32_t RandomBelow(std::uint32_t limit) {
    return static_cast<std::uint32_t>(random_() % limit);
  }

  Time RandomTime() { return Time(RandomBelow(1000)); }

  JobId RandomJob(const ControlState& state) {
    const auto& jobs = state.jobs_.jobs_;
    if (jobs.empty() || RandomBelow(8) == 0) return JobId(RandomBelow(1000));
    auto job = jobs.begin();
    std::advance(job, RandomBelow(static_cast<std::uint32_t>(jobs.size())));
    return job->first;
  }

  TableChange MakeChange(const ControlState& state) {
    TableChange change;
    change.request_id_ = RequestId("t" + std::to_string(RandomBelow(200)));
    change.base_version_ = RandomBelow(4) == 0 ? TableVersion(RandomBelow(10))
                                               : state.table_.version_;
    Row row;
    row.customer_ = CustomerId("c" + std::to_string(RandomBelow(4)));
    row.weight_ = 1 + RandomBelow(3);
    change.upserts_ = {row};
    return change;
  }

  JobAccepted MakeAccepted() {
    JobSpec spec;
    spec.customer_ = CustomerId("c" + std::to_string(RandomBelow(4)));
    spec.request_id_ = RequestId("r" + std::to_string(RandomBelow(100)));
    spec.accelerators_ = Accelerators(8 + 8 * RandomBelow(2));
    return {.spec_ = spec, .at_ = RandomTime()};
  }

  std::mt19937_64 random_;
};

std::optional<ControlState> Restart(const ControlState& state) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ControlState>> {
        return DecodeControlState(EncodeControlState(state));
      },
      [] { return std::optional<ControlState>(); });
}

TEST_CASE("random: a voter restarted from snapshots equals one that was not") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RandomCommands commands(seed);
    ControlState first;
    ControlState second;
    for (std::uint64_t i = 1; i <= kRecords; ++i) {
      const Command command = commands.Make(first);
      const ApplyResult a = ApplyCommand(first, LogIndex(i), command);
      const ApplyResult b = ApplyCommand(second, LogIndex(i), command);
      REQUIRE(a.index() == b.index());
      if (const auto* table = std::get_if<TableResult>(&a)) {
        REQUIRE(*table == std::get<TableResult>(b));
      } else {
        const auto& one = std::get<JobApplyResult>(a);
        const auto& other = std::get<JobApplyResult>(b);
        REQUIRE(one.outcome_ == other.outcome_);
        REQUIRE(one.job_ == other.job_);
      }
      if (i % kSnapshotEvery != 0) continue;
      const auto restarted = Restart(second);
      REQUIRE(restarted.has_value());
      second = *restarted;
    }
    REQUIRE(EncodeControlState(first) == EncodeControlState(second));
    REQUIRE(first.table_.version_ > TableVersion(50));
    REQUIRE(first.jobs_.jobs_.size() > 50);
  }
}

TEST_CASE("a truncated snapshot is rejected") {
  ControlState state;
  RandomCommands commands(1);
  for (std::uint64_t i = 1; i <= 50; ++i) {
    ApplyCommand(state, LogIndex(i), commands.Make(state));
  }
  const std::string bytes = EncodeControlState(state);
  for (std::size_t length = 0; length < bytes.size(); length += 7) {
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(
              DecodeControlState(std::string_view(bytes).substr(0, length)));
          return false;
        },
        [] { return true; });
    REQUIRE(refused);
  }
}

}  // namespace
}  // namespace flamingohollow

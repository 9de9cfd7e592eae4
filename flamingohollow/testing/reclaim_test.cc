// Compares the choice of victims with an exhaustive search, and tests the
// evidence that quarantines a worker.

#include "flamingohollow/reclaim.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <bit>
#include <random>

#include "flamingohollow/quarantine.h"
#include "flamingohollow/testing/placement_fixture.h"

namespace flamingohollow {
namespace {

constexpr int kRounds = 2000;

// A rack of workers with random borrowers.
struct BusyRack {
  Cluster cluster_;
  std::vector<std::unique_ptr<Gang>> gangs_;
};

BusyRack RandomRack(std::mt19937_64& random) {
  BusyRack rack;
  const int workers = 1 + static_cast<int>(random() % 3);
  for (int i = 0; i < workers; ++i) {
    WorkerEntry& entry = rack.cluster_.workers_[MakeWorker(i, 0).id_];
    entry.worker_ = MakeWorker(i, 0, 4);
    entry.known_ = true;
  }
  RebuildTree(rack.cluster_);
  for (std::uint64_t id = 1; id <= 6; ++id) {
    auto gang = std::make_unique<Gang>();
    gang->started_at_ = Time(static_cast<std::int64_t>(random() % 50));
    std::uint32_t size = 0;
    for (int i = 0; i < workers; ++i) {
      const WorkerId worker = MakeWorker(i, 0).id_;
      const auto free = static_cast<std::uint32_t>(
          FreeAcceleratorsOn(rack.cluster_.workers_.at(worker)));
      const auto take = static_cast<std::uint32_t>(random() % 3);
      if (take == 0 || take > free) continue;
      gang->slices_.push_back({worker, Incarnation(0), Accelerators(take)});
      size += take;
    }
    if (size == 0) continue;
    gang->job_ = MakeJob(id, "b", size, Adjacency::kRack, true);
    AllocateGang(rack.cluster_, *gang);
    rack.gangs_.push_back(std::move(gang));
  }
  return rack;
}

// The size of the smallest set of gangs that together hold `missing`
// accelerators, by exhaustive search; nullopt when all of them do not suffice.
std::optional<int> SmallestVictimCount(const BusyRack& rack,
                                       std::int64_t missing) {
  std::optional<int> fewest;
  for (std::uint32_t set = 0; set < (1U << rack.gangs_.size()); ++set) {
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < rack.gangs_.size(); ++i) {
      if ((set >> i & 1U) != 0) {
        sum += rack.gangs_[i]->job_.accelerators_.value();
      }
    }
    const int size = std::popcount(set);
    if (sum >= missing && (!fewest || size < *fewest)) fewest = size;
  }
  return fewest;
}

TEST_CASE("the number of victims is minimal") {
  std::mt19937_64 random(1);
  int reclaims = 0;
  for (int round = 0; round < kRounds; ++round) {
    const BusyRack rack = RandomRack(random);
    const CapacityTree& tree = rack.cluster_.tree_;
    const NodeIndex node = tree.levels_[LevelIndex(Adjacency::kRack)][0];
    const auto wanted = static_cast<std::int64_t>(1 + random() % 12);
    const std::int64_t missing = wanted - rack.cluster_.free_[node.value()];
    const std::optional<int> fewest = SmallestVictimCount(rack, missing);
    const std::optional<ReclaimPlan> plan =
        PlanReclaim(rack.cluster_, node, wanted, AnyBorrower(),
                    PlacementPolicy::kBestFit, Time(100));
    INFO("round ", round);
    REQUIRE(plan.has_value() == fewest.has_value());
    if (!plan) continue;
    CHECK(static_cast<int>(plan->victims_.size()) == *fewest);
    reclaims += *fewest > 0 ? 1 : 0;
  }
  CHECK(reclaims > kRounds / 4);
}

TEST_CASE("a guaranteed gang is never a victim") {
  std::mt19937_64 random(2);
  for (int round = 0; round < kRounds; ++round) {
    BusyRack rack = RandomRack(random);
    for (const auto& gang : rack.gangs_) {
      if (random() % 2 == 0) continue;
      ReleaseGang(rack.cluster_, *gang);
      gang->uses_ = {{CellIndex(0), 1, 0}};
      AllocateGang(rack.cluster_, *gang);
    }
    const NodeIndex node =
        rack.cluster_.tree_.levels_[LevelIndex(Adjacency::kRack)][0];
    const std::optional<ReclaimPlan> plan = PlanReclaim(
        rack.cluster_, node, 1 + static_cast<std::int64_t>(random() % 12),
        AnyBorrower(), PlacementPolicy::kBestFit, Time(100));
    if (!plan) continue;
    for (const Gang* victim : plan->victims_) {
      CHECK_FALSE(IsGuaranteed(*victim));
    }
  }
}

TEST_CASE("a worker is blamed by different jobs, a job by different workers") {
  Quarantine quarantine;
  quarantine.max_share_ = 0.5;
  const WorkerId bad("bad");
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(RecordOutcome(quarantine, JobId(1), bad, false, 10, Time(0)));
  }
  CHECK_FALSE(RecordOutcome(quarantine, JobId(2), bad, false, 10, Time(0)));
  CHECK(RecordOutcome(quarantine, JobId(3), bad, false, 10, Time(0)));
  CHECK(IsWorkerQuarantined(quarantine, bad));
  for (int i = 0; i < 10; ++i) {
    const WorkerId good(fmt::format("good{}", i));
    RecordOutcome(quarantine, JobId(100), good, true, 10, Time(0));
    CHECK_FALSE(RecordOutcome(quarantine, JobId(9), good, false, 10, Time(0)));
  }
  CHECK(IsJobBlamed(quarantine, JobId(9)));
}

// With a tenth of the workers failing every task, a large gang failed on three
// of them before any other job did and was blamed. From then on its failures no
// longer counted as evidence against a worker.
TEST_CASE("failures on workers that never succeeded do not blame a job") {
  Quarantine quarantine;
  quarantine.max_share_ = 0.5;
  for (std::uint64_t job = 1; job <= 3; ++job) {
    for (int i = 0; i < 4; ++i) {
      const WorkerId bad(fmt::format("bad{}", i));
      RecordOutcome(quarantine, JobId(job), bad, false, 10, Time(0));
    }
    CHECK_FALSE(IsJobBlamed(quarantine, JobId(job)));
  }
  CHECK(quarantine.quarantined_count_ == 4);
}

TEST_CASE("jobs that fail everywhere do not quarantine a worker") {
  Quarantine quarantine;
  quarantine.max_share_ = 0.5;
  for (int i = 0; i < 10; ++i) {
    const WorkerId good(fmt::format("good{}", i));
    RecordOutcome(quarantine, JobId(100), good, true, 10, Time(0));
  }
  for (std::uint64_t job = 1; job <= 5; ++job) {
    for (int i = 0; i < 10; ++i) {
      const WorkerId good(fmt::format("good{}", i));
      RecordOutcome(quarantine, JobId(job), good, false, 10, Time(0));
    }
  }
  CHECK(quarantine.quarantined_count_ == 0);
}

TEST_CASE("quarantine grows with each failed probe and ends with a success") {
  Quarantine quarantine;
  quarantine.max_share_ = 0.5;
  const WorkerId bad("bad");
  for (std::uint64_t job = 1; job <= 3; ++job) {
    RecordOutcome(quarantine, JobId(job), bad, false, 10, Time(0));
  }
  CHECK(EndQuarantines(quarantine, Time(0) + kFirstQuarantine - Duration(1))
            .empty());
  const Time probe = Time(0) + kFirstQuarantine;
  CHECK(EndQuarantines(quarantine, probe).size() == 1);
  CHECK(RecordOutcome(quarantine, JobId(4), bad, false, 10, probe));
  CHECK(EndQuarantines(quarantine, probe + kFirstQuarantine).empty());
  CHECK(EndQuarantines(quarantine, probe + kFirstQuarantine * 2).size() == 1);
  CHECK_FALSE(RecordOutcome(quarantine, JobId(5), bad, true, 10, probe));
  CHECK_FALSE(RecordOutcome(quarantine, JobId(6), bad, false, 10, probe));
}

TEST_CASE("at most max_share of the workers is quarantined") {
  Quarantine quarantine;
  quarantine.max_share_ = 0.2;
  for (int worker = 0; worker < 10; ++worker) {
    for (int job = 0; job < 5; ++job) {
      RecordOutcome(quarantine,
                    JobId(static_cast<std::uint64_t>(100 * worker + job)),
                    WorkerId(fmt::format("w{}", worker)), false, 10, Time(0));
    }
  }
  CHECK(quarantine.quarantined_count_ == 2);
}

}  // namespace
}  // namespace flamingohollow

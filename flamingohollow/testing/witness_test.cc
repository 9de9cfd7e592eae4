// Tests the witness against an exhaustive oracle, and the guarantees under
// random sequences of decisions, table changes and worker losses.

#include "flamingohollow/witness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <random>

#include "flamingohollow/testing/placement_fixture.h"

namespace flamingohollow {
namespace {

constexpr int kSmallTrees = 3000;
constexpr int kSequences = 150;
constexpr int kSteps = 80;

CapacityTree RandomTree(std::mt19937_64& random, std::size_t workers) {
  std::map<WorkerId, WorkerPlace> places;
  for (std::size_t i = 0; i < workers; ++i) {
    const std::uint64_t rack = random() % 4;
    places[WorkerId(fmt::format("w{}", i))] = {
        Region(fmt::format("r{}", rack / 3)),
        FailureDomain(fmt::format("d{}", rack / 2)),
        Rack(fmt::format("k{}", rack))};
  }
  return BuildTree(places);
}

TEST_CASE("Solve succeeds exactly when the oracle finds an assignment") {
  std::mt19937_64 random(1);
  int solvable = 0;
  for (int round = 0; round < kSmallTrees; ++round) {
    const CapacityTree tree = RandomTree(random, 1 + random() % 4);
    std::vector<std::int64_t> rooms;
    Witness witness;
    for (std::size_t i = 0; i < tree.leaf_count_; ++i) {
      rooms.push_back(static_cast<std::int64_t>(random() % 5));
      witness.free_for_guarantees_.push_back({rooms.back(), 8});
    }
    for (std::uint64_t cells = random() % 5; cells > 0; --cells) {
      WitnessCell cell;
      cell.accelerators_ = 1 + static_cast<std::int64_t>(random() % 4);
      cell.level_ = static_cast<Adjacency>(random() % 4);
      witness.cells_.push_back(cell);
    }
    const bool oracle = OracleFits(tree, rooms, witness.cells_);
    solvable += oracle ? 1 : 0;
    INFO("round ", round);
    CHECK(Solve(tree, witness) == oracle);
    for (const std::int64_t left : witness.unassigned_) CHECK(left >= 0);
  }
  // Both results must be well represented.
  CHECK(solvable > kSmallTrees / 5);
  CHECK(solvable < kSmallTrees * 4 / 5);
}

TEST_CASE("a partly used cell stays where its gang runs") {
  CapacityTree tree = BuildTree(
      {{WorkerId("a"), {Region("r"), FailureDomain("d"), Rack("k")}},
       {WorkerId("b"), {Region("r"), FailureDomain("d"), Rack("k")}}});
  Witness witness;
  // 4 of the cell's 8 accelerators are used on the first worker; the second
  // worker is empty.
  witness.free_for_guarantees_ = {{2, 7}, {8, 8}};
  WitnessCell cell;
  cell.accelerators_ = 8;
  cell.level_ = Adjacency::kWorker;
  cell.used_ = 4;
  cell.node_ = NodeIndex(0);
  witness.cells_ = {cell};
  CHECK_FALSE(Solve(tree, witness));
  CHECK(witness.cells_[0].node_ == NodeIndex(0));
  witness.free_for_guarantees_[0].accelerators_ = 4;
  CHECK(Solve(tree, witness));
}

// Reduced from seed 8708: when a gang ended, the unbacked remainder of another
// customer's pinned cell took the resources that the gang returned to its own
// cell, which was backed.
TEST_CASE("an unbacked remainder takes no resources from a backed cell") {
  CapacityTree tree = BuildTree(
      {{WorkerId("a"), {Region("r"), FailureDomain("d"), Rack("k")}}});
  Witness witness;
  witness.free_for_guarantees_ = {{0, 7}};
  WitnessCell fully_used;
  fully_used.accelerators_ = 2;
  fully_used.level_ = Adjacency::kWorker;
  fully_used.used_ = 2;
  fully_used.node_ = NodeIndex(0);
  WitnessCell partly_used;
  partly_used.accelerators_ = 2;
  partly_used.level_ = Adjacency::kRack;
  partly_used.used_ = 1;
  partly_used.node_ = NodeIndex(1);
  witness.cells_ = {fully_used, partly_used};
  RecomputeUnassigned(tree, witness);
  REQUIRE(witness.cells_[0].backed_);
  REQUIRE_FALSE(witness.cells_[1].backed_);
  witness.free_for_guarantees_ = {{2, 8}};
  witness.cells_[0].used_ = 0;
  CHECK(Repair(tree, witness));
  CHECK(witness.cells_[0].backed_);
}

TEST_CASE("wide cells count at most one accelerator per slot") {
  CapacityTree tree = BuildTree(
      {{WorkerId("a"), {Region("r"), FailureDomain("d"), Rack("k")}}});
  Witness witness;
  witness.free_for_guarantees_ = {{8, 2}};
  WitnessCell cell;
  cell.accelerators_ = 8;
  cell.level_ = Adjacency::kWorker;
  witness.cells_ = {cell};
  CHECK(Solve(tree, witness));
  witness.cells_[0].level_ = Adjacency::kRack;
  CHECK_FALSE(Solve(tree, witness));
  witness.cells_[0].accelerators_ = 2;
  CHECK(Solve(tree, witness));
}

TEST_CASE("a backed customer always gets its whole unused guarantee") {
  int claimed = 0;
  int reclaimed = 0;
  for (const PlacementPolicy policy :
       {PlacementPolicy::kFirstFit, PlacementPolicy::kBestFit,
        PlacementPolicy::kBuddyCells,
        PlacementPolicy::kFragmentationGradient}) {
    for (std::uint64_t seed = 1; seed <= kSequences; ++seed) {
      INFO("policy ", static_cast<int>(policy), " seed ", seed);
      RandomCluster cluster(seed, policy);
      for (int step = 1; step <= kSteps; ++step) {
        cluster.Step();
        if (step % 20 == 0) cluster.ClaimUnused();
      }
      claimed += cluster.claimed();
      reclaimed += cluster.reclaimed();
    }
  }
  MESSAGE("gangs claimed: ", claimed, ", reclaimed: ", reclaimed);
  CHECK(claimed > kSequences);
  CHECK(reclaimed > kSequences);
}

}  // namespace
}  // namespace flamingohollow

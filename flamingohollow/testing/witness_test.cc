// The witness against the exhaustive oracle, and against random sequences of
// decisions, table changes and worker losses.

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

TEST_CASE("a witness is found exactly when the oracle finds one") {
  std::mt19937_64 random(1);
  int possible = 0;
  for (int round = 0; round < kSmallTrees; ++round) {
    const CapacityTree tree = RandomTree(random, 1 + random() % 4);
    std::vector<std::int64_t> rooms;
    Witness witness;
    for (std::size_t i = 0; i < tree.leaf_count_; ++i) {
      rooms.push_back(static_cast<std::int64_t>(random() % 5));
      witness.rooms_.push_back({rooms.back(), 8});
    }
    for (std::uint64_t cells = random() % 5; cells > 0; --cells) {
      WitnessCell cell;
      cell.accelerators_ = 1 + static_cast<std::int64_t>(random() % 4);
      cell.level_ = static_cast<Adjacency>(random() % 4);
      witness.cells_.push_back(cell);
    }
    const bool oracle = OracleFits(tree, rooms, witness.cells_);
    possible += oracle ? 1 : 0;
    INFO("round ", round);
    CHECK(Solve(tree, witness) == oracle);
    for (const std::int64_t left : witness.left_) CHECK(left >= 0);
  }
  // Both verdicts are well represented.
  CHECK(possible > kSmallTrees / 5);
  CHECK(possible < kSmallTrees * 4 / 5);
}

TEST_CASE("a partly used cell stays where its gang runs") {
  CapacityTree tree = BuildTree(
      {{WorkerId("a"), {Region("r"), FailureDomain("d"), Rack("k")}},
       {WorkerId("b"), {Region("r"), FailureDomain("d"), Rack("k")}}});
  Witness witness;
  // 4 of 8 are held on the first worker; the second one is empty.
  witness.rooms_ = {{2, 7}, {8, 8}};
  WitnessCell cell;
  cell.accelerators_ = 8;
  cell.level_ = Adjacency::kWorker;
  cell.used_ = 4;
  cell.node_ = NodeIndex(0);
  witness.cells_ = {cell};
  CHECK_FALSE(Solve(tree, witness));
  CHECK(witness.cells_[0].node_ == NodeIndex(0));
  witness.rooms_[0].accelerators_ = 4;
  CHECK(Solve(tree, witness));
}

// Shrunk from seed 8708: the rest of a pinned cell took the room that another
// customer's ending gang gave back to its cells.
TEST_CASE("a rest without a place takes none from a backed cell") {
  CapacityTree tree = BuildTree(
      {{WorkerId("a"), {Region("r"), FailureDomain("d"), Rack("k")}}});
  Witness witness;
  witness.rooms_ = {{0, 7}};
  WitnessCell ending;
  ending.accelerators_ = 2;
  ending.level_ = Adjacency::kWorker;
  ending.used_ = 2;
  ending.node_ = NodeIndex(0);
  WitnessCell partly;
  partly.accelerators_ = 2;
  partly.level_ = Adjacency::kRack;
  partly.used_ = 1;
  partly.node_ = NodeIndex(1);
  witness.cells_ = {ending, partly};
  Recount(tree, witness);
  REQUIRE(witness.cells_[0].backed_);
  REQUIRE_FALSE(witness.cells_[1].backed_);
  witness.rooms_ = {{2, 8}};
  witness.cells_[0].used_ = 0;
  CHECK(Repair(tree, witness));
  CHECK(witness.cells_[0].backed_);
}

TEST_CASE("wide cells count at most one accelerator a slot") {
  CapacityTree tree = BuildTree(
      {{WorkerId("a"), {Region("r"), FailureDomain("d"), Rack("k")}}});
  Witness witness;
  witness.rooms_ = {{8, 2}};
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

TEST_CASE("a backed customer gets its whole unused guarantee, whatever came") {
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
  MESSAGE("gangs claimed: ", claimed, ", taken back: ", reclaimed);
  CHECK(claimed > kSequences);
  CHECK(reclaimed > kSequences);
}

}  // namespace
}  // namespace flamingohollow

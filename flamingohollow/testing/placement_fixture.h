// Small clusters, tables and jobs for the placement tests, and an exhaustive
// oracle to compare the witness with.

#ifndef FLAMINGOHOLLOW_TESTING_PLACEMENT_FIXTURE_H_
#define FLAMINGOHOLLOW_TESTING_PLACEMENT_FIXTURE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "flamingohollow/placement.h"
#include "flamingohollow/placement_state.h"

namespace flamingohollow {

PlacementWorker MakeWorker(int index, int rack, std::uint32_t accelerators = 8);
PlacementJob MakeJob(std::uint64_t id, const std::string& customer,
                     std::uint32_t accelerators, Adjacency adjacency,
                     bool reclaimable = false);
Table MakeTable(const std::map<std::string, GuaranteedShape>& shapes,
                std::uint32_t max_borrowed = 0);

// True when each cell can be assigned a node of its level such that all demands
// are served. Tries every assignment and checks each by a maximum flow. `free`
// has the free accelerators by leaf; slots are assumed to suffice.
bool OracleFits(const CapacityTree& tree, const std::vector<std::int64_t>& free,
                const std::vector<WitnessCell>& cells);

// A cluster whose jobs, workers and table change at random, and a simple model
// of the accelerators that each job holds. Check functions use doctest
// assertions.
class RandomCluster {
 public:
  RandomCluster(std::uint64_t seed, PlacementPolicy policy);

  // Applies one random event, then checks all decisions against the model.
  void Step();
  // Submits jobs for the whole unused guarantee of a backed customer and checks
  // that all are placed and only borrowers are reclaimed.
  void ClaimUnused();
  // Number of jobs placed by ClaimUnused, and of gangs reclaimed.
  int claimed() const { return claimed_; }
  int reclaimed() const { return reclaimed_; }

 private:
  struct HeldGang {
    PlacementJob job_;
    std::vector<Slice> slices_;
    bool guaranteed_ = false;
    bool reclaimed_ = false;
  };

  std::uint32_t RandomBelow(std::uint32_t limit);
  PlacementJob RandomJob();
  Table RandomTable();
  void ChangeWorker();
  void EndRandomGang();
  void CarryOutReclaims();
  PlacementDecisions DecideAndCheck();
  void CheckPlace(const PlaceDecision& place);
  void CheckReclaim(const ReclaimDecision& reclaim);
  void CheckWorkers() const;

  std::mt19937_64 random_;
  PlacementPtr state_;
  Time now_;
  std::uint64_t next_job_ = 1;
  std::uint64_t next_version_ = 1;
  std::vector<PlacementWorker> workers_;
  std::map<JobId, PlacementJob> waiting_;
  std::map<JobId, HeldGang> held_;
  int claimed_ = 0;
  int reclaimed_ = 0;
};

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_TESTING_PLACEMENT_FIXTURE_H_

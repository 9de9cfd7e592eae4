// Tests of the placement decisions through their public functions.

#include "flamingohollow/placement.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace flamingohollow {
namespace {

PlacementWorker MakeWorker(int index, int rack) {
  PlacementWorker worker;
  worker.id_ = WorkerId(fmt::format("w{}", index));
  worker.place_ = {Region("r"), FailureDomain("a"),
                   Rack(fmt::format("k{}", rack))};
  worker.accelerators_ = Accelerators(8);
  worker.slots_ = 8;
  worker.available_ = true;
  return worker;
}

PlacementJob MakeJob(std::uint64_t id, std::uint32_t accelerators,
                     Adjacency adjacency) {
  PlacementJob job;
  job.id_ = JobId(id);
  job.customer_ = CustomerId("acme");
  job.accelerators_ = Accelerators(accelerators);
  job.adjacency_ = adjacency;
  return job;
}

Table MakeTable(GuaranteedShape shape) {
  Table table;
  Row row;
  row.customer_ = CustomerId("acme");
  row.guaranteed_ = std::move(shape);
  table.rows_[row.customer_] = row;
  return table;
}

TEST_CASE("a gang stays within its adjacency") {
  PlacementPtr state = MakePlacement({}, Time(0));
  for (int i = 0; i < 4; ++i) SetWorker(*state, MakeWorker(i, i / 2), Time(0));
  SetTable(*state, MakeTable({{2, Accelerators(16), Adjacency::kRack}}));
  EnqueueJob(*state, MakeJob(1, 16, Adjacency::kRack));
  const PlacementDecisions decisions = Decide(*state, Time(0));
  REQUIRE(decisions.place_.size() == 1);
  REQUIRE(decisions.place_[0].slices_.size() == 2);
  CHECK(decisions.place_[0].guaranteed_);
  CHECK(decisions.place_[0].slices_[0].worker_ == WorkerId("w0"));
  CHECK(decisions.place_[0].slices_[1].worker_ == WorkerId("w1"));
}

TEST_CASE("a job that never fits is refused after settling, not before") {
  PlacementPtr state = MakePlacement({}, Time(0));
  SetWorker(*state, MakeWorker(0, 0), Time(0));
  SetTable(*state, MakeTable({{1, Accelerators(8), Adjacency::kWorker}}));
  EnqueueJob(*state, MakeJob(1, 9, Adjacency::kWorker));
  CHECK(Decide(*state, Time(0)).refuse_.empty());
  CHECK(Decide(*state, Time(3000)).refuse_.size() == 1);
}

}  // namespace
}  // namespace flamingohollow

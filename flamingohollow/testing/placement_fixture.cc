#include "flamingohollow/testing/placement_fixture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "flamingohollow/guarantee.h"

namespace flamingohollow {
namespace {

// Maximum flow from demands to workers, by augmenting paths of one unit.
class Flow {
 public:
  explicit Flow(std::vector<std::int64_t> free) : free_(std::move(free)) {}

  bool Serve(const TreeNode& domain, std::int64_t amount) {
    domains_.push_back(domain);
    flow_.emplace_back(free_.size(), 0);
    for (; amount > 0; --amount) {
      std::set<std::size_t> seen;
      if (!Augment(domains_.size() - 1, seen)) return false;
    }
    return true;
  }

 private:
  bool Augment(std::size_t demand, std::set<std::size_t>& seen) {
    for (std::size_t w = domains_[demand].first_; w < domains_[demand].end_;
         ++w) {
      if (!seen.insert(w).second) continue;
      if (TakeUnit(w, seen)) {
        ++flow_[demand][w];
        return true;
      }
    }
    return false;
  }

  // Takes one accelerator of the worker; if none is free, moves a unit of
  // another demand to another worker.
  bool TakeUnit(std::size_t worker, std::set<std::size_t>& seen) {
    if (free_[worker] > 0) {
      --free_[worker];
      return true;
    }
    for (std::size_t other = 0; other < flow_.size(); ++other) {
      if (flow_[other][worker] == 0 || !Augment(other, seen)) continue;
      --flow_[other][worker];
      return true;
    }
    return false;
  }

  std::vector<std::int64_t> free_;
  std::vector<TreeNode> domains_;
  std::vector<std::vector<std::int64_t>> flow_;
};

bool OracleAssign(const CapacityTree& tree,
                  const std::vector<std::int64_t>& free,
                  const std::vector<WitnessCell>& cells,
                  std::vector<NodeIndex>& nodes) {
  if (nodes.size() == cells.size()) {
    Flow flow(free);
    for (std::size_t i = 0; i < cells.size(); ++i) {
      if (!flow.Serve(GetNode(tree, nodes[i]), cells[i].accelerators_)) {
        return false;
      }
    }
    return true;
  }
  const Adjacency level = cells[nodes.size()].level_;
  for (const NodeIndex node : tree.levels_[LevelIndex(level)]) {
    nodes.push_back(node);
    if (OracleAssign(tree, free, cells, nodes)) return true;
    nodes.pop_back();
  }
  return false;
}

bool InOneDomain(const WorkerPlace& a, const WorkerPlace& b,
                 Adjacency adjacency) {
  if (adjacency == Adjacency::kRegion) return a.region_ == b.region_;
  if (a.failure_domain_ != b.failure_domain_) return false;
  return adjacency == Adjacency::kFailureDomain || a.rack_ == b.rack_;
}

}  // namespace

PlacementWorker MakeWorker(int index, int rack, std::uint32_t accelerators) {
  PlacementWorker worker;
  worker.id_ = WorkerId(fmt::format("w{}", index));
  worker.place_ = {Region("r"), FailureDomain(fmt::format("d{}", rack / 2)),
                   Rack(fmt::format("k{}", rack))};
  worker.accelerators_ = Accelerators(accelerators);
  worker.slots_ = 8;
  worker.available_ = true;
  return worker;
}

PlacementJob MakeJob(std::uint64_t id, const std::string& customer,
                     std::uint32_t accelerators, Adjacency adjacency,
                     bool reclaimable) {
  PlacementJob job;
  job.id_ = JobId(id);
  job.customer_ = CustomerId(customer);
  job.accelerators_ = Accelerators(accelerators);
  job.adjacency_ = adjacency;
  job.reclaimable_ = reclaimable;
  return job;
}

Table MakeTable(const std::map<std::string, GuaranteedShape>& shapes,
                std::uint32_t max_borrowed) {
  Table table;
  table.version_ = TableVersion(1);
  for (const auto& [name, shape] : shapes) {
    Row row;
    row.customer_ = CustomerId(name);
    row.guaranteed_ = shape;
    row.max_borrowed_ = max_borrowed;
    table.rows_[row.customer_] = row;
  }
  return table;
}

bool OracleFits(const CapacityTree& tree, const std::vector<std::int64_t>& free,
                const std::vector<WitnessCell>& cells) {
  std::vector<NodeIndex> nodes;
  return OracleAssign(tree, free, cells, nodes);
}

RandomCluster::RandomCluster(std::uint64_t seed, PlacementPolicy policy)
    : random_(seed) {
  PlacementOptions options;
  options.policy_ = policy;
  options.settling_time_ = Duration(1 << 30);
  state_ = MakePlacement(options, now_);
  const int workers = 3 + static_cast<int>(RandomBelow(4));
  for (int i = 0; i < workers; ++i) {
    workers_.push_back(MakeWorker(i, i / 2, 1 + RandomBelow(4)));
    SetWorker(*state_, workers_.back(), now_);
  }
  SetTable(*state_, RandomTable());
}

std::uint32_t RandomCluster::RandomBelow(std::uint32_t limit) {
  return static_cast<std::uint32_t>(random_() % limit);
}

PlacementJob RandomCluster::RandomJob() {
  PlacementJob job = MakeJob(
      next_job_++, fmt::format("c{}", RandomBelow(3)), 1 + RandomBelow(5),
      static_cast<Adjacency>(RandomBelow(4)), RandomBelow(2) == 0);
  job.urgent_ = RandomBelow(6) == 0;
  job.queued_at_ = now_;
  return job;
}

// A table whose guarantees the workers can keep, as the caller of SetTable
// refuses any other.
Table RandomCluster::RandomTable() {
  for (int attempt = 0; attempt < 20; ++attempt) {
    std::map<std::string, GuaranteedShape> shapes;
    for (int c = 0; c < 3; ++c) {
      GuaranteedShape shape;
      for (std::uint32_t cells = RandomBelow(3); cells > 0; --cells) {
        shape.push_back({1 + RandomBelow(2), Accelerators(1 + RandomBelow(4)),
                         static_cast<Adjacency>(RandomBelow(4))});
      }
      shapes[fmt::format("c{}", c)] = shape;
    }
    Table table = MakeTable(shapes, 6);
    if (!CheckGuarantees(*state_, table).empty()) continue;
    table.version_ = TableVersion(next_version_++);
    return table;
  }
  return MakeTable({{"c0", {}}, {"c1", {}}, {"c2", {}}}, 6);
}

void RandomCluster::ChangeWorker() {
  PlacementWorker& worker =
      workers_[RandomBelow(static_cast<std::uint32_t>(workers_.size()))];
  switch (RandomBelow(4)) {
    case 0:
      RemoveWorker(*state_, worker.id_, now_);
      return;
    case 1:
      worker.available_ = false;
      break;
    default:
      worker.available_ = true;
      break;
  }
  SetWorker(*state_, worker, now_);
}

void RandomCluster::EndRandomGang() {
  if (held_.empty()) return;
  const auto it = std::next(
      held_.begin(), RandomBelow(static_cast<std::uint32_t>(held_.size())));
  const PlacementJob job = it->second.job_;
  held_.erase(it);
  if (RandomBelow(4) == 0) {
    EnqueueJob(*state_, job);
    waiting_[job.id_] = job;
  } else {
    RemoveJob(*state_, job.id_);
  }
}

void RandomCluster::CarryOutReclaims() {
  for (auto it = held_.begin(); it != held_.end();) {
    if (!it->second.reclaimed_) {
      ++it;
      continue;
    }
    EnqueueJob(*state_, it->second.job_);
    waiting_[it->first] = it->second.job_;
    it = held_.erase(it);
  }
}

void RandomCluster::CheckPlace(const PlaceDecision& place) {
  const auto job = waiting_.find(place.job_);
  REQUIRE(job != waiting_.end());
  CHECK((place.guaranteed_ || job->second.reclaimable_));
  std::uint32_t sum = 0;
  std::set<WorkerId> used;
  const WorkerPlace* first = nullptr;
  for (const Slice& slice : place.slices_) {
    CHECK(used.insert(slice.worker_).second);
    sum += slice.accelerators_.value();
    const auto worker = std::find_if(
        workers_.begin(), workers_.end(),
        [&](const PlacementWorker& w) { return w.id_ == slice.worker_; });
    REQUIRE(worker != workers_.end());
    CHECK(worker->available_);
    if (first == nullptr) first = &worker->place_;
    CHECK(InOneDomain(*first, worker->place_, job->second.adjacency_));
  }
  if (job->second.adjacency_ == Adjacency::kWorker) CHECK(used.size() == 1);
  CHECK(sum == job->second.accelerators_.value());
  held_[place.job_] = {job->second, place.slices_, place.guaranteed_, false};
  waiting_.erase(job);
}

void RandomCluster::CheckReclaim(const ReclaimDecision& reclaim) {
  const auto held = held_.find(reclaim.job_);
  REQUIRE(held != held_.end());
  CHECK(held->second.job_.reclaimable_);
  CHECK_FALSE(held->second.guaranteed_);
  CHECK_FALSE(held->second.reclaimed_);
  held->second.reclaimed_ = true;
  ++reclaimed_;
}

// Checks that no worker's accelerators or slots are exceeded.
void RandomCluster::CheckWorkers() const {
  for (const PlacementWorker& worker : workers_) {
    std::uint32_t accelerators = 0;
    std::uint32_t slots = 0;
    for (const auto& [id, held] : held_) {
      for (const Slice& slice : held.slices_) {
        if (slice.worker_ != worker.id_) continue;
        accelerators += slice.accelerators_.value();
        ++slots;
      }
    }
    CHECK(accelerators <= worker.accelerators_.value());
    CHECK(slots <= worker.slots_);
  }
}

PlacementDecisions RandomCluster::DecideAndCheck() {
  PlacementDecisions decisions = Decide(*state_, now_);
  for (const PlaceDecision& place : decisions.place_) CheckPlace(place);
  for (const ReclaimDecision& reclaim : decisions.reclaim_) {
    CheckReclaim(reclaim);
  }
  CheckWorkers();
  // A borrower may have moved onto guaranteed cells.
  for (auto& [id, held] : held_) {
    held.guaranteed_ = IsGuaranteed(state_->gangs_.at(id));
  }
  return decisions;
}

void RandomCluster::Step() {
  now_ = now_ + Duration(100);
  switch (RandomBelow(12)) {
    case 0:
    case 1:
      EndRandomGang();
      break;
    case 2:
      ChangeWorker();
      break;
    case 3:
      SetTable(*state_, RandomTable());
      // Gangs may have lost their cells.
      for (auto& [id, held] : held_) held.guaranteed_ = false;
      break;
    case 4:
    case 5:
      CarryOutReclaims();
      break;
    case 6:
      if (waiting_.empty()) break;
      RemoveJob(*state_, waiting_.begin()->first);
      waiting_.erase(waiting_.begin());
      break;
    default: {
      const PlacementJob job = RandomJob();
      waiting_[job.id_] = job;
      EnqueueJob(*state_, job);
      break;
    }
  }
  DecideAndCheck();
}

void RandomCluster::ClaimUnused() {
  const std::vector<GuaranteeStatus> statuses = GuaranteeStatuses(*state_);
  const std::uint32_t index =
      RandomBelow(static_cast<std::uint32_t>(statuses.size()));
  if (!statuses[index].backed_) return;
  // Waiting jobs of the customer would use part of its guarantee.
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->second.customer_ != statuses[index].customer_) {
      ++it;
      continue;
    }
    RemoveJob(*state_, it->first);
    it = waiting_.erase(it);
  }
  DecideAndCheck();
  std::vector<PlacementJob> claimed;
  for (const WitnessCell& cell : state_->witness_.cells_) {
    if (cell.customer_ != CustomerIndex(index)) continue;
    REQUIRE(cell.backed_);
    if (Remaining(cell) == 0) continue;
    claimed.push_back(MakeJob(next_job_++, statuses[index].customer_.value(),
                              static_cast<std::uint32_t>(Remaining(cell)),
                              cell.level_));
  }
  std::shuffle(claimed.begin(), claimed.end(), random_);
  for (const PlacementJob& job : claimed) {
    waiting_[job.id_] = job;
    EnqueueJob(*state_, job);
  }
  for (int round = 0; round < 3; ++round) {
    DecideAndCheck();
    CarryOutReclaims();
  }
  DecideAndCheck();
  for (const PlacementJob& job : claimed) {
    INFO("job ", job.id_.value(), " of ", job.accelerators_.value());
    REQUIRE(held_.contains(job.id_));
    CHECK(held_.at(job.id_).guaranteed_);
    ++claimed_;
  }
}

}  // namespace flamingohollow

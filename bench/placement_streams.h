// Clusters and job streams for the placement benchmark: lists of arrivals and
// outages generated from a fixed seed. Only run times, failures and worker
// losses are simulated.

#ifndef BENCH_PLACEMENT_STREAMS_H_
#define BENCH_PLACEMENT_STREAMS_H_

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "flamingohollow/placement.h"

namespace flamingohollow::bench {

inline constexpr Duration kSecond = Duration(1000);
inline constexpr Duration kMinute = Duration(60 * 1000);
inline constexpr Duration kHour = Duration(60 * 60 * 1000);

// Gangs of at least this many accelerators count as large.
inline constexpr std::uint32_t kLargeGang = 16;

// A kind of gang; it makes up `weight_` parts of the sum of all kinds' weights.
struct GangKind {
  int weight_ = 0;
  std::uint32_t accelerators_ = 0;
  Adjacency adjacency_ = Adjacency::kWorker;
  Duration mean_run_;
};

struct BenchCluster {
  std::string name_;
  std::vector<PlacementWorker> workers_;
  Table table_;
  std::vector<GangKind> kinds_;
  // Number of tasks without accelerators that run all the time.
  int background_tasks_ = 0;
  std::uint32_t accelerators_ = 0;
};

struct Arrival {
  PlacementJob job_;
  Duration true_run_;
};

struct Outage {
  Time from_;
  Time to_;
  std::vector<WorkerId> workers_;
};

struct Stream {
  std::string name_;
  // In order of arrival.
  std::vector<Arrival> arrivals_;
  std::vector<Outage> outages_;
  std::set<WorkerId> failing_;
  // At this time all waiting jobs are cancelled. Empty for streams without a
  // cancellation.
  std::optional<Time> cancel_at_;
  Time end_;
};

enum class StreamKind {
  kSteady,
  kSmallBurst,
  kLargeBurst,
  kWrongTimes,
  kCancelWave,
  kFailingTenth,
  kRackLost,
  kDomainLost,
};

inline const std::vector<std::pair<StreamKind, std::string>> kStreams = {
    {StreamKind::kSteady, "steady mix"},
    {StreamKind::kSmallBurst, "burst of small"},
    {StreamKind::kLargeBurst, "burst of large"},
    {StreamKind::kWrongTimes, "declared times wrong by 10x"},
    {StreamKind::kCancelWave, "cancel wave"},
    {StreamKind::kFailingTenth, "a tenth of workers fails everything"},
    {StreamKind::kRackLost, "a rack lost"},
    {StreamKind::kDomainLost, "a failure domain lost"},
};

inline PlacementWorker BenchWorker(int index, const WorkerPlace& place,
                                   std::uint32_t accelerators,
                                   std::uint32_t slots) {
  PlacementWorker worker;
  worker.id_ = WorkerId(fmt::format("w{:04}", index));
  worker.place_ = place;
  worker.accelerators_ = Accelerators(accelerators);
  worker.slots_ = slots;
  worker.available_ = true;
  return worker;
}

inline void AddRow(Table& table, const std::string& name, double weight,
                   GuaranteedShape shape, std::uint32_t max_borrowed) {
  Row row;
  row.customer_ = CustomerId(name);
  row.weight_ = weight;
  row.guaranteed_ = std::move(shape);
  row.max_borrowed_ = max_borrowed;
  table.rows_[row.customer_] = row;
}

inline void CountAccelerators(BenchCluster& cluster) {
  for (const PlacementWorker& worker : cluster.workers_) {
    cluster.accelerators_ += worker.accelerators_.value();
  }
}

// 50 workers with 8 accelerators each, as in the users' present clusters.
inline BenchCluster MakeUserCluster(const std::string& name, int rack_size,
                                    int domains) {
  BenchCluster cluster;
  cluster.name_ = name;
  for (int i = 0; i < 50; ++i) {
    const int rack = i / rack_size;
    cluster.workers_.push_back(BenchWorker(
        i,
        {Region("r0"), FailureDomain(fmt::format("d{}", rack % domains)),
         Rack(fmt::format("k{:02}", rack))},
        8, 8));
  }
  CountAccelerators(cluster);
  cluster.table_.version_ = TableVersion(1);
  const Adjacency rack = Adjacency::kRack;
  const Adjacency worker = Adjacency::kWorker;
  AddRow(cluster.table_, "c0", 4,
         {{4, Accelerators(16), rack}, {4, Accelerators(8), worker}}, 400);
  AddRow(cluster.table_, "c1", 3,
         {{6, Accelerators(8), worker}, {8, Accelerators(4), worker}}, 400);
  AddRow(cluster.table_, "c2", 2, {{2, Accelerators(32), rack}}, 400);
  AddRow(cluster.table_, "c3", 1, {{16, Accelerators(1), worker}}, 400);
  cluster.kinds_ = {{45, 1, worker, kMinute * 4},
                    {10, 1, Adjacency::kRegion, kMinute * 4},
                    {12, 4, worker, kMinute * 8},
                    {8, 4, Adjacency::kRegion, kMinute * 8},
                    {10, 8, worker, kMinute * 12},
                    {5, 8, Adjacency::kFailureDomain, kMinute * 12},
                    {7, 16, rack, kMinute * 20},
                    {3, 32, rack, kMinute * 30}};
  return cluster;
}

// 1,700 workers with 1,900 accelerators in total: racks of 16 workers. Every
// seventh rack has 8 accelerators per worker until all are assigned.
inline BenchCluster MakeTargetCluster() {
  BenchCluster cluster;
  cluster.name_ = "target";
  std::uint32_t left = 1900;
  for (int i = 0; i < 1700; ++i) {
    const int rack = i / 16;
    const int domain = rack % 5;
    const std::uint32_t here =
        rack % 7 == 0 ? std::min<std::uint32_t>(8, left) : 0;
    left -= here;
    cluster.workers_.push_back(
        BenchWorker(i,
                    {Region(fmt::format("r{}", domain / 3)),
                     FailureDomain(fmt::format("d{}", domain)),
                     Rack(fmt::format("k{:03}", rack))},
                    here, 24));
  }
  CountAccelerators(cluster);
  cluster.table_.version_ = TableVersion(1);
  for (int c = 0; c < 70; ++c) {
    GuaranteedShape shape = {{1, Accelerators(4), Adjacency::kWorker},
                             {2, Accelerators(1), Adjacency::kWorker}};
    if (c < 10) {
      shape = {{1, Accelerators(64), Adjacency::kRack},
               {2, Accelerators(8), Adjacency::kWorker}};
    }
    AddRow(cluster.table_, fmt::format("c{}", c), c < 10 ? 4 : 1, shape, 400);
  }
  cluster.kinds_ = {{50, 1, Adjacency::kWorker, kHour},
                    {20, 4, Adjacency::kWorker, kHour * 2},
                    {17, 8, Adjacency::kWorker, kHour * 3},
                    {8, 32, Adjacency::kRack, kHour * 3},
                    {4, 64, Adjacency::kRack, kHour * 3},
                    {1, 128, Adjacency::kFailureDomain, kHour * 3}};
  cluster.background_tasks_ = 32000;
  return cluster;
}

// Generates arrivals and outages for one cluster.
class StreamGenerator {
 public:
  StreamGenerator(const BenchCluster& cluster, std::uint64_t seed)
      : cluster_(cluster), random_(seed) {}

  Stream Make(StreamKind kind, const std::string& name, Duration length,
              double load) {
    Stream stream;
    stream.name_ = name;
    stream.end_ = Time(0) + length * 3;
    AddSteady(stream, length, load, kind == StreamKind::kWrongTimes);
    const Time middle = Time(0) + length / 3;
    const auto scale = static_cast<int>(cluster_.accelerators_);
    switch (kind) {
      case StreamKind::kSmallBurst:
        AddBurst(stream, middle, scale * 3, false);
        break;
      case StreamKind::kLargeBurst:
        AddBurst(stream, middle, scale / 20, true);
        break;
      case StreamKind::kCancelWave:
        AddBurst(stream, middle, scale * 2, false);
        AddBurst(stream, middle, scale / 20, true);
        stream.cancel_at_ = middle + kMinute;
        break;
      case StreamKind::kFailingTenth:
        for (std::size_t i = 0; i < cluster_.workers_.size(); i += 10) {
          stream.failing_.insert(cluster_.workers_[i].id_);
        }
        break;
      case StreamKind::kRackLost:
        AddOutage(stream, middle, length / 3, Adjacency::kRack);
        break;
      case StreamKind::kDomainLost:
        AddOutage(stream, middle, length / 6, Adjacency::kFailureDomain);
        break;
      case StreamKind::kSteady:
      case StreamKind::kWrongTimes:
        break;
    }
    std::stable_sort(stream.arrivals_.begin(), stream.arrivals_.end(),
                     [](const Arrival& a, const Arrival& b) {
                       return a.job_.queued_at_ < b.job_.queued_at_;
                     });
    return stream;
  }

 private:
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Duration Exponential(Duration mean) {
    const double drawn = -std::log(1 - Uniform());
    return Duration(
        1 + static_cast<std::int64_t>(drawn * static_cast<double>(mean.ms())));
  }

  const GangKind& PickKind() {
    int total = 0;
    for (const GangKind& kind : cluster_.kinds_) total += kind.weight_;
    int at = static_cast<int>(Uniform() * total);
    for (const GangKind& kind : cluster_.kinds_) {
      if (at < kind.weight_) return kind;
      at -= kind.weight_;
    }
    return cluster_.kinds_.front();
  }

  Arrival MakeArrival(const GangKind& kind, Time at) {
    Arrival arrival;
    arrival.job_.id_ = JobId(next_++);
    auto row = cluster_.table_.rows_.begin();
    std::advance(row, static_cast<std::ptrdiff_t>(
                          Uniform() *
                          static_cast<double>(cluster_.table_.rows_.size())));
    arrival.job_.customer_ = row->first;
    arrival.job_.accelerators_ = Accelerators(kind.accelerators_);
    arrival.job_.adjacency_ = kind.adjacency_;
    arrival.job_.reclaimable_ = true;
    arrival.job_.urgent_ = Uniform() < 0.02;
    arrival.job_.queued_at_ = at;
    arrival.true_run_ = Exponential(kind.mean_run_) + kind.mean_run_ / 4;
    arrival.job_.run_time_ = arrival.true_run_;
    return arrival;
  }

  // Adds jobs that use `load`, a share of all accelerators, on average over
  // `length`.
  void AddSteady(Stream& stream, Duration length, double load,
                 bool wrong_run_times) {
    double work = 0;
    const double wanted =
        load * cluster_.accelerators_ * static_cast<double>(length.ms());
    while (work < wanted) {
      const Time at(static_cast<std::int64_t>(
          Uniform() * static_cast<double>(length.ms())));
      Arrival arrival = MakeArrival(PickKind(), at);
      if (wrong_run_times) {
        arrival.job_.run_time_ =
            Uniform() < 0.5 ? arrival.true_run_ * 10 : arrival.true_run_ / 10;
      }
      work += static_cast<double>(arrival.job_.accelerators_.value()) *
              static_cast<double>(arrival.true_run_.ms());
      stream.arrivals_.push_back(arrival);
    }
  }

  void AddBurst(Stream& stream, Time at, int jobs, bool large) {
    const GangKind kind = large ? GangKind{1, 32, Adjacency::kRack, kMinute * 8}
                                : GangKind{1, 1, Adjacency::kWorker, kMinute};
    for (int i = 0; i < jobs; ++i) {
      stream.arrivals_.push_back(MakeArrival(kind, at + kSecond * (i % 10)));
    }
  }

  void AddOutage(Stream& stream, Time at, Duration length, Adjacency level) {
    // The first worker of every cluster has accelerators.
    const WorkerPlace& place = cluster_.workers_.front().place_;
    Outage outage{at, at + length, {}};
    for (const PlacementWorker& worker : cluster_.workers_) {
      if (worker.place_.failure_domain_ != place.failure_domain_) continue;
      const bool same_rack = worker.place_.rack_ == place.rack_;
      if (level == Adjacency::kRack && !same_rack) continue;
      outage.workers_.push_back(worker.id_);
    }
    stream.outages_.push_back(outage);
  }

  const BenchCluster& cluster_;
  std::mt19937_64 random_;
  std::uint64_t next_ = 1;
};

}  // namespace flamingohollow::bench

#endif  // BENCH_PLACEMENT_STREAMS_H_

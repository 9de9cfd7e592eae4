// Compares the placement policies.
//
//   placement_bench [--quick] [--cluster=NAME] [--stream=NAME]
//
// Runs job streams through the placement functions under a virtual clock and
// prints one table for each cluster and stream. Everything but the decision
// times is reproducible.

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstring>
#include <map>
#include <queue>

#include "bench/placement_streams.h"
#include "flamingohollow/placement.h"

namespace flamingohollow::bench {
namespace {

// Bytes that are allocated on the heap now.
std::int64_t LiveBytes() {
  return static_cast<std::int64_t>(mallinfo2().uordblks);
}

// Time from the decision to stop a gang until its leases have been released.
constexpr Duration kStopDelay = Duration(500);
// Time from the loss of a worker until the leases of its gangs have expired.
constexpr Duration kLeaseExpiry = Duration(12 * 1000);
// Time after which a failing worker fails a task.
constexpr Duration kFailureDelay = Duration(1000);
constexpr Duration kSampleInterval = kMinute;

struct Samples {
  std::vector<double> values_;

  double Quantile(double q) {
    if (values_.empty()) return 0;
    std::sort(values_.begin(), values_.end());
    const auto last = static_cast<double>(values_.size() - 1);
    return values_[static_cast<std::size_t>(std::lround(q * last))];
  }
  double Mean() const {
    double sum = 0;
    for (const double value : values_) sum += value;
    return values_.empty() ? 0 : sum / static_cast<double>(values_.size());
  }
};

void Append(Samples& to, const Samples& from) {
  to.values_.insert(to.values_.end(), from.values_.begin(), from.values_.end());
}

struct Measurements {
  // Minutes from submission to completion.
  Samples completion_;
  Samples large_completion_;
  // Minutes that large gangs waited in the queue before each start.
  Samples large_wait_;
  Samples fragmentation_;
  // Milliseconds for each call of Decide.
  Samples decide_ms_;
  int reclaims_ = 0;
  double lost_accelerator_hours_ = 0;
  std::int64_t state_bytes_ = 0;
  int unfinished_ = 0;
};

// Adds the results of one run, to pool the runs of several seeds.
void MergeInto(Measurements& to, const Measurements& from) {
  Append(to.completion_, from.completion_);
  Append(to.large_completion_, from.large_completion_);
  Append(to.large_wait_, from.large_wait_);
  Append(to.fragmentation_, from.fragmentation_);
  Append(to.decide_ms_, from.decide_ms_);
  to.reclaims_ += from.reclaims_;
  to.lost_accelerator_hours_ += from.lost_accelerator_hours_;
  to.state_bytes_ = std::max(to.state_bytes_, from.state_bytes_);
  to.unfinished_ += from.unfinished_;
}

enum class EventKind { kArrive, kFinish, kFail, kRequeue, kDown, kUp, kCancel };

struct Event {
  Time at_;
  std::uint64_t sequence_ = 0;
  EventKind kind_ = EventKind::kArrive;
  JobId job_;
  int attempt_ = 0;
  std::size_t index_ = 0;
  WorkerId worker_;

  friend bool operator>(const Event& a, const Event& b) {
    return std::pair(a.at_, a.sequence_) > std::pair(b.at_, b.sequence_);
  }
};

struct TrackedJob {
  Arrival arrival_;
  int attempt_ = 0;
  bool running_ = false;
  Time waiting_since_;
  Time started_at_;
  std::vector<Slice> slices_;
};

// Simulates one stream under one policy.
class StreamRun {
 public:
  StreamRun(const BenchCluster& cluster, const Stream& stream,
            const PlacementOptions& options)
      : cluster_(cluster),
        stream_(stream),
        state_(MakePlacement(options, Time(0) - kHour)) {
    SetTable(*state_, cluster.table_);
    for (const PlacementWorker& worker : cluster.workers_) {
      SetWorker(*state_, worker, Time(0) - kHour);
      workers_[worker.id_] = worker;
    }
    FillBackground();
    ScheduleStream();
  }

  Measurements Execute() {
    while (!events_.empty() && events_.top().at_ <= stream_.end_) {
      now_ = events_.top().at_;
      Sample();
      while (!events_.empty() && events_.top().at_ == now_) {
        const Event event = events_.top();
        events_.pop();
        Handle(event);
      }
      RunDecisions(true);
    }
    measurements_.unfinished_ = static_cast<int>(jobs_.size());
    const std::int64_t with_state = LiveBytes();
    state_.reset();
    measurements_.state_bytes_ = with_state - LiveBytes();
    return std::move(measurements_);
  }

 private:
  void FillBackground() {
    const std::uint64_t first = 1'000'000'000;
    for (int i = 0; i < cluster_.background_tasks_; ++i) {
      PlacementJob job;
      job.id_ = JobId(first + static_cast<std::uint64_t>(i));
      job.customer_ = CustomerId(fmt::format("c{}", i % 70));
      job.reclaimable_ = true;
      EnqueueJob(*state_, job);
    }
    RunDecisions(false);
  }

  void Push(Event event) {
    event.sequence_ = next_sequence_++;
    events_.push(std::move(event));
  }

  void ScheduleStream() {
    for (std::size_t i = 0; i < stream_.arrivals_.size(); ++i) {
      Event event;
      event.at_ = stream_.arrivals_[i].job_.queued_at_;
      event.index_ = i;
      Push(event);
    }
    for (std::size_t i = 0; i < stream_.outages_.size(); ++i) {
      Event event;
      event.index_ = i;
      event.kind_ = EventKind::kDown;
      event.at_ = stream_.outages_[i].from_;
      Push(event);
      event.kind_ = EventKind::kUp;
      event.at_ = stream_.outages_[i].to_;
      Push(event);
    }
    if (stream_.cancel_at_) {
      Event event;
      event.kind_ = EventKind::kCancel;
      event.at_ = *stream_.cancel_at_;
      Push(event);
    }
  }

  void Sample() {
    if (now_ < next_sample_) return;
    measurements_.fragmentation_.values_.push_back(Fragmentation(*state_));
    next_sample_ = now_ + kSampleInterval;
  }

  void Handle(const Event& event) {
    switch (event.kind_) {
      case EventKind::kArrive:
        Arrive(stream_.arrivals_[event.index_]);
        return;
      case EventKind::kDown:
        SetAvailable(stream_.outages_[event.index_].workers_, false);
        return;
      case EventKind::kUp:
        SetAvailable(stream_.outages_[event.index_].workers_, true);
        return;
      case EventKind::kCancel:
        CancelWaiting();
        return;
      case EventKind::kFinish:
      case EventKind::kFail:
      case EventKind::kRequeue:
        break;
    }
    const auto it = jobs_.find(event.job_);
    if (it == jobs_.end() || it->second.attempt_ != event.attempt_) return;
    if (event.kind_ == EventKind::kFinish) {
      Finish(it->second);
      return;
    }
    if (event.kind_ == EventKind::kFail) {
      RecordTaskResult(*state_, event.job_, event.worker_, false, now_);
    }
    Requeue(it->second);
  }

  void Arrive(const Arrival& arrival) {
    TrackedJob tracked;
    tracked.arrival_ = arrival;
    tracked.waiting_since_ = now_;
    jobs_[arrival.job_.id_] = tracked;
    EnqueueJob(*state_, arrival.job_);
  }

  void Finish(TrackedJob& tracked) {
    const PlacementJob job = tracked.arrival_.job_;
    for (const Slice& slice : tracked.slices_) {
      RecordTaskResult(*state_, job.id_, slice.worker_, true, now_);
    }
    RemoveJob(*state_, job.id_);
    const double minutes = Minutes(now_ - job.queued_at_);
    measurements_.completion_.values_.push_back(minutes);
    if (job.accelerators_.value() >= kLargeGang) {
      measurements_.large_completion_.values_.push_back(minutes);
    }
    jobs_.erase(job.id_);
  }

  void Requeue(TrackedJob& tracked) {
    RecordLostWork(tracked);
    ++tracked.attempt_;
    tracked.running_ = false;
    tracked.waiting_since_ = now_;
    EnqueueJob(*state_, tracked.arrival_.job_);
  }

  void RecordLostWork(const TrackedJob& tracked) {
    if (!tracked.running_) return;
    measurements_.lost_accelerator_hours_ +=
        Minutes(now_ - tracked.started_at_) / 60 *
        tracked.arrival_.job_.accelerators_.value();
  }

  void SetAvailable(const std::vector<WorkerId>& ids, bool available) {
    const std::set<WorkerId> lost(ids.begin(), ids.end());
    for (const WorkerId& id : ids) {
      workers_[id].available_ = available;
      SetWorker(*state_, workers_[id], now_);
    }
    if (available) return;
    for (auto& [id, tracked] : jobs_) {
      if (!tracked.running_) continue;
      const bool affected = std::any_of(
          tracked.slices_.begin(), tracked.slices_.end(),
          [&](const Slice& slice) { return lost.contains(slice.worker_); });
      if (affected) ScheduleRequeue(tracked, kLeaseExpiry);
    }
  }

  void ScheduleRequeue(TrackedJob& tracked, Duration after) {
    // Invalidates the events of the running attempt, which ends here.
    ++tracked.attempt_;
    Event event;
    event.at_ = now_ + after;
    event.kind_ = EventKind::kRequeue;
    event.job_ = tracked.arrival_.job_.id_;
    event.attempt_ = tracked.attempt_;
    Push(event);
  }

  void CancelWaiting() {
    for (auto it = jobs_.begin(); it != jobs_.end();) {
      if (it->second.running_) {
        ++it;
        continue;
      }
      RemoveJob(*state_, it->first);
      it = jobs_.erase(it);
    }
  }

  void RunDecisions(bool record_times) {
    bool more = true;
    while (more) {
      const auto start = std::chrono::steady_clock::now();
      const PlacementDecisions decisions = Decide(*state_, now_);
      const auto elapsed = std::chrono::steady_clock::now() - start;
      more = decisions.more_;
      if (record_times) {
        measurements_.decide_ms_.values_.push_back(
            std::chrono::duration<double, std::milli>(elapsed).count());
      }
      for (const PlaceDecision& place : decisions.place_) Start(place);
      for (const ReclaimDecision& reclaim : decisions.reclaim_) {
        Reclaim(reclaim);
      }
      for (const RefuseDecision& refuse : decisions.refuse_) {
        jobs_.erase(refuse.job_);
      }
    }
  }

  void Start(const PlaceDecision& place) {
    const auto it = jobs_.find(place.job_);
    if (it == jobs_.end()) return;
    TrackedJob& tracked = it->second;
    tracked.running_ = true;
    tracked.started_at_ = now_;
    tracked.slices_ = place.slices_;
    if (tracked.arrival_.job_.accelerators_.value() >= kLargeGang) {
      measurements_.large_wait_.values_.push_back(
          Minutes(now_ - tracked.waiting_since_));
    }
    Event event;
    event.job_ = place.job_;
    event.attempt_ = tracked.attempt_;
    event.at_ = now_ + tracked.arrival_.true_run_;
    event.kind_ = EventKind::kFinish;
    for (const Slice& slice : place.slices_) {
      if (!stream_.failing_.contains(slice.worker_)) continue;
      event.at_ = now_ + kFailureDelay;
      event.kind_ = EventKind::kFail;
      event.worker_ = slice.worker_;
    }
    Push(event);
  }

  void Reclaim(const ReclaimDecision& reclaim) {
    ++measurements_.reclaims_;
    const auto it = jobs_.find(reclaim.job_);
    if (it != jobs_.end()) {
      ScheduleRequeue(it->second, kStopDelay);
      return;
    }
    // Background tasks are not queued again.
    RemoveJob(*state_, reclaim.job_);
  }

  static double Minutes(Duration duration) {
    return static_cast<double>(duration.ms()) /
           static_cast<double>(kMinute.ms());
  }

  const BenchCluster& cluster_;
  const Stream& stream_;
  PlacementPtr state_;
  std::map<WorkerId, PlacementWorker> workers_;
  std::map<JobId, TrackedJob> jobs_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_sequence_ = 0;
  Time now_ = Time(0) - kHour;
  Time next_sample_;
  Measurements measurements_;
};

constexpr std::pair<PlacementPolicy, const char*> kPolicies[] = {
    {PlacementPolicy::kFirstFit, "first fit"},
    {PlacementPolicy::kBestFit, "best fit"},
    {PlacementPolicy::kBuddyCells, "buddy cells"},
    {PlacementPolicy::kFragmentationGradient, "gradient"},
};

std::size_t CountJobs(const std::vector<Stream>& streams) {
  std::size_t jobs = 0;
  for (const Stream& stream : streams) jobs += stream.arrivals_.size();
  return jobs;
}

void PrintHeader(const BenchCluster& cluster, const std::string& name,
                 std::size_t jobs) {
  fmt::print("\n### {}: {} ({} jobs)\n\n", cluster.name_, name, jobs);
  fmt::print(
      "| policy | reserve | completion min, median | 95th | 99th | large "
      "median | large 95th | large 99th | longest large wait min | fragm. "
      "mean | fragm. 95th | reclaims | lost acc. h | Decide ms, median | 99th "
      "| state MB | open |\n");
  fmt::print(
      "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:"
      "|--:|\n");
}

void PrintRow(const char* policy, bool reservations,
              Measurements measurements) {
  fmt::print(
      "| {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | "
      "{:.1f} | {:.3f} | {:.3f} | {} | {:.1f} | {:.3f} | {:.3f} | {:.1f} | {} "
      "|\n",
      policy, reservations ? "yes" : "no",
      measurements.completion_.Quantile(0.5),
      measurements.completion_.Quantile(0.95),
      measurements.completion_.Quantile(0.99),
      measurements.large_completion_.Quantile(0.5),
      measurements.large_completion_.Quantile(0.95),
      measurements.large_completion_.Quantile(0.99),
      measurements.large_wait_.Quantile(1), measurements.fragmentation_.Mean(),
      measurements.fragmentation_.Quantile(0.95), measurements.reclaims_,
      measurements.lost_accelerator_hours_,
      measurements.decide_ms_.Quantile(0.5),
      measurements.decide_ms_.Quantile(0.99),
      static_cast<double>(measurements.state_bytes_) / 1e6,
      measurements.unfinished_);
}

// Makes one stream for each seed; the results of their runs are pooled.
std::vector<Stream> MakeStreams(const BenchCluster& cluster, StreamKind kind,
                                const std::string& name, Duration length,
                                double load, std::uint64_t seeds) {
  std::vector<Stream> streams;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    streams.push_back(
        StreamGenerator(cluster, seed).Make(kind, name, length, load));
  }
  return streams;
}

void MeasureCluster(const BenchCluster& cluster, Duration length, double load,
                    std::uint64_t seeds, bool quick, const std::string& only) {
  std::map<std::pair<PlacementPolicy, bool>, Measurements> all;
  std::size_t all_jobs = 0;
  for (const auto& [kind, name] : kStreams) {
    if (quick && kind != StreamKind::kSteady) continue;
    if (!only.empty() && name != only) continue;
    const std::vector<Stream> streams =
        MakeStreams(cluster, kind, name, length, load, seeds);
    all_jobs += CountJobs(streams);
    PrintHeader(cluster, name, CountJobs(streams));
    for (const auto& [policy, policy_name] : kPolicies) {
      for (const bool reservations : {true, false}) {
        PlacementOptions options;
        options.policy_ = policy;
        options.reservations_ = reservations;
        Measurements pooled;
        for (const Stream& stream : streams) {
          MergeInto(pooled, StreamRun(cluster, stream, options).Execute());
        }
        MergeInto(all[{policy, reservations}], pooled);
        PrintRow(policy_name, reservations, std::move(pooled));
        std::fflush(stdout);
      }
    }
  }
  PrintHeader(cluster, "all streams together", all_jobs);
  for (const auto& [policy, policy_name] : kPolicies) {
    for (const bool reservations : {true, false}) {
      PrintRow(policy_name, reservations,
               std::move(all[{policy, reservations}]));
    }
  }
}

int Main(int argc, char** argv) {
  bool quick = false;
  std::string only_cluster;
  std::string only_stream;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--quick") {
      quick = true;
    } else if (argument.starts_with("--cluster=")) {
      only_cluster = argument.substr(std::strlen("--cluster="));
    } else if (argument.starts_with("--stream=")) {
      only_stream = argument.substr(std::strlen("--stream="));
    } else {
      fmt::print(stderr,
                 "usage: {} [--quick] [--cluster=NAME] [--stream=NAME]\n",
                 argv[0]);
      return 2;
    }
  }
  constexpr double kLoad = 0.8;
  for (const BenchCluster& cluster :
       {MakeUserCluster("sen-vang", 8, 3), MakeUserCluster("saa-sahihi", 6, 4),
        MakeTargetCluster()}) {
    if (!only_cluster.empty() && cluster.name_ != only_cluster) continue;
    const bool target = cluster.background_tasks_ > 0;
    const Duration length = quick ? kHour : kHour * (target ? 12 : 8);
    const std::uint64_t seeds = quick || target ? 1 : 3;
    MeasureCluster(cluster, length, kLoad, seeds, quick, only_stream);
  }
  return 0;
}

}  // namespace
}  // namespace flamingohollow::bench

int main(int argc, char** argv) {
  return flamingohollow::bench::Main(argc, argv);
}

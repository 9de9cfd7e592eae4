// Draws the streams, plays them, and weighs what callers got.

#include "flamingohollow/testing/graph_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace flamingohollow::testing {
namespace {

constexpr Duration kLead(3000);
// After the last job came, for what is late.
constexpr Duration kTail(45'000);
constexpr Duration kTroubleFrom(8000);
constexpr Duration kTroubleFor(8000);
constexpr double kBurst = 3;
constexpr double kSlowness = 8;
constexpr int kTroubledWorkers = 10;
constexpr double kCancelled = 0.25;
// A job is worth this much of its queue's worth whatever its size; the rest
// goes by its work, up to a bound.
constexpr double kFlatWorth = 0.3;
constexpr double kMaxWorth = 4;
// Spread of one step's tasks around the job's own mean.
constexpr double kUneven = 0.3;
constexpr double kLateFactor = 3;
// The size of the users' first pools, which the widths of jobs are given for.
constexpr double kSmallPool = 48;
constexpr double kMaxUrgentWidth = 1.6;

struct Arrival {
  Time at_;
  std::size_t queue_ = 0;
  SubmitRecord record_;
  RealWork work_;
  // Of all its tasks, in core-seconds.
  double size_ = 0;
  Duration longest_;
  bool cancelled_ = false;
};

class Draws {
 public:
  explicit Draws(std::uint64_t seed) : random_(seed) {}

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Chance(double share) { return Uniform() < share; }
  // Log-normal with this mean.
  double Around(double mean, double spread) {
    return mean * std::exp(spread * Normal() - spread * spread / 2);
  }
  double Normal() { return std::normal_distribution<double>(0, 1)(random_); }
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  Duration Until(double per_s) {
    return Duration(std::llround(-std::log(1 - Uniform()) * 1000 / per_s));
  }

 private:
  std::mt19937_64 random_;
};

Duration Ms(double ms) { return Duration(std::llround(ms)); }

void DrawStep(const QueueLoad& queue, Draws& draws, Arrival& job) {
  StepSpec step;
  const double tasks =
      std::clamp(draws.Around(queue.mean_tasks_, 0.8), 1.0, queue.max_tasks_);
  step.tasks_ = static_cast<std::uint32_t>(std::lround(tasks));
  step.need_ = queue.need_;
  step.need_.accelerators_ =
      queue.accelerators_[draws.Below(queue.accelerators_.size())];
  step.gang_ = step.tasks_ > 1 && draws.Chance(queue.gangs_);
  step.same_rack_ = step.gang_ && draws.Chance(queue.same_rack_);
  step.checkpoints_ = draws.Chance(queue.saves_);
  const double mean = draws.Around(static_cast<double>(queue.mean_work_.ms()),
                                   queue.work_spread_);
  step.estimate_ = Ms(mean * std::exp(queue.estimate_spread_ * draws.Normal()));
  std::vector<Duration>& work = job.work_.emplace_back();
  for (std::uint32_t i = 0; i < step.tasks_; ++i) {
    // Members of a gang have equal work.
    const double uneven = step.gang_ ? 0 : kUneven;
    work.push_back(Ms(draws.Around(mean, uneven)) + Duration(1));
    job.longest_ = std::max(job.longest_, work.back());
  }
  const double cores =
      static_cast<double>(step.need_.millicores_) / 1000 +
      static_cast<double>(step.need_.accelerators_ * kCoresPerAccelerator);
  job.size_ += mean / 1000 * cores * step.tasks_;
  job.record_.spec_.steps_.push_back(std::move(step));
}

Arrival DrawJob(const GraphLoad& load, std::size_t index, std::uint64_t number,
                Time at, Draws& draws) {
  const QueueLoad& queue = load.queues_[index];
  Arrival job{
      .at_ = at, .queue_ = index, .record_ = {}, .work_ = {}, .longest_ = {}};
  job.record_.key_ = MakeKey(number);
  job.record_.queue_ = QueueName(queue.name_);
  const std::size_t customer =
      draws.Below(static_cast<std::size_t>(load.customers_));
  job.record_.customer_ = CustomerId(fmt::format("c{}", customer));
  job.record_.terms_ = {PoolName("pool"), queue.priority_, queue.max_attempts_,
                        queue.slack_, queue.objective_};
  DrawStep(queue, draws, job);
  const bool cancels = draws.Chance(kCancelled);
  job.cancelled_ = cancels && load.trouble_ == LoadTrouble::kCancels;
  return job;
}

std::vector<Arrival> DrawArrivals(const GraphLoad& load, std::uint64_t seed) {
  std::vector<Arrival> all;
  for (std::size_t queue = 0; queue < load.queues_.size(); ++queue) {
    Draws draws(seed * 1000 + queue);
    const Time end = Time() + kLead + load.length_;
    Time at = Time() + kLead;
    while (true) {
      const Time from = Time() + kLead + kTroubleFrom;
      const bool burst = load.trouble_ == LoadTrouble::kBurst && queue == 1 &&
                         at >= from && at < from + kTroubleFor;
      const double rate = load.queues_[queue].jobs_per_s_;
      at = at + draws.Until(burst ? rate * kBurst : rate);
      if (at >= end) break;
      all.push_back(DrawJob(load, queue, 0, at, draws));
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Arrival& a, const Arrival& b) { return a.at_ < b.at_; });
  std::uint64_t number = 0;
  for (Arrival& job : all) job.record_.key_ = MakeKey(++number);
  return all;
}

double OwnSlowness(const GraphLoad& load, int worker) {
  return worker % 3 == 2 ? load.third_slowness_ : 1;
}

void Trouble(const GraphLoad& load, GraphWorld& world, bool begins) {
  for (int i = 0; i < world.workers(); i += kTroubledWorkers) {
    if (load.trouble_ == LoadTrouble::kSlowWorkers) {
      world.SlowDown(i, begins ? kSlowness : OwnSlowness(load, i));
    }
    if (load.trouble_ == LoadTrouble::kCutWorkers) {
      begins ? world.Cut(i) : world.Heal(i);
    }
  }
}

// The worth of a job by when it ended; 0 for one that did not.
void Weigh(const GraphLoad& load, const Arrival& job, double mean_size,
           const GraphJob* ended, Time start, LoadResult& result) {
  if (job.cancelled_) return;
  const QueueLoad& queue = load.queues_[job.queue_];
  QueueResult& sums = result.queues_[job.queue_];
  const double weight = std::min(
      kMaxWorth, kFlatWorth + (1 - kFlatWorth) * job.size_ / mean_size);
  sums.owed_ += weight * queue.worth_;
  ++sums.jobs_;
  if (ended == nullptr || ended->state_ != GraphJobState::kCompleted) return;
  const Duration took = (ended->ended_ - start) - (job.at_ - Time());
  const Duration objective =
      Ms(queue.slack_ * static_cast<double>(job.longest_.ms())) +
      queue.objective_;
  if (took <= objective) {
    ++sums.in_time_;
    sums.earned_ += weight * queue.worth_;
  } else if (static_cast<double>(took.ms()) <=
             kLateFactor * static_cast<double>(objective.ms())) {
    ++sums.late_;
    sums.earned_ += weight * queue.late_worth_;
  }
}

// Advances to `at`, counted from the world's start.
void RunTo(GraphWorld& world, Time start, Time at) {
  const Duration span = (at - Time()) - (world.now() - start);
  if (span > Duration()) world.RunFor(span);
}

using Task = std::function<void()>;

// What happens when, in order.
std::multimap<Time, Task> MakeSchedule(const GraphLoad& load,
                                       const std::vector<Arrival>& jobs,
                                       GraphWorld& world) {
  std::multimap<Time, Task> tasks;
  const Time begin = Time() + kLead + kTroubleFrom;
  tasks.emplace(begin, [&load, &world] { Trouble(load, world, true); });
  tasks.emplace(begin + kTroubleFor,
                [&load, &world] { Trouble(load, world, false); });
  std::uint64_t number = 0;
  for (const Arrival& job : jobs) {
    ++number;
    tasks.emplace(job.at_,
                  [&job, &world] { world.Submit(job.record_, job.work_); });
    if (!job.cancelled_) continue;
    tasks.emplace(job.at_ + Duration(500),
                  [number, &world] { world.Cancel(number); });
  }
  return tasks;
}

}  // namespace

LoadResult PlayLoad(const GraphLoad& load, const SchedulerOptions& options,
                    std::uint64_t seed) {
  const std::vector<Arrival> jobs = DrawArrivals(load, seed);
  SchedulerOptions kept = options;
  kept.ended_job_retention_ = Duration(3'600'000);
  GraphWorld world({.seed_ = seed,
                    .racks_ = load.racks_,
                    .per_rack_ = load.per_rack_,
                    .scheduler_ = kept});
  const auto accelerators =
      static_cast<double>(world.workers() * kWorkerSize.accelerators_);
  for (int i = 0; i < load.customers_; ++i) {
    world.SetGuarantee(
        fmt::format("c{}", i),
        std::llround(accelerators * load.guaranteed_ / load.customers_));
  }
  for (int i = 0; i < world.workers(); ++i) {
    world.SlowDown(i, OwnSlowness(load, i));
  }
  const Time start = world.now();
  for (const auto& [at, task] : MakeSchedule(load, jobs, world)) {
    RunTo(world, start, at);
    task();
  }
  for (Duration tail; tail < kTail && !world.AllEnded();
       tail = tail + Duration(1000)) {
    world.RunFor(Duration(1000));
  }
  LoadResult result;
  result.queues_.resize(load.queues_.size());
  std::vector<double> sizes(load.queues_.size());
  std::vector<double> counts(load.queues_.size());
  for (const Arrival& job : jobs) {
    sizes[job.queue_] += job.size_;
    ++counts[job.queue_];
    result.asked_ += job.size_;
  }
  for (const Arrival& job : jobs) {
    Weigh(load, job, sizes[job.queue_] / counts[job.queue_],
          FindJob(world.state(), job.record_.key_), start, result);
  }
  for (const QueueResult& queue : result.queues_) {
    result.owed_ += queue.owed_;
    result.earned_ += queue.earned_;
  }
  result.wasted_ = static_cast<double>(world.wasted()) / 1000;
  for (const std::string& rule : world.broken()) result.broken_ += rule + "; ";
  return result;
}

GraphLoad MakeDispatchLoad(int workers, LoadTrouble trouble) {
  constexpr int kPerRack = 8;
  const double n = workers;
  GraphLoad load;
  load.name_ = "dispatch";
  load.racks_ = workers / kPerRack;
  load.trouble_ = trouble;
  // Larger pools serve wider jobs, not only more of them.
  const double width = std::sqrt(n / kSmallPool);
  const double urgent_width = std::min(width, kMaxUrgentWidth);
  load.queues_ = {
      {.name_ = "urgent",
       .jobs_per_s_ = n * 0.032 / urgent_width,
       .priority_ = 0,
       .max_attempts_ = 4,
       .slack_ = 1.5,
       .objective_ = Duration(250),
       .worth_ = 4,
       .late_worth_ = 0.8,
       .mean_tasks_ = 3.4 * urgent_width,
       .need_ = {3700, 15'000, 0},
       .accelerators_ = {1, 2, 4, 8, 8},
       .mean_work_ = Duration(2500),
       .work_spread_ = 0.5,
       .gangs_ = 1,
       .same_rack_ = 0.8},
      {.name_ = "rebuild",
       .jobs_per_s_ = n * 0.013 / width,
       .priority_ = 1,
       .max_attempts_ = 2,
       .objective_ = Duration(1000),
       .worth_ = 3,
       .late_worth_ = 1.5,
       .mean_tasks_ = 5 * width,
       .max_tasks_ = 30 * width,
       .need_ = {13'000, 68'000, 0},
       .accelerators_ = {1, 2, 4, 8, 8},
       .mean_work_ = Duration(8500),
       .gangs_ = 1,
       .same_rack_ = 0.6,
       .saves_ = 0.45},
      {.name_ = "replan",
       .jobs_per_s_ = n * 0.0155 / width,
       .priority_ = 2,
       .max_attempts_ = 4,
       .objective_ = Duration(3000),
       .worth_ = 1,
       .late_worth_ = 0.5,
       .mean_tasks_ = 20 * width,
       .max_tasks_ = 94 * width,
       .need_ = {2800, 8200, 0},
       .mean_work_ = Duration(6100),
       .estimate_spread_ = 0.9,
       .saves_ = 0.45},
  };
  return load;
}

GraphLoad MakeTimecastLoad(int workers, LoadTrouble trouble) {
  GraphLoad load = MakeDispatchLoad(workers, trouble);
  load.name_ = "timecast";
  QueueLoad& urgent = load.queues_[0];
  urgent.jobs_per_s_ *= 2;
  urgent.need_ = {3700, 15'500, 0};
  QueueLoad& audits = load.queues_[1];
  audits.mean_tasks_ *= 0.8;
  audits.late_worth_ = 0.3;
  audits.need_ = {13'000, 37'500, 0};
  QueueLoad& voices = load.queues_[2];
  voices.mean_tasks_ *= 0.75;
  voices.late_worth_ = 0.1;
  voices.need_ = {2750, 8000, 0};
  voices.mean_work_ = Duration(7600);
  return load;
}

}  // namespace flamingohollow::testing

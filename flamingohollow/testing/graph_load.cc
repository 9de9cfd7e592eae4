// Generates the streams, simulates them, and sums up the value for callers.

#include "flamingohollow/testing/graph_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace flamingohollow::testing {
namespace {

constexpr Duration kWarmUp(3000);
// Jobs get at most this long to end after the last action.
constexpr Duration kMaxDrainTime(45'000);
constexpr Duration kDisturbanceStart(8000);
constexpr Duration kDisturbanceLength(8000);
constexpr double kBurstFactor = 3;
constexpr double kSlowFactor = 8;
constexpr int kFailingPerMille = 500;
constexpr int kDisturbedWorkerStride = 10;
constexpr double kCancelledShare = 0.25;
// This share of a job's value does not depend on its size. The rest is
// proportional to its work, up to a maximum.
constexpr double kFixedValueShare = 0.3;
constexpr double kMaxJobWeight = 4;
// Spread of the work of a step's tasks around the step's mean, except in gangs.
constexpr double kUnevenWorkSpread = 0.3;
constexpr double kLateFactor = 3;
// Workers in each of the users' first pools. The numbers of tasks in the loads
// are given for a pool of this size.
constexpr double kSmallPool = 48;
// Limit on the factor by which urgent jobs have more tasks in larger pools.
constexpr double kMaxUrgentWidth = 1.6;

struct Arrival {
  Time at_;
  std::size_t queue_ = 0;
  SubmitRecord record_;
  RealWork work_;
  // Work of all tasks, in core-seconds.
  double size_ = 0;
  Duration longest_task_;
  bool cancelled_ = false;
  // Set if the job is deadly.
  std::optional<Duration> crashes_after_;
};

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Bernoulli(double share) { return Uniform() < share; }
  // Returns a log-normal value with this mean.
  double LogNormal(double mean, double spread) {
    return mean * std::exp(spread * Normal() - spread * spread / 2);
  }
  double Normal() { return std::normal_distribution<double>(0, 1)(random_); }
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  // Returns the delay until the next event, at `per_s` events a second on
  // average.
  Duration ExponentialDelay(double per_s) {
    return Duration(std::llround(-std::log(1 - Uniform()) * 1000 / per_s));
  }

 private:
  std::mt19937_64 random_;
};

Duration Ms(double ms) { return Duration(std::llround(ms)); }

// A long task takes this many times as long as others of its step.
constexpr double kLongFactor = 7;

void DrawStep(const QueueLoad& queue, RandomSource& random, Arrival& job) {
  StepSpec step;
  const double tasks = std::clamp(random.LogNormal(queue.mean_tasks_, 0.8), 1.0,
                                  queue.max_tasks_);
  step.tasks_ = static_cast<std::uint32_t>(std::lround(tasks));
  step.need_ = queue.need_;
  step.need_.accelerators_ =
      queue.accelerators_[random.Below(queue.accelerators_.size())];
  step.gang_ = step.tasks_ > 1 && random.Bernoulli(queue.gang_share_);
  step.same_rack_ = step.gang_ && random.Bernoulli(queue.same_rack_share_);
  step.checkpoints_ = random.Bernoulli(queue.checkpoint_share_);
  // Without long tasks nothing is drawn for them, so that a seed gives the same
  // jobs as ever.
  const auto length = [&queue, &random] {
    const bool is_long =
        queue.long_share_ > 0 && random.Bernoulli(queue.long_share_);
    return is_long ? kLongFactor : 1;
  };
  const double mean = random.LogNormal(
      static_cast<double>(queue.mean_work_.ms()), queue.work_spread_);
  const double gang_length = step.gang_ ? length() : 1;
  step.estimate_ =
      Ms(mean * std::exp(queue.estimate_spread_ * random.Normal()));
  std::vector<Duration>& work = job.work_.emplace_back();
  for (std::uint32_t i = 0; i < step.tasks_; ++i) {
    // Members of a gang have equal work.
    const double uneven = step.gang_ ? 0 : kUnevenWorkSpread;
    const double times = step.gang_ ? gang_length : length();
    work.push_back(Ms(times * random.LogNormal(mean, uneven)) + Duration(1));
    job.longest_task_ = std::max(job.longest_task_, work.back());
  }
  const double cores =
      static_cast<double>(step.need_.millicores_) / 1000 +
      static_cast<double>(step.need_.accelerators_ * kCoresPerAccelerator);
  job.size_ += mean / 1000 * cores * step.tasks_;
  job.record_.spec_.steps_.push_back(std::move(step));
}

Arrival DrawJob(const GraphLoad& load, std::size_t index, std::uint64_t number,
                Time at, RandomSource& random) {
  const QueueLoad& queue = load.queues_[index];
  Arrival job{.at_ = at,
              .queue_ = index,
              .record_ = {},
              .work_ = {},
              .longest_task_ = {},
              .crashes_after_ = {}};
  job.record_.key_ = MakeKey(number);
  job.record_.queue_ = QueueName(queue.name_);
  const std::size_t customer =
      random.Below(static_cast<std::size_t>(load.customers_));
  job.record_.customer_ = CustomerId(fmt::format("c{}", customer));
  job.record_.terms_ = {PoolName("pool"), queue.priority_, queue.max_attempts_,
                        queue.slack_, queue.objective_};
  DrawStep(queue, random, job);
  const bool cancels = random.Bernoulli(kCancelledShare);
  job.cancelled_ = cancels && load.disturbance_ == LoadDisturbance::kCancels;
  return job;
}

// Draws which jobs of the first queue are deadly, and after what time. They are
// drawn last, so that a seed gives the same jobs with and without them.
void DrawDeadly(const GraphLoad& load, std::uint64_t seed,
                std::vector<Arrival>& jobs) {
  constexpr std::array kDelaysMs = {0, 300, 1200};
  RandomSource random(seed);
  for (Arrival& job : jobs) {
    if (job.queue_ != 0 || !random.Bernoulli(load.deadly_share_)) continue;
    job.crashes_after_ = Duration(kDelaysMs.at(random.Below(kDelaysMs.size())));
  }
}

std::vector<Arrival> DrawArrivals(const GraphLoad& load, std::uint64_t seed) {
  std::vector<Arrival> all;
  for (std::size_t queue = 0; queue < load.queues_.size(); ++queue) {
    RandomSource random(seed * 1000 + queue);
    const Time end = Time() + kWarmUp + load.length_;
    Time at = Time() + kWarmUp;
    while (true) {
      const Time from = Time() + kWarmUp + kDisturbanceStart;
      const bool burst = load.disturbance_ == LoadDisturbance::kBurst &&
                         queue == 1 && at >= from &&
                         at < from + kDisturbanceLength;
      const double rate = load.queues_[queue].jobs_per_s_;
      at = at + random.ExponentialDelay(burst ? rate * kBurstFactor : rate);
      if (at >= end) break;
      all.push_back(DrawJob(load, queue, 0, at, random));
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Arrival& a, const Arrival& b) { return a.at_ < b.at_; });
  std::uint64_t number = 0;
  for (Arrival& job : all) job.record_.key_ = MakeKey(++number);
  DrawDeadly(load, seed, all);
  return all;
}

double BaseSlowness(const GraphLoad& load, int worker) {
  if (worker % 3 == 1) return 1 / load.fast_third_factor_;
  return worker % 3 == 2 ? load.slow_third_factor_ : 1;
}

void SetDisturbance(const GraphLoad& load, GraphWorld& world, bool active) {
  for (int i = 0; i < world.workers(); i += kDisturbedWorkerStride) {
    if (load.disturbance_ == LoadDisturbance::kSlowWorkers) {
      world.SlowDown(i, active ? kSlowFactor : BaseSlowness(load, i));
    }
    if (load.disturbance_ == LoadDisturbance::kFailingWorkers) {
      world.SetFailing(i, active ? kFailingPerMille : 0);
    }
    if (load.disturbance_ == LoadDisturbance::kDisconnectedWorkers) {
      active ? world.Disconnect(i) : world.Reconnect(i);
    }
  }
}

// Adds a job and the value that it earned by its end to the result. `ended` is
// null for an unknown job; a job that did not complete earns nothing.
void AddJobValue(const GraphLoad& load, const Arrival& job, double mean_size,
                 const GraphJob* ended, Time start, LoadResult& result) {
  if (job.cancelled_) return;
  if (job.crashes_after_.has_value()) {
    ++result.deadly_;
    const bool failed =
        ended != nullptr && ended->state_ == GraphJobState::kFailed;
    if (failed) ++result.deadly_failed_;
    return;
  }
  const QueueLoad& queue = load.queues_[job.queue_];
  QueueResult& sums = result.queues_[job.queue_];
  const double weight =
      std::min(kMaxJobWeight, kFixedValueShare + (1 - kFixedValueShare) *
                                                     job.size_ / mean_size);
  sums.max_value_ += weight * queue.on_time_value_;
  ++sums.jobs_;
  if (ended == nullptr) return;
  if (ended->state_ == GraphJobState::kFailed) ++sums.failed_;
  if (ended->state_ != GraphJobState::kCompleted) return;
  const Duration took = (ended->ended_ - start) - (job.at_ - Time());
  const Duration objective =
      Ms(queue.slack_ * static_cast<double>(job.longest_task_.ms())) +
      queue.objective_;
  if (took <= objective) {
    ++sums.on_time_;
    sums.earned_value_ += weight * queue.on_time_value_;
  } else if (static_cast<double>(took.ms()) <=
             kLateFactor * static_cast<double>(objective.ms())) {
    ++sums.late_;
    sums.earned_value_ += weight * queue.late_value_;
  }
}

// Advances the world to `at`. Times of the load count from Time(), times of the
// world from `start`.
void RunTo(GraphWorld& world, Time start, Time at) {
  const Duration span = (at - Time()) - (world.now() - start);
  if (span > Duration()) world.RunFor(span);
}

using Action = std::function<void()>;

// Returns the actions of the simulation by time.
std::multimap<Time, Action> MakeSchedule(const GraphLoad& load,
                                         const std::vector<Arrival>& jobs,
                                         GraphWorld& world) {
  std::multimap<Time, Action> actions;
  const Time begin = Time() + kWarmUp + kDisturbanceStart;
  actions.emplace(begin,
                  [&load, &world] { SetDisturbance(load, world, true); });
  actions.emplace(begin + kDisturbanceLength,
                  [&load, &world] { SetDisturbance(load, world, false); });
  if (load.deadly_share_ > 0) {
    actions.emplace(begin + kDisturbanceLength / 2,
                    [&world] { world.ChangeLeader(); });
  }
  std::uint64_t number = 0;
  for (const Arrival& job : jobs) {
    ++number;
    if (job.crashes_after_.has_value()) {
      world.SetDeadly(number, *job.crashes_after_);
    }
    actions.emplace(job.at_,
                    [&job, &world] { world.Submit(job.record_, job.work_); });
    if (!job.cancelled_) continue;
    actions.emplace(job.at_ + Duration(500),
                    [number, &world] { world.Cancel(number); });
  }
  return actions;
}

}  // namespace

LoadResult SimulateLoad(const GraphLoad& load, const SchedulerOptions& options,
                        std::uint64_t seed) {
  const std::vector<Arrival> jobs = DrawArrivals(load, seed);
  SchedulerOptions long_retention = options;
  long_retention.ended_job_retention_ = Duration(3'600'000);
  GraphWorld world({.seed_ = seed,
                    .racks_ = load.racks_,
                    .per_rack_ = load.per_rack_,
                    .scheduler_ = long_retention});
  const auto accelerators =
      static_cast<double>(world.workers() * kWorkerSize.accelerators_);
  for (int i = 0; i < load.customers_; ++i) {
    world.SetGuarantee(
        fmt::format("c{}", i),
        std::llround(accelerators * load.guaranteed_share_ / load.customers_));
  }
  for (int i = 0; i < world.workers(); ++i) {
    world.SlowDown(i, BaseSlowness(load, i));
  }
  const Time start = world.now();
  for (const auto& [at, action] : MakeSchedule(load, jobs, world)) {
    RunTo(world, start, at);
    action();
  }
  for (Duration tail; tail < kMaxDrainTime && !world.AllEnded();
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
    result.requested_work_ += job.size_;
  }
  for (const Arrival& job : jobs) {
    AddJobValue(load, job, sizes[job.queue_] / counts[job.queue_],
                FindJob(world.state(), job.record_.key_), start, result);
  }
  for (const QueueResult& queue : result.queues_) {
    result.max_value_ += queue.max_value_;
    result.earned_value_ += queue.earned_value_;
  }
  result.wasted_work_ = static_cast<double>(world.wasted_work()) / 1000;
  for (const std::string& rule : world.violations())
    result.violations_ += rule + "; ";
  return result;
}

GraphLoad MakeDispatchLoad(int workers, LoadDisturbance disturbance) {
  constexpr int kPerRack = 8;
  const double n = workers;
  GraphLoad load;
  load.name_ = "dispatch";
  load.racks_ = workers / kPerRack;
  load.disturbance_ = disturbance;
  // Jobs in larger pools have more tasks, in addition to there being more jobs.
  const double width = std::sqrt(n / kSmallPool);
  const double urgent_width = std::min(width, kMaxUrgentWidth);
  load.queues_ = {
      {.name_ = "urgent",
       .jobs_per_s_ = n * 0.032 / urgent_width,
       .priority_ = 0,
       .max_attempts_ = 4,
       .slack_ = 1.5,
       .objective_ = Duration(250),
       .on_time_value_ = 4,
       .late_value_ = 0.8,
       .mean_tasks_ = 3.4 * urgent_width,
       .need_ = {3700, 15'000, 0},
       .accelerators_ = {1, 2, 4, 8, 8},
       .mean_work_ = Duration(2500),
       .work_spread_ = 0.5,
       .gang_share_ = 1,
       .same_rack_share_ = 0.8},
      {.name_ = "rebuild",
       .jobs_per_s_ = n * 0.013 / width,
       .priority_ = 1,
       .max_attempts_ = 2,
       .objective_ = Duration(1000),
       .on_time_value_ = 3,
       .late_value_ = 1.5,
       .mean_tasks_ = 5 * width,
       .max_tasks_ = 30 * width,
       .need_ = {13'000, 68'000, 0},
       .accelerators_ = {1, 2, 4, 8, 8},
       .mean_work_ = Duration(8500),
       .gang_share_ = 1,
       .same_rack_share_ = 0.6,
       .checkpoint_share_ = 0.45},
      {.name_ = "replan",
       .jobs_per_s_ = n * 0.0155 / width,
       .priority_ = 2,
       .max_attempts_ = 4,
       .objective_ = Duration(3000),
       .on_time_value_ = 1,
       .late_value_ = 0.5,
       .mean_tasks_ = 20 * width,
       .max_tasks_ = 94 * width,
       .need_ = {2800, 8200, 0},
       .mean_work_ = Duration(6100),
       .estimate_spread_ = 0.9,
       .checkpoint_share_ = 0.45},
  };
  return load;
}

GraphLoad MakeTimecastLoad(int workers, LoadDisturbance disturbance) {
  GraphLoad load = MakeDispatchLoad(workers, disturbance);
  load.name_ = "timecast";
  QueueLoad& urgent = load.queues_[0];
  urgent.jobs_per_s_ *= 2;
  urgent.need_ = {3700, 15'500, 0};
  QueueLoad& rebuild = load.queues_[1];
  rebuild.mean_tasks_ *= 0.8;
  rebuild.late_value_ = 0.3;
  rebuild.need_ = {13'000, 37'500, 0};
  QueueLoad& replan = load.queues_[2];
  replan.mean_tasks_ *= 0.75;
  replan.late_value_ = 0.1;
  replan.need_ = {2750, 8000, 0};
  replan.mean_work_ = Duration(7600);
  return load;
}

GraphLoad MakeUnevenLoad(int workers, LoadDisturbance disturbance) {
  GraphLoad load = MakeDispatchLoad(workers, disturbance);
  load.name_ = "uneven";
  load.slow_third_factor_ = 1 / 0.6;
  load.fast_third_factor_ = 1.6;
  for (QueueLoad& queue : load.queues_) queue.long_share_ = 0.03;
  load.queues_[0].mean_work_ = Duration(2100);
  load.queues_[0].estimate_spread_ = 0.3;
  return load;
}

}  // namespace flamingohollow::testing
